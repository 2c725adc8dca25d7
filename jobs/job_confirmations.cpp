// JobLeader: which runs are in progress on their executors, as listings and answers show. The start of such a run is
// used up. This is recorded in the replicated log: a later leader need not wait until the start has expired when it
// loses the executor, too.
#include "jobs/job_leader.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds listingDelay { 60 }; // between the end of a run and its listing
    constexpr size_t maxStrayStopsPerListing = 250;
    constexpr int maxConfirmationsPerChange = 1'000;
    // Longest time from the reading of a clock for a list of runs to the processing of that list here. After a longer
    // one the next answers confirm nothing.
    constexpr Milliseconds maxTransit { 100 };
    constexpr Milliseconds clockResolution { 1 };

} // namespace

void JobLeader::confirmRun(const LiveExecutor& executor, const TaskKey& key, LiveRun& run, Instant shownAt)
{
    run.isShown = true;
    if (run.mayHaveCopies && shownAt < run.startExpiresAt) // Another copy of its start may still be carried out.
        return;
    if (!std::exchange(run.isConfirmed, true))
        m_newConfirmations.push_back({ executor.number, key, run.run });
}

bool JobLeader::isFromRegisteredIncarnation(
    const LiveExecutor& executor, const PendingOrder& order, const OrderResult& result) const
{
    if (executor.shownClockAt == Instant() || result.clockMs == 0)
        return false;
    const auto passed = Milliseconds(static_cast<int64_t>(result.clockMs - executor.shownClockMs));
    const auto longest = std::chrono::ceil<Milliseconds>(m_now - executor.shownClockAt + maxTransit);
    const auto shortest = std::chrono::floor<Milliseconds>(order.sentAt - executor.shownClockAt);
    const auto shortestOnClock
        = std::min(shortest, std::chrono::floor<Milliseconds>(shortest / maxClockSlowdown)) - clockResolution;
    return passed >= shortestOnClock && passed <= longest;
}

void JobLeader::recordConfirmations()
{
    if (m_newConfirmations.empty() || m_now < m_nextConfirmationRecordAt)
        return;
    m_nextConfirmationRecordAt = m_now + m_options.confirmationRecordInterval;
    schema::ConfirmedRuns* record = nullptr;
    for (const auto& it : std::exchange(m_newConfirmations, {})) {
        const auto* run = findRun({ it.task, it.executor });
        const auto* job = m_state.find(it.task.step.job);
        const bool isInProgress = run != nullptr && run->run == it.run && run->stage != RunStage::Ending;
        if (!isInProgress || job == nullptr || job->hasEnded())
            continue;
        if (record == nullptr || record->runs_size() >= maxConfirmationsPerChange)
            record = change().mutable_confirmed();
        auto& confirmed = *record->add_runs();
        fillRef(it.task, *confirmed.mutable_task());
        confirmed.set_run(it.run);
        confirmed.set_executor(it.executor);
    }
}

void JobLeader::processRunningList(LiveExecutor& executor, const PendingOrder& order, const OrderResult& result)
{
    ResourceVector strays;
    size_t strayStops = 0;
    for (const auto& it : result.running) {
        const auto found = executor.runs.find(it.task);
        if (found == executor.runs.end() || found->second.run != it.run) {
            // Not assigned any more: for example, a delayed start took effect after the run was stopped.
            if (found != executor.runs.end() && found->second.run > it.run && order.sentAt < found->second.assignedAt)
                continue;
            const auto* job = m_state.find(it.task.step.job);
            const bool isNeedKnown = job != nullptr && !job->hasEnded()
                && it.task.step.step < static_cast<uint32_t>(job->request.steps_size());
            strays += isNeedKnown ? needOf(job->request.steps(static_cast<int>(it.task.step.step))) : executor.capacity;
            executor.pollAt = std::min(executor.pollAt, m_now + m_options.stopTime + listingDelay);
            if (++strayStops > maxStrayStopsPerListing) // The next listing shows the others again.
                continue;
            log("stray_run_stopped",
                { { "task", taskText(it.task) }, { "run", std::to_string(it.run) },
                    { "executor", executorState(executor.number)->record.id() },
                    { "assigned_run", found == executor.runs.end() ? "none" : std::to_string(found->second.run) },
                    { "percent", std::to_string(it.percent) } });
            PendingOrder stop;
            stop.kind = PendingOrder::Kind::Stop;
            stop.task = it.task;
            stop.run = it.run;
            sendOrder(executor, stop, StopRun { it.task, it.run }, m_options.orderTimeout);
            continue;
        }
        auto& run = found->second;
        if (!it.checkpoint.empty())
            run.checkpoint = it.checkpoint;
        run.percent = it.percent;
        run.isListed = true;
        confirmRun(executor, it.task, run, order.sentAt);
        run.lastShownAt = m_now;
        // Send a stop again that was acknowledged but had no effect.
        if (run.isStopAnswered()
            && order.sentAt > run.stopAnsweredAt + m_options.stopTime + m_options.stopRetryInterval)
            run.stopAnsweredAt = Instant();
        const bool isResumed = run.stage == RunStage::AwaitingStartExpiry;
        if (run.stage == RunStage::UnknownOutcome || run.stage == RunStage::Inherited || isResumed) {
            if (run.stage == RunStage::UnknownOutcome) {
                log("unanswered_start_listed",
                    { { "task", taskText(it.task) }, { "run", std::to_string(it.run) },
                        { "executor", executorState(executor.number)->record.id() },
                        { "start_age_ms", millisText(m_now - run.assignedAt) } });
                run.startedAt = run.unknownSince;
            }
            if (isResumed)
                resumeRun(executor, run);
            run.stage = RunStage::Running;
            if (run.mustStop && !run.isStopPending)
                sendStop(executor, it.task, run);
        }
    }
    if (order.sentAt >= executor.straysListedAt) {
        executor.straysListedAt = order.sentAt;
        executor.strays = strays;
    }
}

} // namespace teasel
