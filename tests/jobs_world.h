// A seeded emulator of the platform around the job plane's decision modules: executors with leases on their own
// clocks, orders that are lost, delayed or duplicated, an advice service, callers that resubmit and cancel, and
// successive leaders on one replicated state. After each event the platform's rules are checked from what executors
// and callers observe.
#pragma once

#include "core/clock.h"
#include "core/random.h"
#include "jobs/job_leader.h"
#include "jobs/job_state.h"

#include <fmt/format.h>

#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace teasel {

struct JobsWorldOptions {
    uint64_t seed = 1;
    bool trace = false; // print the leader's log
    size_t executors = 6;
    double jobsPerSecond = 6;
    double lateOrders = 0.02; // share of orders without an answer that are executed 2 to 12 s later
    double lostAnswers = 0.02;
    double repeatedOrders = 0.01; // share of orders that arrive twice; the first answer is lost
    double executorCrashesPerSecond = 0.05;
    double silencesPerSecond = 0.05; // an executor is cut off for seconds
    double leaderChangesPerSecond = 0.1;
    double cancels = 0.05;
    double failures = 0.02; // share of runs that fail
    bool needsTickets = true;
    bool callersGiveUp = false; // a refused caller does not resubmit
    uint64_t teamCap = 40'000; // in thousandths of a core; 0: no cap
    Milliseconds faultDuration { 20'000 };
    Milliseconds drainDuration { 60'000 };
};

class JobsWorld {
public:
    explicit JobsWorld(JobsWorldOptions options)
        : m_options(options)
        , m_random(options.seed)
        , m_state(Milliseconds(600'000))
    {
        for (size_t n = 0; n < options.executors; ++n)
            m_executors.push_back(makeExecutor(n));
        schema::JobCommand command;
        *command.add_changes()->mutable_configuration() = configuration();
        m_state.apply(0, command.SerializeAsString());
        startLeader();
    }

    // Runs the simulation and returns the rule violations; empty if there were none.
    std::vector<std::string> run()
    {
        const auto faultsEnd = m_clock.now() + m_options.faultDuration;
        while (m_clock.now() < faultsEnd && m_violations.empty()) {
            injectFaults();
            submitAndCancelJobs();
            step();
        }
        for (auto& it : m_executors)
            it.silentUntil = Instant();
        const auto end = m_clock.now() + m_options.drainDuration;
        while (m_clock.now() < end && m_violations.empty() && hasOpenJobs()) {
            resubmitJobs();
            step();
        }
        if (m_violations.empty() && hasOpenJobs())
            reportOpenJobs();
        return m_violations;
    }

    // CPU time spent in the leader.
    double leaderSeconds() const { return m_leaderSeconds; }
    size_t completed() const { return m_completed.size(); }
    size_t accepted() const { return m_acceptedJobs.size(); }

private:
    struct Run {
        uint32_t run = 0;
        std::string payload;
        double leftMs = 0;
        bool fails = false;
        ResourceVector need;
    };
    struct Executor {
        std::string id;
        uint64_t bornMs = 0;
        double clockRate = 1;
        Instant bornAt {};
        ResourceVector capacity;
        std::map<TaskKey, Run> runs;
        std::map<TaskKey, uint32_t> barredRuns; // runs up to this number are rejected
        std::vector<EndedTask> ended;
        uint64_t lastEnd = 0;
        uint64_t expiredEnds = 0; // ends up to this number precede a lease expiry
        uint64_t fence = 0;
        uint64_t leaseUntilMs = 0;
        uint64_t sequence = 0;
        Instant silentUntil {};
        Instant nextAnnouncement {};
    };
    struct Event {
        Instant at {};
        std::function<void()> action;
    };
    struct Caller {
        schema::JobRequest request;
        bool isAccepted = false;
        bool isRefused = false;
        bool isCancelled = false;
        Instant nextTry {};
        unsigned tries = 0;
    };

    schema::JobConfiguration configuration() const
    {
        schema::JobConfiguration out;
        out.set_version(1);
        auto& queue = *out.add_queues();
        queue.set_name("blend");
        queue.set_host("farm.example");
        queue.set_path_prefix("/blend/");
        queue.set_service("filling");
        queue.set_timeout_ms(3'000);
        queue.set_target_latency_ms(1'000);
        queue.set_max_attempts(3);
        queue.set_slack_factor(40);
        queue.mutable_advice()->set_base_ms(20);
        queue.mutable_advice()->set_per_executor_ms(1);
        queue.mutable_advice()->set_ticket_valid_ms(2'000);
        out.add_services()->set_name("filling");
        auto& team = *out.add_teams();
        team.set_name("orchard");
        team.add_keys("key");
        team.set_weight(100);
        team.mutable_cap()->set_milli_cpus(m_options.teamCap);
        return out;
    }

    Executor makeExecutor(size_t n)
    {
        Executor it;
        it.id = fmt::format("x{}", n);
        it.bornMs = ++m_lastIncarnation;
        it.bornAt = m_clock.now();
        it.clockRate = 0.98 + m_random.unit() * 0.02;
        it.capacity = { { 8'000, 16'384, 0 } };
        it.nextAnnouncement = m_clock.now();
        return it;
    }

    WallTime wall() const { return m_clock.wallNow(); }
    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push_back({ m_clock.now() + delay, std::move(action) });
    }
    void reportViolation(std::string what)
    {
        m_violations.push_back(fmt::format("seed {}: {}", m_options.seed, std::move(what)));
    }

    // ---- Leaders -----------------------------------------------------------

    void startLeader()
    {
        ++m_term;
        // A pending proposal of the previous leader is either already in the log or never will be.
        for (auto& [ticket, command] : m_proposed) {
            if (!m_random.chance(0.5))
                break;
            m_state.apply(0, command);
            recordCommittedEnds(command);
        }
        m_proposed.clear();
        m_leader = std::make_unique<JobLeader>(JobLeaderOptions {}, m_state);
        m_leader->setAdviceInstances({ "front-1", "front-2" });
        m_leader->onBecameLeader(m_term, m_clock.now(), wall());
    }

    void perform(ProposeJobs& action)
    {
        m_proposed.emplace_back(action.ticket, action.command.SerializeAsString());
        schedule(std::chrono::milliseconds(5 + m_random.below(15)), [this, term = m_term] { commitNext(term); });
    }

    void commitNext(uint64_t term)
    {
        if (term != m_term || m_proposed.empty())
            return;
        auto [ticket, command] = std::move(m_proposed.front());
        m_proposed.pop_front();
        m_state.apply(0, command);
        recordCommittedEnds(command);
        m_leader->onCommitted(ticket, m_clock.now());
    }

    void recordCommittedEnds(const std::string& command)
    {
        schema::JobCommand parsed;
        parsed.ParseFromString(command);
        for (const auto& it : parsed.changes()) {
            if (it.has_ended() && it.ended().outcome() == schema::RUN_OUTCOME_DONE)
                markDone(toKey(it.ended().task()));
            if (it.has_ended() && it.ended().outcome() == schema::RUN_OUTCOME_FAILED)
                ++m_failures[toKey(it.ended().task())];
        }
    }

    const schema::JobStep& stepSpec(const StepKey& key)
    {
        return m_callers[key.job].request.steps(static_cast<int>(key.step));
    }

    void markDone(const TaskKey& key)
    {
        m_done.insert(key);
        for (uint32_t n = 0; stepSpec(key.step).gang() && n < stepSpec(key.step).count(); ++n)
            m_done.insert({ key.step, n });
    }

    void perform(AnswerCall& action)
    {
        const auto it = m_calls.find(action.handle);
        if (it == m_calls.end())
            return;
        const auto id = it->second;
        m_calls.erase(it);
        auto& caller = m_callers[id];
        if (m_random.chance(m_options.lostAnswers))
            return;
        if (action.answer.status == CallStatus::Accepted) {
            caller.isAccepted = true;
            m_acceptedJobs.insert(id);
        } else if (action.answer.status == CallStatus::Refused && (caller.tries == 1 || m_options.callersGiveUp)) {
            caller.isRefused = true;
        }
    }

    void perform(JobLogLine& it)
    {
        if (!m_options.trace)
            return;
        std::string line = fmt::format("{} {}", m_clock.now().time_since_epoch().count(), it.event);
        for (const auto& [key, value] : it.fields)
            line += fmt::format(" {}={}", key, value);
        fmt::print("{}\n", line);
    }

    void perform(AskAdvice& action)
    {
        std::vector<std::pair<std::string, std::string>> granted;
        for (const auto& it : action.executors) {
            if (isGranted(action.step, it))
                granted.emplace_back(it, "ticket");
        }
        schedule(std::chrono::milliseconds(30), [this, term = m_term, number = action.number, granted] {
            if (term == m_term)
                m_leader->onAdvice(number, true, granted, m_clock.now());
        });
    }

    static bool isGranted(const StepKey& step, const std::string& executor)
    {
        // Two of three executors are granted, so that every step can run on some executor.
        return (step.job + step.step + std::stoul(executor.substr(1))) % 3 != 0;
    }

    // ---- Orders ------------------------------------------------------------

    Executor* findExecutor(const std::string& id)
    {
        for (auto& it : m_executors) {
            if (it.id == id)
                return &it;
        }
        return nullptr;
    }

    void perform(SendOrder& action)
    {
        auto* executor = findExecutor(action.executorId);
        const auto term = m_term;
        const auto number = action.number;
        const auto timeout = [this, term, number, after = action.timeout] {
            schedule(after, [this, term, number] {
                if (term == m_term)
                    m_leader->onOrderResult(number, { OrderOutcome::UnknownOutcome }, m_clock.now());
            });
        };
        if (executor == nullptr || executor->silentUntil > m_clock.now()) {
            timeout();
            return;
        }
        // An order names an executor's id: one that is still in flight when the executor restarts reaches the next
        // incarnation.
        const auto deliver = [this, order = action] {
            auto* it = findExecutor(order.executorId);
            return it != nullptr && it->silentUntil <= m_clock.now() ? std::optional(execute(*it, order))
                                                                     : std::nullopt;
        };
        if (m_random.chance(m_options.lateOrders)) {
            schedule(std::chrono::milliseconds(2'000 + m_random.below(10'000)), [deliver] { deliver(); });
            timeout();
            return;
        }
        const bool isAnswerLost = m_random.chance(m_options.lostAnswers);
        if (m_random.chance(m_options.repeatedOrders)) {
            schedule(std::chrono::milliseconds(1), [deliver] { deliver(); });
            schedule(std::chrono::milliseconds(2 + m_random.below(190)), [this, deliver, timeout, term, number] {
                const auto result = deliver();
                if (!result)
                    timeout();
                else if (term == m_term)
                    m_leader->onOrderResult(number, *result, m_clock.now());
            });
            return;
        }
        schedule(
            std::chrono::milliseconds(1 + m_random.below(5)), [this, deliver, timeout, isAnswerLost, term, number] {
                auto result = deliver();
                if (!result || isAnswerLost) {
                    timeout();
                    return;
                }
                schedule(std::chrono::milliseconds(1 + m_random.below(5)), [this, term, number, result] {
                    if (term == m_term)
                        m_leader->onOrderResult(number, *result, m_clock.now());
                });
            });
    }

    uint64_t clockOf(const Executor& it) const
    {
        const auto lived = std::chrono::duration<double, std::milli>(m_clock.now() - it.bornAt).count();
        return 1'000 + static_cast<uint64_t>(lived * it.clockRate);
    }

    OrderResult execute(Executor& executor, const SendOrder& order)
    {
        OrderResult out;
        out.clockMs = clockOf(executor);
        out.bornMs = executor.bornMs;
        if (order.fence < executor.fence) {
            out.outcome = OrderOutcome::StaleFence;
            return out;
        }
        executor.fence = order.fence;
        out.outcome = OrderOutcome::Done;
        if (const auto* start = std::get_if<StartRun>(&order.order))
            out.outcome = begin(executor, *start);
        else if (const auto* stop = std::get_if<StopRun>(&order.order))
            stopRun(executor, *stop);
        else if (const auto* renewal = std::get_if<RenewLease>(&order.order))
            renewLease(executor, *renewal, out);
        return out;
    }

    OrderOutcome begin(Executor& executor, const StartRun& start)
    {
        if (const auto it = executor.runs.find(start.task); it != executor.runs.end() && it->second.run == start.run)
            return OrderOutcome::Done;
        if (const auto it = executor.barredRuns.find(start.task);
            it != executor.barredRuns.end() && start.run <= it->second)
            return OrderOutcome::StaleRun;
        if (start.leaseUntilMs <= clockOf(executor))
            return OrderOutcome::LeaseExpired;
        checkStart(executor, start);
        executor.leaseUntilMs = std::max(executor.leaseUntilMs, start.leaseUntilMs);
        const auto& caller = m_callers[start.task.step.job];
        const auto& spec = caller.request.steps(static_cast<int>(start.task.step.step));
        Run run { start.run, start.payload, 100.0 + static_cast<double>(m_random.below(1'500)),
            m_random.chance(m_options.failures), needOf(spec) };
        executor.runs[start.task] = std::move(run);
        checkCapacity(executor);
        return OrderOutcome::Done;
    }

    void endRun(Executor& executor, const TaskKey& key, schema::RunOutcome outcome)
    {
        const auto run = executor.runs.at(key).run;
        executor.runs.erase(key);
        executor.barredRuns[key] = std::max(executor.barredRuns[key], run);
        executor.ended.push_back({ ++executor.lastEnd, key, run, outcome, {} });
        if (stepSpec(key.step).gang() && outcome != schema::RUN_OUTCOME_BROKEN)
            endOtherGangMembers(key.step, run, outcome);
    }

    // When one member of a gang is done, all are; when one ends otherwise, the others break.
    void endOtherGangMembers(const StepKey& step, uint32_t run, schema::RunOutcome outcome)
    {
        const auto others = outcome == schema::RUN_OUTCOME_DONE ? outcome : schema::RUN_OUTCOME_BROKEN;
        for (auto& executor : m_executors) {
            std::vector<TaskKey> keys;
            for (const auto& [key, it] : executor.runs) {
                if (key.step == step && it.run == run)
                    keys.push_back(key);
            }
            for (const auto& key : keys) {
                if (executor.runs.contains(key))
                    endRun(executor, key, others);
            }
        }
    }

    bool isGangComplete(const StepKey& step, uint32_t run)
    {
        size_t n = 0;
        for (const auto& executor : m_executors) {
            for (const auto& [key, it] : executor.runs)
                n += key.step == step && it.run == run ? 1 : 0;
        }
        return n == stepSpec(step).count();
    }

    void stopRun(Executor& executor, const StopRun& stop)
    {
        executor.barredRuns[stop.task] = std::max(executor.barredRuns[stop.task], stop.run);
        const auto it = executor.runs.find(stop.task);
        if (it != executor.runs.end() && it->second.run <= stop.run)
            endRun(executor, stop.task, schema::RUN_OUTCOME_STOPPED);
    }

    void renewLease(Executor& executor, const RenewLease& renewal, OrderResult& out)
    {
        executor.leaseUntilMs = std::max(executor.leaseUntilMs, renewal.leaseUntilMs);
        for (const auto& it : executor.ended) {
            // An end does not count if the lease expired before the end was acknowledged.
            if (it.number <= renewal.acknowledgedEnds && it.number > executor.expiredEnds
                && it.outcome == schema::RUN_OUTCOME_DONE)
                markDone(it.task);
        }
        std::erase_if(executor.ended, [&](const auto& it) { return it.number <= renewal.acknowledgedEnds; });
        for (const auto& [key, run] : executor.runs)
            out.running.push_back({ key, run.run, {}, 100, -1 });
        out.ended = executor.ended;
    }

    // ---- Rules -------------------------------------------------------------

    void checkStart(const Executor& executor, const StartRun& start)
    {
        const auto task = taskText(start.task);
        const auto caller = m_callers.find(start.task.step.job);
        if (caller == m_callers.end() || caller->second.request.payload() != start.payload)
            return reportViolation(fmt::format("UNASKED: {} on {}", task, executor.id));
        if (caller->second.isRefused)
            reportViolation(fmt::format("REFUSED: {} starts though its job was refused", task));
        for (const auto& other : m_executors) {
            if (other.runs.contains(start.task))
                reportViolation(fmt::format("TWICE: {} runs on {} and starts on {}", task, other.id, executor.id));
        }
        if (m_done.contains(start.task))
            reportViolation(fmt::format("TWICE: {} starts on {} after its end was acknowledged", task, executor.id));
        const auto& step = caller->second.request.steps(static_cast<int>(start.task.step.step));
        for (const auto before : step.depends_on()) {
            for (uint32_t n = 0; n < caller->second.request.steps(static_cast<int>(before)).count(); ++n) {
                const TaskKey needed { { start.task.step.job, start.task.step.occurrence, before }, n };
                if (!m_done.contains(needed))
                    reportViolation(fmt::format("ORDER: {} starts before {}", task, taskText(needed)));
            }
        }
        if (m_failures[start.task] >= 3)
            reportViolation(fmt::format("BUDGET: {} starts after {} failures", task, m_failures[start.task]));
        if (m_options.needsTickets && !isGranted(start.task.step, executor.id))
            reportViolation(fmt::format("ROUTE: {} starts on {} without advice", task, executor.id));
    }

    void checkCapacity(const Executor& executor)
    {
        ResourceVector used;
        ResourceVector all;
        for (const auto& [key, run] : executor.runs)
            used += run.need;
        for (const auto& it : m_executors) {
            for (const auto& [key, run] : it.runs)
                all += run.need;
        }
        if (!used.fitsIn(executor.capacity))
            reportViolation(fmt::format("LIMIT: {} holds {}", executor.id, describe(used)));
        if (m_options.teamCap > 0 && all.amounts[0] > static_cast<int64_t>(m_options.teamCap) * 11 / 10)
            reportViolation(fmt::format("QUOTA: the team holds {}", describe(all)));
    }

    // ---- Time and faults -----------------------------------------------------

    void step()
    {
        constexpr std::chrono::milliseconds stepTime { 5 };
        m_clock.advance(stepTime);
        const auto now = m_clock.now();
        for (size_t n = 0; n < m_events.size();) {
            if (m_events[n].at > now) {
                ++n;
                continue;
            }
            auto action = std::move(m_events[n].action);
            m_events.erase(m_events.begin() + static_cast<std::ptrdiff_t>(n));
            action();
            performActions();
        }
        for (auto& it : m_executors)
            advanceExecutor(it, 5.0);
        const auto before = std::clock();
        m_leader->onTick(now, wall());
        m_leader->finishBatch(now, wall());
        m_leaderSeconds += static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        performActions();
    }

    void performActions()
    {
        for (auto actions = m_leader->takeActions(); !actions.empty(); actions = m_leader->takeActions()) {
            for (auto& it : actions)
                std::visit([this](auto& action) { perform(action); }, it);
        }
    }

    void advanceExecutor(Executor& executor, double ms)
    {
        std::vector<TaskKey> finished;
        const bool hasExpired = clockOf(executor) > executor.leaseUntilMs;
        if (hasExpired)
            executor.expiredEnds = executor.lastEnd;
        for (auto& [key, run] : executor.runs) {
            if (!stepSpec(key.step).gang() || isGangComplete(key.step, run.run))
                run.leftMs -= ms;
            if (hasExpired || run.leftMs <= 0)
                finished.push_back(key);
        }
        for (const auto& key : finished) {
            if (!executor.runs.contains(key)) // ended together with its gang
                continue;
            const bool fails = executor.runs.at(key).fails;
            if (hasExpired) {
                endRun(executor, key, schema::RUN_OUTCOME_LAPSED);
            } else {
                endRun(executor, key, fails ? schema::RUN_OUTCOME_FAILED : schema::RUN_OUTCOME_DONE);
            }
        }
        if (m_clock.now() < executor.nextAnnouncement || executor.silentUntil > m_clock.now())
            return;
        executor.nextAnnouncement = m_clock.now() + std::chrono::milliseconds(1'500);
        ExecutorAnnouncement it;
        it.record.set_id(executor.id);
        it.record.set_born_ms(executor.bornMs);
        it.record.set_address(executor.id);
        it.record.set_service("filling");
        *it.record.mutable_capacity() = toMessage(executor.capacity);
        it.sequence = ++executor.sequence;
        m_leader->onCall(++m_lastHandle, std::move(it), m_clock.now(), wall());
    }

    void injectFaults()
    {
        constexpr double stepsPerSecond = 200;
        auto& executor = m_executors[m_random.below(m_executors.size())];
        if (m_random.chance(m_options.executorCrashesPerSecond / stepsPerSecond)) {
            const auto number = static_cast<size_t>(&executor - m_executors.data());
            executor = makeExecutor(number);
            executor.silentUntil = m_clock.now() + std::chrono::milliseconds(m_random.below(3'000));
        } else if (m_random.chance(m_options.silencesPerSecond / stepsPerSecond)) {
            executor.silentUntil = m_clock.now() + std::chrono::milliseconds(1'000 + m_random.below(8'000));
        }
        if (m_random.chance(m_options.leaderChangesPerSecond / stepsPerSecond))
            startLeader();
    }

    void submitAndCancelJobs()
    {
        constexpr double stepsPerSecond = 200;
        if (m_random.chance(m_options.jobsPerSecond / stepsPerSecond)) {
            const auto id = ++m_lastJob;
            m_callers[id].request = randomRequest(id);
        }
        resubmitJobs();
        for (auto& [id, it] : m_callers) {
            if (it.isAccepted && !it.isCancelled && m_random.chance(m_options.cancels / stepsPerSecond)) {
                it.isCancelled = true;
                m_leader->onCall(
                    ++m_lastHandle, CancelJob { "farm.example", path(id), "key", id }, m_clock.now(), wall());
            }
        }
    }

    void resubmitJobs()
    {
        for (auto& [id, it] : m_callers) {
            if (it.isAccepted || it.isRefused || m_clock.now() < it.nextTry)
                continue;
            it.nextTry = m_clock.now() + std::chrono::milliseconds(700);
            ++it.tries;
            const auto handle = ++m_lastHandle;
            m_calls[handle] = id;
            SubmitJob call { "farm.example", path(id), "key", it.request };
            m_leader->onCall(handle, std::move(call), m_clock.now(), wall());
        }
    }

    static std::string path(uint64_t id) { return "/blend/" + jobIdText(id); }

    schema::JobRequest randomRequest(uint64_t id)
    {
        schema::JobRequest out;
        out.set_id(id);
        out.set_payload(fmt::format("payload {}", id));
        const auto steps = 1 + m_random.below(3);
        for (uint64_t n = 0; n < steps; ++n) {
            auto& step = *out.add_steps();
            step.set_count(static_cast<uint32_t>(1 + m_random.below(4)));
            step.set_gang(m_random.chance(0.3));
            step.set_estimate_ms(300 + m_random.below(1'000));
            step.mutable_need()->set_milli_cpus(500 + m_random.below(2'000));
            step.mutable_need()->set_memory_mib(500 + m_random.below(2'000));
            if (n > 0 && m_random.chance(0.7))
                step.add_depends_on(static_cast<uint32_t>(m_random.below(n)));
        }
        return out;
    }

    bool isOpen(uint64_t id, const Caller& it) const
    {
        if (it.isRefused)
            return false;
        const auto* job = m_state.find(id);
        return job == nullptr || !job->hasEnded();
    }

    bool hasOpenJobs()
    {
        bool open = false;
        for (const auto& [id, it] : m_callers) {
            if (isOpen(id, it))
                open = true;
            else
                m_completed.insert(id);
        }
        return open;
    }

    std::string describeOpen(uint64_t id) const
    {
        std::string out;
        const auto* job = m_state.find(id);
        if (job == nullptr)
            return ", unknown to the state";
        for (const auto& [occurrence, open] : job->open) {
            for (size_t n = 0; n < open.steps.size(); ++n) {
                const auto& step = open.steps[n];
                out += fmt::format("; step {}{}: {} of {} done, {} assigned", n,
                    job->request.steps(static_cast<int>(n)).gang() ? " (gang)" : "", step.doneTasks, step.tasks.size(),
                    step.assignedTasks);
            }
        }
        return out
            + fmt::format("; usable {} waiting {} running {}", m_leader->usableExecutors(m_clock.now()),
                m_leader->waitingTasks(), m_leader->runningTasks());
    }

    void reportOpenJobs()
    {
        for (const auto& [id, it] : m_callers) {
            if (isOpen(id, it))
                reportViolation(fmt::format("LOST: job {} has not ended (accepted {}, cancelled {}){}", id,
                    it.isAccepted, it.isCancelled, describeOpen(id)));
        }
    }

    JobsWorldOptions m_options;
    Random m_random;
    ManualClock m_clock;
    JobState m_state;
    std::unique_ptr<JobLeader> m_leader;
    uint64_t m_term = 0;
    std::deque<std::pair<uint64_t, std::string>> m_proposed;
    std::vector<Executor> m_executors;
    std::vector<Event> m_events;
    std::map<uint64_t, Caller> m_callers;
    std::map<uint64_t, uint64_t> m_calls; // handle to job
    std::set<uint64_t> m_acceptedJobs;
    std::set<uint64_t> m_completed;
    std::set<TaskKey> m_done;
    std::map<TaskKey, uint32_t> m_failures;
    std::vector<std::string> m_violations;
    double m_leaderSeconds = 0;
    uint64_t m_lastHandle = 0;
    uint64_t m_lastJob = 0;
    uint64_t m_lastIncarnation = 0;
};

} // namespace teasel
