// JobLeader: starts of lasting tasks that are sent to the same executor again. An earlier leader may have sent them;
// the executor carries out one of the copies and rejects the others for their fence or as old. A lasting task is never
// done, so that a copy that a later incarnation carries out repeats no work that was done.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr unsigned maxRepeats = 5; // to an executor that answers polls and no starts

} // namespace

bool JobLeader::mayHaveBeenRepeated(const TaskKey& key) const
{
    const auto* job = m_state.find(key.step.job);
    if (job == nullptr || job->hasEnded())
        return false;
    const auto& step = job->request.steps(static_cast<int>(key.step.step));
    return step.lasting() && !step.gang();
}

bool JobLeader::mayRepeatStart(
    const LiveExecutor& executor, const TaskKey& key, const LiveRun& run, const PendingOrder& listing) const
{
    const bool isInherited = run.stage == RunStage::Inherited && !run.isConfirmed && !run.isMoved;
    const bool isUnanswered = run.stage == RunStage::UnknownOutcome && run.repeats > 0 && run.repeats < maxRepeats
        && !run.isRefused && !run.isStartAnswered && listing.sentAt > run.unknownSince;
    if ((!isInherited && !isUnanswered) || run.mustStop || listing.sentAt >= run.startExpiresAt)
        return false;
    const auto* job = m_state.find(key.step.job);
    const auto* task = m_state.find(key);
    const auto* state = executorState(executor.number);
    const auto step = m_readySteps.find(key.step);
    if (job == nullptr || job->hasEnded() || task == nullptr || task->done || task->run != run.run || state == nullptr
        || step == m_readySteps.end())
        return false;
    const auto& spec = step->second;
    return spec.lasting && !spec.gang && !spec.needsTicket
        && mayRunOn(spec, state->record.service(), regionOf(*state), state->record.labels()) && isUsable(executor)
        && !isEvacuated(executor) && executor.used().fitsIn(executor.capacity);
}

void JobLeader::repeatStart(LiveExecutor& executor, const TaskKey& key)
{
    auto& run = executor.runs.at(key);
    run.mayHaveCopies = true;
    ++run.repeats;
    run.startExpiresAt = std::max(run.startExpiresAt, m_now + m_options.maxStartDelay);
    logDetail("start_repeated", [&] {
        return LogFields { { "task", taskText(key) }, { "run", std::to_string(run.run) },
            { "executor", executorState(executor.number)->record.id() }, { "repeats", std::to_string(run.repeats) } };
    });
    sendStart(executor, key, run, {});
}

void JobLeader::undoRepeat(LiveExecutor& executor, const TaskKey& key, LiveRun& run)
{
    if (--run.repeats == 0)
        run.startExpiresAt = inheritedStartExpiry(key);
    run.stage = RunStage::Inherited;
    run.isStartAnswered = false;
    executor.pollAt = m_now;
}

} // namespace teasel
