#include "requests/attempt_ledger.h"

namespace teasel {

void AttemptLedger::add(const AttemptId& id, const GrantedAttempt& attempt)
{
    m_attempts.insert_or_assign(id, attempt);
    if (attempt.closed)
        m_closed.insert(id);
}

GrantedAttempt* AttemptLedger::find(const AttemptId& id)
{
    const auto it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : &it->second;
}

void AttemptLedger::erase(const AttemptId& id)
{
    m_attempts.erase(id);
    m_closed.erase(id);
}

void AttemptLedger::close(const AttemptId& id, Instant now)
{
    auto* it = find(id);
    if (!it || it->closed)
        return;
    it->closed = true;
    it->closedAt = now;
    m_closed.insert(id);
}

void AttemptLedger::reopen(const AttemptId& id)
{
    if (auto* it = find(id))
        it->closed = false;
    m_closed.erase(id);
}

void AttemptLedger::clear()
{
    m_attempts.clear();
    m_closed.clear();
}

std::vector<AttemptId> AttemptLedger::openAttemptsOf(HolderId holder, uint64_t incarnation) const
{
    std::vector<AttemptId> found;
    for (const auto& [id, it] : m_attempts) {
        if (id.holder == holder && id.incarnation == incarnation && !it.closed)
            found.push_back(id);
    }
    return found;
}

std::vector<AttemptId> AttemptLedger::attemptsBefore(HolderId holder, uint64_t incarnation) const
{
    std::vector<AttemptId> found;
    for (const auto& [id, it] : m_attempts) {
        if (id.holder == holder && id.incarnation < incarnation)
            found.push_back(id);
    }
    return found;
}

std::vector<AttemptId> AttemptLedger::expired(Instant now) const
{
    std::vector<AttemptId> found;
    for (const auto& id : m_closed) {
        if (now >= m_attempts.at(id).deadline + closedAttemptGrace)
            found.push_back(id);
    }
    return found;
}

std::vector<AttemptId> AttemptLedger::closedAttemptsEndedBy(InstanceOrdinal executor,
    const schema::ExecutorAnnounce& announce, const absl::flat_hash_set<AttemptId>& listed, Instant now) const
{
    std::vector<AttemptId> found;
    for (const auto& id : m_closed) {
        const auto& it = m_attempts.at(id);
        if (it.executor != executor || now < it.closedAt + maxAnnouncementDelay)
            continue;
        const bool restarted = announce.incarnation() > it.executorIncarnation && it.executorIncarnation != 0;
        const bool notListed = announce.lists_attempts() && !listed.contains(id);
        if (restarted || notListed || announce.in_flight() == 0)
            found.push_back(id);
    }
    return found;
}

uint32_t AttemptLedger::countOlderThan(InstanceOrdinal executor, Duration age, Instant now) const
{
    uint32_t n = 0;
    for (const auto& [id, it] : m_attempts)
        n += it.executor == executor && it.knownSince + age <= now ? 1 : 0;
    return n;
}

} // namespace teasel
