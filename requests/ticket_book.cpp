#include "requests/ticket_book.h"

#include <algorithm>

namespace teasel {

TicketId TicketBook::add(WaitingTicket ticket)
{
    const auto id = m_next++;
    ticket.queued.id = id;
    m_byPlace[{ ticket.holder, ticket.sequence }] = id;
    m_byDeadline.insert({ ticket.queued.deadline, id });
    ++m_inClass[{ ticket.queued.team, ticket.classId }];
    m_tickets.emplace(id, std::move(ticket));
    return id;
}

const WaitingTicket* TicketBook::find(TicketId id) const
{
    const auto it = m_tickets.find(id);
    return it == m_tickets.end() ? nullptr : &it->second;
}

const WaitingTicket* TicketBook::find(HolderId holder, uint64_t sequence) const
{
    const auto it = m_byPlace.find({ holder, sequence });
    return it == m_byPlace.end() ? nullptr : find(it->second);
}

void TicketBook::erase(TicketId id)
{
    const auto it = m_tickets.find(id);
    if (it == m_tickets.end())
        return;
    const auto& ticket = it->second;
    m_byPlace.erase({ ticket.holder, ticket.sequence });
    m_byDeadline.erase({ ticket.queued.deadline, id });
    const auto count = m_inClass.find({ ticket.queued.team, ticket.classId });
    if (--count->second == 0)
        m_inClass.erase(count);
    m_tickets.erase(it);
}

void TicketBook::clear()
{
    m_tickets.clear();
    m_byPlace.clear();
    m_byDeadline.clear();
    m_inClass.clear();
}

size_t TicketBook::waitingInClass(TeamId team, ClassId classId) const
{
    const auto it = m_inClass.find({ team, classId });
    return it == m_inClass.end() ? 0 : it->second;
}

std::vector<TicketId> TicketBook::ofHolder(HolderId holder) const
{
    std::vector<TicketId> found;
    for (const auto& [id, it] : m_tickets) {
        if (it.holder == holder)
            found.push_back(id);
    }
    return found;
}

std::vector<TicketId> TicketBook::ofKeys(const std::vector<std::string>& keyIds) const
{
    std::vector<TicketId> found;
    for (const auto& [id, it] : m_tickets) {
        if (std::find(keyIds.begin(), keyIds.end(), it.keyId) != keyIds.end())
            found.push_back(id);
    }
    return found;
}

std::vector<TicketId> TicketBook::ofGroups(const std::vector<GroupId>& groups) const
{
    std::vector<TicketId> found;
    for (const auto& [id, it] : m_tickets) {
        if (std::find(groups.begin(), groups.end(), it.queued.group) != groups.end())
            found.push_back(id);
    }
    return found;
}

std::vector<TicketId> TicketBook::overdue(Instant now) const
{
    std::vector<TicketId> found;
    for (auto it = m_byDeadline.begin(); it != m_byDeadline.end() && it->first <= now; ++it)
        found.push_back(it->second);
    return found;
}

} // namespace teasel
