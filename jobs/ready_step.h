// A step whose tasks may start, as seen by one round of planning.
#pragma once

#include "core/clock.h"
#include "jobs/task_key.h"
#include "placement/resource_vector.h"

#include <absl/container/btree_set.h>

#include <optional>
#include <string>
#include <vector>

namespace teasel {

struct ReadyStep {
    StepKey key;
    absl::btree_set<uint32_t> waiting; // indices of tasks that are neither assigned nor done
    // Those of them under which an executor crashed shortly after their start.
    absl::btree_set<uint32_t> suspects;
    uint32_t count = 0; // number of all tasks of the step
    ResourceVector need; // of one task; without CPUs if these are not counted against capacity
    std::string queue;
    std::string team;
    std::string requiredLabel;
    std::string dataRack;
    uint32_t maxPerExecutor = 0; // 0: no limit
    bool gang = false;
    bool sameRack = false;
    bool lasting = false;
    bool checkpoints = false; // its runs can be stopped and resume from a checkpoint
    double taskMs = 0; // expected run time of one task
    bool isBorrowed = false; // beyond what the team is owed
    Instant occurrenceStart {}; // from when on the latency objective counts
    Instant readySince {};
    std::optional<Instant> waitingAgainSince; // lasting steps: since a task has ended

    // What follows from the queue in the configuration in force: set by JobLeader::deriveFromQueue() only.
    std::string service;
    std::vector<std::string> allowedRegions; // empty: all
    uint32_t priority = 0; // 0 is the highest
    bool needsTicket = false;
    Instant dueAt {}; // when the job has to end to meet its latency objective
    Instant latestStart {}; // latest start at which the job can still end by dueAt; earlier for gangs
    Instant lateFrom {}; // from this time on, the job is not expected to end by dueAt
    Instant expiresAt {}; // when completing the job stops being of use
};

} // namespace teasel
