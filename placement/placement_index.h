// Finds a worker with room for a task without looking at every worker.
#pragma once

#include "placement/placement_types.h"

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <cstdint>
#include <vector>

namespace teasel {

// Workers grouped by how much of each kind of resource they have free, on a
// logarithmic scale. A look-up scores groups, whose number is bounded by the
// scale and not by the fleet, and then a few members of the best groups.
class PlacementIndex {
public:
    using Allowed = absl::FunctionRef<bool(WorkerId)>;

    // Adds a worker or moves it. A worker without anything free is left out.
    void set(WorkerId, const ResourceVector& free);
    void erase(WorkerId);

    // The amounts against which free capacity is scored: those of the largest worker.
    void setScale(const ResourceVector& scale) { m_scale = scale; }

    // The worker on which `need` leaves the least and most evenly shaped rest,
    // among those allowed; noWorker if there is none.
    WorkerId best(const ResourceVector& need, Allowed) const;

    size_t groups() const { return m_groups.size(); }
    size_t bytes() const;

private:
    struct Member {
        WorkerId worker;
        ResourceVector free;
    };
    struct Group {
        uint32_t key;
        ResourceVector floor; // every member has at least this
        ResourceVector ceiling; // and less than this, or exactly the floor
        std::vector<Member> members;
    };
    struct Place {
        uint32_t group;
        uint32_t position;
    };
    struct Ranked {
        double score;
        uint32_t group;
        bool operator<(const Ranked& other) const { return score < other.score; }
    };

    double score(const ResourceVector& free, const ResourceVector& need) const;
    const Member* bestMember(const Group&, const ResourceVector& need, Allowed, size_t probes) const;
    uint32_t groupFor(const ResourceVector& free);
    void dropGroup(uint32_t position);

    std::vector<Group> m_groups;
    absl::flat_hash_map<uint32_t, uint32_t> m_groupOf; // by key
    std::vector<Place> m_places; // by worker
    mutable std::vector<Ranked> m_ranked; // scratch
    ResourceVector m_scale { { 1, 1, 1 } };
};

} // namespace teasel
