// Finds a worker with enough free capacity for a task without scanning all workers.
#pragma once

#include "placement/placement_types.h"

#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>

#include <cstdint>
#include <vector>

namespace teasel {

// Groups workers by their free amount of each kind of resource on a logarithmic
// scale. A lookup scores the groups, whose number is bounded by the scale and not
// by the size of the fleet, and then a few members of the best groups.
class PlacementIndex {
public:
    // Predicate that selects the workers to consider.
    using Allowed = absl::FunctionRef<bool(WorkerId)>;

    // Adds a worker or updates its free capacity. Workers without free capacity are not indexed.
    void set(WorkerId, const ResourceVector& free);
    void erase(WorkerId);

    // Sets the amounts that normalize scores: the largest capacity of any worker per kind.
    void setScale(const ResourceVector& scale) { m_scale = scale; }

    // Returns the allowed worker on which `need` leaves the smallest and most balanced
    // remainder; noWorker if it fits on none.
    WorkerId findBest(const ResourceVector& need, Allowed) const;

    size_t groups() const { return m_groups.size(); }
    size_t bytes() const;

private:
    struct Member {
        WorkerId worker;
        ResourceVector free;
    };
    struct Group {
        uint32_t key;
        ResourceVector floor; // lower bound of every member's free capacity
        ResourceVector ceiling; // exclusive upper bound; equal to the floor if a kind has none free
        std::vector<Member> members;
    };
    struct Location {
        uint32_t group;
        uint32_t position;
    };
    struct RankedGroup {
        double score;
        uint32_t group;
        bool operator<(const RankedGroup& other) const { return score < other.score; }
    };

    double score(const ResourceVector& free, const ResourceVector& need) const;
    const Member* bestMember(const Group&, const ResourceVector& need, Allowed, size_t limit) const;
    uint32_t findOrAddGroup(const ResourceVector& free);
    void removeGroup(uint32_t position);

    std::vector<Group> m_groups;
    absl::flat_hash_map<uint32_t, uint32_t> m_groupOf; // group position by key
    std::vector<Location> m_locations; // group and position by worker
    mutable std::vector<RankedGroup> m_ranked; // scratch buffer of findBest()
    ResourceVector m_scale { { 1, 1, 1 } };
};

} // namespace teasel
