// State transitions of task attempts, which keep workers, tasks and shares consistent.
#pragma once

#include "placement/placement_state.h"

#include <string>
#include <string_view>

namespace teasel {

// The only place that changes where a task runs. An attempt is started only when
// no other attempt at the same task can still be running on any worker.
class TaskLifecycle {
public:
    explicit TaskLifecycle(PlacementState& state)
        : m_state(state)
    {
    }

    // Places a waiting task on a worker with at least `commitment` of uncommitted capacity.
    void place(const TaskRef&, WorkerId, const ResourceVector& commitment, bool backfilled, Instant now);

    // Reverts a placement whose start order has not been sent yet.
    void undoPlacement(const TaskRef&);

    // Registers a running attempt that this leader did not order, and decides which
    // attempt at the task continues.
    void adopt(WorkerId, const schema::TaskReport&, JobOrdinal, Instant now);

    // Stops an attempt. Its task is placed again once no attempt at it is live.
    void stop(WorkerId, size_t position, schema::StopManner, Instant now);
    // Stops an attempt that the worker does not run as ordered. The whole gang restarts if it belongs to one.
    void abandon(WorkerId, size_t position, Instant now);
    // Stops the current attempt of a task if it is placed, with a checkpoint if the job supports it.
    void stopTask(const TaskRef&, Instant now);

    // Releases an attempt that has ended or was lost with its worker.
    void onAttemptEnded(WorkerId, size_t position, TaskOutcome, std::string_view message, Instant now);

    // Handles the success of an attempt that this leader does not track.
    void onUntrackedSuccess(const TaskRef&, const Attempt&, Instant now);

    // Closes a job: stops its tasks and requests that the phase be committed.
    void closeJob(JobOrdinal, schema::JobPhase, std::string_view reason, Instant now);
    // Stops all tasks of a closed job.
    void stopAllTasks(JobOrdinal, Instant now);
    // Stops all tasks of a gang and queues them again, after a backoff if it failed.
    void restartGang(JobOrdinal, bool failed, Instant now);

    // Queues a waiting task if no attempt at it is live.
    void requeue(const TaskRef&, Instant notBefore, Instant now);

    static uint32_t maxAttempts(const PlacementOptions&, const Job&);

private:
    void detach(const TaskRef&);
    void handleCurrentEnd(const TaskRef&, TaskOutcome, WorkerId, std::string_view message, Instant now);
    void handleDetachedEnd(const TaskRef&, const Resident&, TaskOutcome, Instant now);
    void markFinished(const TaskRef&, Instant now);
    void retryWithBackoff(const TaskRef&, WorkerId, std::string_view message, Instant now);
    void resolveConflict(const TaskRef&, WorkerId, const Attempt&, Instant now);
    bool mayContinue(const TaskRef&, const Attempt&, Instant now) const;
    Milliseconds backoff(uint32_t failures) const;

    PlacementState& m_state;
};

} // namespace teasel
