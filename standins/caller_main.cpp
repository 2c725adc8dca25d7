// Stand-in for callers: sends an open-loop mix of requests to the entry instances and compares the outcome of every
// request id with the runs that the executors counted.
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
    constexpr unsigned maxSends = 6;
    constexpr Milliseconds responseTimeoutMargin { 3'000 };
    constexpr Milliseconds finalAnswersTimeout { 8'000 };

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
            const auto violations = check(queryExecutors());
            report(reportPath, violations);
            m_client.stop();
            return violations.total() == 0 ? 0 : 1;
        }

    private:
        template <class T> size_t pickWeighted(const std::vector<T>& from)
        {
            double total = 0;
            for (const auto& it : from)
                total += it.weight;
            auto remaining = m_random.unit() * total;
            for (size_t k = 0; k < from.size(); ++k) {
                remaining -= from[k].weight;
                if (remaining < 0)
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
                const auto sendAt = start + Duration(static_cast<int64_t>(static_cast<double>(k) * 1e6 / m_plan.rate));
                while (m_clock.now() < sendAt)
                    std::this_thread::sleep_for(std::min<Duration>(sendAt - m_clock.now(), Milliseconds(1)));
                size_t index = 0;
                {
                    const std::lock_guard lock(m_mutex);
                    LoadRecord record;
                    record.id = fmt::format("r{}-{}", m_plan.seed, k);
                    record.accountIndex = pickWeighted(m_plan.accounts);
                    record.classIndex = pickWeighted(m_plan.classes);
                    index = m_records.size();
                    m_records.push_back(std::move(record));
                    ++m_pendingCount;
                }
                send(index, m_clock.now());
            }
        }

        void send(size_t index, Instant start)
        {
            HttpCall call;
            {
                const std::lock_guard lock(m_mutex);
                auto& record = m_records[index];
                ++record.sends;
                const auto& requestClass = m_plan.classes[record.classIndex];
                const auto& account = m_plan.accounts[record.accountIndex];
                record.lastServer = m_plan.servers[m_nextServer++ % m_plan.servers.size()];
                call.url = fmt::format("http://{}/v1/requests/{}", record.lastServer, requestClass.name);
                call.headers = { { "Teasel-Request-Id", record.id },
                    { "Teasel-Deadline-Ms", std::to_string(requestClass.deadlineMs) } };
                if (!account.key.empty())
                    call.headers.emplace_back("Authorization", "Bearer " + account.key);
                if (!requestClass.selector.empty())
                    call.headers.emplace_back("Teasel-Selector", requestClass.selector);
                call.timeout = Milliseconds(requestClass.deadlineMs) + responseTimeoutMargin;
                call.body = std::make_shared<const std::string>(bodyOf(record));
            }
            m_client.start(
                std::move(call), [this, index, start](const HttpOutcome& it) { onCallOutcome(index, start, it); });
        }

        std::string bodyOf(const LoadRecord& record) const
        {
            const auto& requestClass = m_plan.classes[record.classIndex];
            std::string body = record.id;
            body.resize(std::max<size_t>(requestClass.bodyBytes, body.size()), 'x');
            return body;
        }

        void onCallOutcome(size_t index, Instant start, const HttpOutcome& outcome)
        {
            bool retry = false;
            {
                const std::lock_guard lock(m_mutex);
                auto& record = m_records[index];
                record.latency = m_clock.now() - start;
                if (outcome.result == HttpCallResult::Answered) {
                    classifyAnswer(record, outcome);
                } else {
                    if (outcome.result != HttpCallResult::ConnectFailed) {
                        m_brokenConnections.push_back(
                            { record.id, record.lastServer, outcome.error, m_clock.wallNow(), outcome.duration });
                    }
                    retry = record.sends < maxSends && !m_retriesDisabled;
                }
                if (!retry)
                    --m_pendingCount;
            }
            if (retry)
                send(index, start);
        }

        void classifyAnswer(LoadRecord& record, const HttpOutcome& outcome) const
        {
            const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
            if (json.is_discarded()) {
                record.outcome = LoadOutcome::MayHaveRun;
                record.refusalKind = fmt::format("status_{}", outcome.status);
                return;
            }
            if (json.contains("kind")) {
                record.refusalKind = json.value("kind", "");
                record.outcome
                    = json.value("run", "") == "did_not_run" ? LoadOutcome::DidNotRun : LoadOutcome::MayHaveRun;
                return;
            }
            const auto body = bodyOf(record);
            const auto hash = fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
            const bool isOwnAnswer = json.value("request_id", "") == record.id && json.value("body_hash", "") == hash;
            record.outcome = isOwnAnswer ? LoadOutcome::Answered : LoadOutcome::WrongAnswer;
        }

        void waitForAnswers()
        {
            const auto until = m_clock.now() + finalAnswersTimeout;
            while (m_clock.now() < until) {
                {
                    const std::lock_guard lock(m_mutex);
                    if (m_pendingCount == 0)
                        break;
                }
                std::this_thread::sleep_for(Milliseconds(20));
            }
            const std::lock_guard lock(m_mutex);
            m_retriesDisabled = true;
        }

        ExecutorRuns queryExecutors()
        {
            ExecutorRuns executorRuns;
            for (const auto& it : m_plan.executors) {
                std::promise<HttpOutcome> promise;
                HttpCall call;
                call.url = "http://" + it + "/runs";
                call.body = std::make_shared<const std::string>();
                call.timeout = Milliseconds(5'000);
                m_client.start(std::move(call), [&](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
                const auto outcome = promise.get_future().get();
                const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
                if (outcome.result != HttpCallResult::Answered || json.is_discarded()) {
                    executorRuns.complete = false;
                    continue;
                }
                for (const auto& [id, count] : json.at("runs").items())
                    executorRuns.runs[id] += count.get<uint64_t>();
                executorRuns.overSlots += json.value("over_slots", uint64_t { 0 });
            }
            return executorRuns;
        }

        LoadViolations check(const ExecutorRuns& executorRuns)
        {
            const std::lock_guard lock(m_mutex);
            LoadViolations out;
            out.overSlots = executorRuns.overSlots;
            for (const auto& it : m_records) {
                const auto entry = executorRuns.runs.find(it.id);
                const uint64_t runs = entry == executorRuns.runs.end() ? 0 : entry->second;
                const bool once = !m_plan.classes[it.classIndex].idempotent;
                out.duplicateRuns += once && runs > 1 ? 1 : 0;
                out.wrongAnswers += it.outcome == LoadOutcome::WrongAnswer ? 1 : 0;
                // If it was sent more than once, an earlier send may have run before its connection broke.
                out.falseRefusals += it.outcome == LoadOutcome::DidNotRun && runs > 0 && it.sends == 1 ? 1 : 0;
                out.answeredWithoutRun += it.outcome == LoadOutcome::Answered && runs == 0 && executorRuns.complete
                        && !m_plan.executors.empty()
                    ? 1
                    : 0;
            }
            return out;
        }

        static double quantileMs(std::vector<int64_t>& latenciesUs, double quantile)
        {
            if (latenciesUs.empty())
                return 0;
            std::sort(latenciesUs.begin(), latenciesUs.end());
            const auto index = static_cast<size_t>(quantile * static_cast<double>(latenciesUs.size() - 1));
            return static_cast<double>(latenciesUs[index]) / 1'000.0;
        }

        nlohmann::json brokenConnections() const
        {
            auto out = nlohmann::json::array();
            for (const auto& it : m_brokenConnections)
                out.push_back({ { "request_id", it.requestId }, { "server", it.server }, { "error", it.error },
                    { "broken_at_ms", it.brokenAt.time_since_epoch().count() },
                    { "duration_ms", std::chrono::duration<double, std::milli>(it.duration).count() } });
            return out;
        }

        void report(const std::string& path, const LoadViolations& violations)
        {
            const std::lock_guard lock(m_mutex);
            std::map<std::pair<size_t, size_t>, LoadRow> rows;
            std::map<std::string, uint64_t> refusalKinds;
            for (const auto& it : m_records) {
                auto& row = rows[{ it.accountIndex, it.classIndex }];
                ++row.sent;
                row.answered += it.outcome == LoadOutcome::Answered ? 1 : 0;
                row.refused += it.outcome == LoadOutcome::DidNotRun ? 1 : 0;
                row.mayHaveRun += it.outcome == LoadOutcome::MayHaveRun ? 1 : 0;
                row.unknown += it.outcome == LoadOutcome::Unknown ? 1 : 0;
                if (it.outcome == LoadOutcome::Answered)
                    row.latenciesUs.push_back(it.latency.count());
                if (!it.refusalKind.empty())
                    ++refusalKinds[it.refusalKind];
            }
            nlohmann::json out = { { "cuts", m_brokenConnections.size() }, { "cut_details", brokenConnections() },
                { "kinds", refusalKinds }, { "sent", m_records.size() },
                { "breaches",
                    { { "doubled", violations.duplicateRuns }, { "crossed", violations.wrongAnswers },
                        { "false_refusals", violations.falseRefusals }, { "over_slots", violations.overSlots },
                        { "lost", violations.answeredWithoutRun } } } };
            for (auto& [key, row] : rows) {
                out["rows"].push_back({ { "team", m_plan.accounts[key.first].name },
                    { "class", m_plan.classes[key.second].name }, { "sent", row.sent }, { "answered", row.answered },
                    { "refused", row.refused }, { "may_have_run", row.mayHaveRun }, { "unknown", row.unknown },
                    { "p50_ms", quantileMs(row.latenciesUs, 0.5) }, { "p99_ms", quantileMs(row.latenciesUs, 0.99) } });
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
        std::vector<BrokenConnection> m_brokenConnections; // guarded by m_mutex
        size_t m_pendingCount = 0; // guarded by m_mutex
        bool m_retriesDisabled = false; // guarded by m_mutex
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
