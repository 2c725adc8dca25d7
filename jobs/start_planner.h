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
    RoomMakerOptions room;
};

// Puts steps into the order in which they are served.
void sortByUrgency(std::vector<const ReadyStep*>&, Instant now);

class StartPlanner {
public:
    StartPlanner(std::vector<ExecutorRoom>& rooms, const StartConstraints&, StartPlannerOptions = {});

    // Plans one round for steps in order, and takes their room.
    StartPlan plan(const std::vector<const ReadyStep*>& steps, Instant now);

private:
    struct Place {
        size_t room = 0; // index into m_rooms
        int64_t most = 0; // tasks that fit
        double score = 0; // higher is better
    };

    std::vector<size_t> roomsOf(const std::optional<std::vector<uint32_t>>& executors) const;
    std::vector<Place> placesFor(const ReadyStep&, Instant now, uint64_t& visits) const;
    bool suits(const ReadyStep&, const ExecutorRoom&) const;
    void planStep(const ReadyStep&, Instant now, StartPlan& out);
    void keepWholeOnOneRack(const ReadyStep&, size_t wanted, std::vector<Place>&) const;
    void makeRoom(const ReadyStep&, int64_t wanted, Instant now, StartPlan& out);
    double scoreOf(const ReadyStep&, const ExecutorRoom&, Instant now) const;

    std::vector<ExecutorRoom>& m_rooms;
    const StartConstraints& m_constraints;
    StartPlannerOptions m_options;
    absl::flat_hash_map<uint32_t, size_t> m_roomOf; // executor to its place in m_rooms
    ResourceVector m_largestFree; // of each resource, at the begin of the round
    RoomMaker m_roomMaker;
    absl::flat_hash_map<std::string, ResourceVector> m_plannedOfTeam;
};

} // namespace teasel
