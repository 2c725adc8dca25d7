// The steps of an attempt's life, which keep workers, tasks and shares in agreement.
#pragma once

#include "placement/placement_state.h"

#include <string>
#include <string_view>

namespace teasel {

// Every change of where a task is goes through here. An attempt starts only
// when no other attempt at the task may be running anywhere.
class TaskLifecycle {
public:
    explicit TaskLifecycle(PlacementState& state)
        : m_state(state)
    {
    }

    // Commits a waiting task to a worker that has room for `commitment`.
    void place(const TaskRef&, WorkerId, const ResourceVector& commitment, bool backfilled, Instant now);

    // Takes back a placement that no orders have gone out for.
    void takeBack(const TaskRef&);

    // Counts an attempt that a worker reports and this leader did not order,
    // and settles which attempt at the task goes on.
    void adopt(WorkerId, const schema::TaskReport&, JobOrdinal, Instant now);

    // Stops an attempt. Its task waits, and is placed again once no attempt is left.
    void stop(WorkerId, size_t position, schema::StopManner, Instant now);
    // Stops an attempt that the worker does not run as it should; a gang starts again as a whole.
    void giveUp(WorkerId, size_t position, Instant now);
    // Stops the attempt that counts, if the task is placed; with a checkpoint if the job can.
    void stopTask(const TaskRef&, Instant now);

    // An attempt is over and gone from its worker.
    void ended(WorkerId, size_t position, TaskOutcome, std::string_view message, Instant now);

    // A worker reports a success of an attempt that this leader does not hold.
    void succeededElsewhere(const TaskRef&, const Attempt&, Instant now);

    // Ends a job: stops its tasks and asks for the phase to be committed.
    void closeJob(JobOrdinal, schema::JobPhase, std::string_view reason, Instant now);
    // Stops what runs of a job that may not run any more.
    void stopAll(JobOrdinal, Instant now);
    // Stops all tasks of a gang and has them placed again, after a delay if it failed.
    void restartGang(JobOrdinal, bool failed, Instant now);

    // Has a task placed when no attempt of it is left.
    void requeue(const TaskRef&, Instant notBefore, Instant now);

    static uint32_t maxAttempts(const PlacementOptions&, const Job&);

private:
    void detach(const TaskRef&);
    void concludeCurrent(const TaskRef&, TaskOutcome, WorkerId, std::string_view message, Instant now);
    void concludeDetached(const TaskRef&, const Resident&, TaskOutcome, Instant now);
    void finish(const TaskRef&, Instant now);
    void retryLater(const TaskRef&, WorkerId, std::string_view message, Instant now);
    void settle(const TaskRef&, WorkerId, const Attempt&, Instant now);
    bool mayGoOn(const TaskRef&, const Attempt&, Instant now) const;
    Milliseconds backoff(uint32_t failures) const;

    PlacementState& m_state;
};

} // namespace teasel
