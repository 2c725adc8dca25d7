#include "net/http_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasel {

namespace {

    constexpr std::chrono::milliseconds disconnectCheckInterval { 100 };
    constexpr short disconnectEvents = POLLRDHUP | POLLHUP | POLLERR;
    constexpr size_t closingConnections = 64; // accepted while others, which are to be closed, are still open
    // On stop, for callers that read their answers slowly, or have connected and send nothing.
    constexpr std::chrono::milliseconds closeTimeout { 300 };
    constexpr std::chrono::milliseconds closeInterval { 10 };

    std::string lowerCase(std::string_view text)
    {
        std::string out(text);
        std::transform(
            out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return out;
    }

    std::string_view findHeader(const HttpHeaders& headers, std::string_view name)
    {
        for (const auto& [key, value] : headers) {
            if (key == name)
                return value;
        }
        return {};
    }

    MHD_Result appendHeader(void* into, MHD_ValueKind, const char* key, const char* value)
    {
        static_cast<HttpHeaders*>(into)->emplace_back(lowerCase(key), value == nullptr ? "" : value);
        return MHD_YES;
    }

    // Answers of up to this length are always sent.
    constexpr size_t maxShortAnswer = 4 << 10;

    size_t bytesOf(const HttpHeaders& headers)
    {
        size_t n = 0;
        for (const auto& [key, value] : headers)
            n += sizeof(HttpHeaders::value_type) + key.size() + value.size();
        return n;
    }

    // The rest of a body that is too large is read and discarded up to this size.
    constexpr uint64_t maxDiscardedBytes = 64 << 20;

    constexpr std::string_view tooLargeBody
        = R"({"kind":"too_large","run":"did_not_run","message":"the body exceeds this instance's limit","advice":"send a smaller body","retry_after_ms":0})";

} // namespace

// One request, from its first line until its answer is sent. Owned by libmicrohttpd through the connection's state
// pointer and deleted in onCompleted().
struct HttpServer::Exchange {
    HttpRequest request;
    MHD_Connection* connection = nullptr;
    int fd = -1;
    CallerLoad::Id id = 0; // of the connection
    size_t announcedBytes = 0; // length of the body; 0 if it is not announced
    bool tooLarge = false;
    bool overloaded = false; // no room for the body
    bool isComplete = false; // the request was read completely
    bool dispatched = false;
    bool answered = false;
    HttpResponse response;
};

std::string_view HttpRequest::header(std::string_view name) const { return findHeader(headers, name); }

std::string_view HttpRequest::queryValue(std::string_view name) const { return findHeader(query, name); }

HttpServer::HttpServer(HttpServerOptions options, Handler handler, CallerDisconnected callerDisconnected)
    : m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_callerDisconnected(std::move(callerDisconnected))
    , m_acceptor([this] { return roomForConnections(); },
          [this](int fd, const sockaddr* peer, socklen_t n) { addConnection(fd, peer, n); })
    , m_load(m_options.maxConnections, std::max(m_options.maxBufferedBytes, 2 * m_options.maxBodyBytes))
{
}

HttpServer::~HttpServer() { stop(); }

Result<void> HttpServer::start()
{
    // MHD_quiesce_daemon() ends the process if one of the daemon's threads notices it first, and at the daemon's limit
    // on connections those that are added block its threads. So it gets no listener, and a limit that is not reached.
    const auto daemonLimit = static_cast<unsigned>(m_options.threads * (connectionLimit() + 1));
    m_daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET, 0, nullptr,
        nullptr, &HttpServer::onRequest, this, MHD_OPTION_THREAD_POOL_SIZE, m_options.threads,
        MHD_OPTION_CONNECTION_LIMIT, daemonLimit, MHD_OPTION_CONNECTION_MEMORY_LIMIT, m_options.maxHeaderBytes,
        MHD_OPTION_CONNECTION_TIMEOUT, m_options.idleSeconds, MHD_OPTION_NOTIFY_COMPLETED, &HttpServer::onCompleted,
        this, MHD_OPTION_NOTIFY_CONNECTION, &HttpServer::onConnection, this, MHD_OPTION_END);
    if (m_daemon == nullptr)
        return fail(ErrorKind::BadRequest, fmt::format("can't start the threads for {}", m_options.address));
    BOOST_LEAF_CHECK(m_acceptor.start(m_options.address));
    if (m_callerDisconnected)
        m_watcher = std::thread([this] { watchForDisconnects(); });
    return {};
}

size_t HttpServer::connectionLimit() const { return m_options.maxConnections + closingConnections; }

size_t HttpServer::roomForConnections() const
{
    const std::lock_guard lock(m_mutex);
    const auto open = m_load.connections() + m_handedOver.size();
    return connectionLimit() - std::min(connectionLimit(), open);
}

void HttpServer::addConnection(int fd, const sockaddr* peer, socklen_t n)
{
    {
        const std::lock_guard lock(m_mutex);
        m_handedOver.insert(fd);
    }
    if (MHD_add_connection(m_daemon, fd, peer, n) == MHD_YES)
        return;
    // The daemon has closed it.
    const std::lock_guard lock(m_mutex);
    m_handedOver.erase(fd);
}

void HttpServer::refuseNewRequests()
{
    const std::lock_guard lock(m_mutex);
    m_refusing = true;
}

void HttpServer::stop()
{
    if (m_daemon == nullptr)
        return;
    std::vector<uint64_t> unanswered;
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = m_refusing = true;
        m_closesAfterAnswers = true;
        for (const auto& [handle, exchange] : m_suspended)
            unanswered.push_back(handle);
    }
    m_watcherWakeup.notify_all();
    if (m_watcher.joinable())
        m_watcher.join();
    for (const auto handle : unanswered)
        answer(handle,
            { 504, "application/json", { { "Retry-After", "1" } },
                R"({"kind":"shutting_down","run":"may_have_run"})" });
    m_acceptor.stop();
    closeConnections();
    // A request that is read from here on is refused and answered in the same pass of the server's thread.
    MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
}

void HttpServer::closeConnections()
{
    const auto until = std::chrono::steady_clock::now() + closeTimeout;
    std::unique_lock lock(m_mutex);
    const auto hasClosedAll = [this] { return m_load.connections() + m_handedOver.size() == 0; };
    while (!hasClosedAll() && std::chrono::steady_clock::now() < until) {
        // The server's thread still reads and answers what has arrived, and closes the connection at its end.
        for (const auto fd : m_load.idleAfterRequest())
            ::shutdown(fd, SHUT_RD);
        m_connectionClosed.wait_for(lock, closeInterval, hasClosedAll);
    }
}

bool HttpServer::hasCallerLeft(uint64_t handle) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_suspended.find(handle);
    if (it == m_suspended.end())
        return true;
    pollfd fd { it->second->fd, POLLRDHUP, 0 };
    return poll(&fd, 1, 0) > 0 && (fd.revents & disconnectEvents) != 0;
}

size_t HttpServer::pendingRequests() const
{
    const std::lock_guard lock(m_mutex);
    return m_suspended.size();
}

MHD_Result HttpServer::onRequest(void* self, MHD_Connection* connection, const char* url, const char* method,
    const char*, const char* data, size_t* n, void** state)
{
    auto& server = *static_cast<HttpServer*>(self);
    if (*state == nullptr)
        return server.beginRequest(connection, url, method, state);
    return server.continueRequest(connection, *static_cast<Exchange*>(*state), data, n);
}

MHD_Result HttpServer::beginRequest(MHD_Connection* connection, const char* url, const char* method, void** state)
{
    auto exchange = std::make_unique<Exchange>();
    exchange->connection = connection;
    exchange->request.method = method;
    exchange->request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &appendHeader, &exchange->request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &appendHeader, &exchange->request.query);
    const auto length = exchange->request.header("content-length");
    const auto bytes = std::strtoull(std::string(length).c_str(), nullptr, 10);
    exchange->tooLarge = bytes > m_options.maxBodyBytes;
    exchange->announcedBytes = exchange->tooLarge ? 0 : bytes;
    {
        const std::lock_guard lock(m_mutex);
        exchange->id = m_connectionIds.at(connection);
        m_load.setPhase(exchange->id, CallerLoad::Phase::Receiving);
        exchange->overloaded
            = !m_load.reserve(exchange->id, bytesOf(exchange->request.headers) + bytesOf(exchange->request.query));
        closeForRoom();
    }
    *state = exchange.release(); // ownership returns in onCompleted()
    // A caller that still writes its body may not read an answer that comes with the end of the connection.
    return bytes > maxDiscardedBytes ? replyTooLarge(connection) : MHD_YES;
}

MHD_Result HttpServer::continueRequest(MHD_Connection* connection, Exchange& exchange, const char* data, size_t* n)
{
    if (*n > 0) {
        appendToBody(exchange, { data, *n });
        *n = 0;
        return MHD_YES;
    }
    if (!std::exchange(exchange.isComplete, true)) {
        const std::lock_guard lock(m_mutex);
        m_load.setPhase(exchange.id, CallerLoad::Phase::Sending);
    }
    if (exchange.tooLarge)
        return replyTooLarge(connection);
    if (exchange.overloaded)
        return replyOverloaded(connection);
    if (exchange.dispatched) {
        const std::lock_guard lock(m_mutex);
        return exchange.answered ? reply(connection, exchange.response) : MHD_YES;
    }
    exchange.dispatched = true;
    exchange.request.handle = m_nextHandle++;
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    exchange.fd = info == nullptr ? -1 : info->connect_fd;
    auto request = std::move(exchange.request); // After suspension, `exchange` may be deleted at any time.
    {
        const std::lock_guard lock(m_mutex);
        // After stop() has answered the waiting requests, nothing would resume this one.
        if (m_refusing)
            return reply(connection,
                { 503, "application/json", { { "Retry-After", "1" }, { "Connection", "close" } },
                    R"({"kind":"shutting_down","run":"did_not_run"})" });
        m_load.setPhase(exchange.id, CallerLoad::Phase::Waiting);
        MHD_suspend_connection(connection);
        m_suspended.emplace(request.handle, &exchange);
    }
    m_handler(std::move(request));
    return MHD_YES;
}

void HttpServer::appendToBody(Exchange& exchange, std::string_view data)
{
    auto& body = exchange.request.body;
    const auto needed = body.size() + data.size();
    exchange.tooLarge = exchange.tooLarge || needed > m_options.maxBodyBytes;
    if (!exchange.tooLarge && !exchange.overloaded && needed > body.capacity()) {
        const auto capacity = std::max({ needed, 2 * body.capacity(), exchange.announcedBytes });
        const std::lock_guard lock(m_mutex);
        exchange.overloaded = !m_load.reserve(exchange.id, capacity - body.capacity());
        closeForRoom();
        if (!exchange.overloaded)
            body.reserve(capacity);
    }
    if (!exchange.tooLarge && !exchange.overloaded) {
        body.append(data);
        return;
    }
    std::string().swap(body); // An assignment may keep the buffer, which would no longer be counted.
    const std::lock_guard lock(m_mutex);
    m_load.release(exchange.id);
}

void HttpServer::closeForRoom()
{
    for (const auto fd : m_load.takeClosing()) {
        ++m_closedForRoom;
        ::shutdown(fd, SHUT_RDWR); // The server's thread closes it.
    }
}

void HttpServer::answer(uint64_t handle, HttpResponse response)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_suspended.find(handle);
    if (it == m_suspended.end())
        return;
    auto& exchange = *it->second;
    m_suspended.erase(it);
    exchange.response = std::move(response);
    exchange.answered = true;
    m_load.release(exchange.id);
    m_load.setPhase(exchange.id, CallerLoad::Phase::Sending);
    const auto bytes = exchange.response.body.size();
    if (bytes > maxShortAnswer && !m_load.reserve(exchange.id, bytes)) {
        exchange.response = {};
        ++m_closedForRoom;
        ::shutdown(exchange.fd, SHUT_RDWR);
    }
    closeForRoom();
    MHD_resume_connection(exchange.connection);
}

MHD_Result HttpServer::reply(MHD_Connection* connection, const HttpResponse& response) const
{
    // Long answers are those of exchanges, which last until the answer is sent.
    const auto mode = response.body.size() > maxShortAnswer ? MHD_RESPMEM_PERSISTENT : MHD_RESPMEM_MUST_COPY;
    auto* out = MHD_create_response_from_buffer(response.body.size(), const_cast<char*>(response.body.data()), mode);
    MHD_add_response_header(out, "Content-Type", response.contentType.c_str());
    for (const auto& [name, value] : response.headers)
        MHD_add_response_header(out, name.c_str(), value.c_str());
    if (m_closesAfterAnswers && findHeader(response.headers, "Connection").empty())
        MHD_add_response_header(out, "Connection", "close");
    const auto queued = MHD_queue_response(connection, response.status, out);
    MHD_destroy_response(out);
    return queued;
}

MHD_Result HttpServer::replyTooLarge(MHD_Connection* connection) const
{
    return reply(connection, { 413, "application/json", { { "Connection", "close" } }, std::string(tooLargeBody) });
}

MHD_Result HttpServer::replyOverloaded(MHD_Connection* connection) const
{
    return reply(connection,
        { 503, "application/json", { { "Retry-After", "1" } }, R"({"kind":"queue_full","run":"did_not_run"})" });
}

void HttpServer::onCompleted(void* self, MHD_Connection*, void** state, MHD_RequestTerminationCode)
{
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*state));
    *state = nullptr;
    if (exchange == nullptr)
        return;
    auto& server = *static_cast<HttpServer*>(self);
    const std::lock_guard lock(server.m_mutex);
    server.m_load.release(exchange->id);
    server.m_load.setPhase(exchange->id, CallerLoad::Phase::Idle);
}

void HttpServer::onConnection(
    void* self, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode notification)
{
    auto& server = *static_cast<HttpServer*>(self);
    const std::lock_guard lock(server.m_mutex);
    if (notification == MHD_CONNECTION_NOTIFY_CLOSED) {
        if (const auto closed = server.m_connectionIds.extract(connection))
            server.m_load.close(closed.mapped());
        server.m_connectionClosed.notify_all();
        return;
    }
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    server.m_handedOver.erase(info->connect_fd);
    server.m_connectionIds[connection] = server.m_load.open(info->connect_fd);
    server.closeForRoom();
}

void HttpServer::watchForDisconnects()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_watcherWakeup.wait_for(lock, disconnectCheckInterval);
        std::vector<pollfd> fds;
        std::vector<uint64_t> handles;
        for (const auto& [handle, exchange] : m_suspended) {
            fds.push_back({ exchange->fd, POLLRDHUP, 0 });
            handles.push_back(handle);
        }
        if (fds.empty() || poll(fds.data(), fds.size(), 0) <= 0)
            continue;
        lock.unlock();
        for (size_t k = 0; k < fds.size(); ++k) {
            if ((fds[k].revents & disconnectEvents) != 0)
                m_callerDisconnected(handles[k]);
        }
        lock.lock();
    }
}

} // namespace teasel
