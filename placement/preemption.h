// Frees capacity on a full fleet by stopping tasks of teams above their share or of lower urgency.
#pragma once

#include "placement/placement_pass.h"
#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <vector>

namespace teasel {

// A task may be preempted if its team keeps at least the weighted share that the
// preempting team reaches, or if both tasks belong to one team and only the
// preempting one is urgent. Tasks that can save a checkpoint are preempted first,
// then those that started last.
class Preemption {
public:
    Preemption(PlacementState& state, TaskLifecycle& lifecycle, PlacementPass& pass)
        : m_state(state)
        , m_lifecycle(lifecycle)
        , m_pass(pass)
    {
    }

    // Places tasks on claimed capacity that has become free, and drops expired claims.
    void placeClaimedTasks(Instant now);

    // Preempts tasks for blocked jobs.
    void run(std::span<const JobOrdinal> blocked, Instant now);

    // Frees capacity for one task by preemption, and claims it for the job if `claim`
    // is set. `additionalUse` is what the job's team will hold in addition to now.
    // Returns false if no worker has suitable victims.
    bool freeCapacityFor(
        const Job&, const ResourceVector& need, const ResourceVector& additionalUse, bool claim, Instant now);

    // Stops tasks of a team that exceeds its portion, until its tasks that are not
    // stopping fit into the portion.
    void stopTeamExcess(TeamId, Instant now);
    // Does the same for a worker that is committed beyond its capacity.
    void stopWorkerExcess(WorkerId, Instant now);

private:
    struct Victim {
        TaskRef task;
        Attempt attempt;
        TeamId team;
        ResourceVector amount;
        Instant placedAt;
        uint32_t penalty; // by kind of job, then by whether its work is lost
    };
    struct Choice {
        WorkerId worker = noWorker;
        std::vector<Victim> victims;
        uint64_t penalty = 0;
        Duration lostRunTime {};
    };

    std::vector<Victim> candidates(const Job&, const Worker&, double shareAfter) const;
    bool isLessUrgent(const Job& job, const Job& other) const;
    std::optional<Choice> choose(
        const Job&, WorkerId, const ResourceVector& need, double shareAfter, Instant now) const;
    void addVictims(std::vector<Victim>&, const Worker&, std::optional<TeamId>) const;
    void stopUntilFits(std::vector<Victim>&, ResourceVector excess, Instant now);
    void stopVictims(std::span<const Victim>, Instant now);
    static uint32_t penaltyOf(const Job&);
    static bool isCheaper(const Victim&, const Victim&);
    static bool isBetter(const Choice&, const Choice&);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    PlacementPass& m_pass;
};

} // namespace teasel
