#include "requests/takeover.h"

#include <algorithm>

namespace teasel {

Takeover::Takeover(Milliseconds grantLifetime, Milliseconds expiryMargin, Milliseconds maxRequestDuration)
    : m_grantLifetime(grantLifetime)
    , m_expiryMargin(expiryMargin)
    , m_maxRequestDuration(maxRequestDuration)
{
}

void Takeover::begin(Instant now)
{
    end();
    m_leading = true;
    m_startedAt = now;
}

void Takeover::end()
{
    m_leading = false;
    m_complete = false;
    m_estimated.clear();
}

bool Takeover::mayGrant(Instant now) const
{
    if (!m_leading || now >= m_leaseExpiresAt)
        return false;
    return m_complete || now >= m_startedAt + m_grantLifetime + m_expiryMargin;
}

bool Takeover::allMembersReported(std::span<const std::string> members, const HolderLinks& links) const
{
    return std::all_of(members.begin(), members.end(), [&](const std::string& name) {
        const auto* link = links.find(name);
        // If this incarnation started recently, attempts of the previous one may still run.
        return link && link->inSync && link->startedAt + m_maxRequestDuration <= m_startedAt;
    });
}

bool Takeover::tryComplete(std::span<const std::string> members, const HolderLinks& links, Instant now)
{
    if (m_complete || !m_leading)
        return false;
    m_complete = now >= m_startedAt + m_maxRequestDuration || allMembersReported(members, links);
    return m_complete;
}

std::optional<uint32_t> Takeover::estimateUnattributed(InstanceOrdinal n, const schema::ExecutorAnnounce& announce,
    const AttemptLedger& ledger, uint32_t previousEstimate, Instant now)
{
    if (m_complete || now < m_startedAt + m_grantLifetime + AttemptLedger::maxAnnouncementDelay)
        return std::nullopt;
    const auto knownAttempts = ledger.countOlderThan(n, AttemptLedger::maxAnnouncementDelay, now);
    const auto unattributed = announce.in_flight() > knownAttempts ? announce.in_flight() - knownAttempts : 0;
    const bool first = m_estimated.insert(n).second;
    return first ? unattributed : std::min(unattributed, previousEstimate);
}

} // namespace teasel
