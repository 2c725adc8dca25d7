// Chooses which waiting tasks start next and where, for a fleet that is wanted
// to more than it has: on most days the demand is four fifths of the fleet with
// bursts of twice that.
//
// Order: steps that can still meet their objective by the latest moment at
// which they must start; then those that are late. Gangs are placed whole or
// not at all. Steps that can't wait for room get it made (room_maker.h).
#pragma once

#include "core/clock.h"
#include "jobs/executor_room.h"
#include "jobs/ready_step.h"
#include "jobs/room_maker.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
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
    uint64_t visits = 0; // of executors by steps: the round's cost
};

struct StartPlannerOptions {
    double remoteFactor = 1.5; // how much longer a task takes away from its data; from the platform's contract
    CapacityReserverOptions room;
};

// Puts steps into the order in which they are served.
void sortByUrgency(std::vector<const ReadyStep*>&, Instant now);

class StartPlanner {
public:
    StartPlanner(std::vector<CandidateExecutor>& candidates, const StartConstraints&, StartPlannerOptions = {});

    // Plans one round for steps in order, and takes their room.
    StartPlan plan(const std::vector<const ReadyStep*>& steps, Instant now);

private:
    struct Placement {
        size_t candidate = 0; // index into m_rooms
        int64_t maxTasks = 0; // tasks that fit
        double score = 0; // higher is better
    };

    std::vector<size_t> candidatesOf(const std::optional<std::vector<uint32_t>>& executors) const;
    std::vector<Placement> placementsFor(const ReadyStep&, Instant now, uint64_t& visits) const;
    bool isEligible(const ReadyStep&, const CandidateExecutor&) const;
    void planStep(const ReadyStep&, Instant now, StartPlan& out);
    void restrictToOneRack(const ReadyStep&, size_t wanted, std::vector<Placement>&) const;
    void reserveCapacity(const ReadyStep&, int64_t wanted, Instant now, StartPlan& out);
    double scoreOf(const ReadyStep&, const CandidateExecutor&, Instant now) const;

    std::vector<CandidateExecutor>& m_candidates;
    const StartConstraints& m_constraints;
    StartPlannerOptions m_options;
    absl::flat_hash_map<uint32_t, size_t> m_indexOf; // executor to its place in m_rooms
    ResourceVector m_largestFree; // of each resource, at the begin of the round
    CapacityReserver m_capacityReserver;
    absl::flat_hash_map<std::string, ResourceVector> m_plannedPerTeam;
};

} // namespace teasel
