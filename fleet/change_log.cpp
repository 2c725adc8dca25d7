#include "fleet/change_log.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace teasel {

uint64_t contentHash(const schema::ConfigChange& change)
{
    const std::string bytes = change.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::string ChangeLog::keyOf(const std::string& madeBy, const std::string& changeId)
{
    return madeBy + "\n" + changeId;
}

void ChangeLog::add(schema::ChangeRecord record)
{
    const uint64_t number = m_firstNumber + m_records.size();
    m_byId[keyOf(record.made_by(), record.answer().change_id())] = number;
    if (record.answer().state() != schema::CHANGE_STATE_REFUSED)
        m_byRevision[record.answer().revision()] = number;
    if (!record.waiting_team_ids().empty())
        m_waitingRecords.insert(number);
    m_waitingTeams.insert(record.waiting_team_ids().begin(), record.waiting_team_ids().end());
    m_records.push_back(std::move(record));
    while (m_records.size() > m_maxRecords)
        dropOldest();
}

void ChangeLog::dropOldest()
{
    const schema::ChangeRecord& oldest = m_records.front();
    m_byId.erase(keyOf(oldest.made_by(), oldest.answer().change_id()));
    if (oldest.answer().state() != schema::CHANGE_STATE_REFUSED)
        m_byRevision.erase(oldest.answer().revision());
    m_waitingRecords.erase(m_firstNumber);
    m_records.pop_front();
    ++m_firstNumber;
}

const schema::ChangeRecord* ChangeLog::find(const std::string& madeBy, const std::string& changeId) const
{
    const auto it = m_byId.find(keyOf(madeBy, changeId));
    return it == m_byId.end() ? nullptr : &at(it->second);
}

const schema::ChangeRecord* ChangeLog::findByRevision(Revision revision) const
{
    const auto it = m_byRevision.find(revision);
    return it == m_byRevision.end() ? nullptr : &at(it->second);
}

void ChangeLog::clearWaitingTeam(TeamId team)
{
    m_waitingTeams.erase(team);
    std::vector<uint64_t> resolved;
    for (const uint64_t number : m_waitingRecords) {
        auto& waiting = *at(number).mutable_waiting_team_ids();
        waiting.erase(std::remove(waiting.begin(), waiting.end(), team), waiting.end());
        if (waiting.empty())
            resolved.push_back(number);
    }
    for (const uint64_t number : resolved)
        m_waitingRecords.erase(number);
}

} // namespace teasel
