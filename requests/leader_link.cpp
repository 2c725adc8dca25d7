#include "requests/leader_link.h"

#include <algorithm>

namespace teasel {

LeaderLink::LeaderLink(uint64_t incarnation, Instant startedAt)
    : m_incarnation(incarnation)
    , m_startedAt(startedAt)
    , m_leaderlessSince(startedAt)
{
}

bool LeaderLink::onLeader(std::string_view leader, Epoch epoch, Instant now)
{
    if (leader.empty()) {
        if (hasLeader())
            m_leaderlessSince = now;
        m_leader.clear();
        return false;
    }
    if (epoch < m_epoch || (epoch == m_epoch && leader == m_leader))
        return false;
    const bool sameEpoch = epoch == m_epoch;
    m_leader = leader;
    m_needsFullBatch = true;
    if (sameEpoch)
        return true;
    m_epoch = epoch;
    m_lastBatch = 0;
    m_lastAcknowledged = 0;
    m_lastGrants = 0;
    m_sent.clear();
    m_resendDelay = acknowledgementTimeout;
    for (auto& it : m_ends)
        it.batch = 0;
    return true;
}

void LeaderLink::addTicket(schema::Ticket ticket)
{
    *m_next.add_tickets() = std::move(ticket);
    m_hasChanges = true;
}

void LeaderLink::addCancelled(uint64_t sequence)
{
    m_next.add_cancelled(sequence);
    m_hasChanges = true;
}

void LeaderLink::addEnd(schema::AttemptEnd end, const schema::Outstanding& attempt, Instant now)
{
    if (end.may_still_run()) {
        m_closed.push_back({ now + closedAttemptRetention, attempt });
        m_closed.back().attempt.set_closed(true);
    }
    m_ends.push_back({ 0, std::move(end) });
    m_hasChanges = true;
}

bool LeaderLink::accept(const schema::GrantBatch& batch, Instant now)
{
    if (!hasLeader() || batch.epoch() != m_epoch)
        return false;
    if (batch.holder_incarnation() != m_incarnation) {
        // A leader that does not know this incarnation yet can only request a full batch.
        m_needsFullBatch = m_needsFullBatch || (batch.send_full() && m_lastBatch == 0);
        return false;
    }
    if (batch.batch() <= m_lastGrants)
        return false;
    if (batch.batch() != m_lastGrants + 1 || batch.send_full())
        m_needsFullBatch = true;
    m_lastGrants = batch.batch();
    if (batch.grants_size() + batch.refusals_size() > 0)
        m_hasChanges = true;
    acknowledge(batch.acknowledged_batch());
    m_lastContactAt = now;
    return true;
}

void LeaderLink::acknowledge(uint64_t batch)
{
    m_createdNotBefore = Instant {};
    while (!m_sent.empty() && m_sent.front().number < batch)
        m_sent.pop_front();
    if (!m_sent.empty() && m_sent.front().number == batch)
        m_createdNotBefore = m_sent.front().sentAt;
    if (batch <= m_lastAcknowledged)
        return;
    m_lastAcknowledged = batch;
    m_resendDelay = acknowledgementTimeout;
    std::erase_if(m_ends, [&](const UnconfirmedEnd& it) { return it.batch != 0 && it.batch <= batch; });
}

void LeaderLink::onTick(bool hasRequests, Instant now)
{
    while (!m_closed.empty() && m_closed.front().expiresAt <= now)
        m_closed.pop_front();
    if (!hasLeader())
        return;
    if ((hasRequests || !m_ends.empty()) && now >= m_lastSentAt + heartbeatPeriod)
        m_hasChanges = true;
    const auto unanswered = std::find_if(
        m_sent.begin(), m_sent.end(), [&](const SentBatch& it) { return it.number > m_lastAcknowledged; });
    if (unanswered == m_sent.end() || now < unanswered->sentAt + m_resendDelay || now < m_lastFullAt + m_resendDelay)
        return;
    m_needsFullBatch = true;
    m_resendDelay = std::min(m_resendDelay * 2, maxResendDelay);
}

schema::TicketBatch LeaderLink::takeBatch(
    std::vector<schema::Ticket> tickets, std::vector<schema::Outstanding> outstanding, Instant now)
{
    auto batch = std::move(m_next);
    m_next.Clear();
    batch.set_epoch(m_epoch);
    batch.set_batch(++m_lastBatch);
    batch.set_holder_incarnation(m_incarnation);
    batch.set_acknowledged_grants(m_lastGrants);
    batch.set_holder_up_ms(static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(now - m_startedAt).count()));
    if (m_needsFullBatch)
        addFullState(batch, std::move(tickets), std::move(outstanding), now);
    for (auto& it : m_ends) {
        if (it.batch != 0 && !m_needsFullBatch)
            continue;
        it.batch = m_lastBatch;
        *batch.add_ends() = it.end;
    }
    m_sent.push_back({ m_lastBatch, now });
    m_lastSentAt = now;
    m_hasChanges = false;
    m_needsFullBatch = false;
    return batch;
}

void LeaderLink::addFullState(schema::TicketBatch& batch, std::vector<schema::Ticket> tickets,
    std::vector<schema::Outstanding> outstanding, Instant now)
{
    batch.set_full(true);
    batch.clear_tickets();
    batch.clear_cancelled();
    for (auto& it : tickets)
        *batch.add_tickets() = std::move(it);
    for (auto& it : outstanding)
        *batch.add_outstanding() = std::move(it);
    for (const auto& it : m_closed)
        *batch.add_outstanding() = it.attempt;
    m_lastFullAt = now;
}

} // namespace teasel
