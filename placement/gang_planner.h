// Keeps room for a gang that does not fit yet, and lends it out meanwhile.
#pragma once

#include "placement/placement_pass.h"
#include "placement/placement_state.h"
#include "placement/preemption.h"
#include "placement/task_lifecycle.h"

#include <optional>
#include <span>
#include <vector>

namespace teasel {

// One gang at a time, the one that has waited longest, has room kept for it, so
// that gangs can neither starve nor wait for one another. The room is lent to
// batch tasks that end in time by what they declare; one that is still there
// when the gang could start is stopped.
class GangPlanner {
public:
    GangPlanner(PlacementState& state, TaskLifecycle& lifecycle, PlacementPass& pass, Preemption& preemption)
        : m_state(state)
        , m_lifecycle(lifecycle)
        , m_pass(pass)
        , m_preemption(preemption)
    {
    }

    // Starts, renews or ends the reservation.
    void review(std::span<const JobOrdinal> stuck, Instant now);

    // Places batch tasks on reserved room that they leave in time.
    void backfill(std::span<const JobOrdinal> stuck, Instant now);

private:
    struct Spot {
        Instant at;
        WorkerId worker;
        bool operator<(const Spot& other) const { return at != other.at ? at < other.at : worker < other.worker; }
    };
    struct End {
        Instant at;
        ResourceVector amount;
    };

    void endLending();
    void noteStuck(std::span<const JobOrdinal> stuck, Instant now);
    JobOrdinal longestWaiting() const;
    void serveHolder(Instant now);
    std::vector<Spot> plan(const Job&, const ResourceVector& need, uint32_t wanted, Instant now) const;
    void addSpots(std::vector<Spot>&, WorkerId, const ResourceVector& need, uint32_t wanted, Instant now) const;
    Instant endOf(const Resident&, Instant now) const;
    void preemptFor(const Job&, const ResourceVector& need, uint32_t wanted, size_t missing, Instant now);
    void claimSpots(const Job&, const ResourceVector& need, std::span<const Spot>, Instant now);
    void stopBackfills(Instant now);
    bool backfillOne(Job&, Instant now);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    PlacementPass& m_pass;
    Preemption& m_preemption;
    bool m_lent = false; // some tasks stand on reserved room
};

} // namespace teasel
