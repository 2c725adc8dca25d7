// Seeded simulation of two placement leaders and their workers with injected faults: lost, delayed and
// duplicated messages, pauses, crashes, partitions, false reports and leader changes.
//
// TEASEL_SEEDS is the number of seeds, TEASEL_FIRST_SEED the first one.
#include "core/invariant.h"
#include "core/random.h"
#include "placement_fixture.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <memory>
#include <stdexcept>

using namespace teasel;

namespace {

constexpr Milliseconds step { 50 };
constexpr Milliseconds faultTime { 60'000 };
constexpr Milliseconds recoveryTime { 150'000 };
constexpr Milliseconds leadershipLease { 1'000 };
constexpr Milliseconds longestPartialGang { 15'000 };
constexpr size_t workerCount = 8;
constexpr TeamId teamCount = 3;
const schema::Resources workerCapacity = resources(8'000, 16'000);
const ResourceVector teamPortion { { 36'000, 80'000, 0 } };

struct Summary {
    std::map<std::string, uint64_t> counts;
    void add(const std::string& what, uint64_t n = 1) { counts[what] += n; }
};

struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct RunningTask {
    schema::StartTask order;
    Instant endsAt {};
    Instant stopsAt { Instant::max() };
    schema::TaskState endState = schema::TASK_STATE_SUCCEEDED;
};

struct SimWorker {
    WorkerAgentOptions options;
    std::unique_ptr<WorkerAgent> agent;
    std::map<AttemptKey, RunningTask> running;
    std::vector<std::function<void()>> inbox; // messages received while paused
    Instant nextReport {};
    Instant pausedUntil {};
    Instant crashedUntil {};
    Instant partitionedUntil {};
    Instant failingUntil {};
    Instant misreportingUntil {};
    bool alive = true;
    bool paused = false;
};

struct SimLeader {
    explicit SimLeader(const PlacementOptions& options)
        : placement(std::make_unique<PlacementLeader>(options, names))
    {
    }
    NameTable names;
    std::unique_ptr<PlacementLeader> placement;
    std::vector<std::function<void()>> inbox;
    Instant pausedUntil {};
    Instant authorityEnd {};
    bool renewsLease = false; // whether the simulation keeps extending its leadership lease
    bool paused = false;
};

class Simulation {
public:
    Simulation(uint64_t seed, Summary& summary)
        : m_random(seed)
        , m_summary(summary)
    {
        PlacementOptions options;
        options.dataCentre = "dc";
        options.workerLease = Milliseconds(4'000);
        options.seed = seed;
        options.defaultMaxAttempts = 40;
        for (int i = 0; i < 2; ++i)
            m_leaders.push_back(std::make_unique<SimLeader>(options));
        for (size_t i = 0; i < workerCount; ++i)
            addWorker(i);
        makeLeader(0);
    }

    void run()
    {
        submitServices();
        const Instant healAt = m_now + faultTime;
        while (m_now < healAt)
            advance(true);
        heal();
        const Instant end = m_now + recoveryTime;
        while (m_now < end && !allComplete())
            advance(false);
        require(allComplete(), "jobs not completed after the faults were healed: " + describeIncomplete());
        m_summary.add(
            "placements", m_leaders[0]->placement->stats().placements + m_leaders[1]->placement->stats().placements);
        for (const auto& it : m_leaders)
            recordStats(it->placement->stats());
    }

private:
    void recordStats(const PlacementStats& stats)
    {
        m_summary.add("adopted", stats.tasksAdopted);
        m_summary.add("lost", stats.tasksLost);
        m_summary.add("conflicts", stats.conflictsResolved);
        m_summary.add("preemptions", stats.preemptions);
        m_summary.add("gangs", stats.gangsPlaced);
        m_summary.add("gang restarts", stats.gangRestarts);
        m_summary.add("backfills", stats.backfills);
        m_summary.add("quarantines", stats.quarantines);
        m_summary.add("moves", stats.moves);
        m_summary.add("succeeded", stats.tasksSucceeded);
        m_summary.add("stale reports", stats.staleReports);
    }

    static void require(bool holds, const std::string& what)
    {
        if (!holds)
            throw InvariantViolation(what);
    }

    void schedule(Milliseconds delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }
    Milliseconds randomDelay(int64_t ms)
    {
        return Milliseconds(static_cast<int64_t>(m_random.below(static_cast<uint64_t>(ms))));
    }

    void addWorker(size_t i)
    {
        SimWorker worker;
        worker.options.name = fmt::format("w{}", i);
        worker.options.capacity = workerCapacity;
        worker.options.rack = fmt::format("rack-{}", i / 2);
        worker.options.dataCentre = "dc";
        worker.agent = std::make_unique<WorkerAgent>(worker.options);
        m_workers.push_back(std::move(worker));
    }

    // ---- Leaders and the fleet state ----

    void makeLeader(size_t who)
    {
        m_currentLeader = who;
        auto& leader = *m_leaders[who];
        leader.renewsLease = true;
        leader.placement->onBecameLeader(++m_epoch, m_now);
        std::vector<TaskTeamPolicy> teams;
        for (TeamId id = 1; id <= teamCount; ++id)
            teams.push_back({ id, static_cast<double>(id), toMessage(teamPortion) });
        leader.placement->onTeams(teams, m_now);
        extendAuthority(leader);
        schedule(randomDelay(2'000), [this, who] { sendAllRecords(who); });
    }

    void sendAllRecords(size_t who)
    {
        std::vector<schema::JobRecord> all;
        for (const auto& [id, record] : m_records)
            all.push_back(record);
        m_leaders[who]->placement->onJobs(all, m_now, { .replacesAll = true });
    }

    void extendAuthority(SimLeader& leader)
    {
        leader.authorityEnd = m_now + leadershipLease;
        leader.placement->onLeadershipLease(leader.authorityEnd);
    }

    void changeRecord(const std::string& id, const std::function<void(schema::JobRecord&)>& change)
    {
        change(m_records[id]);
        schedule(randomDelay(600),
            [this, id] { m_leaders[m_currentLeader]->placement->onJobs(std::vector { m_records[id] }, m_now); });
    }

    void commit(const schema::JobProgress& progress)
    {
        schedule(randomDelay(500), [this, progress] {
            if (m_random.chance(0.1))
                return; // simulates a lost proposal
            changeRecord(progress.id(), [&](schema::JobRecord& record) {
                if (isTerminal(record.phase()))
                    return;
                for (const auto index : progress.finished_tasks()) {
                    const auto& finished = record.finished_tasks();
                    if (std::find(finished.begin(), finished.end(), index) == finished.end())
                        record.add_finished_tasks(index);
                }
                if (progress.phase() != schema::JOB_PHASE_UNSPECIFIED)
                    record.set_phase(progress.phase());
                record.set_reason(progress.reason());
            });
        });
    }

    void tickLeaders()
    {
        for (auto& it : m_leaders) {
            if (it->paused && m_now >= it->pausedUntil) {
                it->paused = false;
                for (const auto& action : std::exchange(it->inbox, {}))
                    action();
            }
            if (it->paused)
                continue;
            const bool isCurrent = it.get() == m_leaders[m_currentLeader].get();
            if (isCurrent && it->renewsLease)
                extendAuthority(*it);
            it->placement->onTick(m_now);
            for (const auto& action : it->placement->takeActions())
                commit(std::get<ReportProgress>(action).progress);
        }
    }

    void changeLeader(bool pauseOld)
    {
        if (m_changing)
            return;
        m_changing = true;
        const size_t old = m_currentLeader;
        auto& leader = *m_leaders[old];
        if (pauseOld) {
            leader.paused = true;
            leader.pausedUntil = m_now + Milliseconds(1'000) + randomDelay(8'000);
            m_summary.add("paused leaders");
        } else {
            leader.placement->onLostLeadership(m_now);
            m_summary.add("leadership transfers");
        }
        leader.renewsLease = false;
        const auto wait = std::chrono::duration_cast<Milliseconds>(std::max(leader.authorityEnd, m_now) - m_now);
        schedule(wait + randomDelay(1'500) + Milliseconds(1), [this, old] {
            m_changing = false;
            const size_t other = 1 - old;
            makeLeader(m_leaders[other]->paused ? old : other);
            // The previous leader is notified of its loss of leadership late.
            schedule(randomDelay(9'000), [this, old] {
                if (m_currentLeader != old && !m_leaders[old]->paused)
                    m_leaders[old]->placement->onLostLeadership(m_now);
            });
        });
    }

    // ---- Jobs ----

    void submit(const JobTemplate& jobTemplate)
    {
        m_records[jobTemplate.id] = jobRecord(jobTemplate);
        changeRecord(jobTemplate.id, [](schema::JobRecord&) {});
        m_summary.add("jobs");
    }

    JobTemplate randomJob(schema::JobKind kind, uint32_t tasks)
    {
        JobTemplate jobTemplate;
        jobTemplate.id = fmt::format("{}-{}", kind == schema::JOB_KIND_GANG ? "gang" : "batch", m_nextJob++);
        jobTemplate.kind = kind;
        jobTemplate.tasks = tasks;
        jobTemplate.need = resources(500 * (1 + m_random.below(4)), 1'000 * (1 + m_random.below(3)));
        jobTemplate.team = static_cast<TeamId>(1 + m_random.below(teamCount));
        jobTemplate.rank = static_cast<uint32_t>(m_random.below(3));
        jobTemplate.canCheckpoint = m_random.chance(0.5);
        jobTemplate.runMs = 2'000 + m_random.below(10'000);
        // Some jobs are restricted to some of the four racks.
        if (m_random.chance(0.2))
            jobTemplate.selector
                = m_random.chance(0.5) ? "rack in (rack-0, rack-1)" : "not exists gpu and rack != rack-3";
        return jobTemplate;
    }

    void submitServices()
    {
        for (TeamId team = 1; team <= teamCount; ++team) {
            JobTemplate jobTemplate;
            jobTemplate.id = fmt::format("service-{}", team);
            jobTemplate.kind = schema::JOB_KIND_SERVICE;
            jobTemplate.tasks = 3;
            jobTemplate.team = team;
            jobTemplate.minAvailable = 2;
            jobTemplate.need = resources(1'000, 2'000);
            submit(jobTemplate);
        }
    }

    void submitRandomChanges()
    {
        if (m_random.chance(0.02))
            submit(randomJob(schema::JOB_KIND_BATCH, static_cast<uint32_t>(1 + m_random.below(12))));
        if (m_random.chance(0.004))
            submit(randomJob(schema::JOB_KIND_GANG, static_cast<uint32_t>(2 + m_random.below(6))));
        if (m_random.chance(0.004) && !m_records.empty()) {
            auto it = std::next(m_records.begin(), static_cast<int64_t>(m_random.below(m_records.size())));
            if (it->second.spec().kind() == schema::JOB_KIND_SERVICE || isTerminal(it->second.phase()))
                return;
            changeRecord(it->first, [](auto& record) { record.set_phase(schema::JOB_PHASE_CANCELLED); });
            m_summary.add("cancellations");
        }
        if (m_random.chance(0.002)) {
            changeRecord(fmt::format("service-{}", 1 + m_random.below(teamCount)),
                [this](auto& record) { record.mutable_spec()->set_payload(fmt::format("v{}", m_nextJob++)); });
            m_summary.add("rolling updates");
        }
    }

    // ---- Faults ----

    void injectFaults()
    {
        if (m_random.chance(0.003))
            changeLeader(m_random.chance(0.6));
        auto& worker = m_workers[m_random.below(workerCount)];
        const bool busy = !worker.alive || worker.paused || m_now < worker.partitionedUntil;
        if (busy || !m_random.chance(0.02))
            return;
        switch (m_random.below(6)) {
        case 0:
            worker.paused = true;
            worker.pausedUntil = m_now + randomDelay(12'000);
            return m_summary.add("paused workers");
        case 1:
            worker.alive = false;
            worker.running.clear();
            worker.crashedUntil = m_now + randomDelay(12'000);
            return m_summary.add("crashed workers");
        case 2:
            worker.partitionedUntil = m_now + randomDelay(12'000);
            return m_summary.add("partitions");
        case 3:
            worker.failingUntil = m_now + randomDelay(8'000);
            return m_summary.add("failing workers");
        case 4:
            worker.misreportingUntil = m_now + randomDelay(8'000);
            return m_summary.add("misreporting workers");
        default:
            worker.agent->setLeaving(true);
            schedule(randomDelay(8'000), [&worker] { worker.agent->setLeaving(false); });
            return m_summary.add("drains");
        }
    }

    void heal()
    {
        m_healed = true;
        for (auto& it : m_workers) {
            it.pausedUntil = it.crashedUntil = it.partitionedUntil = it.failingUntil = it.misreportingUntil = m_now;
            it.agent->setLeaving(false);
        }
        for (auto& it : m_leaders)
            it->pausedUntil = m_now;
    }

    // ---- Workers ----

    void tickWorkers()
    {
        for (auto& it : m_workers) {
            if (!it.alive && m_now >= it.crashedUntil) {
                it.alive = true;
                ++it.options.incarnation;
                it.agent = std::make_unique<WorkerAgent>(it.options);
            }
            if (it.paused && m_now >= it.pausedUntil)
                resume(it);
            if (it.alive && !it.paused)
                tickWorker(it);
        }
    }

    // Tasks are suspended with their worker, and continue only after its agent has checked the lease.
    void resume(SimWorker& worker)
    {
        worker.paused = false;
        worker.agent->onTick(m_now);
        executeActions(worker, true);
        for (const auto& action : std::exchange(worker.inbox, {}))
            action();
    }

    void tickWorker(SimWorker& worker)
    {
        worker.agent->onTick(m_now);
        executeActions(worker, false);
        for (auto it = worker.running.begin(); it != worker.running.end();) {
            const auto [key, task] = *it;
            ++it;
            const bool stops = m_now >= task.stopsAt;
            if (!stops && m_now < task.endsAt)
                continue;
            worker.running.erase(key);
            worker.agent->onTaskEnded(key, stops ? task.endState : schema::TASK_STATE_SUCCEEDED);
        }
        if (m_now >= worker.nextReport)
            report(worker);
    }

    void executeActions(SimWorker& worker, bool immediately)
    {
        for (const auto& it : worker.agent->takeActions()) {
            if (const auto* run = std::get_if<RunTask>(&it))
                startTask(worker, *run);
            else if (const auto* end = std::get_if<EndTask>(&it))
                endTask(worker, *end, immediately);
        }
    }

    void startTask(SimWorker& worker, const RunTask& it)
    {
        if (m_now < worker.failingUntil)
            return worker.agent->onTaskEnded(it.key, schema::TASK_STATE_FAILED, "faulty worker");
        worker.agent->onTaskStarted(it.key);
        RunningTask task;
        task.order = it.order;
        const auto runMs = static_cast<int64_t>(it.order.run_ms());
        // The actual run time is between half and twice the declared one.
        task.endsAt = runMs == 0 ? Instant::max() : m_now + Milliseconds(runMs / 2) + randomDelay(runMs * 3 / 2);
        worker.running.emplace(it.key, task);
        m_summary.add("starts");
    }

    void endTask(SimWorker& worker, const EndTask& it, bool immediately)
    {
        auto found = worker.running.find(it.key);
        if (found == worker.running.end())
            return;
        const Milliseconds stopDelay
            = immediately ? Milliseconds(0) : (it.checkpoint ? randomDelay(2'000) : randomDelay(200));
        found->second.stopsAt = std::min(found->second.stopsAt, m_now + stopDelay);
        found->second.endState = it.checkpoint ? schema::TASK_STATE_CHECKPOINTED : schema::TASK_STATE_STOPPED;
        if (immediately) {
            worker.running.erase(found);
            worker.agent->onTaskEnded(it.key, schema::TASK_STATE_STOPPED);
        }
    }

    Milliseconds delay() { return m_healed || !m_random.chance(0.1) ? randomDelay(100) : randomDelay(6'000); }
    bool dropped() { return !m_healed && m_random.chance(0.05); }

    void report(SimWorker& worker)
    {
        worker.nextReport = m_now + Milliseconds(400) + randomDelay(200);
        auto message = worker.agent->makeReport(m_now);
        executeActions(worker, false);
        if (m_now < worker.misreportingUntil && message.tasks_size() > 0)
            falsifyReport(message);
        // Some reports are still sent to the previous leader.
        const size_t to = m_healed || m_random.chance(0.9) ? m_currentLeader : 1 - m_currentLeader;
        const int copies = !m_healed && m_random.chance(0.05) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_now < worker.partitionedUntil || dropped())
                continue;
            schedule(
                delay(), [this, &worker, message, to, sentAt = m_now] { receiveReport(worker, message, to, sentAt); });
        }
    }

    // Omits a task from the report, or reports an old attempt at it as running.
    void falsifyReport(schema::WorkerReport& message)
    {
        auto& tasks = *message.mutable_tasks();
        const int chosen = static_cast<int>(m_random.below(static_cast<uint64_t>(tasks.size())));
        if (m_random.chance(0.5)) {
            tasks.DeleteSubrange(chosen, 1);
        } else {
            auto copy = tasks.Get(chosen);
            copy.set_attempt(copy.attempt() > 0 ? copy.attempt() - 1 : 0);
            copy.set_state(schema::TASK_STATE_RUNNING);
            *tasks.Add() = copy;
        }
        m_summary.add("false reports");
    }

    void receiveReport(SimWorker& worker, const schema::WorkerReport& message, size_t to, Instant sentAt)
    {
        auto& leader = *m_leaders[to];
        if (leader.paused) {
            leader.inbox.emplace_back(
                [this, &worker, message, to, sentAt] { receiveReport(worker, message, to, sentAt); });
            return;
        }
        const auto orders = leader.placement->onReport(message, m_now);
        if (m_now < worker.partitionedUntil || dropped())
            return;
        schedule(delay(), [this, &worker, orders, sentAt] { deliverOrders(worker, orders, sentAt); });
    }

    // Orders in flight also reach the next incarnation of a worker.
    void deliverOrders(SimWorker& worker, const schema::WorkerOrders& orders, Instant sentAt)
    {
        if (!worker.alive)
            return;
        if (worker.paused) {
            worker.inbox.emplace_back([this, &worker, orders, sentAt] { deliverOrders(worker, orders, sentAt); });
            return;
        }
        worker.agent->onOrders(orders, sentAt, m_now);
        executeActions(worker, false);
    }

    // ---- Simulation steps and checks ----

    void advance(bool faults)
    {
        m_now += step;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
            checkPlacement();
        }
        if (faults) {
            submitRandomChanges();
            injectFaults();
        }
        tickLeaders();
        tickWorkers();
        checkPlacement();
        checkGangs();
    }

    void checkPlacement()
    {
        std::map<std::pair<std::string, uint32_t>, std::string> taskWorkers;
        std::map<TeamId, ResourceVector> teams;
        for (const auto& worker : m_workers) {
            if (worker.paused)
                continue;
            ResourceVector sum;
            for (const auto& [key, task] : worker.running) {
                const auto [found, added] = taskWorkers.try_emplace({ key.job, key.index }, worker.options.name);
                require(added,
                    fmt::format(
                        "{}/{} runs on both {} and {}", key.job, key.index, found->second, worker.options.name));
                sum += toVector(task.order.resources());
                teams[task.order.team_id()] += toVector(task.order.resources());
            }
            require(sum.fitsIn(toVector(workerCapacity)), worker.options.name + " runs tasks beyond its capacity");
        }
        for (const auto& [team, sum] : teams)
            require(sum.fitsIn(teamPortion), fmt::format("team {} exceeds its portion: {}", team, describe(sum)));
    }

    size_t countRunning(const std::string& job) const
    {
        size_t n = 0;
        for (const auto& worker : m_workers) {
            for (const auto& [key, task] : worker.running)
                n += key.job == job && task.stopsAt == Instant::max() ? 1 : 0;
        }
        return n;
    }

    // The leader and the highest attempt number of a gang of which all tasks are placed; otherwise number 0.
    std::pair<size_t, uint32_t> newestAttempt(const schema::JobView& view) const
    {
        uint32_t number = 0;
        for (const auto& it : view.placed())
            number = std::max(number, it.attempt());
        const bool isWhole = static_cast<uint32_t>(view.placed_size()) == view.tasks();
        return { m_currentLeader, isWhole ? number : 0 };
    }

    void checkGangs()
    {
        for (const auto& [id, record] : m_records) {
            if (record.spec().kind() != schema::JOB_KIND_GANG)
                continue;
            const size_t running = countRunning(id);
            const auto view = m_leaders[m_currentLeader]->placement->jobView(id);
            const bool partial = running > 0 && running + view.finished() < record.spec().tasks();
            auto& since = m_partialSince[id];
            // A leader that has not completed recovery does not restart gangs. A gang that was placed again as a whole
            // may break again: the limit holds for each attempt.
            const auto attempt = newestAttempt(view);
            const bool isNewAttempt = attempt.second > 0 && std::exchange(m_newestAttempts[id], attempt) != attempt;
            if (!partial || isNewAttempt || !m_leaders[m_currentLeader]->placement->isRecovered(m_now))
                since = m_now;
            require(m_now - since < longestPartialGang,
                fmt::format("{} has been running incompletely for too long: {} running, {} finished, {} placed of {}",
                    id, running, view.finished(), view.placed_size(), record.spec().tasks()));
        }
    }

    bool isComplete(const schema::JobRecord& record) const
    {
        if (record.spec().kind() == schema::JOB_KIND_SERVICE)
            return countRunning(record.id()) >= record.spec().tasks();
        return isTerminal(record.phase()) && countRunning(record.id()) == 0;
    }
    bool allComplete() const
    {
        return std::all_of(m_records.begin(), m_records.end(), [&](const auto& it) { return isComplete(it.second); });
    }
    std::string describeIncomplete() const
    {
        std::string text;
        for (const auto& [id, record] : m_records) {
            if (!isComplete(record))
                text += fmt::format(
                    " {} (phase {}, {} running)", id, static_cast<int>(record.phase()), countRunning(id));
        }
        return text;
    }

    Random m_random;
    Summary& m_summary;
    Instant m_now { std::chrono::seconds(1'000) };
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<SimLeader>> m_leaders;
    std::vector<SimWorker> m_workers;
    std::map<std::string, schema::JobRecord> m_records;
    std::map<std::string, Instant> m_partialSince;
    std::map<std::string, std::pair<size_t, uint32_t>> m_newestAttempts;
    Epoch m_epoch = 0;
    size_t m_currentLeader = 0;
    uint64_t m_nextJob = 1;
    bool m_changing = false;
    bool m_healed = false;
};

uint64_t readEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// Returns the violated invariant; empty if there is none.
std::string failureOf(uint64_t seed, Summary& summary)
{
    const auto previousHandler = setInvariantHandler([](std::string_view name, std::string_view seen) {
        throw InvariantViolation(fmt::format("invariant `{}`: {}", name, seen));
    });
    std::string failure;
    try {
        Simulation(seed, summary).run();
    } catch (const InvariantViolation& it) {
        failure = it.what();
    }
    setInvariantHandler(previousHandler);
    return failure;
}

} // namespace

TEST_CASE("placement keeps its invariants under random faults")
{
    const uint64_t first = readEnvironment("TEASEL_FIRST_SEED", 1);
    const uint64_t seeds = readEnvironment("TEASEL_SEEDS", 200);
    Summary summary;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        const auto failure = failureOf(seed, summary);
        if (!failure.empty())
            FAIL_CHECK(fmt::format(
                "TEASEL_FIRST_SEED={} TEASEL_SEEDS=1 setarch -R build/placement_random_test\n{}", seed, failure));
    }
    for (const auto& [what, n] : summary.counts)
        fmt::print("{}: {}\n", what, n);
    for (const char* what : { "paused leaders", "leadership transfers", "paused workers", "crashed workers",
             "partitions", "failing workers", "false reports", "drains", "cancellations", "rolling updates", "starts",
             "succeeded", "gangs", "adopted", "lost", "conflicts", "quarantines", "stale reports", "preemptions" })
        CHECK_MESSAGE((seeds < 20 || summary.counts[what] > 0), what);
}

TEST_CASE("placement keeps its invariants with the seeds that once failed")
{
    Summary summary;
    // 422: two workers are paused one after the other, so that a gang breaks twice.
    for (const uint64_t seed : { 422 })
        CHECK(failureOf(seed, summary) == "");
}
