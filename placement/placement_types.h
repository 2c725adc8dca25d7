// Value types of the placement plane.
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

using WorkerId = InstanceOrdinal; // dense number of a worker within one leader
using JobOrdinal = uint32_t; // dense number of a job within one leader
using RackId = uint32_t; // dense number of a rack within one leader

inline constexpr WorkerId noWorker = std::numeric_limits<WorkerId>::max();
inline constexpr JobOrdinal noJob = std::numeric_limits<JobOrdinal>::max();

// A task of a job within one leader.
struct TaskRef {
    JobOrdinal job = noJob;
    uint32_t index = 0;
    bool operator==(const TaskRef&) const = default;
};

struct PlacementOptions {
    std::string dataCentre;
    Milliseconds workerLease { 10'000 }; // tasks run on for this long after a report was sent
    Milliseconds clockMargin { 500 }; // covers clock drift over a lease and the stopping of tasks at its end
    Milliseconds reportInterval { 500 }; // between a worker's reports
    Milliseconds checkpointGrace { 1'500 }; // a checkpoint that takes longer is given up
    Milliseconds firstBackoff { 1'000 }; // after a task's first failure; doubles
    Milliseconds mostBackoff { 60'000 };
    Milliseconds upkeepInterval { 250 }; // between reviews of services, reservations and usage
    Milliseconds unknownJobGrace { 10'000 }; // tasks of a job without a record run on for this long
    Milliseconds unplaceableGrace { 60'000 }; // a job that fits nowhere in the fleet fails after this
    Milliseconds progressRepeat { 2'000 }; // progress is reported again until the record shows it
    Milliseconds surgeWait { 5'000 }; // a rolling change without room for a spare replica waits this long
    Milliseconds throttleGrace { 2'000 }; // a throttled task still above its commitment is stopped after this
    uint32_t defaultMaxAttempts = 5; // failures of one task before its job fails
    uint32_t replacementsPerSecond = 200; // tasks lost with their workers, placed again
    uint32_t jobsPerReport = 64; // jobs looked at when a report frees capacity
    uint32_t preemptionsPerPass = 64;
    uint32_t workersPerPreemption = 512; // looked at for one preemption
    uint32_t reclaimPerMille = 1'250; // of the 95th percentile of use, committed to a batch task
    uint64_t seed = 1;
};

// What a team may run in this data centre and its weight against other teams.
struct TaskTeamPolicy {
    TeamId id = 0;
    double share = 1;
    schema::Resources portion; // of the team's fleet-wide limit
    bool portionKnown = false; // false: a portion of nothing means that none has arrived yet
};

// What a team's tasks use here and would use if nothing were in the way.
struct TaskNeed {
    TeamId team = 0;
    ResourceVector inUse;
    ResourceVector wanted;
};

// Commit this to the job's record. Repeated until the record shows it.
struct ReportProgress {
    schema::JobProgress progress;
};

using PlacementAction = std::variant<ReportProgress>;

// Counters since the process began, and sizes of now.
struct PlacementStats {
    uint64_t placements = 0;
    uint64_t passes = 0;
    uint64_t reports = 0;
    uint64_t staleReports = 0;
    uint64_t tasksAdopted = 0;
    uint64_t tasksLost = 0;
    uint64_t tasksFailed = 0;
    uint64_t tasksSucceeded = 0;
    uint64_t conflictsSettled = 0;
    uint64_t preemptions = 0;
    uint64_t backfills = 0;
    uint64_t backfillsStopped = 0;
    uint64_t gangsPlaced = 0;
    uint64_t gangRestarts = 0;
    uint64_t quarantines = 0;
    uint64_t probes = 0;
    uint64_t throttles = 0;
    uint64_t usageStops = 0;
    uint64_t moves = 0;
    uint64_t jobsFailed = 0;
    uint64_t pacedSkips = 0;
    uint64_t workers = 0;
    uint64_t jobs = 0;
    uint64_t tasksPlaced = 0;
    uint64_t tasksWaiting = 0;
};

} // namespace teasel
