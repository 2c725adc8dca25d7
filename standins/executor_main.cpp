// Stand-in for an executor: announces itself, runs each request for a random time and counts how often each request id
// ran.
//   POST /run     runs a request; answers with its id and a hash of its body. The same under
//                 /v1/requests/{class}, for callers that bypass the entry instances.
//   GET  /runs    {"runs": {id: count}, "over_slots": n, "finished": n}
//   POST /leave   announces that it leaves, finishes its running requests and exits
#include "core/clock.h"
#include "core/random.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "requests.pb.h"
#include "standins/announcer.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <map>
#include <mutex>
#include <queue>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>

namespace teasel {
namespace {

    std::atomic<bool> endRequested = false;

    struct ExecutorOptions {
        std::string name;
        std::string scheme;
        std::string address;
        std::string dataCentre;
        std::vector<std::string> entries;
        std::vector<std::string> labels; // key=value
        unsigned slots = 8;
        unsigned connections = 64;
        double serviceMs = 20; // mean; uniformly distributed between 0.5 and 1.5 times the mean
        double failRate = 0; // fraction of requests answered with status 500
        uint64_t seed = 1;
    };

    class Executor {
    public:
        explicit Executor(ExecutorOptions options)
            : m_options(std::move(options))
            , m_random(m_options.seed)
            , m_server(
                  { m_options.address, 2, 1'024, 4 << 20 }, [this](const HttpRequest& it) { onRequest(it); },
                  [](uint64_t) {})
            , m_announcer(m_options.entries, "/v1/executors/announce", [this] { return announcement(); })
        {
        }

        int run()
        {
            const auto started = valueOrError([&] { return m_server.start(); });
            if (const auto* error = std::get_if<Error>(&started)) {
                fmt::print(stderr, "level=error event=start_failed reason=\"{}\"\n", error->message);
                return 1;
            }
            m_announcer.start();
            std::thread responseSender([this] { sendDueResponses(); });
            while (!endRequested)
                std::this_thread::sleep_for(Milliseconds(20));
            leave();
            m_stopping = true;
            m_wake.notify_all();
            responseSender.join();
            m_announcer.stop();
            m_server.stop();
            return 0;
        }

    private:
        struct PendingResponse {
            Instant dueAt;
            uint64_t handle;
            HttpResponse response;
            bool operator>(const PendingResponse& other) const { return dueAt > other.dueAt; }
        };

        std::string announcement()
        {
            schema::ExecutorAnnounce it;
            it.set_name(m_options.name);
            it.set_scheme(m_options.scheme);
            it.set_incarnation(m_incarnation);
            it.set_address(m_options.address);
            it.set_slots(m_options.slots);
            it.set_connections(m_options.connections);
            it.set_data_centre(m_options.dataCentre);
            it.set_leaving(m_leaving);
            for (const auto& label : m_options.labels) {
                const auto separator = label.find('=');
                auto& added = *it.add_labels();
                added.set_key(label.substr(0, separator));
                added.set_value(label.substr(separator + 1));
            }
            const std::lock_guard lock(m_mutex);
            it.set_in_flight(m_inFlight);
            it.set_lists_attempts(true);
            for (const auto& attempt : m_attempts)
                it.add_attempts(attempt);
            std::string body;
            static_cast<void>(google::protobuf::util::MessageToJsonString(it, &body));
            return body;
        }

        void onRequest(const HttpRequest& request)
        {
            if (request.path == "/run" || request.path.starts_with("/v1/requests/"))
                runRequest(request);
            else if (request.path == "/leave") {
                endRequested = true;
                m_server.answer(request.handle, {});
            } else
                m_server.answer(request.handle, { 200, "application/json", {}, runCountsJson() });
        }

        void runRequest(const HttpRequest& request)
        {
            const std::string id(request.header("teasel-request-id"));
            const auto hash = XXH64(request.body.data(), request.body.size(), 0);
            HttpResponse response;
            response.headers = { { "Teasel-Attempt", std::string(request.header("teasel-attempt")) } };
            response.body = fmt::format(
                R"({{"request_id":"{}","executor":"{}","body_hash":"{:016x}"}})", id, m_options.name, hash);
            const std::lock_guard lock(m_mutex);
            ++m_runCounts[id];
            m_attempts.insert(std::string(request.header("teasel-attempt")));
            if (++m_inFlight > m_options.slots)
                ++m_overSlots;
            if (m_random.chance(m_options.failRate))
                response.status = 500;
            const auto factor = 0.5 + m_random.unit();
            const auto service = Duration(static_cast<int64_t>(m_options.serviceMs * 1'000 * factor));
            m_pendingResponses.push({ m_clock.now() + service, request.handle, std::move(response) });
            m_wake.notify_all();
        }

        void sendDueResponses()
        {
            std::unique_lock lock(m_mutex);
            while (!m_stopping || !m_pendingResponses.empty()) {
                if (m_pendingResponses.empty()) {
                    m_wake.wait_for(lock, Milliseconds(100));
                    continue;
                }
                const auto now = m_clock.now();
                if (m_pendingResponses.top().dueAt > now) {
                    m_wake.wait_for(lock, m_pendingResponses.top().dueAt - now);
                    continue;
                }
                auto pending = m_pendingResponses.top();
                m_pendingResponses.pop();
                --m_inFlight;
                m_attempts.erase(pending.response.headers.front().second);
                ++m_finished;
                lock.unlock();
                m_server.answer(pending.handle, std::move(pending.response));
                lock.lock();
            }
        }

        void leave()
        {
            m_leaving = true;
            m_announcer.announceNow();
            const auto until = m_clock.now() + std::chrono::seconds(5);
            // Requests granted before the announcement may still arrive.
            std::this_thread::sleep_for(std::chrono::seconds(1));
            while (m_clock.now() < until) {
                const std::lock_guard lock(m_mutex);
                if (m_inFlight == 0)
                    return;
            }
        }

        std::string runCountsJson()
        {
            const std::lock_guard lock(m_mutex);
            const nlohmann::json out
                = { { "runs", m_runCounts }, { "over_slots", m_overSlots }, { "finished", m_finished } };
            return out.dump();
        }

        ExecutorOptions m_options;
        SystemClock m_clock;
        Random m_random;
        HttpServer m_server;
        Announcer m_announcer;
        uint64_t m_incarnation = static_cast<uint64_t>(SystemClock().wallNow().time_since_epoch().count());
        std::atomic<bool> m_leaving = false;
        std::atomic<bool> m_stopping = false;
        std::mutex m_mutex;
        std::condition_variable m_wake;
        std::priority_queue<PendingResponse, std::vector<PendingResponse>, std::greater<>> m_pendingResponses;
        std::map<std::string, uint64_t> m_runCounts;
        std::set<std::string> m_attempts; // keys of the attempts in flight
        unsigned m_inFlight = 0;
        uint64_t m_overSlots = 0;
        uint64_t m_finished = 0;
    };

} // namespace
} // namespace teasel

int main(int argc, char** argv)
{
    teasel::ExecutorOptions options;
    CLI::App app("A stand-in executor.");
    app.add_option("--name", options.name)->required();
    app.add_option("--scheme", options.scheme);
    app.add_option("--address", options.address, "host:port")->required();
    app.add_option("--data-centre", options.dataCentre);
    app.add_option("--entry", options.entries, "host:port of an entry instance; may be repeated")->required();
    app.add_option("--label", options.labels, "key=value; may be repeated");
    app.add_option("--slots", options.slots);
    app.add_option("--connections", options.connections);
    app.add_option("--service-ms", options.serviceMs, "mean run time of a request");
    app.add_option("--fail-rate", options.failRate);
    app.add_option("--seed", options.seed);
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGTERM, [](int) { teasel::endRequested = true; });
    std::signal(SIGINT, [](int) { teasel::endRequested = true; });
    return teasel::Executor(std::move(options)).run();
}
