// State of one placement leader, shared by its components.
#pragma once

#include "core/random.h"
#include "naming/label_index.h"
#include "placement/fair_share.h"
#include "placement/placement_types.h"
#include "placement/quarantine.h"
#include "placement/selector_cache.h"
#include "placement/task_table.h"
#include "placement/usage_estimator.h"
#include "placement/worker_table.h"

#include <utility>

namespace teasel {

// Capacity held on a worker for tasks of a job, either after a preemption or for a waiting gang.
struct Claim {
    JobOrdinal job = noJob;
    WorkerId worker = noWorker;
    ResourceVector need; // resources per task
    uint32_t tasks = 1;
    Instant createdAt {};
};

// The gang for which capacity is reserved until it fits. There is at most one.
struct GangReservation {
    JobOrdinal job = noJob;
    ResourceVector portion; // amount of the team's portion that is reserved too
    Instant readyAt {}; // estimated from the run times of running tasks
    Instant plannedAt {};
};

struct PlacementState {
    PlacementState(PlacementOptions settings, NameTable& nameTable)
        : options(std::move(settings))
        , names(nameTable)
        , labels(nameTable)
        , selectors(nameTable, labels)
        , random(options.seed)
    {
    }

    // Whether this leader may issue orders at this time.
    bool mayIssueOrders(Instant now) const { return leading && now < authorityEnd; }
    // Whether recovery is complete: every task that may still run on any worker is known.
    bool isRecovered(Instant now) const { return leading && now >= recoveredAt; }

    // Clears workers, jobs and tasks. Team settings and usage history are kept.
    void clearClusterState();

    void addClaim(const Claim&);
    void dropClaim(size_t position);
    void dropClaimsOf(JobOrdinal);
    void dropClaimsOn(WorkerId);
    void dropReservation();

    PlacementOptions options;
    NameTable& names;
    LabelIndex labels;
    SelectorCache selectors;
    WorkerTable workers;
    TaskTable tasks;
    FairShare shares;
    Quarantine quarantine;
    UsageEstimator usage;
    std::vector<Claim> claims;
    GangReservation reservation;
    PlacementStats stats;
    Random random;
    Epoch epoch = 0;
    uint64_t orderSequence = 0; // of the last orders to any worker; never repeats within an epoch
    bool leading = false;
    bool jobsReceived = false; // job records have been received in this epoch
    bool workPending = false; // a change may allow further placements
    Instant recoveredAt {};
    Instant authorityEnd { Instant::max() };
};

} // namespace teasel
