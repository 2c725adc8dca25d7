// A step whose tasks may start, as the placement round sees it.
#pragma once

#include "core/clock.h"
#include "jobs/task_key.h"
#include "placement/resource_vector.h"

#include <absl/container/btree_set.h>

#include <string>

namespace teasel {

struct ReadyStep {
    StepKey key;
    absl::btree_set<uint32_t> waiting; // indices of tasks that are not assigned and not done
    uint32_t count = 0; // of all tasks of the step
    ResourceVector need; // of one task; processors that are not counted against capacity are left out
    std::string queue;
    std::string team;
    std::string service;
    std::string requiredLabel;
    std::string dataRack;
    uint32_t priority = 0; // 0 goes first
    uint32_t maxPerExecutor = 0; // 0: no limit
    bool gang = false;
    bool sameRack = false;
    bool lasting = false;
    bool checkpoints = false; // its runs can go on from where they were stopped
    bool needsTicket = false;
    double taskMs = 0; // expected run time of one task
    Instant dueAt {}; // the job's latency objective
    Instant latestStart {}; // for the rest of the job to end by then
    Instant expiresAt {}; // of the job; later than that nothing is gained by ending it
    Instant readySince {};
};

} // namespace teasel
