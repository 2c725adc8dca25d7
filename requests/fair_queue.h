// The order of waiting requests: between teams by weighted fair shares, within a
// team by class rank, then by deadline.
//
// Each team has a virtual time: the slot time that it has used in all data
// centres, divided by its share. Its order key is the virtual time plus a
// horizon for each request that it runs here, divided by the share. The team
// with the lowest key goes first. The horizon is the expected service time; with
// several data centres it is longer, so that their leaders, which learn each
// other's load with a delay, do not overcorrect.
//
// A team that was idle starts near the system's virtual time, so the share that
// it did not use is not owed back to it. The distance between a team's key and
// the system's virtual time is bounded, so only usage within the history window
// counts.
//
// Requests are grouped by the executors on which they may run. A group without
// an available executor costs one check, however many requests and teams wait
// in it.
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
using GroupId = uint32_t; // identifies requests that may run on the same executors

struct QueuedTicket {
    TicketId id = 0;
    TeamId team = 0;
    uint32_t rank = 0; // rank of its class; lower is more urgent
    Instant deadline {};
    GroupId group = 0;
};

// The size of the fleet as far as this data centre's leader knows it.
struct FleetSize {
    uint32_t ownSlots = 0;
    uint32_t allSlots = 0; // in all data centres
    uint32_t dataCentres = 1;
};

class FairQueue {
public:
    void setTeam(TeamId, double share, uint32_t limit, Instant);
    // Sets the number of slots subtracted from every team's limit.
    void setReservedSlots(uint32_t slots);

    void push(const QueuedTicket&, Instant);
    void remove(const QueuedTicket&);

    // Returns the ticket to start next among the groups for which `isAvailable(group)` holds. It stays queued.
    template <class IsAvailable> std::optional<QueuedTicket> next(IsAvailable&& isAvailable) const;

    // A request of the team got a slot by a decision of this queue.
    void onStarted(TeamId, Instant);
    // A request of the team was granted by a previous leader and is already running.
    void onDiscoveredRunning(TeamId, Instant);
    // A request of the team released its slot. `service` is its service time if it completed successfully.
    void onEnded(TeamId, std::optional<Duration> service, Instant);
    // The team has used this much slot time in another data centre.
    void onRemoteUsage(TeamId, Duration slotTime, Instant);
    // Updates the order keys of all teams. Must be called every few tens of milliseconds.
    void refresh(const FleetSize&, Instant);

    uint32_t running(TeamId) const;
    uint32_t limit(TeamId) const;
    size_t waiting(TeamId) const;
    size_t waiting() const { return m_waiting; }
    // Number of the team's waiting requests with this rank or a lower one.
    size_t waitingUpTo(TeamId, uint32_t rank) const;
    // The expected service time of the team's next request.
    Duration expectedService(TeamId) const;
    // The number of slots that the team can expect to get now.
    double expectedSlots(TeamId, uint32_t totalSlots) const;

    // Slot time used by the team in this data centre.
    Duration slotTime(TeamId) const;

    // Calls `visit(team, running, waiting)` for each team.
    template <class Visit> void forEachTeam(Visit&& visit) const;

    // Removes all waiting and running requests; the teams and their limits are kept.
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
        double orderKey = 0.0; // its key in the groups' orders
        double slotTimeUs = 0.0; // used in this data centre
        Instant lastRemoteUsageAt {}; // last update that showed usage in another data centre
        Instant accruedUntil {}; // virtualTime includes running requests up to this time
        double serviceUs = 0.0; // moving average; 0 until the first sample
        bool inOrders = false; // present in the groups' orders
        double activeShare = 0.0; // the share that it adds to m_activeShares
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
    static constexpr double averageWeight = 0.05; // weight of the newest service time
    static constexpr Milliseconds historyWindow { 1'000 };
    // Twice the age of the load data from other data centres.
    static constexpr Milliseconds horizonPerDataCentre { 500 };
    static constexpr Milliseconds remoteUsageWindow { 1'000 };

    std::map<TeamId, Team> m_teams;
    std::map<GroupId, TeamOrder> m_orders;
    double m_systemVirtualTime = 0.0; // order key of the team that last started a request
    FleetSize m_fleet;
    double m_serviceUs = 0.0; // moving average over all teams
    double m_activeShares = 0.0; // sum over teams that wait or run, here or recently in another data centre
    uint32_t m_reservedSlots = 0;
    size_t m_waiting = 0;
};

template <class IsAvailable> std::optional<QueuedTicket> FairQueue::next(IsAvailable&& isAvailable) const
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
