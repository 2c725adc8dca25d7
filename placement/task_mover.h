// Moves tasks off draining workers, and replaces replicas of earlier specifications.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

namespace teasel {

// The replacement of a service replica starts before the old replica stops. If
// there is no capacity for a surge replica, old replicas are stopped first, as long
// as the service keeps its minimum available count.
class TaskMover {
public:
    TaskMover(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    void moveTasks(Instant now);

private:
    void moveServiceReplicas(Job&, Instant now);
    void markMoving(Job&);
    bool mustMove(const Job&, const TaskRef&) const;
    void stopSurplus(Job&, Instant now);
    bool stopOneMovingReplica(Job&, bool onlyUnstarted, Instant now);
    void moveBatchTasks(const Job&, Instant now);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
};

} // namespace teasel
