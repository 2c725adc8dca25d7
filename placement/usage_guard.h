// Enforces commitments before a task can affect other tasks on its worker.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

namespace teasel {

// A task that uses more than its commitment is throttled to it. If it stays above
// while its worker is overcommitted, it is checkpointed or stopped, and later tasks
// of its job get a commitment of at least its peak usage.
class UsageGuard {
public:
    UsageGuard(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // Checks a worker's tasks after its report has been processed.
    void enforce(WorkerId, Instant now);

private:
    bool exceedsCommitment(const Resident&) const;
    bool isOvercommitted(const Worker&) const;
    void recordPeakUsage(const Resident&);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
};

} // namespace teasel
