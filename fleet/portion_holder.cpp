#include "fleet/portion_holder.h"

#include <absl/container/flat_hash_map.h>

namespace teasel {

void PortionHolder::reset(std::span<const schema::Portion> inherited)
{
    m_version = 0;
    ++m_serial;
    m_unreported = false;
    m_shrunk = false;
    for (auto& [team, row] : m_rows) {
        row = Row { {}, {}, {}, {}, row.need };
        row.heldHistory.push_back({ m_serial, {} });
    }
    for (const auto& it : inherited) {
        Row& row = m_rows[it.team_id()];
        row.granted = amountsOf(it);
        row.target = row.granted;
        setHeld(row, row.granted);
    }
}

void PortionHolder::setHeld(Row& row, const Amounts& held)
{
    row.held = held;
    row.heldHistory.push_back({ ++m_serial, held });
}

// The largest amount that any member which may become leader would inherit.
Amounts PortionHolder::reportableHeld(const Row& row)
{
    Amounts most = row.held;
    for (const HeldVersion& it : row.heldHistory)
        most = elementwiseMax(most, it.held);
    return most;
}

void PortionHolder::onMembersAcknowledged(uint64_t serial)
{
    for (auto& [team, row] : m_rows) {
        const Amounts before = reportableHeld(row);
        while (row.heldHistory.size() > 1 && row.heldHistory[1].serial <= serial)
            row.heldHistory.pop_front();
        if (reportableHeld(row) == before)
            continue;
        row.reportedInRenewal = 0;
        row.acknowledged = false;
        m_unreported = true;
    }
}

void PortionHolder::writePortions(
    schema::MemberUpdate& update, const std::string& dataCentre, uint64_t knownSerial) const
{
    update.set_portions_serial(m_serial);
    if (knownSerial == m_serial)
        return;
    for (const auto& [team, row] : m_rows)
        *update.add_portions() = toPortion(dataCentre, team, row.held);
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
            setHeld(row, row.granted);
            row.reportedInRenewal = 0;
            row.acknowledged = false;
        }
    }
    return applyTargets(grant) || changed;
}

// A portion whose target was removed may be used again up to the amount that is still held.
bool PortionHolder::applyTargets(const schema::SessionGrant& grant)
{
    absl::flat_hash_map<TeamId, Amounts> targets;
    for (const auto& it : grant.targets())
        targets[it.team_id()] = amountsOf(it);
    bool changed = false;
    for (auto& [team, row] : m_rows) {
        const auto it = targets.find(team);
        const Amounts target = it == targets.end() ? row.granted : elementwiseMin(row.granted, it->second);
        changed |= row.target != target;
        row.target = target;
    }
    return changed;
}

void PortionHolder::shrink(Row& row)
{
    const Amounts held = elementwiseMin(row.held, elementwiseMax(row.target, row.need.inUse));
    if (held == row.held)
        return;
    setHeld(row, held);
    m_shrunk = true;
}

void PortionHolder::updateNeed(Row& row, const TeamNeed& need)
{
    if (row.need.inUse == need.inUse && row.need.wanted == need.wanted)
        return;
    // A need that begins to exceed the held amount is reported at once.
    m_unreported |= !need.wanted.fitsIn(row.held) && row.need.wanted.fitsIn(row.held);
    row.need = need;
    row.reportedInRenewal = 0;
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
        updateNeed(row, it == byTeam.end() ? TeamNeed { team, {}, {} } : *it->second);
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
        const Amounts held = reportableHeld(row);
        need.set_requests_held(static_cast<uint32_t>(held[0]));
        *need.mutable_tasks_held() = toResources(held);
        need.set_returned_portion_version(m_version);
        row.reportedInRenewal = renew.sequence();
    }
}

void PortionHolder::onRenewAcknowledged(uint64_t sequence)
{
    for (auto& [team, row] : m_rows)
        if (row.reportedInRenewal != 0 && row.reportedInRenewal <= sequence)
            row.acknowledged = true;
}

void PortionHolder::resendAllNeeds()
{
    for (auto& [team, row] : m_rows) {
        row.acknowledged = false;
        row.reportedInRenewal = 0;
    }
}

Amounts PortionHolder::cap(TeamId team) const
{
    const auto it = m_rows.find(team);
    return it == m_rows.end() ? Amounts {} : elementwiseMin(it->second.held, it->second.target);
}

} // namespace teasel
