// Reserves capacity for a gang that does not fit yet, and backfills it until then.
#pragma once

#include "placement/placement_pass.h"
#include "placement/placement_state.h"
#include "placement/preemption.h"
#include "placement/task_lifecycle.h"

#include <optional>
#include <span>
#include <vector>

namespace teasel {

// Capacity is reserved for one gang at a time, the one that has been blocked the
// longest, so that gangs can neither starve nor deadlock. Batch tasks whose declared
// run time ends before the gang can start are backfilled on the reserved capacity;
// those still running when the gang could start are stopped.
class GangPlanner {
public:
    GangPlanner(PlacementState& state, TaskLifecycle& lifecycle, PlacementPass& pass, Preemption& preemption)
        : m_state(state)
        , m_lifecycle(lifecycle)
        , m_pass(pass)
        , m_preemption(preemption)
    {
    }

    // Creates, replans or drops the reservation.
    void updateReservation(std::span<const JobOrdinal> blocked, Instant now);

    // Places batch tasks on reserved capacity if they end before the gang starts.
    void backfill(std::span<const JobOrdinal> blocked, Instant now);

private:
    struct Slot {
        Instant at;
        WorkerId worker;
        bool operator<(const Slot& other) const { return at != other.at ? at < other.at : worker < other.worker; }
    };
    struct Release {
        Instant at;
        ResourceVector amount;
    };

    void clearBackfillMarks();
    void recordBlockedGangs(std::span<const JobOrdinal> blocked, Instant now);
    JobOrdinal longestBlockedGang() const;
    void placeOrReserve(Instant now);
    std::vector<Slot> planSlots(const Job&, const ResourceVector& need, uint32_t wanted, Instant now) const;
    void addSlots(std::vector<Slot>&, WorkerId, const ResourceVector& need, uint32_t wanted, Instant now) const;
    Instant expectedEnd(const Resident&, Instant now) const;
    void preemptFor(const Job&, const ResourceVector& need, uint32_t wanted, size_t missing, Instant now);
    void claimSlots(const Job&, const ResourceVector& need, std::span<const Slot>, Instant now);
    void stopBackfills(Instant now);
    bool backfillOne(Job&, Instant now);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    PlacementPass& m_pass;
    Preemption& m_preemption;
    bool m_hasBackfills = false; // some tasks are marked as backfilled
};

} // namespace teasel
