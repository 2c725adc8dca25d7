// The workers of a data centre: their capacity, commitments and leases.
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
    Ordered = 0, // start ordered, not yet reported as running
    Running = 1, // reported as running
    Stopping = 2, // stop ordered, not yet confirmed
    Orphaned = 3, // belongs to a previous incarnation of the worker, whose lease may not have expired
};

// A task attempt that occupies capacity of a worker.
struct Resident {
    TaskRef task;
    Attempt attempt;
    TeamId team = 0;
    ResourceVector committed;
    ResourceVector used; // usage as last reported; lags behind the actual usage
    ResourceVector peak; // highest reported usage
    std::optional<ResourceVector> throttledTo;
    ResidentPhase phase = ResidentPhase::Ordered;
    schema::StopManner stopManner = schema::STOP_MANNER_UNSPECIFIED;
    bool shareReleased = false; // stopping: its commitment is subtracted from its team's expected usage
    bool startSent = false; // its start order has been sent
    bool proven = false; // has run long enough to count as a success of its worker
    bool backfilled = false; // uses capacity that is reserved for a gang
    uint64_t orderSequence = 0; // sequence of the first orders with its current start or stop; 0: not sent yet
    uint64_t specDigest = 0;
    uint64_t ranMs = 0;
    uint64_t lastReportSequence = 0; // sequence of the last report that included it
    uint32_t omittedReports = 0; // reports that omitted the ordered start
    Instant placedAt {};
    Instant deadline {}; // end of the checkpoint timeout, the throttle grace period or the orphan's lease
};

struct Worker {
    std::string name; // scheme and name, joined into one key
    std::string displayName;
    uint64_t incarnation = 0;
    uint64_t reportSequence = 0;
    ResourceVector capacity;
    ResourceVector committed;
    ResourceVector claimed; // held for a gang or a preempting task
    RackId rack = 0;
    Instant leaseEnd {}; // lease expiry including the clock margin; no task can run there from then on
    bool inUse = false;
    bool leaving = false;
    bool drained = false;
    bool quarantined = false;
    bool probing = false; // accepts a single task
    bool labelled = false; // its labels are in the label index
    bool hasOrphans = false;
    std::string labelFingerprint; // attributes visible to selectors, as last reported
    std::vector<Resident> residents;

    bool acceptsTasks() const
    {
        return inUse && !leaving && !drained && (!quarantined || (probing && residents.empty()));
    }
    // Capacity that is neither committed nor claimed, at least 0 per kind.
    ResourceVector available() const;
    // Capacity that is not committed, including claimed capacity.
    ResourceVector uncommitted() const { return capacity - committed; }
};

// Keeps commitments, total capacity and the placement index consistent. Placing
// tasks never commits a worker beyond its capacity.
class WorkerTable {
public:
    WorkerId find(std::string_view name) const;
    WorkerId add(std::string name, std::string displayName);
    // Removes a worker, which must have no residents.
    void remove(WorkerId);
    void clear();

    const Worker& at(WorkerId id) const { return m_workers[id]; }
    // Mutable access, only for fields that affect neither capacity nor availability.
    Worker& mutableAt(WorkerId id) { return m_workers[id]; }
    bool contains(WorkerId id) const { return id < m_workers.size() && m_workers[id].inUse; }
    std::span<const Worker> all() const { return m_workers; }
    size_t size() const { return m_workers.size() - m_free.size(); }

    void setCapacity(WorkerId, const ResourceVector&);
    void setRack(WorkerId, std::string_view rack);
    void setLeaving(WorkerId, bool);
    void setDrained(WorkerId, bool);
    void setQuarantined(WorkerId, bool quarantined, bool probing);

    // Commits capacity to a task to be started, which must fit.
    void commit(WorkerId, const Resident&);
    // Commits capacity to an attempt that a worker already runs, even if it does not fit.
    void adopt(WorkerId, const Resident&);
    Resident release(WorkerId, size_t position);
    Resident* findResident(WorkerId, const TaskRef&, const Attempt&);
    const Resident* findResident(WorkerId, const TaskRef&, const Attempt&) const;

    // Excludes capacity of a worker from lookups, or returns it.
    void claim(WorkerId, const ResourceVector&);
    void unclaim(WorkerId, const ResourceVector&);

    // Returns the best allowed worker for a task according to the placement index.
    WorkerId findBest(const ResourceVector& need, PlacementIndex::Allowed allowed) const
    {
        return m_index.findBest(need, allowed);
    }

    const ResourceVector& totalCapacity() const { return m_total; }
    const ResourceVector& largestCapacity() const { return m_largestCapacity; }
    // Increases whenever a worker may accept a task that it could not accept before.
    uint64_t capacityVersion() const { return m_capacityVersion; }
    size_t residents() const { return m_residents; }
    size_t bytes() const;

private:
    void updateIndex(WorkerId);
    void checkCommitted(const Worker&) const;
    void add(Worker&, const Resident&);

    std::vector<Worker> m_workers;
    std::vector<WorkerId> m_free;
    absl::flat_hash_map<std::string, WorkerId> m_byName;
    absl::flat_hash_map<std::string, RackId> m_racks;
    PlacementIndex m_index;
    ResourceVector m_total;
    ResourceVector m_largestCapacity { { 1, 1, 1 } };
    uint64_t m_capacityVersion = 1;
    size_t m_residents = 0;
};

} // namespace teasel
