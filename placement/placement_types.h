// Value types, options and statistics of the placement plane.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet.pb.h"
#include "placement/attempt.h"
#include "placement/resource_vector.h"

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

namespace teasel {

using WorkerId = InstanceOrdinal; // dense index of a worker, local to one leader
using JobOrdinal = uint32_t; // dense index of a job, local to one leader
using RackId = uint32_t; // dense index of a rack, local to one leader

inline constexpr WorkerId noWorker = std::numeric_limits<WorkerId>::max();
inline constexpr JobOrdinal noJob = std::numeric_limits<JobOrdinal>::max();

// Identifies a task by its job and index, local to one leader.
struct TaskRef {
    JobOrdinal job = noJob;
    uint32_t index = 0;
    bool operator==(const TaskRef&) const = default;
};

struct PlacementOptions {
    std::string dataCentre;
    Milliseconds workerLease { 10'000 }; // how long tasks keep running after the last answered report was sent
    Milliseconds clockMargin { 500 }; // covers clock drift over a lease and the time to stop tasks at expiry
    Milliseconds reportInterval { 500 }; // interval between a worker's reports
    Milliseconds checkpointTimeout { 1'500 }; // a checkpoint that takes longer becomes a plain stop
    Milliseconds initialBackoff { 1'000 }; // delay after a task's first failure; doubles with each further one
    Milliseconds maxBackoff { 60'000 };
    Milliseconds maintenanceInterval { 250 }; // interval between maintenance runs
    Milliseconds unknownJobGrace { 10'000 }; // tasks of a job without a record are stopped after this
    Milliseconds unplaceableGrace { 60'000 }; // a job that no worker can ever run fails after this
    Milliseconds progressResendInterval { 2'000 }; // progress is resent at this interval until the record shows it
    Milliseconds surgeTimeout { 5'000 }; // a rolling update waits this long for capacity for a surge replica
    Milliseconds throttleGrace { 2'000 }; // a throttled task that stays above its commitment may be stopped after this
    uint32_t defaultMaxAttempts = 5; // number of failures of one task at which its job fails
    uint32_t replacementsPerSecond = 200; // rate limit for placing tasks of lost workers again
    uint32_t jobsPerReport = 64; // limit of blocked jobs per pass that a report or a job record triggers
    uint32_t preemptionsPerPass = 64;
    uint32_t workersPerPreemption = 512; // workers examined for one preemption
    uint32_t reclaimPerMille = 1'250; // commitment of a batch task, relative to the 95th percentile of its usage
    uint64_t seed = 1;
};

// A team's resource limit in this data centre and its fair-share weight.
struct TaskTeamPolicy {
    TeamId id = 0;
    double share = 1;
    schema::Resources portion; // this data centre's part of the team's fleet-wide limit
    bool portionKnown = false; // false: an empty portion means that none has been received yet
};

// A team's current commitments in this data centre, and what it would hold if all its waiting tasks ran.
struct TeamTaskDemand {
    TeamId team = 0;
    ResourceVector inUse;
    ResourceVector wanted;
};

// Asks the host to commit progress to the job's record. Resent until the record shows it.
struct ReportProgress {
    schema::JobProgress progress;
};

using PlacementAction = std::variant<ReportProgress>;

// Counters since the process started, and current sizes.
struct PlacementStats {
    uint64_t placements = 0;
    uint64_t passes = 0;
    uint64_t reports = 0;
    uint64_t staleReports = 0;
    uint64_t tasksAdopted = 0;
    uint64_t tasksLost = 0;
    uint64_t tasksFailed = 0;
    uint64_t tasksSucceeded = 0;
    uint64_t conflictsResolved = 0;
    uint64_t preemptions = 0;
    uint64_t backfills = 0;
    uint64_t backfillsStopped = 0;
    uint64_t gangsPlaced = 0;
    uint64_t gangRestarts = 0;
    uint64_t quarantines = 0;
    uint64_t probes = 0;
    uint64_t throttles = 0;
    uint64_t overuseStops = 0;
    uint64_t moves = 0;
    uint64_t jobsFailed = 0;
    uint64_t rateLimitedPlacements = 0;
    uint64_t workers = 0;
    uint64_t jobs = 0;
    uint64_t tasksPlaced = 0;
    uint64_t tasksWaiting = 0;
};

} // namespace teasel
