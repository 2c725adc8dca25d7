#include "fleet/portion_rounds.h"

#include <utility>

namespace teasel {

std::optional<schema::PortionUpdate> PortionRounds::plan(Instant now)
{
    schema::PortionUpdate update;
    for (const TeamId team : m_state.portions().teams())
        planTeam(team, now, update);
    if (update.portions().empty())
        return std::nullopt;
    update.set_version(m_state.portions().version() + 1);
    return update;
}

bool PortionRounds::isLive(const SessionEntry& entry, Instant now) const
{
    return entry.heard && entry.allNeeds && now - entry.heardAt <= m_heardWithin;
}

PortionSite PortionRounds::siteOf(
    const std::string& dataCentre, const SessionEntry& entry, TeamId team, Instant now) const
{
    PortionSite site;
    site.portion = m_state.portions().portion(dataCentre, team);
    site.held = site.portion;
    site.live = isLive(entry, now);
    const auto need = entry.needs.find(team);
    if (need == entry.needs.end())
        return site;
    site.inUse = need->second.inUse;
    site.wanted = need->second.wanted;
    // A report on an older version says nothing of what was granted since.
    if (need->second.version >= m_state.portions().rowVersion(dataCentre, team))
        site.held = smallest(site.portion, need->second.held);
    return site;
}

void PortionRounds::planTeam(TeamId team, Instant now, schema::PortionUpdate& update)
{
    std::vector<std::string> names;
    std::vector<PortionSite> sites;
    Amounts outside = m_state.portions().sum(team); // held where there is no session
    for (const auto& [name, entry] : m_ledger.entries()) {
        names.push_back(name);
        sites.push_back(siteOf(name, entry, team, now));
        outside -= sites.back().portion;
    }
    Amounts limit = m_state.portions().limit(team);
    limit -= outside;
    const PortionPlan plan = planPortions(limit, sites);
    for (size_t i = 0; i < names.size(); ++i) {
        if (plan.portions[i] != sites[i].portion)
            *update.add_portions() = toPortion(names[i], team, plan.portions[i]);
        setTarget(m_ledger.entry(names[i]), team, plan.portions[i], plan.targets[i]);
    }
}

void PortionRounds::setTarget(SessionEntry& entry, TeamId team, const Amounts& portion, const Amounts& target)
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
