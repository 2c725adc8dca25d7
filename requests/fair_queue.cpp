#include "requests/fair_queue.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

void FairQueue::setTeam(TeamId id, double share, uint32_t limit, Instant now)
{
    auto& team = m_teams[id];
    accrue(team, now);
    team.share = std::max(share, 1e-6);
    team.limit = limit;
    updateOrder(id, team);
}

void FairQueue::setReservedSlots(uint32_t slots)
{
    if (slots == m_reservedSlots)
        return;
    m_reservedSlots = slots;
    for (auto& [id, team] : m_teams)
        updateOrder(id, team);
}

void FairQueue::push(const QueuedTicket& ticket, Instant now)
{
    auto& team = m_teams[ticket.team];
    auto& waiting = team.groups[ticket.group];
    const bool groupWasEmpty = waiting.empty();
    if (!waiting.insert({ ticket.rank, ticket.deadline, ticket.id }).second)
        return;
    ++team.waiting;
    ++team.waitingByRank[ticket.rank];
    ++m_waiting;
    if (!team.inOrders) {
        accrue(team, now);
        updateOrder(ticket.team, team);
    } else if (groupWasEmpty) {
        m_orders[ticket.group].insert({ team.orderKey, ticket.team });
    }
}

void FairQueue::remove(const QueuedTicket& ticket)
{
    auto& team = m_teams[ticket.team];
    const auto group = team.groups.find(ticket.group);
    if (group == team.groups.end() || group->second.erase({ ticket.rank, ticket.deadline, ticket.id }) == 0)
        return;
    --team.waiting;
    --m_waiting;
    const auto rank = team.waitingByRank.find(ticket.rank);
    if (--rank->second == 0)
        team.waitingByRank.erase(rank);
    if (!group->second.empty())
        return;
    if (team.inOrders) {
        const auto order = m_orders.find(ticket.group);
        order->second.erase({ team.orderKey, ticket.team });
        if (order->second.empty())
            m_orders.erase(order);
    }
    team.groups.erase(group);
    if (team.waiting == 0)
        team.inOrders = false;
    updateActivity(team);
}

void FairQueue::onStarted(TeamId id, Instant now)
{
    auto& team = m_teams[id];
    checkInvariant(team.running + m_reservedSlots < team.limit, "team_within_portion", [&] {
        return fmt::format(
            "team {}: {} running, limit {}, {} slots reserved", id, team.running, team.limit, m_reservedSlots);
    });
    accrue(team, now);
    m_systemVirtualTime = orderKeyOf(team);
    ++team.running;
    updateOrder(id, team);
}

void FairQueue::onDiscoveredRunning(TeamId id, Instant now)
{
    auto& team = m_teams[id];
    accrue(team, now);
    ++team.running;
    updateOrder(id, team);
}

void FairQueue::onEnded(TeamId id, std::optional<Duration> service, Instant now)
{
    auto& team = m_teams[id];
    accrue(team, now);
    checkInvariant(team.running > 0, "ended_request_was_running", [&] { return fmt::format("team {}", id); });
    --team.running;
    if (service) {
        const auto sample = static_cast<double>(service->count());
        team.serviceUs = team.serviceUs == 0.0 ? sample : team.serviceUs + (sample - team.serviceUs) * averageWeight;
        m_serviceUs = m_serviceUs == 0.0 ? sample : m_serviceUs + (sample - m_serviceUs) * averageWeight;
    }
    updateOrder(id, team);
}

void FairQueue::onRemoteUsage(TeamId id, Duration slotTime, Instant now)
{
    const auto it = m_teams.find(id);
    if (it == m_teams.end() || slotTime.count() <= 0)
        return;
    it->second.lastRemoteUsageAt = now;
    it->second.virtualTime += static_cast<double>(slotTime.count()) / it->second.share;
    updateOrder(id, it->second);
}

void FairQueue::refresh(const FleetSize& fleet, Instant now)
{
    m_fleet = fleet;
    const double maxLag = maxLagPerShare();
    for (auto& [id, team] : m_teams) {
        accrue(team, now);
        const double runningOffset = orderKeyOf(team) - team.virtualTime;
        team.virtualTime = std::clamp(team.virtualTime, m_systemVirtualTime - maxLag - runningOffset,
            m_systemVirtualTime + maxLag - runningOffset);
        updateOrder(id, team);
    }
}

// The maximum distance of a team's order key from the system's virtual time:
// the virtual time that a fully used fleet adds within the history window.
double FairQueue::maxLagPerShare() const
{
    if (m_activeShares <= 0.0)
        return 0.0;
    return static_cast<double>(Duration(historyWindow).count()) * m_fleet.allSlots / m_activeShares;
}

double FairQueue::horizonUs(const Team& team) const
{
    if (m_fleet.dataCentres < 2)
        return serviceUs(team);
    const auto horizon = Duration(horizonPerDataCentre) * m_fleet.dataCentres;
    return std::max(serviceUs(team), static_cast<double>(horizon.count()));
}

double FairQueue::serviceUs(const Team& team) const
{
    if (team.serviceUs > 0.0)
        return team.serviceUs;
    return m_serviceUs > 0.0 ? m_serviceUs : defaultServiceUs;
}

double FairQueue::orderKeyOf(const Team& team) const
{
    return team.virtualTime + team.running * horizonUs(team) / team.share;
}

bool FairQueue::isEligible(const Team& team) const
{
    return team.waiting > 0 && team.running + m_reservedSlots < team.limit;
}

void FairQueue::accrue(Team& team, Instant now)
{
    if (now > team.accruedUntil && team.running > 0) {
        const double used = static_cast<double>((now - team.accruedUntil).count()) * team.running;
        team.slotTimeUs += used;
        team.virtualTime += used / team.share;
    }
    team.accruedUntil = std::max(team.accruedUntil, now);
}

// Updates the team's position in the groups' orders after a change of its state.
void FairQueue::updateOrder(TeamId id, Team& team)
{
    updateActivity(team);
    const bool eligible = isEligible(team);
    if (team.inOrders && eligible && orderKeyOf(team) == team.orderKey)
        return;
    const bool wasAbsent = !team.inOrders;
    if (team.inOrders)
        removeFromOrders(id, team);
    if (!eligible)
        return;
    if (wasAbsent)
        team.virtualTime = std::max(team.virtualTime, m_systemVirtualTime - fairOrderOffset(team));
    insertIntoOrders(id, team);
}

// How far a team's order key exceeds its virtual time while it runs its fair share of this data centre's slots.
double FairQueue::fairOrderOffset(const Team& team) const
{
    return m_activeShares > 0.0 ? horizonUs(team) * m_fleet.ownSlots / m_activeShares : 0.0;
}

void FairQueue::updateActivity(Team& team)
{
    const bool lastRemoteUsageAt = team.lastRemoteUsageAt + remoteUsageWindow > team.accruedUntil;
    const bool active = team.waiting > 0 || team.running > 0 || lastRemoteUsageAt;
    const double share = active ? team.share : 0.0;
    m_activeShares += share - team.activeShare;
    team.activeShare = share;
}

void FairQueue::insertIntoOrders(TeamId id, Team& team)
{
    team.orderKey = orderKeyOf(team);
    team.inOrders = true;
    for (const auto& [group, waiting] : team.groups)
        m_orders[group].insert({ team.orderKey, id });
}

void FairQueue::removeFromOrders(TeamId id, Team& team)
{
    for (const auto& [group, waiting] : team.groups) {
        const auto order = m_orders.find(group);
        order->second.erase({ team.orderKey, id });
        if (order->second.empty())
            m_orders.erase(order);
    }
    team.inOrders = false;
}

const FairQueue::Team* FairQueue::find(TeamId id) const
{
    const auto it = m_teams.find(id);
    return it == m_teams.end() ? nullptr : &it->second;
}

uint32_t FairQueue::running(TeamId id) const
{
    const auto* team = find(id);
    return team ? team->running : 0;
}

uint32_t FairQueue::limit(TeamId id) const
{
    const auto* team = find(id);
    return team ? team->limit : 0;
}

size_t FairQueue::waiting(TeamId id) const
{
    const auto* team = find(id);
    return team ? team->waiting : 0;
}

size_t FairQueue::waitingUpTo(TeamId id, uint32_t rank) const
{
    const auto* team = find(id);
    size_t n = 0;
    if (!team)
        return n;
    for (auto it = team->waitingByRank.begin(); it != team->waitingByRank.end() && it->first <= rank; ++it)
        n += it->second;
    return n;
}

Duration FairQueue::expectedService(TeamId id) const
{
    const auto* team = find(id);
    return Duration(static_cast<int64_t>(team ? serviceUs(*team) : defaultServiceUs));
}

Duration FairQueue::slotTime(TeamId id) const
{
    const auto* team = find(id);
    return Duration(static_cast<int64_t>(team ? team->slotTimeUs : 0.0));
}

double FairQueue::expectedSlots(TeamId id, uint32_t totalSlots) const
{
    const auto* team = find(id);
    if (!team)
        return 0.0;
    const double shares = m_activeShares - team->activeShare + team->share;
    const double fair = totalSlots * team->share / shares;
    return std::min<double>(std::max<double>(fair, team->running), team->limit);
}

void FairQueue::clear()
{
    for (auto& [id, team] : m_teams) {
        team.running = 0;
        team.slotTimeUs = 0.0;
        team.waiting = 0;
        team.inOrders = false;
        team.activeShare = 0.0;
        team.virtualTime = 0.0;
        team.waitingByRank.clear();
        team.groups.clear();
    }
    m_orders.clear();
    m_systemVirtualTime = 0.0;
    m_activeShares = 0.0;
    m_waiting = 0;
}

} // namespace teasel
