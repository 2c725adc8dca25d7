#include "net/http_client.h"

#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include <curl/curl.h>
#include <sys/socket.h>

namespace teasel {

namespace {

    constexpr int pollTimeoutMs = 1'000; // upper bound only: new calls wake the thread
    constexpr size_t maxIdleHandles = 256;
    const SystemClock systemClock {};

    // State of one call, from start() until its callback.
    struct Transfer {
        uint64_t id = 0;
        HttpCall call;
        HttpClient::Callback done;
        const Clock* clock = nullptr;
        Instant sendUntil;
        HttpOutcome outcome;
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
        size_t maxAnswerBytes = 0;
        bool lengthKnown = false;
        bool chunked = false;
    };

    std::string_view trim(std::string_view text)
    {
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0)
            text.remove_prefix(1);
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0)
            text.remove_suffix(1);
        return text;
    }

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
            [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    size_t onBody(char* data, size_t size, size_t n, void* user)
    {
        auto& it = *static_cast<Transfer*>(user);
        const auto bytes = size * n;
        if (it.outcome.body.size() + bytes > it.maxAnswerBytes)
            return 0; // ends the transfer with CURLE_WRITE_ERROR
        it.outcome.body.append(data, bytes);
        return bytes;
    }

    size_t onHeader(char* data, size_t size, size_t n, void* user)
    {
        auto& it = *static_cast<Transfer*>(user);
        const std::string_view line(data, size * n);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos) {
            const auto name = line.substr(0, colon);
            const auto value = trim(line.substr(colon + 1));
            if (equalsIgnoringCase(name, "content-type"))
                it.outcome.contentType = value;
            else if (equalsIgnoringCase(name, "teasel-attempt"))
                it.outcome.attempt = value;
            else if (equalsIgnoringCase(name, "content-length"))
                it.lengthKnown = true;
            else if (equalsIgnoringCase(name, "transfer-encoding"))
                it.chunked = true;
        }
        return size * n;
    }

    bool isTooLate(const Transfer& it) { return it.clock->now() >= it.sendUntil; }

    // Called by libcurl before it sends a request, also before it sends one again.
    int onRequest(void* user, char*, char*, int, int)
    {
        const auto& it = *static_cast<Transfer*>(user);
        // libcurl checks the timeout by a time that it has read before; the process may have been suspended since.
        if (isTooLate(it))
            return CURL_PREREQFUNC_ABORT;
        if (it.call.mayRepeat)
            return CURL_PREREQFUNC_OK;
        long sentBytes = 0;
        curl_easy_getinfo(it.easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        return sentBytes == 0 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
    }

    // Closing then resets the connection, which discards what could not be delivered yet.
    int onSocket(void*, curl_socket_t socket, curlsocktype)
    {
        const linger resetOnClose { 1, 0 };
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
        return CURL_SOCKOPT_OK;
    }

    HttpCallResult callEndOf(CURLcode code, const Transfer& it)
    {
        // A call to a reused connection may have been sent even if its last connection attempt failed: libcurl repeats
        // a call whose connection breaks before the answer.
        long sentBytes = 0;
        curl_easy_getinfo(it.easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        switch (code) {
        case CURLE_OK:
            return it.lengthKnown || it.chunked ? HttpCallResult::Answered : HttpCallResult::Truncated;
        case CURLE_COULDNT_RESOLVE_HOST:
        case CURLE_COULDNT_CONNECT:
        case CURLE_URL_MALFORMAT:
        case CURLE_ABORTED_BY_CALLBACK: // by onRequest()
            return sentBytes == 0 ? HttpCallResult::ConnectFailed : HttpCallResult::FailedAfterSending;
        case CURLE_PARTIAL_FILE:
        case CURLE_WRITE_ERROR:
            return HttpCallResult::Truncated;
        case CURLE_OPERATION_TIMEDOUT:
            return sentBytes == 0 ? HttpCallResult::ConnectFailed : HttpCallResult::TimedOut;
        default:
            return HttpCallResult::FailedAfterSending;
        }
    }

} // namespace

// One thread with its own curl multi handle and connection pool.
class HttpClient::Worker {
public:
    explicit Worker(const HttpClientOptions& options)
        : m_options(options)
        , m_multi(curl_multi_init())
    {
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, 1'024L);
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(options.connectionsPerHost));
        m_thread = std::thread([this] { run(); });
    }

    ~Worker() { stop(); }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    void stop()
    {
        if (!m_thread.joinable())
            return;
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        curl_multi_wakeup(m_multi);
        m_thread.join();
        for (auto* it : m_idle)
            curl_easy_cleanup(it);
        curl_multi_cleanup(m_multi);
    }

    void start(std::unique_ptr<Transfer> transfer)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_starting.push_back(std::move(transfer));
        }
        curl_multi_wakeup(m_multi);
    }

    void abort(uint64_t id)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_aborting.push_back(id);
        }
        curl_multi_wakeup(m_multi);
    }

private:
    void run()
    {
        while (processRequests()) {
            int running = 0;
            curl_multi_perform(m_multi, &running);
            collectFinished();
            curl_multi_poll(m_multi, nullptr, 0, pollTimeoutMs, nullptr);
        }
        while (!m_active.empty())
            finish(m_active.begin()->first, HttpCallResult::Aborted);
    }

    bool processRequests()
    {
        std::vector<std::unique_ptr<Transfer>> starting;
        std::vector<uint64_t> aborting;
        bool stopping = false;
        {
            const std::lock_guard lock(m_mutex);
            starting.swap(m_starting);
            aborting.swap(m_aborting);
            stopping = m_stopping;
        }
        for (auto& it : starting)
            beginTransfer(std::move(it));
        for (const auto id : aborting)
            finish(id, HttpCallResult::Aborted);
        return !stopping;
    }

    void beginTransfer(std::unique_ptr<Transfer> transfer)
    {
        if (isTooLate(*transfer)) {
            transfer->outcome.result = HttpCallResult::ConnectFailed;
            transfer->done(std::move(transfer->outcome));
            return;
        }
        auto* easy = curl_easy_init();
        if (!m_idle.empty()) {
            curl_easy_cleanup(std::exchange(easy, m_idle.back()));
            m_idle.pop_back();
            curl_easy_reset(easy);
        }
        auto& it = *transfer;
        it.easy = easy;
        it.maxAnswerBytes = m_options.maxAnswerBytes;
        for (const auto& [name, value] : it.call.headers)
            it.headers = curl_slist_append(it.headers, fmt::format("{}: {}", name, value).c_str());
        it.headers = curl_slist_append(it.headers, "Expect:");
        curl_easy_setopt(easy, CURLOPT_URL, it.call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, it.headers);
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, it.call.body->data());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(it.call.body->size()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<int64_t>(1, it.call.timeout.count())));
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(it.call.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
        if (m_options.resetsConnections)
            curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &onSocket);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &it);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &it);
        if (it.call.sendAtMostOnce) {
            // On a reused connection that the server has closed, libcurl would send the request a second time by
            // itself.
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
        curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onRequest);
        curl_easy_setopt(easy, CURLOPT_PREREQDATA, &it);
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &it);
        curl_multi_add_handle(m_multi, easy);
        m_active.emplace(it.id, std::move(transfer));
    }

    void collectFinished()
    {
        int left = 0;
        while (auto* message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            Transfer* it = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &it);
            if (message->data.result != CURLE_OK)
                it->outcome.error = curl_easy_strerror(message->data.result);
            finish(it->id, callEndOf(message->data.result, *it));
        }
    }

    void finish(uint64_t id, HttpCallResult end)
    {
        const auto found = m_active.find(id);
        if (found == m_active.end())
            return;
        const auto transfer = std::move(found->second);
        m_active.erase(found);
        auto& it = *transfer;
        long status = 0;
        curl_off_t elapsedUs = 0;
        curl_easy_getinfo(it.easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(it.easy, CURLINFO_TOTAL_TIME_T, &elapsedUs);
        curl_multi_remove_handle(m_multi, it.easy);
        curl_slist_free_all(it.headers);
        if (m_idle.size() < maxIdleHandles)
            m_idle.push_back(it.easy);
        else
            curl_easy_cleanup(it.easy);
        it.outcome.result = end;
        it.outcome.status = static_cast<unsigned>(status);
        it.outcome.duration = Duration(elapsedUs);
        it.done(std::move(it.outcome));
    }

    HttpClientOptions m_options;
    CURLM* m_multi;
    std::thread m_thread;
    absl::flat_hash_map<uint64_t, std::unique_ptr<Transfer>> m_active;
    std::vector<CURL*> m_idle;

    std::mutex m_mutex;
    std::vector<std::unique_ptr<Transfer>> m_starting; // guarded by m_mutex
    std::vector<uint64_t> m_aborting; // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
};

HttpClient::HttpClient(HttpClientOptions options)
    : HttpClient(options, systemClock)
{
}

HttpClient::HttpClient(HttpClientOptions options, const Clock& clock)
    : m_options(options)
    , m_clock(clock)
{
    static const auto initialized = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(initialized);
    for (unsigned n = 0; n < m_options.threads; ++n)
        m_workers.push_back(std::make_unique<Worker>(m_options));
}

HttpClient::~HttpClient() { stop(); }

uint64_t HttpClient::start(HttpCall call, Callback done)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = m_nextId++;
    transfer->call = std::move(call);
    transfer->done = std::move(done);
    transfer->clock = &m_clock;
    transfer->sendUntil = m_clock.now() + std::max(Milliseconds(1), transfer->call.timeout);
    const auto id = transfer->id;
    m_workers[id % m_workers.size()]->start(std::move(transfer));
    return id;
}

void HttpClient::abort(uint64_t id) { m_workers[id % m_workers.size()]->abort(id); }

void HttpClient::stop()
{
    for (auto& it : m_workers)
        it->stop();
}

} // namespace teasel
