// Makes room for steps that can't wait for it, when the fleet is full: keeps
// executors from less urgent steps, and stops runs that can go on later from
// their checkpoint without making their job late.
//
// The load it answers: long tasks with much slack fill the fleet, and gangs of
// wide tasks, which need room at several executors at once, never find it.
#pragma once

#include "core/clock.h"
#include "jobs/executor_room.h"
#include "jobs/ready_step.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <span>
#include <vector>

namespace teasel {

struct CapacityReserverOptions {
    Milliseconds restoreTime { 100 }; // what resuming from a checkpoint costs; from the platform's contract
};

// A run to be stopped for the sake of another step.
struct PlannedStop {
    TaskKey task;
    uint32_t executor = 0;
    StepKey forStep;
};

// The claims of one round of planning.
class CapacityReserver {
public:
    CapacityReserver(std::vector<CandidateExecutor>& candidates, const StartConstraints& constraints,
        CapacityReserverOptions options)
        : m_candidates(candidates)
        , m_constraints(constraints)
        , m_options(options)
    {
    }

    // Whether the room is kept for a step that was served before in this round.
    bool isReserved(size_t candidate) const;

    // Claims room for `wanted` tasks of a step on some of these rooms, for all of them or, unless it
    // is a gang, for some. The runs to be stopped for it are added to `stops`.
    void reserveCapacity(const ReadyStep&, int64_t wanted, std::span<const size_t> candidates, Instant now,
        std::vector<PlannedStop>& stops);

private:
    // Runs of a room that may yield; asked for once in a round.
    const std::vector<PreemptibleRun>& preemptibleRunsOf(size_t candidate);

    struct Claim {
        size_t candidate = 0;
        int64_t tasks = 0;
    };
    struct PreemptionOption {
        size_t candidate = 0;
        std::vector<PreemptibleRun> runs; // the least urgent first
        int64_t tasks = 0; // that fit beside what is claimed if all of them are stopped
    };

    // Adds claims on what is free, is being stopped, or comes free soon; returns how many tasks are left.
    int64_t claim(const ReadyStep&, int64_t wanted, std::span<const size_t> candidates, bool includeFreedSoon,
        std::vector<Claim>&) const;
    std::vector<PreemptionOption> preemptionOptions(
        const ReadyStep&, std::span<const size_t> candidates, const std::vector<Claim>&, Instant now);
    void preemptFor(const ReadyStep&, int64_t wanted, const std::vector<PreemptionOption>&, std::vector<Claim>&,
        std::vector<PlannedStop>& stops);
    int64_t tasksThatFit(const ReadyStep&, const CandidateExecutor&, const ResourceVector& available) const;
    bool isUrgent(const ReadyStep&, Instant now) const;
    void reserve(const ReadyStep&, const std::vector<Claim>&);
    static int64_t claimedTasks(size_t candidate, const std::vector<Claim>&);

    std::vector<CandidateExecutor>& m_candidates;
    const StartConstraints& m_constraints;
    CapacityReserverOptions m_options;
    absl::flat_hash_set<size_t> m_reserved; // rooms
    absl::flat_hash_map<size_t, std::vector<PreemptibleRun>> m_preemptibleRuns; // by room
};

} // namespace teasel
