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

struct RoomMakerOptions {
    Milliseconds restoreTime { 100 }; // what resuming from a checkpoint costs; from the platform's contract
};

// A run to be stopped for the sake of another step.
struct PlannedStop {
    TaskKey task;
    uint32_t executor = 0;
    StepKey forStep;
};

// The claims of one round of planning.
class RoomMaker {
public:
    RoomMaker(std::vector<ExecutorRoom>& rooms, const StartConstraints& constraints, RoomMakerOptions options)
        : m_rooms(rooms)
        , m_constraints(constraints)
        , m_options(options)
    {
    }

    // Whether the room is kept for a step that was served before in this round.
    bool isKept(size_t room) const;

    // Claims room for `wanted` tasks of a step on some of these rooms, for all of them or, unless it
    // is a gang, for some. The runs to be stopped for it are added to `stops`.
    void makeRoom(
        const ReadyStep&, int64_t wanted, std::span<const size_t> rooms, Instant now, std::vector<PlannedStop>& stops);

private:
    // Runs of a room that may yield; asked for once in a round.
    const std::vector<YieldingRun>& yieldingIn(size_t room);

    struct Claim {
        size_t room = 0;
        int64_t tasks = 0;
    };
    struct Yield {
        size_t room = 0;
        std::vector<YieldingRun> runs; // the least urgent first
        int64_t tasks = 0; // that fit beside what is claimed if all of them are stopped
    };

    // Adds claims on what is free, is being stopped, or comes free soon; returns how many tasks are left.
    int64_t claim(
        const ReadyStep&, int64_t wanted, std::span<const size_t> rooms, bool countSoon, std::vector<Claim>&) const;
    std::vector<Yield> yieldsOf(
        const ReadyStep&, std::span<const size_t> rooms, const std::vector<Claim>&, Instant now);
    void stopFor(const ReadyStep&, int64_t wanted, const std::vector<Yield>&, std::vector<Claim>&,
        std::vector<PlannedStop>& stops);
    int64_t fits(const ReadyStep&, const ExecutorRoom&, const ResourceVector& room) const;
    bool isPressed(const ReadyStep&, Instant now) const;
    void keep(const ReadyStep&, const std::vector<Claim>&);
    static int64_t claimedIn(size_t room, const std::vector<Claim>&);

    std::vector<ExecutorRoom>& m_rooms;
    const StartConstraints& m_constraints;
    RoomMakerOptions m_options;
    absl::flat_hash_set<size_t> m_kept; // rooms
    absl::flat_hash_map<size_t, std::vector<YieldingRun>> m_yielding; // by room
};

} // namespace teasel
