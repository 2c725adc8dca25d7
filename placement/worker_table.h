// The workers of a data centre: what they have, what is committed to them, and their leases.
#pragma once

#include "placement/placement_index.h"
#include "placement/placement_types.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

enum class ResidentPhase : uint8_t {
    Ordered = 0, // the start is ordered and not yet reported
    Running = 1, // reported
    Stopping = 2, // the stop is ordered and not yet confirmed
    Orphaned = 3, // of a former incarnation of the worker, whose lease may still run
};

// An attempt at a task that holds a part of a worker.
struct Resident {
    TaskRef task;
    Attempt attempt;
    TeamId team = 0;
    ResourceVector committed;
    ResourceVector used; // as last reported, late
    ResourceVector peak; // of what was reported
    std::optional<ResourceVector> throttledTo;
    ResidentPhase phase = ResidentPhase::Ordered;
    schema::StopManner manner = schema::STOP_MANNER_UNSPECIFIED;
    bool leaving = false; // its team's share no longer counts it
    bool startSent = false; // orders with its start went out
    bool proven = false; // ran long enough to speak for its worker
    bool backfilled = false; // stands on capacity that is reserved for a gang
    uint64_t orderSequence = 0; // of the first orders with the present start or stop; 0: not yet sent
    uint64_t specDigest = 0;
    uint64_t ranMs = 0;
    uint64_t seenIn = 0; // sequence of the last report that showed it
    uint32_t refusals = 0; // reports that left out an ordered start
    Instant placedAt {};
    Instant deadline {}; // of a checkpoint, a throttle or an orphan
};

struct Worker {
    std::string name; // scheme and name, as one key
    std::string displayName;
    uint64_t incarnation = 0;
    uint64_t reportSequence = 0;
    uint64_t orderSequence = 0; // of the last orders sent
    ResourceVector capacity;
    ResourceVector committed;
    ResourceVector claimed; // kept for a gang or for the task of a preemption
    RackId rack = 0;
    Instant leaseEnd {}; // with the margin: from here on nothing can run there
    bool inUse = false;
    bool leaving = false;
    bool drained = false;
    bool quarantined = false;
    bool probing = false; // takes a single task
    bool labelled = false; // its labels are known to selectors
    bool hasOrphans = false;
    std::string described; // what selectors see of it, as last reported
    std::vector<Resident> residents;

    bool takesWork() const { return inUse && !leaving && !drained && (!quarantined || (probing && residents.empty())); }
    // What is neither committed nor claimed, of each kind at least 0.
    ResourceVector available() const;
    // What is not committed, whether claimed or not.
    ResourceVector uncommitted() const { return capacity - committed; }
};

// Keeps commitments, the sum of capacity and the placement index together.
// Nothing is ever committed beyond the capacity of a worker.
class WorkerTable {
public:
    WorkerId find(std::string_view name) const;
    WorkerId add(std::string name, std::string displayName);
    // Forgets a worker without residents.
    void remove(WorkerId);
    void clear();

    const Worker& at(WorkerId id) const { return m_workers[id]; }
    // For fields that neither capacity nor availability depend on.
    Worker& edit(WorkerId id) { return m_workers[id]; }
    bool contains(WorkerId id) const { return id < m_workers.size() && m_workers[id].inUse; }
    std::span<const Worker> all() const { return m_workers; }
    size_t size() const { return m_workers.size() - m_free.size(); }

    void setCapacity(WorkerId, const ResourceVector&);
    void setRack(WorkerId, std::string_view rack);
    void setLeaving(WorkerId, bool);
    void setDrained(WorkerId, bool);
    void setQuarantined(WorkerId, bool quarantined, bool probing);

    // Commits what a task to be started needs; it must fit.
    void commit(WorkerId, const Resident&);
    // Counts what a worker reports to run; a fact, whether it fits or not.
    void adopt(WorkerId, const Resident&);
    Resident release(WorkerId, size_t position);
    Resident* resident(WorkerId, const TaskRef&, const Attempt&);
    const Resident* resident(WorkerId, const TaskRef&, const Attempt&) const;

    // Keeps room on a worker back from look-ups.
    void claim(WorkerId, const ResourceVector&);
    void unclaim(WorkerId, const ResourceVector&);

    // The best worker for a task, by the index.
    WorkerId best(const ResourceVector& need, PlacementIndex::Allowed allowed) const
    {
        return m_index.best(need, allowed);
    }

    const ResourceVector& totalCapacity() const { return m_total; }
    const ResourceVector& largest() const { return m_largest; }
    // Grows whenever a worker may take what it could not take before.
    uint64_t roomVersion() const { return m_roomVersion; }
    size_t residents() const { return m_residents; }
    size_t bytes() const;

private:
    void refresh(WorkerId);
    void checkSum(const Worker&) const;
    void add(Worker&, const Resident&);

    std::vector<Worker> m_workers;
    std::vector<WorkerId> m_free;
    absl::flat_hash_map<std::string, WorkerId> m_byName;
    absl::flat_hash_map<std::string, RackId> m_racks;
    PlacementIndex m_index;
    ResourceVector m_total;
    ResourceVector m_largest { { 1, 1, 1 } };
    uint64_t m_roomVersion = 1;
    size_t m_residents = 0;
};

} // namespace teasel
