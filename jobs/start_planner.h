// Chooses which waiting tasks start next and where, for a fleet that is wanted
// to more than it has: on most days the demand is four fifths of the fleet with
// bursts of twice that.
//
// Order: steps that can still meet their objective by the latest moment at
// which they must start; then those that are late. Gangs are placed whole or
// not at all. A gang that does not fit keeps the executors that will soonest
// have room for it from less urgent steps.
#pragma once

#include "core/clock.h"
#include "jobs/ready_step.h"

#include <absl/container/flat_hash_map.h>
#include <google/protobuf/repeated_ptr_field.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// What the round knows of one executor.
struct ExecutorRoom {
    uint32_t number = 0;
    ResourceVector capacity;
    ResourceVector free;
    ResourceVector soon; // expected to come free within a gang's patience
    std::string_view service;
    std::string_view rack;
    const google::protobuf::RepeatedPtrField<std::string>* labels = nullptr;
    double slowness = 1; // times the run time of a sound executor
    bool isDegraded = false; // recently failed or slow: taken last
};

struct PlannedStart {
    TaskKey task;
    uint32_t executor = 0;
};

// What may be started by the rules that the planner does not know itself.
struct StartConstraints {
    // The executors that the step may run on now, in any order; nothing if it may run on all.
    std::function<std::optional<std::vector<uint32_t>>(const ReadyStep&)> allowedNow;
    // The same once tickets are renewed.
    std::function<std::optional<std::vector<uint32_t>>(const ReadyStep&)> allowedLater;
    // Tasks of the step that are on the executor.
    std::function<uint32_t(const StepKey&, uint32_t executor)> countOn;
    // How many more tasks with this need the team's cap allows.
    std::function<int64_t(std::string_view team, const ResourceVector& need)> leftOfCap;
};

// Puts steps into the order in which they are served.
void sortByUrgency(std::vector<const ReadyStep*>&, Instant now);

class StartPlanner {
public:
    StartPlanner(std::vector<ExecutorRoom>& rooms, const StartConstraints&);

    // Plans the starts of one round for steps in order, and takes their room.
    std::vector<PlannedStart> plan(const std::vector<const ReadyStep*>& steps, Instant now);

private:
    struct Place {
        size_t room = 0; // index into m_rooms
        int64_t most = 0; // tasks that fit
        double score = 0; // higher is better
    };

    std::vector<size_t> roomsOf(const std::optional<std::vector<uint32_t>>& executors) const;
    std::vector<Place> placesFor(const ReadyStep&, Instant now) const;
    bool suits(const ReadyStep&, const ExecutorRoom&) const;
    void planStep(const ReadyStep&, Instant now, std::vector<PlannedStart>& out);
    void keepWholeOnOneRack(const ReadyStep&, size_t wanted, std::vector<Place>&) const;
    void reserveFor(const ReadyStep&, Instant now);
    double scoreOf(const ReadyStep&, const ExecutorRoom&, Instant now) const;

    std::vector<ExecutorRoom>& m_rooms;
    const StartConstraints& m_constraints;
    absl::flat_hash_map<uint32_t, size_t> m_roomOf; // executor to its place in m_rooms
    ResourceVector m_largestFree; // of each resource, at the begin of the round
    absl::flat_hash_map<uint32_t, Instant> m_reserved; // executor to the latest start of the step that waits for it
    absl::flat_hash_map<std::string, ResourceVector> m_plannedOfTeam;
};

} // namespace teasel
