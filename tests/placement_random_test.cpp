// Seeded runs of two leaders and their workers over a link with faults.
//
// TEASEL_SEEDS is the number of seeds, TEASEL_FIRST_SEED the first of them.
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
constexpr Milliseconds healTime { 150'000 };
constexpr Milliseconds authority { 1'000 };
constexpr Milliseconds longestPartialGang { 15'000 };
constexpr size_t workerCount = 8;
constexpr TeamId teamCount = 3;
const schema::Resources workerCapacity = resources(8'000, 16'000);
const ResourceVector teamPortion { { 36'000, 80'000, 0 } };

struct Summary {
    std::map<std::string, uint64_t> counts;
    void add(const std::string& what, uint64_t n = 1) { counts[what] += n; }
};

struct Broken : std::runtime_error {
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
    std::vector<std::function<void()>> inbox; // while paused
    Instant nextReport {};
    Instant pausedUntil {};
    Instant deadUntil {};
    Instant cutUntil {};
    Instant failsUntil {};
    Instant liesUntil {};
    bool alive = true;
    bool paused = false;
};

struct SimLeader {
    explicit SimLeader(const PlacementOptions& options)
        : plane(std::make_unique<PlacementLeader>(options, names))
    {
    }
    NameTable names;
    std::unique_ptr<PlacementLeader> plane;
    std::vector<std::function<void()>> inbox;
    Instant pausedUntil {};
    Instant authorityEnd {};
    bool leads = false; // by its own belief
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
        crown(0);
    }

    void run()
    {
        submitServices();
        const Instant healAt = m_now + faultTime;
        while (m_now < healAt)
            advance(true);
        heal();
        const Instant end = m_now + healTime;
        while (m_now < end && !allDone())
            advance(false);
        require(allDone(), "everything that can run does after healing: " + unfinished());
        m_summary.add("placements", m_leaders[0]->plane->stats().placements + m_leaders[1]->plane->stats().placements);
        for (const auto& it : m_leaders)
            noteStats(it->plane->stats());
    }

private:
    void noteStats(const PlacementStats& stats)
    {
        m_summary.add("adopted", stats.tasksAdopted);
        m_summary.add("lost", stats.tasksLost);
        m_summary.add("conflicts", stats.conflictsSettled);
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
            throw Broken(what);
    }

    void at(Milliseconds delay, std::function<void()> action) { m_events.emplace(m_now + delay, std::move(action)); }
    Milliseconds upTo(int64_t ms)
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

    void crown(size_t who)
    {
        m_reigning = who;
        auto& leader = *m_leaders[who];
        leader.leads = true;
        leader.plane->onBecameLeader(++m_epoch, m_now);
        std::vector<TaskTeamPolicy> teams;
        for (TeamId id = 1; id <= teamCount; ++id)
            teams.push_back({ id, static_cast<double>(id), toMessage(teamPortion) });
        leader.plane->onTeams(teams, m_now);
        extendAuthority(leader);
        at(upTo(2'000), [this, who] { sendAllRecords(who); });
    }

    void sendAllRecords(size_t who)
    {
        std::vector<schema::JobRecord> all;
        for (const auto& [id, record] : m_records)
            all.push_back(record);
        m_leaders[who]->plane->onJobs(all, m_now, { .whole = true });
    }

    void extendAuthority(SimLeader& leader)
    {
        leader.authorityEnd = m_now + authority;
        leader.plane->onAuthority(leader.authorityEnd);
    }

    void changeRecord(const std::string& id, const std::function<void(schema::JobRecord&)>& change)
    {
        change(m_records[id]);
        at(upTo(600), [this, id] { m_leaders[m_reigning]->plane->onJobs(std::vector { m_records[id] }, m_now); });
    }

    void commit(const schema::JobProgress& progress)
    {
        at(upTo(500), [this, progress] {
            if (m_random.chance(0.1))
                return; // the proposal was lost
            changeRecord(progress.id(), [&](schema::JobRecord& record) {
                if (isTerminal(record.phase()))
                    return;
                for (const auto index : progress.finished_tasks()) {
                    const auto& known = record.finished_tasks();
                    if (std::find(known.begin(), known.end(), index) == known.end())
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
            const bool reigns = it.get() == m_leaders[m_reigning].get();
            if (reigns && it->leads)
                extendAuthority(*it);
            it->plane->onTick(m_now);
            for (const auto& action : it->plane->takeActions())
                commit(std::get<ReportProgress>(action).progress);
        }
    }

    void changeLeader(bool pauseOld)
    {
        if (m_changing)
            return;
        m_changing = true;
        const size_t old = m_reigning;
        auto& leader = *m_leaders[old];
        if (pauseOld) {
            leader.paused = true;
            leader.pausedUntil = m_now + Milliseconds(1'000) + upTo(8'000);
            m_summary.add("paused leaders");
        } else {
            leader.plane->onLostLeadership(m_now);
            m_summary.add("handed over");
        }
        leader.leads = false;
        const auto wait = std::chrono::duration_cast<Milliseconds>(std::max(leader.authorityEnd, m_now) - m_now);
        at(wait + upTo(1'500) + Milliseconds(1), [this, old] {
            m_changing = false;
            const size_t other = 1 - old;
            crown(m_leaders[other]->paused ? old : other);
            // The old leader hears of it late.
            at(upTo(9'000), [this, old] {
                if (m_reigning != old && !m_leaders[old]->paused)
                    m_leaders[old]->plane->onLostLeadership(m_now);
            });
        });
    }

    // ---- Jobs ----

    void submit(const JobShape& shape)
    {
        m_records[shape.id] = jobRecord(shape);
        changeRecord(shape.id, [](schema::JobRecord&) {});
        m_summary.add("jobs");
    }

    JobShape shapeOf(schema::JobKind kind, uint32_t tasks)
    {
        JobShape shape;
        shape.id = fmt::format("{}-{}", kind == schema::JOB_KIND_GANG ? "gang" : "batch", m_nextJob++);
        shape.kind = kind;
        shape.tasks = tasks;
        shape.need = resources(500 * (1 + m_random.below(4)), 1'000 * (1 + m_random.below(3)));
        shape.team = static_cast<TeamId>(1 + m_random.below(teamCount));
        shape.rank = static_cast<uint32_t>(m_random.below(3));
        shape.canCheckpoint = m_random.chance(0.5);
        shape.runMs = 2'000 + m_random.below(10'000);
        // Some may run in two of the four racks only.
        if (m_random.chance(0.2))
            shape.selector = m_random.chance(0.5) ? "rack in (rack-0, rack-1)" : "not exists gpu and rack != rack-3";
        return shape;
    }

    void submitServices()
    {
        for (TeamId team = 1; team <= teamCount; ++team) {
            JobShape shape;
            shape.id = fmt::format("service-{}", team);
            shape.kind = schema::JOB_KIND_SERVICE;
            shape.tasks = 3;
            shape.team = team;
            shape.minAvailable = 2;
            shape.need = resources(1'000, 2'000);
            submit(shape);
        }
    }

    void submitSome()
    {
        if (m_random.chance(0.02))
            submit(shapeOf(schema::JOB_KIND_BATCH, static_cast<uint32_t>(1 + m_random.below(12))));
        if (m_random.chance(0.004))
            submit(shapeOf(schema::JOB_KIND_GANG, static_cast<uint32_t>(2 + m_random.below(6))));
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
            m_summary.add("rolling changes");
        }
    }

    // ---- Faults ----

    void injectFaults()
    {
        if (m_random.chance(0.003))
            changeLeader(m_random.chance(0.6));
        auto& worker = m_workers[m_random.below(workerCount)];
        const bool busy = !worker.alive || worker.paused || m_now < worker.cutUntil;
        if (busy || !m_random.chance(0.02))
            return;
        switch (m_random.below(6)) {
        case 0:
            worker.paused = true;
            worker.pausedUntil = m_now + upTo(12'000);
            return m_summary.add("paused workers");
        case 1:
            worker.alive = false;
            worker.running.clear();
            worker.deadUntil = m_now + upTo(12'000);
            return m_summary.add("dead workers");
        case 2:
            worker.cutUntil = m_now + upTo(12'000);
            return m_summary.add("cuts");
        case 3:
            worker.failsUntil = m_now + upTo(8'000);
            return m_summary.add("failing workers");
        case 4:
            worker.liesUntil = m_now + upTo(8'000);
            return m_summary.add("lying workers");
        default:
            worker.agent->setLeaving(true);
            at(upTo(8'000), [&worker] { worker.agent->setLeaving(false); });
            return m_summary.add("drains");
        }
    }

    void heal()
    {
        m_healed = true;
        for (auto& it : m_workers) {
            it.pausedUntil = it.deadUntil = it.cutUntil = it.failsUntil = it.liesUntil = m_now;
            it.agent->setLeaving(false);
        }
        for (auto& it : m_leaders)
            it->pausedUntil = m_now;
    }

    // ---- Workers ----

    void tickWorkers()
    {
        for (auto& it : m_workers) {
            if (!it.alive && m_now >= it.deadUntil) {
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

    // Tasks are frozen with their worker, and go on only after its agent has looked at the lease.
    void resume(SimWorker& worker)
    {
        worker.paused = false;
        worker.agent->onTick(m_now);
        act(worker, true);
        for (const auto& action : std::exchange(worker.inbox, {}))
            action();
    }

    void tickWorker(SimWorker& worker)
    {
        worker.agent->onTick(m_now);
        act(worker, false);
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

    void act(SimWorker& worker, bool atOnce)
    {
        for (const auto& it : worker.agent->takeActions()) {
            if (const auto* run = std::get_if<RunTask>(&it))
                begin(worker, *run);
            else if (const auto* end = std::get_if<EndTask>(&it))
                endTask(worker, *end, atOnce);
        }
    }

    void begin(SimWorker& worker, const RunTask& it)
    {
        if (m_now < worker.failsUntil)
            return worker.agent->onTaskEnded(it.key, schema::TASK_STATE_FAILED, "broken worker");
        worker.agent->onTaskStarted(it.key);
        RunningTask task;
        task.order = it.order;
        const auto runMs = static_cast<int64_t>(it.order.run_ms());
        // Declared run times are off by up to a factor of two.
        task.endsAt = runMs == 0 ? Instant::max() : m_now + Milliseconds(runMs / 2) + upTo(runMs * 3 / 2);
        worker.running.emplace(it.key, task);
        m_summary.add("starts");
    }

    void endTask(SimWorker& worker, const EndTask& it, bool atOnce)
    {
        auto found = worker.running.find(it.key);
        if (found == worker.running.end())
            return;
        const Milliseconds takes = atOnce ? Milliseconds(0) : (it.checkpoint ? upTo(2'000) : upTo(200));
        found->second.stopsAt = std::min(found->second.stopsAt, m_now + takes);
        found->second.endState = it.checkpoint ? schema::TASK_STATE_CHECKPOINTED : schema::TASK_STATE_STOPPED;
        if (atOnce) {
            worker.running.erase(found);
            worker.agent->onTaskEnded(it.key, schema::TASK_STATE_STOPPED);
        }
    }

    Milliseconds delay() { return m_healed || !m_random.chance(0.1) ? upTo(100) : upTo(6'000); }
    bool dropped() { return !m_healed && m_random.chance(0.05); }

    void report(SimWorker& worker)
    {
        worker.nextReport = m_now + Milliseconds(400) + upTo(200);
        auto message = worker.agent->makeReport(m_now);
        act(worker, false);
        if (m_now < worker.liesUntil && message.tasks_size() > 0)
            lie(message);
        // Some reports still go to the former leader.
        const size_t to = m_healed || m_random.chance(0.9) ? m_reigning : 1 - m_reigning;
        const int copies = !m_healed && m_random.chance(0.05) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (m_now < worker.cutUntil || dropped())
                continue;
            at(delay(), [this, &worker, message, to, sentAt = m_now] { arrive(worker, message, to, sentAt); });
        }
    }

    // Leaves a task out, or shows an old attempt of one as running.
    void lie(schema::WorkerReport& message)
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
        m_summary.add("lies");
    }

    void arrive(SimWorker& worker, const schema::WorkerReport& message, size_t to, Instant sentAt)
    {
        auto& leader = *m_leaders[to];
        if (leader.paused) {
            leader.inbox.emplace_back([this, &worker, message, to, sentAt] { arrive(worker, message, to, sentAt); });
            return;
        }
        const auto orders = leader.plane->onReport(message, m_now);
        if (m_now < worker.cutUntil || dropped())
            return;
        at(delay(), [this, &worker, orders, sentAt, incarnation = message.incarnation()] {
            deliver(worker, orders, sentAt, incarnation);
        });
    }

    void deliver(SimWorker& worker, const schema::WorkerOrders& orders, Instant sentAt, uint64_t incarnation)
    {
        if (!worker.alive || worker.options.incarnation != incarnation)
            return;
        if (worker.paused) {
            worker.inbox.emplace_back(
                [this, &worker, orders, sentAt, incarnation] { deliver(worker, orders, sentAt, incarnation); });
            return;
        }
        worker.agent->onOrders(orders, sentAt, m_now);
        act(worker, false);
    }

    // ---- The run and its checks ----

    void advance(bool faults)
    {
        m_now += step;
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            const auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
            checkPlaces();
        }
        if (faults) {
            submitSome();
            injectFaults();
        }
        tickLeaders();
        tickWorkers();
        checkPlaces();
        checkGangs();
    }

    void checkPlaces()
    {
        std::map<std::pair<std::string, uint32_t>, std::string> places;
        std::map<TeamId, ResourceVector> teams;
        for (const auto& worker : m_workers) {
            if (worker.paused)
                continue;
            ResourceVector sum;
            for (const auto& [key, task] : worker.running) {
                const auto [found, added] = places.try_emplace({ key.job, key.index }, worker.options.name);
                require(added,
                    fmt::format("{}/{} runs on {} and {}", key.job, key.index, found->second, worker.options.name));
                sum += toVector(task.order.resources());
                teams[task.order.team_id()] += toVector(task.order.resources());
            }
            require(sum.fitsIn(toVector(workerCapacity)), worker.options.name + " runs more than it has");
        }
        for (const auto& [team, sum] : teams)
            require(
                sum.fitsIn(teamPortion), fmt::format("team {} runs more than its portion: {}", team, describe(sum)));
    }

    size_t runningOf(const std::string& job) const
    {
        size_t n = 0;
        for (const auto& worker : m_workers) {
            for (const auto& [key, task] : worker.running)
                n += key.job == job && task.stopsAt == Instant::max() ? 1 : 0;
        }
        return n;
    }

    void checkGangs()
    {
        for (const auto& [id, record] : m_records) {
            if (record.spec().kind() != schema::JOB_KIND_GANG)
                continue;
            const size_t running = runningOf(id);
            const auto view = m_leaders[m_reigning]->plane->jobView(id);
            const bool partial = running > 0 && running + view.finished() < record.spec().tasks();
            auto& since = m_partialSince[id];
            // A leader that does not know everything yet leaves a gang as it is.
            if (!partial || !m_leaders[m_reigning]->plane->isSettled(m_now))
                since = m_now;
            require(m_now - since < longestPartialGang,
                fmt::format("{} runs in part for long: {} running, {} finished, {} placed of {}", id, running,
                    view.finished(), view.placed_size(), record.spec().tasks()));
        }
    }

    bool isDone(const schema::JobRecord& record) const
    {
        if (record.spec().kind() == schema::JOB_KIND_SERVICE)
            return runningOf(record.id()) >= record.spec().tasks();
        return isTerminal(record.phase()) && runningOf(record.id()) == 0;
    }
    bool allDone() const
    {
        return std::all_of(m_records.begin(), m_records.end(), [&](const auto& it) { return isDone(it.second); });
    }
    std::string unfinished() const
    {
        std::string text;
        for (const auto& [id, record] : m_records) {
            if (!isDone(record))
                text += fmt::format(" {} (phase {}, {} running)", id, static_cast<int>(record.phase()), runningOf(id));
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
    Epoch m_epoch = 0;
    size_t m_reigning = 0;
    uint64_t m_nextJob = 1;
    bool m_changing = false;
    bool m_healed = false;
};

uint64_t fromEnvironment(const char* name, uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

} // namespace

TEST_CASE("no seed breaks what placement promises")
{
    const uint64_t first = fromEnvironment("TEASEL_FIRST_SEED", 1);
    const uint64_t seeds = fromEnvironment("TEASEL_SEEDS", 200);
    Summary summary;
    const auto former = setInvariantHandler([](std::string_view name, std::string_view seen) {
        throw Broken(fmt::format("invariant `{}`: {}", name, seen));
    });
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        std::string failure;
        try {
            Simulation(seed, summary).run();
        } catch (const Broken& it) {
            failure = it.what();
        }
        if (!failure.empty())
            FAIL_CHECK(fmt::format(
                "TEASEL_FIRST_SEED={} TEASEL_SEEDS=1 setarch -R build/placement_random_test\n{}", seed, failure));
    }
    setInvariantHandler(former);
    for (const auto& [what, n] : summary.counts)
        fmt::print("{}: {}\n", what, n);
    for (const char* what : { "paused leaders", "handed over", "paused workers", "dead workers", "cuts",
             "failing workers", "lies", "drains", "cancellations", "rolling changes", "starts", "succeeded", "gangs",
             "adopted", "lost", "conflicts", "quarantines", "stale reports", "preemptions" })
        CHECK_MESSAGE((seeds < 20 || summary.counts[what] > 0), what);
}
