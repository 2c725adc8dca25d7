// What the three kinds of jobs want: how many tasks to start, and what an end means.
#pragma once

#include "placement.pb.h"

#include <cstdint>
#include <variant>

namespace teasel {

// How an attempt came to its end.
enum class TaskOutcome : uint8_t {
    Succeeded = 0,
    Failed = 1,
    Stopped = 2,
    Checkpointed = 3,
    Lost = 4, // its worker's lease ran out
};

// What follows for the task and its job.
enum class EndVerdict : uint8_t {
    Finish = 0, // the task is done
    Again = 1, // placed again at once
    AgainLater = 2, // placed again after a delay that grows
    AllAgain = 3, // every task of the job is stopped and placed again
    AllAgainLater = 4,
};

// Numbers of a job's tasks.
struct JobCounts {
    uint32_t wanted = 0; // as specified
    uint32_t placed = 0;
    uint32_t running = 0;
    uint32_t finished = 0;
    uint32_t moving = 0; // placed where they may not stay, or of an earlier specification
};

// Replicas that run until stopped, each replaced on its own. There are twice as
// many task indices as replicas, so that a replica can start elsewhere before
// the one that it takes over from stops.
class ServicePolicy {
public:
    explicit ServicePolicy(uint32_t minAvailable)
        : m_minAvailable(minAvailable)
    {
    }
    uint32_t indices(uint32_t tasks) const { return tasks * 2; }
    uint32_t wantedStarts(const JobCounts&) const;
    EndVerdict onEnd(TaskOutcome) const;
    bool isComplete(const JobCounts&) const { return false; }
    // How many running replicas may be stopped now.
    uint32_t mayStop(const JobCounts&, bool withoutSpare) const;

private:
    uint32_t m_minAvailable;
};

// Tasks that each run to their end.
class BatchPolicy {
public:
    uint32_t indices(uint32_t tasks) const { return tasks; }
    uint32_t wantedStarts(const JobCounts&) const;
    EndVerdict onEnd(TaskOutcome) const;
    bool isComplete(const JobCounts& counts) const { return counts.finished >= counts.wanted; }
};

// Tasks that run all at once or not at all. When one ends before its time, all start again.
class GangPolicy {
public:
    uint32_t indices(uint32_t tasks) const { return tasks; }
    uint32_t wantedStarts(const JobCounts&) const;
    EndVerdict onEnd(TaskOutcome) const;
    bool isComplete(const JobCounts& counts) const { return counts.finished >= counts.wanted; }
};

using JobPolicy = std::variant<ServicePolicy, BatchPolicy, GangPolicy>;

JobPolicy makeJobPolicy(const schema::JobSpec&);

} // namespace teasel
