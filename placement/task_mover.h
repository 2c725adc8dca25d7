// Moves tasks off workers that are to be emptied, and replicas off earlier specifications.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

namespace teasel {

// A service's replica is started elsewhere before the old one stops. Where
// there is no room for a spare, replicas are stopped first for as long as the
// service keeps its least number running.
class TaskMover {
public:
    TaskMover(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    void review(Instant now);

private:
    void reviewService(Job&, Instant now);
    void markMoving(Job&);
    bool mustMove(const Job&, const TaskRef&) const;
    void dropExtra(Job&, Instant now);
    bool stopOneMoving(Job&, bool onlyUnstarted, Instant now);
    void reviewBatch(const Job&, Instant now);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
};

} // namespace teasel
