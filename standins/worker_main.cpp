// Stand-in for a worker: reports to the entry instances, simulates tasks for their declared run time under the lease of
// the worker agent, and writes every start and end to a journal that the tests read.
#include "core/clock.h"
#include "core/random.h"
#include "placement/worker_agent.h"
#include "standins/announcer.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace teasel {
namespace {

    std::atomic<bool> endRequested = false;
    // A longer gap between lease checks means that the process was suspended.
    constexpr Milliseconds maxCheckGap { 500 };

    struct WorkerOptions {
        WorkerAgentOptions agent;
        std::vector<std::string> entries;
        std::vector<std::string> labels; // key=value
        std::string journal; // file for starts and ends of tasks, one per line
        double failRate = 0; // fraction of tasks that fail
        uint64_t seed = 1;
    };

    class Worker {
    public:
        explicit Worker(WorkerOptions options)
            : m_options(std::move(options))
            , m_random(m_options.seed)
            , m_agent(m_options.agent)
            , m_announcer(
                  m_options.entries, "/v1/workers/report", [this] { return report(); },
                  [this](const std::string& body, Instant sentAt) { onReply(body, sentAt); })
        {
            if (!m_options.journal.empty())
                m_journal = std::fopen(m_options.journal.c_str(), "a");
        }

        ~Worker()
        {
            if (m_journal != nullptr)
                std::fclose(m_journal);
        }
        Worker(const Worker&) = delete;
        Worker& operator=(const Worker&) = delete;

        int run()
        {
            m_announcer.start();
            while (!endRequested) {
                std::this_thread::sleep_for(Milliseconds(10));
                const std::lock_guard lock(m_mutex);
                checkLease();
                endFinishedTasks();
            }
            m_announcer.stop();
            return 0;
        }

    private:
        struct TaskRun {
            AttemptKey key;
            Instant end;
            bool runsUntilStopped = false;
            bool willFail = false;
            schema::Resources resources;
            Instant start;
        };

        // Must run before anything else on every thread. No task ran while the process was suspended, so ends detected
        // after the resume are dated to the last check before it.
        void checkLease()
        {
            const auto now = m_clock.now();
            m_suspendedSince = now - m_lastCheck > maxCheckGap ? m_lastCheck : Instant {};
            m_agent.onTick(now);
            executeActions();
            m_suspendedSince = {};
            m_lastCheck = now;
        }

        std::string report()
        {
            const std::lock_guard lock(m_mutex);
            checkLease();
            const auto now = m_clock.now();
            for (const auto& [name, it] : m_running) {
                const auto ran = std::chrono::duration_cast<Milliseconds>(now - it.start).count();
                m_agent.onUsage(it.key, it.resources, static_cast<uint64_t>(ran));
            }
            std::string body;
            static_cast<void>(google::protobuf::util::MessageToJsonString(m_agent.makeReport(now), &body));
            return body;
        }

        void onReply(const std::string& body, Instant sentAt)
        {
            schema::WorkerOrders orders;
            if (!google::protobuf::util::JsonStringToMessage(body, &orders).ok())
                return;
            const std::lock_guard lock(m_mutex);
            checkLease();
            m_agent.onOrders(orders, sentAt, m_clock.now());
            executeActions();
        }

        void executeActions()
        {
            for (auto& it : m_agent.takeActions()) {
                if (auto* start = std::get_if<RunTask>(&it))
                    runTask(*start);
                else if (auto* end = std::get_if<EndTask>(&it))
                    endTask(end->key, end->checkpoint ? schema::TASK_STATE_CHECKPOINTED : schema::TASK_STATE_STOPPED);
            }
        }

        static std::string attemptName(const AttemptKey& key)
        {
            return fmt::format("{} {} {}.{}", key.job, key.index, key.attempt.epoch, key.attempt.number);
        }

        void writeJournal(std::string_view event, const AttemptKey& key)
        {
            if (m_journal == nullptr)
                return;
            const auto at = m_suspendedSince == Instant {} ? m_clock.now() : m_suspendedSince;
            fmt::print(m_journal, "{} {} {} {}\n", at.time_since_epoch().count(), event, m_options.agent.name,
                attemptName(key));
            std::fflush(m_journal);
        }

        void runTask(const RunTask& action)
        {
            TaskRun it;
            it.key = action.key;
            it.start = m_clock.now();
            it.runsUntilStopped = action.order.run_ms() == 0;
            it.end = it.start + Milliseconds(static_cast<int64_t>(action.order.run_ms()));
            it.willFail = m_random.chance(m_options.failRate);
            it.resources = action.order.resources();
            m_running[attemptName(it.key)] = it;
            writeJournal("start", it.key);
            m_agent.onTaskStarted(it.key);
        }

        void endTask(const AttemptKey& key, schema::TaskState state)
        {
            if (m_running.erase(attemptName(key)) == 0)
                return;
            writeJournal(state == schema::TASK_STATE_SUCCEEDED ? "done" : "stop", key);
            m_agent.onTaskEnded(key, state);
        }

        void endFinishedTasks()
        {
            const auto now = m_clock.now();
            std::vector<TaskRun> finished;
            for (const auto& [name, it] : m_running) {
                if (it.willFail || (!it.runsUntilStopped && it.end <= now))
                    finished.push_back(it);
            }
            for (const auto& it : finished)
                endTask(it.key, it.willFail ? schema::TASK_STATE_FAILED : schema::TASK_STATE_SUCCEEDED);
        }

        WorkerOptions m_options;
        SystemClock m_clock;
        Random m_random;
        std::mutex m_mutex;
        WorkerAgent m_agent;
        std::map<std::string, TaskRun> m_running;
        std::FILE* m_journal = nullptr;
        Instant m_lastCheck = SystemClock().now();
        Instant m_suspendedSince {}; // set while ends are journaled whose detection a suspension of the process delayed
        Announcer m_announcer;
    };

} // namespace
} // namespace teasel

int main(int argc, char** argv)
{
    teasel::WorkerOptions options;
    uint64_t cpus = 32;
    uint64_t memoryGib = 128;
    uint64_t accelerators = 0;
    CLI::App app("A stand-in worker.");
    app.add_option("--name", options.agent.name)->required();
    app.add_option("--scheme", options.agent.scheme);
    app.add_option("--rack", options.agent.rack);
    app.add_option("--data-centre", options.agent.dataCentre);
    app.add_option("--entry", options.entries, "host:port of an entry instance; may be repeated")->required();
    app.add_option("--label", options.labels, "key=value; may be repeated");
    app.add_option("--cpus", cpus, "cores");
    app.add_option("--memory-gib", memoryGib);
    app.add_option("--accelerators", accelerators);
    app.add_option("--journal", options.journal, "file for starts and ends of tasks");
    app.add_option("--fail-rate", options.failRate);
    app.add_option("--seed", options.seed);
    CLI11_PARSE(app, argc, argv);
    options.agent.capacity.set_milli_cpus(cpus * 1'000);
    options.agent.capacity.set_memory_mib(memoryGib * 1'024);
    options.agent.capacity.set_accelerators(accelerators);
    options.agent.incarnation = static_cast<uint64_t>(teasel::SystemClock().wallNow().time_since_epoch().count());
    for (const auto& label : options.labels) {
        const auto separator = label.find('=');
        teasel::schema::Label added;
        added.set_key(label.substr(0, separator));
        added.set_value(label.substr(separator + 1));
        options.agent.labels.push_back(std::move(added));
    }
    std::signal(SIGTERM, [](int) { teasel::endRequested = true; });
    std::signal(SIGINT, [](int) { teasel::endRequested = true; });
    return teasel::Worker(std::move(options)).run();
}
