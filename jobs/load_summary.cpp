#include "jobs/load_summary.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds maxAge { 25 }; // less than the time from an accepted job to its first start

} // namespace

bool LoadSummary::isOutdated(Instant now) const { return m_isEmpty || now - m_builtAt >= maxAge; }

void LoadSummary::rebuild(const FleetLoad& fleet, std::vector<Demand> demands, Instant now)
{
    std::sort(
        demands.begin(), demands.end(), [](const Demand& a, const Demand& b) { return a.latestStart < b.latestStart; });
    m_isEmpty = false;
    m_builtAt = now;
    m_fleet = fleet;
    m_latestStarts.clear();
    m_cumulativeNeed.clear();
    m_added.clear();
    ResourceVector sum;
    for (const auto& it : demands) {
        sum += it.need;
        m_latestStarts.push_back(it.latestStart);
        m_cumulativeNeed.push_back(sum);
    }
}

void LoadSummary::clear()
{
    m_isEmpty = true;
    m_added.clear();
}

FleetLoad LoadSummary::aheadOf(Instant latestStart) const
{
    auto out = m_fleet;
    const auto end = std::upper_bound(m_latestStarts.begin(), m_latestStarts.end(), latestStart);
    if (end != m_latestStarts.begin())
        out.ahead = m_cumulativeNeed[static_cast<size_t>(end - m_latestStarts.begin()) - 1];
    for (const auto& it : m_added) {
        if (it.latestStart <= latestStart)
            out.ahead += it.need;
    }
    return out;
}

} // namespace teasel
