// A stand-in for callers: sends an open-loop mix of requests to the entry
// instances and checks every id against what the executors ran.
#include "core/random.h"
#include "net/http_client.h"
#include "standins/load_plan.h"
#include "standins/load_report.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <mutex>
#include <thread>

namespace teasel {
namespace {

    std::atomic<bool> endRequested = false;
    constexpr unsigned mostSends = 6;
    constexpr Milliseconds answerMargin { 3'000 };
    constexpr Milliseconds settleTime { 8'000 };

    class Caller {
    public:
        explicit Caller(LoadPlan plan)
            : m_plan(std::move(plan))
            , m_random(m_plan.seed)
            , m_client({ 3 })
        {
        }

        int run(const std::string& reportPath)
        {
            sendAll();
            waitForAnswers();
            const auto breaches = check(askExecutors());
            report(reportPath, breaches);
            m_client.stop();
            return breaches.total() == 0 ? 0 : 1;
        }

    private:
        template <class T> size_t draw(const std::vector<T>& from)
        {
            double total = 0;
            for (const auto& it : from)
                total += it.weight;
            auto left = m_random.unit() * total;
            for (size_t k = 0; k < from.size(); ++k) {
                left -= from[k].weight;
                if (left < 0)
                    return k;
            }
            return from.size() - 1;
        }

        void sendAll()
        {
            const auto start = m_clock.now();
            const auto count = static_cast<size_t>(m_plan.rate * m_plan.seconds);
            m_records.reserve(count);
            for (size_t k = 0; k < count && !endRequested; ++k) {
                const auto due = start + Duration(static_cast<int64_t>(static_cast<double>(k) * 1e6 / m_plan.rate));
                while (m_clock.now() < due)
                    std::this_thread::sleep_for(std::min<Duration>(due - m_clock.now(), Milliseconds(1)));
                size_t place = 0;
                {
                    const std::lock_guard lock(m_mutex);
                    LoadRecord record;
                    record.id = fmt::format("r{}-{}", m_plan.seed, k);
                    record.account = draw(m_plan.accounts);
                    record.requestClass = draw(m_plan.classes);
                    place = m_records.size();
                    m_records.push_back(std::move(record));
                    ++m_open;
                }
                send(place, m_clock.now());
            }
        }

        void send(size_t place, Instant start)
        {
            HttpCall call;
            {
                const std::lock_guard lock(m_mutex);
                auto& record = m_records[place];
                ++record.sends;
                const auto& kind = m_plan.classes[record.requestClass];
                const auto& account = m_plan.accounts[record.account];
                call.url = fmt::format(
                    "http://{}/v1/requests/{}", m_plan.servers[m_nextServer++ % m_plan.servers.size()], kind.name);
                call.headers
                    = { { "Teasel-Request-Id", record.id }, { "Teasel-Deadline-Ms", std::to_string(kind.deadlineMs) } };
                if (!account.key.empty())
                    call.headers.emplace_back("Authorization", "Bearer " + account.key);
                if (!kind.selector.empty())
                    call.headers.emplace_back("Teasel-Selector", kind.selector);
                call.timeout = Milliseconds(kind.deadlineMs) + answerMargin;
                call.body = std::make_shared<const std::string>(bodyOf(record));
            }
            m_client.start(
                std::move(call), [this, place, start](const HttpOutcome& it) { onOutcome(place, start, it); });
        }

        std::string bodyOf(const LoadRecord& record) const
        {
            const auto& kind = m_plan.classes[record.requestClass];
            std::string body = record.id;
            body.resize(std::max<size_t>(kind.bodyBytes, body.size()), 'x');
            return body;
        }

        void onOutcome(size_t place, Instant start, const HttpOutcome& outcome)
        {
            bool again = false;
            {
                const std::lock_guard lock(m_mutex);
                auto& record = m_records[place];
                record.latency = m_clock.now() - start;
                if (outcome.end == CallEnd::Answered) {
                    takeAnswer(record, outcome);
                } else {
                    record.cuts += outcome.end == CallEnd::ConnectFailed ? 0 : 1;
                    again = record.sends < mostSends && !m_closed;
                }
                if (!again)
                    --m_open;
            }
            if (again)
                send(place, start);
        }

        void takeAnswer(LoadRecord& record, const HttpOutcome& outcome) const
        {
            const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
            if (json.is_discarded()) {
                record.end = LoadEnd::MayHaveRun;
                record.kind = fmt::format("status_{}", outcome.status);
                return;
            }
            if (json.contains("kind")) {
                record.kind = json.value("kind", "");
                record.end = json.value("run", "") == "did_not_run" ? LoadEnd::DidNotRun : LoadEnd::MayHaveRun;
                return;
            }
            const auto body = bodyOf(record);
            const auto hash = fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
            const bool own = json.value("request_id", "") == record.id && json.value("body_hash", "") == hash;
            record.end = own ? LoadEnd::Answered : LoadEnd::Crossed;
        }

        void waitForAnswers()
        {
            const auto until = m_clock.now() + settleTime;
            while (m_clock.now() < until) {
                {
                    const std::lock_guard lock(m_mutex);
                    if (m_open == 0)
                        break;
                }
                std::this_thread::sleep_for(Milliseconds(20));
            }
            const std::lock_guard lock(m_mutex);
            m_closed = true;
        }

        RunsSeen askExecutors()
        {
            RunsSeen seen;
            for (const auto& it : m_plan.executors) {
                std::promise<HttpOutcome> promise;
                HttpCall call;
                call.url = "http://" + it + "/runs";
                call.body = std::make_shared<const std::string>();
                call.timeout = Milliseconds(5'000);
                m_client.start(std::move(call), [&](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
                const auto outcome = promise.get_future().get();
                const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
                if (outcome.end != CallEnd::Answered || json.is_discarded()) {
                    seen.complete = false;
                    continue;
                }
                for (const auto& [id, count] : json.at("runs").items())
                    seen.runs[id] += count.get<uint64_t>();
                seen.overSlots += json.value("over_slots", uint64_t { 0 });
            }
            return seen;
        }

        LoadBreaches check(const RunsSeen& seen)
        {
            const std::lock_guard lock(m_mutex);
            LoadBreaches out;
            out.overSlots = seen.overSlots;
            for (const auto& it : m_records) {
                const auto found = seen.runs.find(it.id);
                const uint64_t runs = found == seen.runs.end() ? 0 : found->second;
                const bool once = !m_plan.classes[it.requestClass].idempotent;
                out.doubled += once && runs > 1 ? 1 : 0;
                out.crossed += it.end == LoadEnd::Crossed ? 1 : 0;
                // An earlier sending of an idempotent request may have run before the connection broke.
                out.falseRefusals += it.end == LoadEnd::DidNotRun && runs > 0 && it.sends == 1 ? 1 : 0;
                out.lost
                    += it.end == LoadEnd::Answered && runs == 0 && seen.complete && !m_plan.executors.empty() ? 1 : 0;
            }
            return out;
        }

        static double milliseconds(std::vector<int64_t>& sorted, double quantile)
        {
            if (sorted.empty())
                return 0;
            std::sort(sorted.begin(), sorted.end());
            const auto place = static_cast<size_t>(quantile * static_cast<double>(sorted.size() - 1));
            return static_cast<double>(sorted[place]) / 1'000.0;
        }

        void report(const std::string& path, const LoadBreaches& breaches)
        {
            const std::lock_guard lock(m_mutex);
            std::map<std::pair<size_t, size_t>, LoadRow> rows;
            std::map<std::string, uint64_t> kinds;
            uint64_t cuts = 0;
            for (const auto& it : m_records) {
                auto& row = rows[{ it.account, it.requestClass }];
                ++row.sent;
                cuts += it.cuts;
                row.answered += it.end == LoadEnd::Answered ? 1 : 0;
                row.refused += it.end == LoadEnd::DidNotRun ? 1 : 0;
                row.mayHaveRun += it.end == LoadEnd::MayHaveRun ? 1 : 0;
                row.unknown += it.end == LoadEnd::Unknown ? 1 : 0;
                if (it.end == LoadEnd::Answered)
                    row.latenciesUs.push_back(it.latency.count());
                if (!it.kind.empty())
                    ++kinds[it.kind];
            }
            nlohmann::json out = { { "cuts", cuts }, { "kinds", kinds }, { "sent", m_records.size() },
                { "breaches",
                    { { "doubled", breaches.doubled }, { "crossed", breaches.crossed },
                        { "false_refusals", breaches.falseRefusals }, { "over_slots", breaches.overSlots },
                        { "lost", breaches.lost } } } };
            for (auto& [key, row] : rows) {
                out["rows"].push_back({ { "team", m_plan.accounts[key.first].name },
                    { "class", m_plan.classes[key.second].name }, { "sent", row.sent }, { "answered", row.answered },
                    { "refused", row.refused }, { "may_have_run", row.mayHaveRun }, { "unknown", row.unknown },
                    { "p50_ms", milliseconds(row.latenciesUs, 0.5) },
                    { "p99_ms", milliseconds(row.latenciesUs, 0.99) } });
            }
            if (path.empty())
                fmt::print("{}\n", out.dump(2));
            else
                std::ofstream(path) << out.dump(2) << "\n";
        }

        LoadPlan m_plan;
        Random m_random;
        SystemClock m_clock;
        std::mutex m_mutex;
        std::vector<LoadRecord> m_records; // guarded by m_mutex
        size_t m_open = 0; // guarded by m_mutex
        bool m_closed = false; // guarded by m_mutex
        std::atomic<size_t> m_nextServer = 0;
        HttpClient m_client;
    };

} // namespace
} // namespace teasel

int main(int argc, char** argv)
{
    std::string planPath;
    std::string reportPath;
    CLI::App app("A stand-in caller: open-loop load and a check of every request id.");
    app.add_option("--plan", planPath, "JSON file with the load to send")->required();
    app.add_option("--report", reportPath, "where to write the report; standard output if empty");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGTERM, [](int) { teasel::endRequested = true; });
    std::signal(SIGINT, [](int) { teasel::endRequested = true; });
    const auto plan = teasel::valueOrError([&] { return teasel::readLoadPlan(planPath); });
    if (const auto* error = std::get_if<teasel::Error>(&plan)) {
        fmt::print(stderr, "{}\n", error->message);
        return 64;
    }
    return teasel::Caller(std::get<0>(plan)).run(reportPath);
}
