#include "placement/job_policy.h"

#include <algorithm>

namespace teasel {

uint32_t ServicePolicy::wantedStarts(const JobCounts& counts) const
{
    const uint32_t staying = counts.placed - std::min(counts.placed, counts.moving);
    return counts.wanted > staying ? counts.wanted - staying : 0;
}

EndVerdict ServicePolicy::onEnd(TaskOutcome outcome) const
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
    case TaskOutcome::Failed:
        return EndVerdict::AgainLater;
    case TaskOutcome::Stopped:
    case TaskOutcome::Checkpointed:
    case TaskOutcome::Lost:
        return EndVerdict::Again;
    }
    return EndVerdict::Again;
}

uint32_t ServicePolicy::mayStop(const JobCounts& counts, bool withoutSpare) const
{
    const uint32_t keep = withoutSpare ? std::min(m_minAvailable, counts.wanted) : counts.wanted;
    return counts.running > keep ? counts.running - keep : 0;
}

uint32_t BatchPolicy::wantedStarts(const JobCounts& counts) const
{
    const uint32_t gone = counts.placed + counts.finished;
    return counts.wanted > gone ? counts.wanted - gone : 0;
}

EndVerdict BatchPolicy::onEnd(TaskOutcome outcome) const
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
        return EndVerdict::Finish;
    case TaskOutcome::Failed:
        return EndVerdict::AgainLater;
    case TaskOutcome::Stopped:
    case TaskOutcome::Checkpointed:
    case TaskOutcome::Lost:
        return EndVerdict::Again;
    }
    return EndVerdict::Again;
}

uint32_t GangPolicy::wantedStarts(const JobCounts& counts) const
{
    const uint32_t open = counts.wanted - std::min(counts.wanted, counts.finished);
    return counts.placed == 0 ? open : 0;
}

EndVerdict GangPolicy::onEnd(TaskOutcome outcome) const
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
        return EndVerdict::Finish;
    case TaskOutcome::Failed:
        return EndVerdict::AllAgainLater;
    case TaskOutcome::Stopped:
    case TaskOutcome::Checkpointed:
    case TaskOutcome::Lost:
        return EndVerdict::AllAgain;
    }
    return EndVerdict::AllAgain;
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
