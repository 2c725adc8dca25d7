// A placement leader and workers connected without faults, for unit tests.
#pragma once

#include "placement/placement_leader.h"
#include "placement/worker_agent.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace teasel {

inline schema::Resources resources(uint64_t milliCpus, uint64_t memoryMib, uint64_t accelerators = 0)
{
    schema::Resources it;
    it.set_milli_cpus(milliCpus);
    it.set_memory_mib(memoryMib);
    it.set_accelerators(accelerators);
    return it;
}

struct JobTemplate {
    std::string id;
    schema::JobKind kind = schema::JOB_KIND_BATCH;
    uint32_t tasks = 1;
    schema::Resources need = resources(1'000, 1'024);
    TeamId team = 1;
    uint32_t rank = 5;
    bool canCheckpoint = false;
    uint64_t runMs = 0;
    uint32_t minAvailable = 0;
    uint32_t maxAttempts = 0;
    std::string payload {};
    std::string selector {};
};

inline schema::JobRecord jobRecord(const JobTemplate& jobTemplate)
{
    schema::JobRecord record;
    record.set_id(jobTemplate.id);
    record.set_team_id(jobTemplate.team);
    record.set_data_centre("dc");
    record.set_phase(schema::JOB_PHASE_PENDING);
    auto& spec = *record.mutable_spec();
    spec.set_name(jobTemplate.id);
    spec.set_kind(jobTemplate.kind);
    spec.set_tasks(jobTemplate.tasks);
    *spec.mutable_resources() = jobTemplate.need;
    spec.set_rank(jobTemplate.rank);
    spec.set_can_checkpoint(jobTemplate.canCheckpoint);
    spec.set_run_ms(jobTemplate.runMs);
    spec.set_min_available(jobTemplate.minAvailable);
    spec.set_max_attempts(jobTemplate.maxAttempts);
    spec.set_payload(jobTemplate.payload);
    spec.set_selector(jobTemplate.selector);
    return record;
}

// A worker agent whose tasks run until the test or an order ends them.
struct FakeWorker {
    explicit FakeWorker(WorkerAgentOptions options)
        : agent(options)
        , name(options.name)
    {
    }

    void executeActions()
    {
        for (const auto& it : agent.takeActions())
            std::visit([&](const auto& action) { execute(action); }, it);
    }
    void execute(const RunTask& it)
    {
        if (failsEveryTask)
            return agent.onTaskEnded(it.key, schema::TASK_STATE_FAILED, "refused");
        agent.onTaskStarted(it.key);
        running.emplace(it.key, it.order);
        ++starts;
    }
    void execute(const EndTask& it)
    {
        if (it.checkpoint && hangingCheckpoints)
            return;
        running.erase(it.key);
        agent.onTaskEnded(it.key, it.checkpoint ? schema::TASK_STATE_CHECKPOINTED : schema::TASK_STATE_STOPPED);
    }
    void execute(const ThrottleTask& it) { throttled.insert(it.key); }
    void end(const AttemptKey& key, schema::TaskState state)
    {
        running.erase(key);
        agent.onTaskEnded(key, state);
    }

    WorkerAgent agent;
    std::string name;
    std::map<AttemptKey, schema::StartTask> running;
    std::set<AttemptKey> throttled;
    uint32_t starts = 0;
    bool failsEveryTask = false;
    bool hangingCheckpoints = false;
    bool disconnected = false;
};

// Drives a leader and its workers with a simulated clock in steps of 100 ms. Each worker reports every 500 ms.
class PlacementFixture {
public:
    static constexpr Milliseconds tick { 100 };

    explicit PlacementFixture(PlacementOptions options = {})
        : leader(withDataCentre(std::move(options)), names)
    {
        leader.onBecameLeader(1, now);
        setTeams({ { 1, 1.0 } });
    }

    static PlacementOptions withDataCentre(PlacementOptions options)
    {
        options.dataCentre = "dc";
        return options;
    }

    void setTeams(const std::map<TeamId, double>& shares)
    {
        std::vector<TaskTeamPolicy> teams;
        for (const auto& [id, share] : shares)
            teams.push_back({ id, share, resources(1'000'000'000, 1'000'000'000, 1'000'000) });
        leader.onTeams(teams, now);
    }

    size_t addWorker(const std::string& name, schema::Resources capacity = resources(4'000, 8'192),
        const std::string& rack = "rack-0", uint64_t incarnation = 1)
    {
        WorkerAgentOptions options;
        options.name = name;
        options.incarnation = incarnation;
        options.capacity = std::move(capacity);
        options.rack = rack;
        options.dataCentre = "dc";
        workers.emplace_back(options);
        return workers.size() - 1;
    }

    void addWorkers(size_t n, const schema::Resources& capacity = resources(4'000, 8'192), size_t perRack = 6)
    {
        for (size_t i = 0; i < n; ++i)
            addWorker(fmt::format("w{}", i), capacity, fmt::format("rack-{}", i / perRack));
    }

    void submit(const JobTemplate& jobTemplate) { update(jobRecord(jobTemplate)); }
    void update(const schema::JobRecord& record)
    {
        records[record.id()] = record;
        leader.onJobs(std::vector { record }, now);
    }

    // Replaces the leader by one with the given epoch, and passes all job records to it.
    void changeLeader(Epoch epoch)
    {
        leader.onLostLeadership(now);
        leader.onBecameLeader(epoch, now);
        std::vector<schema::JobRecord> all;
        for (const auto& [id, record] : records)
            all.push_back(record);
        leader.onJobs(all, now, { .replacesAll = true });
    }

    // Applies the progress that the leader reports to the records, and passes them back.
    void commit()
    {
        for (const auto& it : leader.takeActions()) {
            const auto& progress = std::get<ReportProgress>(it).progress;
            auto& record = records[progress.id()];
            for (const auto index : progress.finished_tasks())
                record.add_finished_tasks(index);
            if (progress.phase() != schema::JOB_PHASE_UNSPECIFIED)
                record.set_phase(progress.phase());
            record.set_reason(progress.reason());
            leader.onJobs(std::vector { record }, now);
        }
    }

    void exchangeReport(FakeWorker& worker)
    {
        worker.agent.onTick(now);
        worker.executeActions();
        if (worker.disconnected)
            return;
        const auto report = worker.agent.makeReport(now);
        const auto orders = leader.onReport(report, now);
        worker.agent.onOrders(orders, now, now);
        worker.executeActions();
    }

    void run(Milliseconds time)
    {
        for (Milliseconds elapsed { 0 }; elapsed < time; elapsed += tick) {
            now += tick;
            ++ticks;
            for (size_t i = 0; i < workers.size(); ++i) {
                if ((ticks + i) % 5 == 0)
                    exchangeReport(workers[i]);
            }
            leader.onTick(now);
            commit();
        }
    }
    void waitForRecovery() { run(Milliseconds(11'000)); }

    // Number of running attempts of a job on all workers.
    size_t running(const std::string& job) const
    {
        size_t n = 0;
        for (const auto& worker : workers) {
            for (const auto& [key, order] : worker.running)
                n += key.job == job ? 1 : 0;
        }
        return n;
    }

    void endTasks(const std::string& job, schema::TaskState state)
    {
        for (auto& worker : workers) {
            std::vector<AttemptKey> keys;
            for (const auto& [key, order] : worker.running) {
                if (key.job == job)
                    keys.push_back(key);
            }
            for (const auto& key : keys)
                worker.end(key, state);
        }
    }

    Instant now { std::chrono::seconds(1'000) };
    uint64_t ticks = 0;
    NameTable names;
    PlacementLeader leader;
    std::vector<FakeWorker> workers;
    std::map<std::string, schema::JobRecord> records;
};

} // namespace teasel
