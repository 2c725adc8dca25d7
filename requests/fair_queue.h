// The order of waiting requests: between teams by weighted shares, inside a
// team by class, then deadline.
//
// Each team has a virtual time: the slot time that it has used in all data
// centres, divided by its share. Its place in the order adds a horizon for each
// request that it runs here. The team with the lowest place goes first. The
// horizon is the expected service time; with several data centres it is long
// enough that their leaders, who hear of one another late, do not overcorrect.
// A team that was away enters at the present, so idle share is lent and not
// owed back; a team that is far from the present is held at a bound, so history
// outside a window does not count. Requests are grouped by where they may run,
// and a group without an open executor costs one test however many requests and
// teams wait in it.
#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace teasel {

using TicketId = uint64_t;
using GroupId = uint32_t; // of requests that may run on the same executors

struct QueuedTicket {
    TicketId id = 0;
    TeamId team = 0;
    uint32_t rank = 0; // of its class, lower is more urgent
    Instant deadline {};
    GroupId group = 0;
};

// What the leaders of a fleet know of its size.
struct FleetSize {
    uint32_t ownSlots = 0;
    uint32_t allSlots = 0; // of all data centres
    uint32_t dataCentres = 1;
};

class FairQueue {
public:
    void setTeam(TeamId, double share, uint32_t limit, Instant);
    // Slots held back from every team's limit.
    void setReservedSlots(uint32_t slots);

    void push(const QueuedTicket&, Instant);
    void remove(const QueuedTicket&);

    // The ticket to start next among groups for which `isOpen(group)` holds. It stays queued.
    template <class IsOpen> std::optional<QueuedTicket> next(IsOpen&& isAvailable) const;

    // A request of the team takes a slot, by a decision made here.
    void onStarted(TeamId, Instant);
    // A request of the team was found running.
    void onDiscoveredRunning(TeamId, Instant);
    // A slot is given back; `service` is what it took, if it ran to its end.
    void onEnded(TeamId, std::optional<Duration> service, Instant);
    // The team has used this slot time in another data centre.
    void onRemoteUsage(TeamId, Duration slotTime, Instant);
    // Brings all places up to the present. Called every few tens of milliseconds.
    void refresh(const FleetSize&, Instant);

    uint32_t running(TeamId) const;
    uint32_t limit(TeamId) const;
    size_t waiting(TeamId) const;
    size_t waiting() const { return m_waiting; }
    // Waiting requests of the team whose rank is at most this.
    size_t waitingUpTo(TeamId, uint32_t rank) const;
    // The expected service time of the team's next request.
    Duration expectedService(TeamId) const;
    // Slots that the team can count on now.
    double expectedSlots(TeamId, uint32_t totalSlots) const;

    // Slot time of the team's requests here.
    Duration slotTime(TeamId) const;

    // Calls `visit(team, running, waiting)` for each team.
    template <class Visit> void forEachTeam(Visit&& visit) const;

    // Forgets what waits and runs; teams stay.
    void clear();

private:
    struct Order {
        uint32_t rank;
        Instant deadline;
        TicketId id;
        bool operator<(const Order& other) const
        {
            return std::tie(rank, deadline, id) < std::tie(other.rank, other.deadline, other.id);
        }
    };
    using Waiting = absl::btree_set<Order>;
    using TeamOrder = absl::btree_set<std::pair<double, TeamId>>;

    struct Team {
        double share = 1.0;
        uint32_t limit = 0;
        uint32_t running = 0;
        double virtualTime = 0.0; // microseconds of slot time per unit of share
        double orderKey = 0.0; // under which it stands in the groups' orders
        double slotTimeUs = 0.0; // used here
        Instant lastRemoteUsageAt {}; // last time it was heard to run in another data centre
        Instant accruedUntil {}; // up to when its running requests are in virtualTime
        double serviceUs = 0.0; // moving average; 0: not yet seen
        bool inOrders = false; // stands in the groups' orders
        double activeShare = 0.0; // its part of m_activeShares
        size_t waiting = 0;
        absl::btree_map<uint32_t, size_t> waitingByRank;
        std::map<GroupId, Waiting> groups;
    };

    double serviceUs(const Team&) const;
    double orderKeyOf(const Team&) const;
    double horizonUs(const Team&) const;
    double fairOrderOffset(const Team&) const;
    double maxLagPerShare() const;
    bool isEligible(const Team&) const;
    void accrue(Team&, Instant);
    void insertIntoOrders(TeamId, Team&);
    void removeFromOrders(TeamId, Team&);
    void updateOrder(TeamId, Team&);
    void updateActivity(Team&);
    const Team* find(TeamId) const;

    static constexpr double defaultServiceUs = 20'000;
    static constexpr double averageWeight = 0.05; // of the newest service time
    static constexpr Milliseconds historyWindow { 1'000 };
    static constexpr Milliseconds horizonPerDataCentre { 500 }; // twice the age of what leaders know of one another
    static constexpr Milliseconds remoteUsageWindow { 1'000 };

    std::map<TeamId, Team> m_teams;
    std::map<GroupId, TeamOrder> m_orders;
    double m_systemVirtualTime = 0.0; // place of the last start
    FleetSize m_fleet;
    double m_serviceUs = 0.0; // moving average over all teams
    double m_activeShares = 0.0; // of teams that wait or run
    uint32_t m_reservedSlots = 0;
    size_t m_waiting = 0;
};

template <class IsOpen> std::optional<QueuedTicket> FairQueue::next(IsOpen&& isAvailable) const
{
    const std::pair<double, TeamId>* best = nullptr;
    for (const auto& [group, order] : m_orders) {
        if (!order.empty() && (!best || *order.begin() < *best) && isAvailable(group))
            best = &*order.begin();
    }
    if (!best)
        return std::nullopt;
    const auto id = best->second;
    const auto& team = m_teams.at(id);
    std::optional<QueuedTicket> first;
    for (const auto& [group, waiting] : team.groups) {
        if (waiting.empty() || !isAvailable(group))
            continue;
        const auto& it = *waiting.begin();
        if (!first || it < Order { first->rank, first->deadline, first->id })
            first = QueuedTicket { it.id, id, it.rank, it.deadline, group };
    }
    return first;
}

template <class Visit> void FairQueue::forEachTeam(Visit&& visit) const
{
    for (const auto& [id, team] : m_teams)
        visit(id, team.running, team.waiting);
}

} // namespace teasel
