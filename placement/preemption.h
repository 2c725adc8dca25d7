// Makes room on a full fleet by stopping tasks of teams above their share, or less urgent ones.
#pragma once

#include "placement/placement_pass.h"
#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <vector>

namespace teasel {

// A task may be stopped for another if its team would still have at least the
// weighted share that the other team gets, or if both are of one team and the
// other is urgent. What can save a checkpoint goes first, then what started last.
class Preemption {
public:
    Preemption(PlacementState& state, TaskLifecycle& lifecycle, PlacementPass& pass)
        : m_state(state)
        , m_lifecycle(lifecycle)
        , m_pass(pass)
    {
    }

    // Starts tasks on room that was made for them.
    void useClaims(Instant now);

    // Makes room for jobs that found none.
    void run(std::span<const JobOrdinal> stuck, Instant now);

    // Makes room for one task and keeps it for the job if `claim` is set.
    // `held` is what the job's team will hold more than now.
    bool makeRoom(const Job&, const ResourceVector& need, const ResourceVector& held, bool claim, Instant now);

    // Stops tasks of a team that holds more than its portion, until what is
    // not yet stopping fits.
    void trim(TeamId, Instant now);
    // The same for a worker with less than is committed to it.
    void trimWorker(WorkerId, Instant now);

private:
    struct Victim {
        TaskRef task;
        Attempt attempt;
        TeamId team;
        ResourceVector amount;
        Instant placedAt;
        uint32_t penalty; // by kind of job, then by whether it loses its work
    };
    struct Choice {
        WorkerId worker = noWorker;
        std::vector<Victim> victims;
        uint64_t penalty = 0;
        Duration lost {};
    };

    std::vector<Victim> candidates(const Job&, const Worker&, double shareAfter) const;
    bool isLessUrgent(const Job& of, const Job& than) const;
    std::optional<Choice> choose(
        const Job&, WorkerId, const ResourceVector& need, double shareAfter, Instant now) const;
    void addTasks(std::vector<Victim>&, const Worker&, std::optional<TeamId>) const;
    void stopUntilFits(std::vector<Victim>&, ResourceVector over, Instant now);
    void stopVictims(std::span<const Victim>, Instant now);
    static uint32_t penaltyOf(const Job&);
    static bool isCheaper(const Victim&, const Victim&);
    static bool isBetter(const Choice&, const Choice&);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    PlacementPass& m_pass;
};

} // namespace teasel
