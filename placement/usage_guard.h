// Holds tasks to what is committed to them before they hurt their neighbours.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

namespace teasel {

// A task that reports more use than its commitment is throttled to it. One that
// stays above while its worker as a whole is short is checkpointed or stopped,
// and its job's next tasks get what it used.
class UsageGuard {
public:
    UsageGuard(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // After a worker's report has been taken.
    void review(WorkerId, Instant now);

private:
    bool exceeds(const Resident&) const;
    bool isShort(const Worker&) const;
    void learnFrom(const Resident&);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
};

} // namespace teasel
