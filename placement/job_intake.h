// Takes job records from the fleet state and hands back progress for them.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <span>
#include <vector>

namespace teasel {

class JobIntake {
public:
    JobIntake(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // Takes new and changed records.
    void take(std::span<const schema::JobRecord>, Instant now);

    // Progress that the records do not show yet.
    void report(std::vector<PlacementAction>&, Instant now);

    // Gives up tasks of jobs that never got a record, and forgets jobs that are over.
    void review(Instant now);

    // Stops gangs that a new leader found only in part.
    void onSettled(Instant now);

private:
    void takeOne(const schema::JobRecord&, Instant now);
    void markDurable(Job&, Instant now);
    void enqueueTasks(Job&, Instant now);
    void reportOne(Job&, std::vector<PlacementAction>&, Instant now);
    bool holdsAnything(const Job&) const;

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
};

} // namespace teasel
