// The tickets that wait at a leader, indexed by holder, deadline, team and class.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "requests/attempt_ledger.h"
#include "requests/fair_queue.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

using ClassId = uint32_t; // dense number of a class, local to one leader

struct WaitingTicket {
    QueuedTicket queued;
    HolderId holder = 0;
    uint64_t sequence = 0;
    uint32_t attempt = 0;
    ClassId classId = 0;
    std::string keyId;
};

class TicketTable {
public:
    // Stores the ticket under a new id, which it returns.
    TicketId add(WaitingTicket);
    const WaitingTicket* find(TicketId) const;
    const WaitingTicket* find(HolderId, uint64_t sequence) const;
    void erase(TicketId);
    void clear();

    size_t size() const { return m_tickets.size(); }
    size_t waitingInClass(TeamId, ClassId) const;

    std::vector<TicketId> ofHolder(HolderId) const;
    std::vector<TicketId> ofKeys(const std::vector<std::string>& keyIds) const;
    std::vector<TicketId> ofGroups(const std::vector<GroupId>&) const;
    std::vector<TicketId> pastDeadline(Instant) const;
    // Calls `visit(ticket)` in the order of deadlines for at most `maxTickets` tickets
    // after `from`. Returns the position from which to continue, or the start position
    // after the last ticket.
    using DeadlinePosition = std::pair<Instant, TicketId>;
    template <class Visit>
    DeadlinePosition visitByDeadline(DeadlinePosition from, size_t maxTickets, Visit&& visit) const
    {
        for (auto it = m_byDeadline.upper_bound(from); it != m_byDeadline.end(); ++it) {
            if (maxTickets-- == 0)
                return from;
            from = *it;
            visit(m_tickets.at(it->second));
        }
        return {};
    }

private:
    using HolderSequence = std::pair<HolderId, uint64_t>;

    std::map<TicketId, WaitingTicket> m_tickets;
    absl::flat_hash_map<HolderSequence, TicketId> m_byHolderSequence;
    absl::btree_set<DeadlinePosition> m_byDeadline;
    absl::flat_hash_map<std::pair<TeamId, ClassId>, size_t> m_inClass;
    TicketId m_nextId = 1;
};

} // namespace teasel
