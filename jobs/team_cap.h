// What a team may have running across all executors.
#pragma once

#include "placement/resource_vector.h"

#include <cstdint>

namespace teasel {

class TeamCap {
public:
    // Larger than the number of tasks that a cap can hold.
    static constexpr int64_t unboundedTasks = 1'000'000;

    // Without limits.
    TeamCap() = default;

    // Limits of zero do not apply. A gang may exceed the others by this share of them, and by one task.
    TeamCap(const ResourceVector& limit, double overshootShare)
        : m_limit(limit)
        , m_overshootShare(overshootShare)
    {
    }

    // How many tasks with this need fit in what `used` leaves of the cap.
    int64_t tasksThatFit(const ResourceVector& need, const ResourceVector& used) const;

    // How many of `count` tasks with this need may start. A team that uses less than half of its cap may start one task
    // that does not fit, since a task that is larger than the cap would wait for ever otherwise.
    int64_t tasksThatMayStart(const ResourceVector& need, int64_t count, const ResourceVector& used) const;

    // The same for a gang, of which all tasks start or none: `count` or 0.
    int64_t gangTasksThatMayStart(const ResourceVector& need, int64_t count, const ResourceVector& used) const;

private:
    bool isLimited(size_t kind, const ResourceVector& need) const
    {
        return m_limit.amounts[kind] > 0 && need.amounts[kind] > 0;
    }
    int64_t tasksThatFit(size_t kind, const ResourceVector& need, const ResourceVector& used) const;
    bool isHalfFree(size_t kind, const ResourceVector& used) const
    {
        return used.amounts[kind] < m_limit.amounts[kind] - used.amounts[kind];
    }

    ResourceVector m_limit;
    double m_overshootShare = 0;
};

} // namespace teasel
