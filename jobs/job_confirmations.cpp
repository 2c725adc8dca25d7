// JobLeader: which runs their executors have begun, so that their starts are used up. Recorded in the replicated log: a
// later leader need not wait until the start of such a run has expired when it loses the executor, too.
#include "jobs/job_leader.h"

#include <utility>

namespace teasel {

namespace {

    constexpr int maxConfirmationsPerChange = 1'000;

} // namespace

void JobLeader::confirmRun(const LiveExecutor& executor, const TaskKey& key, LiveRun& run)
{
    if (!std::exchange(run.isConfirmed, true))
        m_newConfirmations.push_back({ executor.number, key, run.run });
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
