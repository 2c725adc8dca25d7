// JobLeader: which runs their executors have begun, so that their starts are used up. Recorded in the replicated log: a
// later leader need not wait until the start of such a run has expired when it loses the executor, too.
#include "jobs/job_leader.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr int maxConfirmationsPerChange = 1'000;
    // By which an answer may have been on its way and still serve to tell its incarnation.
    constexpr Milliseconds maxTransit { 100 };
    constexpr Milliseconds clockResolution { 1 };

} // namespace

void JobLeader::confirmRun(const LiveExecutor& executor, const TaskKey& key, LiveRun& run)
{
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

} // namespace teasel
