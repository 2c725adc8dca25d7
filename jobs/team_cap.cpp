#include "jobs/team_cap.h"

#include <algorithm>

namespace teasel {

int64_t TeamCap::tasksThatFit(size_t kind, const ResourceVector& need, const ResourceVector& used) const
{
    if (!isLimited(kind, need))
        return unboundedTasks;
    return std::max<int64_t>(0, m_limit.amounts[kind] - used.amounts[kind]) / need.amounts[kind];
}

int64_t TeamCap::tasksThatFit(const ResourceVector& need, const ResourceVector& used) const
{
    int64_t out = unboundedTasks;
    for (size_t n = 0; n < ResourceVector::kinds; ++n)
        out = std::min(out, tasksThatFit(n, need, used));
    return out;
}

int64_t TeamCap::tasksThatMayStart(const ResourceVector& need, int64_t count, const ResourceVector& used) const
{
    int64_t out = count;
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        const int64_t fit = tasksThatFit(n, need, used);
        out = std::min(out, fit == 0 && isHalfFree(n, used) ? 1 : fit);
    }
    return out;
}

int64_t TeamCap::gangTasksThatMayStart(const ResourceVector& need, int64_t count, const ResourceVector& used) const
{
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        if (tasksThatFit(n, need, used) >= count)
            continue;
        const auto limit = static_cast<double>(m_limit.amounts[n]) * (1 + m_overshootShare);
        // Without the last task, which may exceed it.
        const auto before = used.amounts[n] + need.amounts[n] * (count - 1);
        if (!isHalfFree(n, used) || static_cast<double>(before) > limit)
            return 0;
    }
    return count;
}

} // namespace teasel
