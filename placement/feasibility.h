// Whether a job could run on the fleet if nothing else did.
#pragma once

#include "core/result.h"
#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

namespace teasel {

class Feasibility {
public:
    Feasibility(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // Fails with NeverPlaceable, naming the term of the selector or the kind of
    // resource that rules the job out, or with BadRequest. While no worker is
    // known nothing is ruled out.
    Result<void> check(const schema::JobSpec&);

    // Ends waiting jobs that the fleet has not been able to run for a while.
    void review(Instant now);

private:
    Result<void> checkSpec(const schema::JobSpec&) const;
    Result<void> checkRoom(const schema::JobSpec&, const WorkerSet*) const;

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
};

} // namespace teasel
