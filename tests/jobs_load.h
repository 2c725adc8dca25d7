// Plays a heavy load on the job plane's leader: a large fleet without faults, an advice service with one queue per
// calling instance, teams of unequal size, and callers that may return after a refusal. Reports what callers get.
// Everything is driven by simulated time and a seed.
#pragma once

#include "core/clock.h"
#include "jobs/job_leader.h"
#include "jobs_load_draws.h"
#include "jobs_load_fleet.h"
#include "jobs_load_options.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

// What callers of one kind or team got. A job counts in the second in which it was submitted first.
struct LoadReport {
    uint64_t submitted = 0;
    uint64_t refused = 0; // for good
    uint64_t inTime = 0; // completed within the latency objective
    uint64_t late = 0;
    double inTimeWork = 0; // core-seconds
    double work = 0;
};

class JobsLoad {
public:
    explicit JobsLoad(JobsLoadOptions options)
        : m_options(std::move(options))
        , m_draws(m_options)
        , m_state(Milliseconds(600'000))
        , m_leader(m_options.leader, m_state)
        , m_thread(
              m_options.costs, m_clock, m_leader,
              [this](Duration delay, std::function<void()> action) { schedule(delay, std::move(action)); },
              [this](Instant now) { m_leader.onTick(now, wallAt(now)); },
              [this](Instant now) { m_leader.finishBatch(now, wallAt(now)); },
              [this](std::vector<JobAction> actions) { perform(std::move(actions)); })
        , m_reports(m_options.kinds.size())
        , m_teamReports(m_options.teams.size())
    {
        schema::JobCommand command;
        *command.add_changes()->mutable_configuration() = configurationOf(m_options);
        m_state.apply(0, command.SerializeAsString());
        std::vector<std::string> instances;
        for (size_t n = 0; n < m_options.adviceInstances; ++n)
            instances.push_back(fmt::format("instance-{}", n));
        m_leader.setAdviceInstances(instances);
        m_leader.onBecameLeader(1, m_clock.now(), m_clock.wallNow());
        for (size_t n = 0; n < m_options.executors; ++n) {
            m_fleet.add(m_options.speeds[n % m_options.speeds.size()]);
            schedule(std::chrono::milliseconds(n % 1'500), [this, n] { announce(n); });
        }
    }

    // Plays the load and then waits until all jobs ended, at most `drain`.
    void run(Milliseconds drain = Milliseconds(60'000))
    {
        advanceTo(m_clock.now() + warmUp);
        m_began = m_clock.now();
        for (size_t n = 0; n < m_options.kinds.size(); ++n)
            scheduleNextJob(n);
        for (const auto at : m_options.leaderLosses)
            schedule(at, [this] { loseLeader(); });
        m_end = m_began + m_options.duration;
        advanceTo(m_end);
        const auto last = m_end + drain;
        while (!m_open.empty() && m_clock.now() < last)
            advanceTo(m_clock.now() + std::chrono::milliseconds(100));
        m_drained = std::chrono::duration_cast<Milliseconds>(m_clock.now() - m_end);
    }

    const std::vector<LoadReport>& reports() const { return m_reports; } // by kind
    const std::vector<LoadReport>& teamReports() const { return m_teamReports; }
    size_t openJobs() const { return m_open.size(); }
    // Time from the end of the load until all jobs had ended.
    Milliseconds drained() const { return m_drained; }
    uint64_t starts() const { return m_starts; }
    uint64_t adviceCalls() const { return m_adviceCalls; }
    double adviceSeconds() const { return m_adviceSeconds; }
    // Records of the replicated log and their bytes.
    uint64_t logRecords() const { return m_logRecords; }
    uint64_t logBytes() const { return m_logBytes; }
    // From the submission of each job to its first start, in the order of the starts.
    const std::vector<Duration>& firstStarts() const { return m_firstStarts; }
    const JobLeaderCounters& counters() const { return m_leader.counters(); }
    // Of the leader's thread, if its work takes time.
    Duration leaderBusy() const { return m_thread.busy(); }
    Duration longestBatch() const { return m_thread.longestBatch(); }
    // Processor time of the leader; not deterministic.
    double leaderSeconds() const { return m_leaderSeconds; }
    // Starts in each second of the load.
    const std::vector<uint64_t>& startsPerSecond() const { return m_startsPerSecond; }
    // Completed within the objective, by the second of submission.
    const std::vector<uint64_t>& inTimePerSecond() const { return m_inTimePerSecond; }
    const std::vector<uint64_t>& submittedPerSecond() const { return m_submittedPerSecond; }

private:
    static constexpr Milliseconds warmUp { 3'000 };
    static constexpr Milliseconds tick { 10 };
    static constexpr Milliseconds hop { 2 }; // one way between two processes
    static constexpr Milliseconds commit { 12 };
    static constexpr Milliseconds electionTime { 650 }; // from the loss of a leader to the next one

    struct OpenJob {
        size_t kind = 0;
        size_t team = 0;
        unsigned retriesLeft = 0;
        schema::JobRequest request; // as submitted
        Instant submittedAt {};
        Instant dueAt {};
        double work = 0;
        double taskMs = 0;
        bool isGang = false;
        uint32_t tasks = 0;
        bool hasStarted = false;
    };
    struct Event {
        Instant at {};
        uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({ m_clock.now() + delay, ++m_lastEvent, std::move(action) });
    }

    void advanceTo(Instant until)
    {
        while (m_clock.now() < until) {
            const auto next = std::min(until, m_nextTick);
            while (!m_events.empty() && m_events.top().at <= next) {
                auto event = m_events.top();
                m_events.pop();
                m_clock.advance(std::max(Duration(0), event.at - m_clock.now()));
                event.action();
                if (!m_thread.takesTime())
                    finishBatch();
            }
            m_clock.advance(std::max(Duration(0), next - m_clock.now()));
            if (m_clock.now() < m_nextTick)
                continue;
            m_nextTick += tick;
            if (m_thread.takesTime()) {
                m_thread.runIfIdle();
                continue;
            }
            measure([this] { m_leader.onTick(m_clock.now(), m_clock.wallNow()); });
            finishBatch();
        }
    }

    template <class Action> void measure(Action action)
    {
        const auto before = std::clock();
        action();
        m_leaderSeconds += static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    }

    void finishBatch()
    {
        measure([this] { m_leader.finishBatch(m_clock.now(), m_clock.wallNow()); });
        for (auto actions = m_leader.takeActions(); !actions.empty(); actions = m_leader.takeActions())
            perform(std::move(actions));
    }

    // Hands an event to the leader, which handles it at once or when its thread gets to it.
    template <class Task> void toLeader(Task task)
    {
        if (m_thread.takesTime())
            m_thread.post(std::move(task));
        else
            measure([&] { task(m_clock.now()); });
    }

    WallTime wallAt(Instant now) const
    {
        return m_clock.wallNow() + std::chrono::duration_cast<Milliseconds>(now - m_clock.now());
    }

    void perform(std::vector<JobAction> actions)
    {
        for (auto& it : actions)
            std::visit([this](auto& action) { perform(action); }, it);
    }

    // The process of the leader ends; another one leads after an election. What was proposed is committed.
    void loseLeader()
    {
        ++m_losses;
        m_thread.reset();
        m_leader.onLostLeadership();
        m_leader.takeActions();
        while (!m_commits.empty())
            applyCommit();
        schedule(electionTime, [this] {
            m_leader.onBecameLeader(++m_term, m_clock.now(), m_clock.wallNow());
            for (const auto& [handle, job] : std::exchange(m_calls, {})) {
                if (m_open.contains(job))
                    send(job);
            }
            std::vector<uint64_t> ended; // without a line of the lost leader
            for (const auto& [id, it] : m_open) {
                if (const auto* job = m_state.find(id); job != nullptr && job->hasEnded())
                    ended.push_back(id);
            }
            for (const auto it : ended)
                onJobEnded(it);
        });
    }

    uint64_t applyCommit()
    {
        auto [ticket, command] = std::move(m_commits.front());
        m_commits.pop_front();
        m_state.apply(0, command);
        return ticket;
    }

    // ---- Callers -----------------------------------------------------------

    void scheduleNextJob(size_t kind)
    {
        const auto delay = m_draws.untilNextJob(kind, m_clock.now() - m_began);
        schedule(delay, [this, kind] {
            if (m_clock.now() >= m_end)
                return;
            submit(kind);
            scheduleNextJob(kind);
        });
    }

    void submit(size_t kind)
    {
        const auto& it = m_options.kinds[kind];
        const auto [request, taskMs] = m_draws.job(it, ++m_lastJob);
        const auto& step = request.steps(0);
        const double objectiveMs = it.slackFactor * (taskMs + it.adviceMs + 30 * it.adviceMsPerExecutor)
            + static_cast<double>(it.targetLatencyMs);
        const double work
            = step.count() * static_cast<double>(step.need().milli_cpus()) / 1'000 * taskMs / 1'000; // core-seconds
        OpenJob job { kind, m_draws.team(m_clock.now() - m_began), m_options.retries, request, m_clock.now(),
            m_clock.now() + Duration(static_cast<int64_t>(objectiveMs * 1'000)), work, taskMs, step.gang(),
            step.count() };
        for (auto* report : { &m_reports[kind], &m_teamReports[job.team] }) {
            ++report->submitted;
            report->work += work;
        }
        count(m_submittedPerSecond, job.submittedAt);
        m_open.emplace(m_lastJob, std::move(job));
        send(m_lastJob);
    }

    void send(uint64_t id)
    {
        const auto& job = m_open.at(id);
        const auto handle = ++m_lastHandle;
        m_calls[handle] = id;
        const auto path = "/" + m_options.kinds[job.kind].name + "/" + jobIdText(id);
        const auto key = "key-" + m_options.teams[job.team].name;
        toLeader([this, handle, call = SubmitJob { "farm.example", path, key, job.request }](
                     Instant now) mutable { m_leader.onCall(handle, std::move(call), now, wallAt(now)); });
    }

    void count(std::vector<uint64_t>& perSecond, Instant at) const
    {
        const auto second = static_cast<size_t>(std::chrono::duration_cast<std::chrono::seconds>(at - m_began).count());
        if (perSecond.size() <= second)
            perSecond.resize(second + 1);
        ++perSecond[second];
    }

    void perform(AnswerCall& action)
    {
        const auto call = m_calls.find(action.handle);
        if (call == m_calls.end())
            return;
        const auto job = m_open.find(call->second);
        m_calls.erase(call);
        if (job == m_open.end() || action.answer.status == CallStatus::Accepted)
            return;
        if (job->second.retriesLeft > 0 && m_clock.now() + action.answer.retryAfter < m_end) {
            --job->second.retriesLeft;
            schedule(action.answer.retryAfter, [this, id = job->first] {
                if (m_open.contains(id))
                    send(id);
            });
            return;
        }
        ++m_reports[job->second.kind].refused;
        ++m_teamReports[job->second.team].refused;
        m_open.erase(job);
    }

    void perform(JobLogLine& line)
    {
        if (line.event != "job_ended")
            return;
        onJobEnded(std::stoull(line.fields.front().second, nullptr, 16));
    }

    void onJobEnded(uint64_t id)
    {
        const auto found = m_open.find(id);
        if (found == m_open.end())
            return;
        const auto& job = found->second;
        const bool isInTime = m_clock.now() <= job.dueAt;
        for (auto* report : { &m_reports[job.kind], &m_teamReports[job.team] }) {
            ++(isInTime ? report->inTime : report->late);
            report->inTimeWork += isInTime ? job.work : 0;
        }
        if (isInTime)
            count(m_inTimePerSecond, job.submittedAt);
        m_open.erase(found);
    }

    // ---- Log and advice service ----------------------------------------------

    void perform(ProposeJobs& action)
    {
        auto serialized = action.command.SerializeAsString();
        ++m_logRecords;
        m_logBytes += serialized.size();
        m_commits.emplace_back(action.ticket, std::move(serialized));
        schedule(commit, [this, losses = m_losses] {
            if (losses != m_losses) // applied when the leader was lost
                return;
            toLeader([this](Instant now) { m_leader.onCommitted(applyCommit(), now); });
        });
    }

    void perform(AskAdvice& action)
    {
        ++m_adviceCalls;
        const auto job = m_open.find(action.step.job);
        if (job == m_open.end())
            return;
        const auto& kind = m_options.kinds[job->second.kind];
        const double costMs = kind.adviceMs + kind.adviceMsPerExecutor * static_cast<double>(action.executors.size());
        m_adviceSeconds += costMs / 1'000;
        auto& freeAt = m_adviceFreeAt[action.instance];
        freeAt = std::max(freeAt, m_clock.now() + hop + hop) + Duration(static_cast<int64_t>(costMs * 1'000));
        std::vector<std::pair<std::string, std::string>> granted;
        for (const auto& it : action.executors) {
            if (isGranted(action.step, it, kind.grantRatio))
                granted.emplace_back(it, "ticket");
        }
        schedule(freeAt - m_clock.now() + hop + hop, [this, number = action.number, granted = std::move(granted)] {
            toLeader([this, number, granted](Instant now) { m_leader.onAdvice(number, true, granted, now); });
        });
    }

    static bool isGranted(const StepKey& step, std::string_view executor, double ratio)
    {
        constexpr uint64_t buckets = 1'000;
        uint64_t hash = step.job * 0x9E3779B97F4A7C15ULL + std::stoull(std::string(executor.substr(1)));
        hash ^= hash >> 31;
        hash *= 0xBF58476D1CE4E5B9ULL;
        hash ^= hash >> 29;
        return static_cast<double>(hash % buckets) < ratio * static_cast<double>(buckets);
    }

    // ---- Executors -----------------------------------------------------------

    LoadFleet::Host fleetHost()
    {
        return { [this](Duration delay, std::function<void()> action) { schedule(delay, std::move(action)); },
            [this](uint64_t number, OrderResult result) { sendResult(number, std::move(result)); },
            [this](const TaskKey& task) { return onTaskStarted(task); }, [this] { return m_draws.taskFactor(); } };
    }

    void announce(size_t number)
    {
        toLeader([this, handle = ++m_lastHandle, it = m_fleet.announcementOf(number)](
                     Instant now) mutable { m_leader.onCall(handle, std::move(it), now, wallAt(now)); });
        schedule(std::chrono::milliseconds(1'500), [this, number] { announce(number); });
    }

    uint64_t clockMs() const
    {
        return static_cast<uint64_t>(
            std::chrono::duration_cast<Milliseconds>(m_clock.now().time_since_epoch()).count());
    }

    void sendResult(uint64_t number, OrderResult result)
    {
        result.outcome = OrderOutcome::Done;
        result.clockMs = clockMs();
        result.bornMs = 1;
        schedule(hop, [this, number, result = std::move(result)]() mutable {
            toLeader([this, number, result = std::move(result)](
                         Instant now) mutable { m_leader.onOrderResult(number, std::move(result), now); });
        });
    }

    void perform(SendOrder& action)
    {
        schedule(hop, [this, order = std::move(action)] { m_fleet.carryOut(order); });
    }

    std::optional<LoadFleet::Work> onTaskStarted(const TaskKey& task)
    {
        ++m_starts;
        count(m_startsPerSecond, std::max(m_began, m_clock.now()));
        const auto job = m_open.find(task.step.job);
        if (job == m_open.end())
            return std::nullopt;
        if (!std::exchange(job->second.hasStarted, true))
            m_firstStarts.push_back(m_clock.now() - job->second.submittedAt);
        return LoadFleet::Work { job->second.taskMs, job->second.isGang, job->second.tasks };
    }

    JobsLoadOptions m_options;
    LoadDraws m_draws;
    ManualClock m_clock;
    JobState m_state;
    JobLeader m_leader;
    LeaderThread m_thread;
    std::vector<LoadReport> m_reports;
    std::vector<LoadReport> m_teamReports;
    LoadFleet m_fleet { fleetHost() };
    std::priority_queue<Event> m_events;
    uint64_t m_lastEvent = 0;
    uint64_t m_lastJob = 0;
    uint64_t m_lastHandle = 0;
    Instant m_began {};
    Instant m_end {};
    Instant m_nextTick {};
    Milliseconds m_drained { 0 };
    uint64_t m_term = 1;
    uint64_t m_losses = 0;
    std::deque<std::pair<uint64_t, std::string>> m_commits; // tickets and commands that are not applied
    absl::btree_map<uint64_t, uint64_t> m_calls; // job by handle
    absl::btree_map<uint64_t, OpenJob> m_open;
    absl::flat_hash_map<std::string, Instant> m_adviceFreeAt;
    uint64_t m_starts = 0;
    uint64_t m_logRecords = 0;
    uint64_t m_logBytes = 0;
    std::vector<Duration> m_firstStarts;
    uint64_t m_adviceCalls = 0;
    double m_adviceSeconds = 0;
    double m_leaderSeconds = 0;
    std::vector<uint64_t> m_startsPerSecond;
    std::vector<uint64_t> m_inTimePerSecond;
    std::vector<uint64_t> m_submittedPerSecond;
};

} // namespace teasel
