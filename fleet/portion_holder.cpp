#include "fleet/portion_holder.h"

#include <absl/container/flat_hash_map.h>

namespace teasel {

void PortionHolder::reset()
{
    for (auto& [team, row] : m_rows) {
        row.granted = {};
        row.target = {};
        row.held = {};
        row.reportedIn = 0;
        row.acknowledged = false;
    }
    m_version = 0;
    m_unreported = false;
}

bool PortionHolder::onGrant(const schema::SessionGrant& grant)
{
    if (grant.portions_version() < m_version)
        return false;
    bool changed = false;
    if (grant.portions_version() > m_version) {
        m_version = grant.portions_version();
        for (const auto& it : grant.portions()) {
            Row& row = m_rows[it.team_id()];
            row.granted = amountsOf(it);
            row.target = row.granted;
            changed |= row.held != row.granted;
            row.held = row.granted;
            row.reportedIn = 0;
            row.acknowledged = false;
        }
    }
    for (const auto& it : grant.targets()) {
        Row& row = m_rows[it.team_id()];
        const Amounts target = smallest(row.granted, amountsOf(it));
        changed |= row.target != target;
        row.target = target;
    }
    return changed;
}

void PortionHolder::shrink(Row& row)
{
    const Amounts held = smallest(row.held, largest(row.target, row.need.inUse));
    if (held == row.held)
        return;
    row.held = held;
    row.reportedIn = 0;
    row.acknowledged = false;
    m_unreported = true;
}

void PortionHolder::takeNeed(Row& row, const TeamNeed& need)
{
    if (row.need.inUse == need.inUse && row.need.wanted == need.wanted)
        return;
    // A need that starts to exceed the portion is told at once.
    m_unreported |= !need.wanted.fitsIn(row.held) && row.need.wanted.fitsIn(row.held);
    row.need = need;
    row.reportedIn = 0;
    row.acknowledged = false;
}

void PortionHolder::setNeeds(std::span<const TeamNeed> needs)
{
    absl::flat_hash_map<TeamId, const TeamNeed*> byTeam;
    for (const TeamNeed& it : needs) {
        byTeam[it.team] = &it;
        m_rows.try_emplace(it.team);
    }
    for (auto& [team, row] : m_rows) {
        const auto it = byTeam.find(team);
        takeNeed(row, it == byTeam.end() ? TeamNeed { team, {}, {} } : *it->second);
        shrink(row);
    }
}

void PortionHolder::writeNeeds(schema::SessionRenew& renew)
{
    renew.set_portions_version(m_version);
    m_unreported = false;
    for (auto& [team, row] : m_rows) {
        if (row.acknowledged)
            continue;
        auto& need = *renew.add_needs();
        need.set_team_id(team);
        need.set_requests_in_use(static_cast<uint32_t>(row.need.inUse[0]));
        need.set_requests_wanted(static_cast<uint32_t>(row.need.wanted[0]));
        *need.mutable_tasks_in_use() = toResources(row.need.inUse);
        *need.mutable_tasks_wanted() = toResources(row.need.wanted);
        need.set_requests_held(static_cast<uint32_t>(row.held[0]));
        *need.mutable_tasks_held() = toResources(row.held);
        need.set_returned_portion_version(m_version);
        row.reportedIn = renew.sequence();
    }
}

void PortionHolder::onRenewAcknowledged(uint64_t sequence)
{
    for (auto& [team, row] : m_rows)
        if (row.reportedIn != 0 && row.reportedIn <= sequence)
            row.acknowledged = true;
}

void PortionHolder::sendAllNeeds()
{
    for (auto& [team, row] : m_rows) {
        row.acknowledged = false;
        row.reportedIn = 0;
    }
}

Amounts PortionHolder::cap(TeamId team) const
{
    const auto it = m_rows.find(team);
    return it == m_rows.end() ? Amounts {} : smallest(it->second.held, it->second.target);
}

} // namespace teasel
