// Policies of the three kinds of jobs: how many tasks to start, and what follows when one ends.
#pragma once

#include "placement.pb.h"

#include <cstdint>
#include <variant>

namespace teasel {

// How an attempt ended.
enum class TaskOutcome : uint8_t {
    Succeeded = 0,
    Failed = 1,
    Stopped = 2,
    Checkpointed = 3,
    Lost = 4, // its worker's lease expired
};

// What the end of an attempt means for the task and its job.
enum class EndAction : uint8_t {
    Finish = 0, // the task is finished
    Retry = 1, // place the task again at once
    RetryWithBackoff = 2, // place the task again after a growing delay
    RestartGang = 3, // stop every task of the job and place them again
    RestartGangWithBackoff = 4, // the same after a growing delay
};

// Task counts of a job.
struct JobCounts {
    uint32_t wanted = 0; // task count in the specification
    uint32_t placed = 0;
    uint32_t running = 0;
    uint32_t finished = 0;
    uint32_t moving = 0; // placed, but to be replaced: on a drained or leaving worker, or of an earlier specification
};

// Replicas that run until stopped and are replaced independently. There are twice
// as many task indices as replicas, so that a replacement can start on another
// worker before the old replica stops.
class ServicePolicy {
public:
    explicit ServicePolicy(uint32_t minAvailable)
        : m_minAvailable(minAvailable)
    {
    }
    uint32_t indices(uint32_t tasks) const { return tasks * 2; }
    uint32_t tasksToStart(const JobCounts&) const;
    EndAction onEnd(TaskOutcome) const;
    bool isComplete(const JobCounts&) const { return false; }
    // Number of running replicas that may be stopped now. With `downToMinAvailable` only
    // the minimum available count must keep running, otherwise the full count.
    uint32_t stoppableReplicas(const JobCounts&, bool downToMinAvailable) const;

private:
    uint32_t m_minAvailable;
};

// Tasks that each run to completion.
class BatchPolicy {
public:
    uint32_t indices(uint32_t tasks) const { return tasks; }
    uint32_t tasksToStart(const JobCounts&) const;
    EndAction onEnd(TaskOutcome) const;
    bool isComplete(const JobCounts& counts) const { return counts.finished >= counts.wanted; }
};

// Tasks that run all at the same time or not at all. If one ends without success, all are restarted.
class GangPolicy {
public:
    uint32_t indices(uint32_t tasks) const { return tasks; }
    uint32_t tasksToStart(const JobCounts&) const;
    EndAction onEnd(TaskOutcome) const;
    bool isComplete(const JobCounts& counts) const { return counts.finished >= counts.wanted; }
};

using JobPolicy = std::variant<ServicePolicy, BatchPolicy, GangPolicy>;

JobPolicy makeJobPolicy(const schema::JobSpec&);

} // namespace teasel
