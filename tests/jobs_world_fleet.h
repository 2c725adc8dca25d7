// The emulator's executors: leases on their own clocks, runs, gangs, crashes and changes of capacity.
#pragma once

#include "core/random.h"
#include "jobs_world_checks.h"
#include "jobs_world_hazards.h"
#include "jobs_world_types.h"

#include <set>
#include <utility>

namespace teasel {

class JobsWorldFleet {
public:
    JobsWorldFleet(const JobsWorldOptions& options, Random& random, const ManualClock& clock, WorldCallers& callers,
        JobsWorldChecks& checks, JobsWorldHazards& hazards)
        : m_options(options)
        , m_random(random)
        , m_clock(clock)
        , m_callers(callers)
        , m_checks(checks)
        , m_hazards(hazards)
    {
        for (size_t n = 0; n < options.executors; ++n)
            m_executors.push_back(makeExecutor(n));
    }

    std::vector<WorldExecutor>& executors() { return m_executors; }
    static ResourceVector fullCapacity() { return { { 8'000, 16'384, 0 } }; }

    bool canReceive(const SendOrder& order)
    {
        const auto* it = addressee(order);
        return it != nullptr && it->silentUntil <= m_clock.now();
    }

    // The start time of the present incarnation under this id; 0: none.
    uint64_t bornOf(const std::string& id) const
    {
        const auto it
            = std::find_if(m_executors.begin(), m_executors.end(), [&](const auto& one) { return one.id == id; });
        return it == m_executors.end() ? 0 : it->bornMs;
    }

    bool isDeadlyStart(const SendOrder& order)
    {
        const auto* start = std::get_if<StartRun>(&order.order);
        if (start == nullptr)
            return false;
        const auto& deadly = m_callers[start->task.step.job].deadly;
        return deadly && deadly->step == start->task.step.step && deadly->index == start->task.index;
    }

    // An order goes to an address and names an executor's id: one that is still in flight when the executor restarts
    // reaches the next incarnation, which refuses it if its id is another.
    std::optional<OrderResult> deliver(const SendOrder& order, uint64_t sentToBorn, bool isLate)
    {
        const auto* found = addressee(order);
        if (!canReceive(order) && !(found != nullptr && isLate && m_options.lateOrdersPassCuts))
            return std::nullopt;
        auto& executor = *addressee(order);
        if (executor.id != order.executorId) {
            ++m_hazards.counts().ordersForOtherIds;
            return OrderResult { OrderOutcome::OtherIncarnation };
        }
        if (m_hazards.refuses(executor, order))
            return OrderResult { OrderOutcome::Refused };
        auto result = execute(executor, order, executor.bornMs != sentToBorn);
        m_hazards.editAnswer(order, result);
        for (const auto& [key, run] : executor.runs) {
            if (run.crashesBeforeAnswer) {
                crashBecauseOf(executor, key);
                return std::nullopt;
            }
        }
        return result;
    }

    // The time until a crash that the last delivered order made certain.
    std::optional<Milliseconds> takePlannedCrash() { return std::exchange(m_plannedCrash, std::nullopt); }

    // The next incarnation knows nothing of the one before.
    void crash(WorldExecutor& executor, const std::optional<TaskKey>& cause = std::nullopt, bool isBehindCut = false)
    {
        m_checks.recordCrash(executor, cause, isBehindCut);
        auto next = makeExecutor(executor.slot);
        next.id = executor.id;
        next.address = executor.address;
        if (!isBehindCut && m_options.changedIds > 0 && m_random.chance(m_options.changedIds)) {
            next.id = nextIdAfter(executor);
            if (m_random.chance(0.5))
                next.address = next.id;
        }
        if (next.id == executor.id && m_hazards.stepsClock())
            next.bornMs = unusedBornBefore(executor.bornMs);
        executor = std::move(next);
    }

    // Another executor follows at its address.
    void end(WorldExecutor& executor)
    {
        m_checks.recordCrash(executor, std::nullopt, true);
        auto next = makeExecutor(executor.slot);
        next.id = nextIdAfter(executor);
        next.address = executor.address;
        executor = std::move(next);
    }

    void advance(WorldExecutor& executor, double ms)
    {
        std::vector<TaskKey> finished;
        std::optional<TaskKey> deadly;
        const bool hasExpired = clockOf(executor) > executor.leaseUntilMs;
        if (hasExpired)
            executor.expiredEnds = executor.lastEnd;
        for (auto& [key, run] : executor.runs) {
            if (!m_checks.stepSpec(key.step).gang() || isGangComplete(key.step, run.run))
                run.leftMs -= ms;
            if (run.stopsInMs)
                *run.stopsInMs -= ms;
            if (run.gangEnd)
                run.gangEnd->inMs -= ms;
            if (run.crashesInMs && (*run.crashesInMs -= ms) <= 0)
                deadly = key;
            if (hasExpired || run.leftMs <= 0 || (run.stopsInMs && *run.stopsInMs <= 0)
                || (run.gangEnd && run.gangEnd->inMs <= 0))
                finished.push_back(key);
        }
        for (const auto& key : finished) {
            if (!executor.runs.contains(key)) // ended together with its gang
                continue;
            const auto& run = executor.runs.at(key);
            if (hasExpired)
                endRun(executor, key, schema::RUN_OUTCOME_LAPSED);
            else if (run.gangEnd && run.gangEnd->inMs <= 0)
                endRun(executor, key, run.gangEnd->outcome);
            else if (run.leftMs <= 0 && !run.gangEnd)
                endRun(executor, key, run.fails ? schema::RUN_OUTCOME_FAILED : schema::RUN_OUTCOME_DONE);
            else if (run.stopsInMs && *run.stopsInMs <= 0)
                endRun(executor, key, schema::RUN_OUTCOME_STOPPED);
        }
        if (deadly && executor.runs.contains(*deadly))
            crashBecauseOf(executor, *deadly);
    }

private:
    WorldExecutor makeExecutor(size_t slot)
    {
        WorldExecutor it;
        it.slot = slot;
        it.id = fmt::format("x{}", slot);
        it.address = it.id;
        it.bornMs = ++m_lastBorn;
        m_usedBorns.insert(it.bornMs);
        it.bornAt = m_clock.now();
        it.clockRate = 0.98 + m_random.unit() * 0.02;
        it.capacity = fullCapacity();
        it.nextAnnouncement = m_clock.now();
        return it;
    }

    // Numbers of one slot differ by multiples of the number of executors.
    std::string nextIdAfter(const WorldExecutor& it) const
    {
        return fmt::format("x{}", std::stoul(it.id.substr(1)) + m_options.executors);
    }

    uint64_t unusedBornBefore(uint64_t born)
    {
        do {
            born -= m_hazards.clockStepMs();
        } while (!m_usedBorns.insert(born).second);
        return born;
    }

    void crashBecauseOf(WorldExecutor& executor, const TaskKey& key)
    {
        crash(executor, TaskKey(key));
        executor.silentUntil = m_clock.now() + std::chrono::milliseconds(1'000 + m_random.below(3'000));
    }

    WorldExecutor* addressee(const SendOrder& order)
    {
        const auto it = std::find_if(
            m_executors.begin(), m_executors.end(), [&](const auto& one) { return one.address == order.address; });
        return it == m_executors.end() ? nullptr : &*it;
    }

    uint64_t clockOf(const WorldExecutor& it) const
    {
        const auto lived = std::chrono::duration<double, std::milli>(m_clock.now() - it.bornAt).count();
        return 1'000 + static_cast<uint64_t>(lived * it.clockRate);
    }

    OrderResult execute(WorldExecutor& executor, const SendOrder& order, bool isByLaterLife)
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
            out.outcome = begin(executor, *start, isByLaterLife);
        else if (const auto* stop = std::get_if<StopRun>(&order.order))
            stopRun(executor, *stop);
        else if (const auto* renewal = std::get_if<RenewLease>(&order.order))
            renewLease(executor, *renewal, out, isByLaterLife);
        return out;
    }

    OrderOutcome begin(WorldExecutor& executor, const StartRun& start, bool isByLaterLife)
    {
        if (const auto it = executor.runs.find(start.task); it != executor.runs.end() && it->second.run == start.run)
            return OrderOutcome::Done;
        if (const auto it = executor.barredRuns.find(start.task);
            it != executor.barredRuns.end() && start.run <= it->second)
            return OrderOutcome::StaleRun;
        if (start.leaseUntilMs <= clockOf(executor))
            return OrderOutcome::LeaseExpired;
        if (!m_hazards.acceptsTicket(start, executor))
            return OrderOutcome::InvalidTicket;
        m_checks.checkStart(m_executors, executor, start, isByLaterLife);
        extendLease(executor, start.leaseUntilMs);
        const auto& caller = m_callers[start.task.step.job];
        const auto& spec = caller.request.steps(static_cast<int>(start.task.step.step));
        constexpr uint64_t shortestMs = 100;
        const auto longestMs = static_cast<uint64_t>(m_options.longestRun.count());
        WorldRun run { start.run, start.payload,
            static_cast<double>(shortestMs + m_random.below(longestMs - shortestMs)),
            m_random.chance(m_options.failures), needOf(spec) };
        if (caller.deadly && caller.deadly->step == start.task.step.step)
            prepareCrash(run, spec.gang(), caller.deadly->index == start.task.index);
        run.isByLaterLife = isByLaterLife;
        if (isByLaterLife)
            m_hazards.recordStartByLaterLife(executor);
        executor.runs[start.task] = std::move(run);
        m_checks.checkCapacity(m_executors, executor);
        return OrderOutcome::Done;
    }

    void extendLease(WorldExecutor& executor, uint64_t untilMs) const
    {
        if (m_options.holdMax > Milliseconds(0))
            untilMs = std::min(untilMs, clockOf(executor) + static_cast<uint64_t>(m_options.holdMax.count()));
        executor.leaseUntilMs = std::max(executor.leaseUntilMs, untilMs);
    }

    void prepareCrash(WorldRun& run, bool isGang, bool isDeadly)
    {
        constexpr double never = 1e9;
        if (isDeadly || isGang) // A gang does not end before its deadly member.
            run.leftMs = never;
        if (!isDeadly)
            return;
        run.crashesBeforeAnswer = m_random.chance(m_options.crashesBeforeAnswer);
        const auto after = run.crashesBeforeAnswer ? 0 : m_random.below(300);
        run.crashesInMs = static_cast<double>(after);
        m_plannedCrash = Milliseconds(after);
    }

    void endRun(WorldExecutor& executor, const TaskKey& key, schema::RunOutcome outcome)
    {
        const auto run = executor.runs.at(key).run;
        executor.runs.erase(key);
        executor.barredRuns[key] = std::max(executor.barredRuns[key], run);
        executor.ended.push_back({ ++executor.lastEnd, key, run, outcome, {} });
        if (m_checks.stepSpec(key.step).gang() && outcome != schema::RUN_OUTCOME_BROKEN)
            endOtherGangMembers(key.step, run, outcome);
    }

    // When one member of a gang is done, all are; when one ends otherwise, the others break. They may learn of it
    // later.
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
                const auto it = executor.runs.find(key);
                if (it == executor.runs.end() || it->second.gangEnd)
                    continue;
                if (m_options.maxGangEndDelay > Milliseconds(0))
                    it->second.gangEnd = WorldRun::PlannedEnd { m_hazards.gangEndDelayMs(), others };
                else
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
        return n == m_checks.stepSpec(step).count();
    }

    void stopRun(WorldExecutor& executor, const StopRun& stop)
    {
        executor.barredRuns[stop.task] = std::max(executor.barredRuns[stop.task], stop.run);
        const auto it = executor.runs.find(stop.task);
        if (it == executor.runs.end() || it->second.run > stop.run)
            return;
        if (m_options.maxStopTime == Milliseconds(0))
            endRun(executor, stop.task, schema::RUN_OUTCOME_STOPPED);
        else if (!it->second.stopsInMs)
            it->second.stopsInMs
                = static_cast<double>(m_random.below(static_cast<uint64_t>(m_options.maxStopTime.count())));
    }

    void renewLease(WorldExecutor& executor, const RenewLease& renewal, OrderResult& out, bool isByLaterLife)
    {
        extendLease(executor, renewal.leaseUntilMs);
        for (const auto& it : executor.ended) {
            // An end does not count if the lease expired before the end was acknowledged.
            if (it.number > renewal.acknowledgedEnds || it.number <= executor.expiredEnds
                || it.outcome != schema::RUN_OUTCOME_DONE)
                continue;
            if (isByLaterLife)
                ++m_hazards.counts().forgottenEnds;
            m_checks.markDone(it.task);
        }
        std::erase_if(executor.ended, [&](const auto& it) { return it.number <= renewal.acknowledgedEnds; });
        for (const auto& [key, run] : executor.runs)
            out.running.push_back({ key, run.run, {}, 100, -1 });
        out.ended = executor.ended;
    }

    const JobsWorldOptions& m_options;
    Random& m_random;
    const ManualClock& m_clock;
    WorldCallers& m_callers;
    JobsWorldChecks& m_checks;
    JobsWorldHazards& m_hazards;
    std::vector<WorldExecutor> m_executors;
    std::optional<Milliseconds> m_plannedCrash;
    uint64_t m_lastBorn = 1'000'000'000; // start time of the latest incarnation without a step of the clock
    std::set<uint64_t> m_usedBorns;
};

} // namespace teasel
