// Chooses which waiting tasks start next and where. Built for a fleet with more demand than capacity: on most days
// the demand is four fifths of the fleet, with bursts of twice that.
//
// Steps that can still meet their objective come first, by the latest moment at which they must start; late steps
// follow. Gangs are placed whole or not at all. For steps that cannot wait, capacity is reserved or freed by
// preemption (CapacityReserver).
#pragma once

#include "core/clock.h"
#include "jobs/candidate_executor.h"
#include "jobs/capacity_reserver.h"
#include "jobs/ready_step.h"

#include <absl/container/flat_hash_map.h>

#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

struct PlannedStart {
    TaskKey task;
    uint32_t executor = 0;
};

struct StartPlan {
    std::vector<PlannedStart> starts;
    std::vector<PlannedStop> stops;
    uint64_t visits = 0; // examined pairs of step and executor: the cost of the round
    size_t examinedSteps = 0;
    int64_t relaxedStarts = 0; // besides those of the most urgent queues and lasting ones

    void append(const StartPlan&);
};

struct StartPlannerOptions {
    double remoteFactor = 1.5; // factor on the run time of a task away from its data; from the platform's contract
    CapacityReserverOptions capacityReserver;
};

// Whether the step goes before all that can wait: lasting tasks, and the most urgent queues while they can be in time.
bool isMostUrgent(const ReadyStep&, Instant now);

// Sorts steps into the order in which they are served. Of the steps in `contended`, borrowed work comes after owed work
// of the same urgency.
void sortByUrgency(std::vector<const ReadyStep*>&, Instant now, std::span<const ReadyStep* const> contended = {});

class StartPlanner {
public:
    StartPlanner(std::vector<CandidateExecutor>& candidates, const StartConstraints&, StartPlannerOptions = {});

    // Plans starts for steps in this order and subtracts their capacity. Stops before a step when this many pairs of
    // step and executor have been examined.
    StartPlan plan(std::span<const ReadyStep* const> steps, Instant now,
        uint64_t maxVisits = std::numeric_limits<uint64_t>::max());

    // Free capacity of the executors that are reserved for waiting steps.
    ResourceVector reservedFree() const;

private:
    struct Placement {
        size_t candidate = 0; // index into m_candidates
        int64_t maxTasks = 0; // number of tasks that fit
        double score = 0; // higher is better
    };

    std::vector<size_t> candidatesOf(const std::optional<std::vector<uint32_t>>& executors) const;
    std::vector<Placement> placementsFor(const ReadyStep&, Instant now, uint64_t& visits) const;
    void planStep(const ReadyStep&, Instant now, StartPlan& out);
    void planTasks(const ReadyStep&, int64_t wanted, Instant now, StartPlan& out);
    int64_t planSuspects(const ReadyStep&, int64_t wanted, std::vector<Placement>&, StartPlan& out);
    void start(const ReadyStep&, uint32_t index, Placement&, StartPlan& out);
    void restrictToOneRack(const ReadyStep&, size_t wanted, std::vector<Placement>&) const;
    void reserveCapacity(const ReadyStep&, int64_t wanted, Instant now, StartPlan& out);
    double scoreOf(const ReadyStep&, const CandidateExecutor&, Instant now) const;

    std::vector<CandidateExecutor>& m_candidates;
    const StartConstraints& m_constraints;
    StartPlannerOptions m_options;
    absl::flat_hash_map<uint32_t, size_t> m_indexOf; // executor number to index in m_candidates
    ResourceVector m_largestFree; // of each resource, at the start of the round
    CapacityReserver m_capacityReserver;
    absl::flat_hash_map<std::string, ResourceVector> m_plannedPerTeam;
    int64_t m_relaxedStarts = 0; // planned in this round
};

} // namespace teasel
