#include "fleet/portion_allocator.h"

#include <utility>

namespace teasel {

std::optional<schema::PortionUpdate> PortionAllocator::plan(Instant now)
{
    schema::PortionUpdate update;
    for (const TeamId team : m_state.portions().teams())
        planTeam(team, now, update);
    if (update.portions().empty())
        return std::nullopt;
    update.set_version(m_state.portions().version() + 1);
    return update;
}

bool PortionAllocator::isLive(const SessionEntry& entry, Instant now) const
{
    return entry.hasReported && entry.needsComplete && now - entry.lastContactAt <= m_contactTimeout;
}

DataCentrePortion PortionAllocator::dataCentrePortion(
    const std::string& dataCentre, const SessionEntry& entry, TeamId team, Instant now) const
{
    DataCentrePortion result;
    result.portion = m_state.portions().portion(dataCentre, team);
    result.held = result.portion;
    result.live = isLive(entry, now);
    const auto need = entry.needs.find(team);
    if (need == entry.needs.end())
        return result;
    result.inUse = need->second.inUse;
    result.wanted = need->second.wanted;
    // A report based on an older version does not account for later grants.
    if (need->second.version >= m_state.portions().rowVersion(dataCentre, team))
        result.held = elementwiseMin(result.portion, need->second.held);
    return result;
}

void PortionAllocator::planTeam(TeamId team, Instant now, schema::PortionUpdate& update)
{
    std::vector<std::string> names;
    std::vector<DataCentrePortion> dataCentrePortions;
    Amounts outside = m_state.portions().sum(team); // portions of data centres without a session
    for (const auto& [name, entry] : m_ledger.entries()) {
        names.push_back(name);
        dataCentrePortions.push_back(dataCentrePortion(name, entry, team, now));
        outside -= dataCentrePortions.back().portion;
    }
    Amounts limit = m_state.portions().limit(team);
    limit -= outside;
    const PortionPlan plan = planPortions(limit, dataCentrePortions);
    for (size_t i = 0; i < names.size(); ++i) {
        if (plan.portions[i] != dataCentrePortions[i].portion)
            *update.add_portions() = toPortion(names[i], team, plan.portions[i]);
        setTarget(m_ledger.entry(names[i]), team, plan.portions[i], plan.targets[i]);
    }
}

void PortionAllocator::setTarget(SessionEntry& entry, TeamId team, const Amounts& portion, const Amounts& target)
{
    const auto it = entry.targets.find(team);
    if (portion == target) {
        if (it != entry.targets.end())
            entry.targets.erase(it);
        return;
    }
    if (it != entry.targets.end() && it->second == target)
        return;
    entry.targets[team] = target;
    entry.pushDue = true;
}

} // namespace teasel
