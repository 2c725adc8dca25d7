#include "placement/job_policy.h"

#include <algorithm>

namespace teasel {

uint32_t ServicePolicy::tasksToStart(const JobCounts& counts) const
{
    const uint32_t remaining = counts.placed - std::min(counts.placed, counts.moving);
    return counts.wanted > remaining ? counts.wanted - remaining : 0;
}

EndAction ServicePolicy::onEnd(TaskOutcome outcome) const
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
    case TaskOutcome::Failed:
        return EndAction::RetryWithBackoff;
    case TaskOutcome::Stopped:
    case TaskOutcome::Checkpointed:
    case TaskOutcome::Lost:
        return EndAction::Retry;
    }
    return EndAction::Retry;
}

uint32_t ServicePolicy::stoppableReplicas(const JobCounts& counts, bool downToMinAvailable) const
{
    const uint32_t minRunning = downToMinAvailable ? std::min(m_minAvailable, counts.wanted) : counts.wanted;
    return counts.running > minRunning ? counts.running - minRunning : 0;
}

uint32_t BatchPolicy::tasksToStart(const JobCounts& counts) const
{
    const uint32_t accountedFor = counts.placed + counts.finished;
    return counts.wanted > accountedFor ? counts.wanted - accountedFor : 0;
}

EndAction BatchPolicy::onEnd(TaskOutcome outcome) const
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
        return EndAction::Finish;
    case TaskOutcome::Failed:
        return EndAction::RetryWithBackoff;
    case TaskOutcome::Stopped:
    case TaskOutcome::Checkpointed:
    case TaskOutcome::Lost:
        return EndAction::Retry;
    }
    return EndAction::Retry;
}

uint32_t GangPolicy::tasksToStart(const JobCounts& counts) const
{
    const uint32_t open = counts.wanted - std::min(counts.wanted, counts.finished);
    return counts.placed == 0 ? open : 0;
}

EndAction GangPolicy::onEnd(TaskOutcome outcome) const
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
        return EndAction::Finish;
    case TaskOutcome::Failed:
        return EndAction::RestartGangWithBackoff;
    case TaskOutcome::Stopped:
    case TaskOutcome::Checkpointed:
    case TaskOutcome::Lost:
        return EndAction::RestartGang;
    }
    return EndAction::RestartGang;
}

JobPolicy makeJobPolicy(const schema::JobSpec& spec)
{
    switch (spec.kind()) {
    case schema::JOB_KIND_SERVICE:
        return ServicePolicy(spec.min_available());
    case schema::JOB_KIND_GANG:
        return GangPolicy();
    default:
        return BatchPolicy();
    }
}

} // namespace teasel
