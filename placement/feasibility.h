// Checks whether a job could run on the fleet if no other job did.
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

    // Fails with NeverPlaceable, naming the selector term or the kind of resource
    // that excludes the job, or with BadRequest if the specification is invalid.
    // While no worker is known, every valid job is considered feasible.
    Result<void> check(const schema::JobSpec&);

    // Fails queued jobs that have been infeasible for longer than `unplaceableGrace`.
    void failInfeasibleJobs(Instant now);

private:
    Result<void> checkSpec(const schema::JobSpec&) const;
    Result<void> checkCapacity(const schema::JobSpec&, const WorkerSet*) const;

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
};

} // namespace teasel
