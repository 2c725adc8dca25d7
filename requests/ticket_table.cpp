#include "requests/ticket_table.h"

#include <algorithm>

namespace teasel {

TicketId TicketTable::add(WaitingTicket ticket)
{
    const auto id = m_nextId++;
    ticket.queued.id = id;
    m_byHolderSequence[{ ticket.holder, ticket.sequence }] = id;
    m_byDeadline.insert({ ticket.queued.deadline, id });
    ++m_inClass[{ ticket.queued.team, ticket.classId }];
    m_tickets.emplace(id, std::move(ticket));
    return id;
}

const WaitingTicket* TicketTable::find(TicketId id) const
{
    const auto it = m_tickets.find(id);
    return it == m_tickets.end() ? nullptr : &it->second;
}

const WaitingTicket* TicketTable::find(HolderId holder, uint64_t sequence) const
{
    const auto it = m_byHolderSequence.find({ holder, sequence });
    return it == m_byHolderSequence.end() ? nullptr : find(it->second);
}

void TicketTable::erase(TicketId id)
{
    const auto it = m_tickets.find(id);
    if (it == m_tickets.end())
        return;
    const auto& ticket = it->second;
    m_byHolderSequence.erase({ ticket.holder, ticket.sequence });
    m_byDeadline.erase({ ticket.queued.deadline, id });
    const auto count = m_inClass.find({ ticket.queued.team, ticket.classId });
    if (--count->second == 0)
        m_inClass.erase(count);
    m_tickets.erase(it);
}

void TicketTable::clear()
{
    m_tickets.clear();
    m_byHolderSequence.clear();
    m_byDeadline.clear();
    m_inClass.clear();
}

size_t TicketTable::waitingInClass(TeamId team, ClassId classId) const
{
    const auto it = m_inClass.find({ team, classId });
    return it == m_inClass.end() ? 0 : it->second;
}

std::vector<TicketId> TicketTable::ofHolder(HolderId holder) const
{
    std::vector<TicketId> found;
    for (const auto& [id, it] : m_tickets) {
        if (it.holder == holder)
            found.push_back(id);
    }
    return found;
}

std::vector<TicketId> TicketTable::ofKeys(const std::vector<std::string>& keyIds) const
{
    std::vector<TicketId> found;
    for (const auto& [id, it] : m_tickets) {
        if (std::find(keyIds.begin(), keyIds.end(), it.keyId) != keyIds.end())
            found.push_back(id);
    }
    return found;
}

std::vector<TicketId> TicketTable::ofGroups(const std::vector<GroupId>& groups) const
{
    std::vector<TicketId> found;
    for (const auto& [id, it] : m_tickets) {
        if (std::find(groups.begin(), groups.end(), it.queued.group) != groups.end())
            found.push_back(id);
    }
    return found;
}

std::vector<TicketId> TicketTable::pastDeadline(Instant now) const
{
    std::vector<TicketId> found;
    for (auto it = m_byDeadline.begin(); it != m_byDeadline.end() && it->first <= now; ++it)
        found.push_back(it->second);
    return found;
}

} // namespace teasel
