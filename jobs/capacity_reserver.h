// Finds capacity for steps that cannot wait when the fleet is full: reserves executors against less urgent steps,
// and preempts runs that can resume from a checkpoint without making their job late.
//
// Without it, long tasks with much slack fill the fleet, and gangs of large tasks, which need free capacity on
// several executors at once, never start.
#pragma once

#include "core/clock.h"
#include "jobs/candidate_executor.h"
#include "jobs/ready_step.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace teasel {

struct CapacityReserverOptions {
    Milliseconds restoreTime { 100 }; // cost of resuming from a checkpoint; from the platform's contract
};

// A run to be preempted for another step.
struct PlannedStop {
    TaskKey task;
    uint32_t executor = 0;
    StepKey forStep;
};

// The reservations of one planning round.
class CapacityReserver {
public:
    CapacityReserver(std::vector<CandidateExecutor>& candidates, const StartConstraints& constraints,
        CapacityReserverOptions options)
        : m_candidates(candidates)
        , m_constraints(constraints)
        , m_options(options)
    {
    }

    // Whether the candidate is reserved for a step that was served earlier in this round.
    bool isReserved(size_t candidate) const;

    const absl::flat_hash_set<size_t>& reserved() const { return m_reserved; }

    // Reserves capacity for `wanted` tasks of a step on some of these candidates: for all tasks or, unless the step
    // is a gang, for some. Appends the runs to preempt to `stops`.
    void reserveCapacity(const ReadyStep&, int64_t wanted, std::span<const size_t> candidates, Instant now,
        std::vector<PlannedStop>& stops);

private:
    // Preemptible runs of a candidate; requested once per round.
    const std::vector<PreemptibleRun>& preemptibleRunsOf(size_t candidate);

    struct Claim {
        size_t candidate = 0;
        int64_t tasks = 0;
    };
    struct PreemptionOption {
        size_t candidate = 0;
        std::vector<PreemptibleRun> runs; // least urgent first
        int64_t tasks = 0; // tasks that fit in addition to the claims if all these runs are stopped
    };

    // Adds claims on capacity that is free, being freed by stops or, optionally, expected to come free soon.
    // Returns the number of tasks left without a claim.
    int64_t claim(const ReadyStep&, int64_t wanted, std::span<const size_t> candidates, bool includeFreedSoon,
        std::vector<Claim>&) const;
    std::vector<PreemptionOption> preemptionOptions(
        const ReadyStep&, std::span<const size_t> candidates, const std::vector<Claim>&, Instant now);
    void preemptFor(const ReadyStep&, int64_t wanted, const std::vector<PreemptionOption>&, std::vector<Claim>&,
        std::vector<PlannedStop>& stops);
    int64_t tasksThatFit(const ReadyStep&, const CandidateExecutor&, const ResourceVector& available) const;
    bool isUrgent(const ReadyStep&, Instant now) const;
    // Whether more of the executors that the step may use may be reserved.
    bool mayReserveMore(const ReadyStep&);
    void reserve(const ReadyStep&, const std::vector<Claim>&);
    static int64_t claimedTasks(size_t candidate, const std::vector<Claim>&);

    std::vector<CandidateExecutor>& m_candidates;
    const StartConstraints& m_constraints;
    CapacityReserverOptions m_options;
    absl::flat_hash_set<size_t> m_reserved; // indices into m_candidates
    absl::flat_hash_map<std::string, size_t> m_usableExecutors; // their number, by constraints
    absl::flat_hash_map<size_t, std::vector<PreemptibleRun>> m_preemptibleRuns; // by index into m_candidates
};

} // namespace teasel
