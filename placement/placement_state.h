// What the parts of the placement plane share within one leader.
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

// Room kept on a worker for tasks of a job: of a preemption, or of a gang that waits.
struct Claim {
    JobOrdinal job = noJob;
    WorkerId worker = noWorker;
    ResourceVector need; // of one task
    uint32_t tasks = 1;
    Instant madeAt {};
};

// The one gang for which room is kept until it fits.
struct GangReservation {
    JobOrdinal job = noJob;
    ResourceVector portion; // of its team, kept as well
    Instant readyAt {}; // when the declared run times leave room
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

    // Whether orders may be given at this time.
    bool mayAct(Instant now) const { return leading && now < authorityEnd; }
    // Whether every task that may run anywhere is known.
    bool settled(Instant now) const { return leading && now >= settledAt; }

    // Forgets workers, jobs and tasks; teams and learned usage stay.
    void forgetAll();

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
    bool leading = false;
    bool jobsHeard = false; // records came in this epoch
    bool workPending = false; // something changed that a pass may act on
    Instant settledAt {};
    Instant authorityEnd { Instant::max() };
};

} // namespace teasel
