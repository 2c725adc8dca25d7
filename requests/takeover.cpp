#include "requests/takeover.h"

#include <algorithm>

namespace teasel {

Takeover::Takeover(Milliseconds grantLife, Milliseconds settleMargin, Milliseconds longestRequest)
    : m_grantLife(grantLife)
    , m_settleMargin(settleMargin)
    , m_longestRequest(longestRequest)
{
}

void Takeover::begin(Instant now)
{
    end();
    m_leading = true;
    m_since = now;
}

void Takeover::end()
{
    m_leading = false;
    m_settled = false;
    m_estimated.clear();
}

bool Takeover::mayGrant(Instant now) const
{
    if (!m_leading || now >= m_leaseUntil)
        return false;
    return m_settled || now >= m_since + m_grantLife + m_settleMargin;
}

bool Takeover::everyMemberHeard(std::span<const std::string> members, const HolderLinks& links) const
{
    return std::all_of(members.begin(), members.end(), [&](const std::string& name) {
        const auto* link = links.find(name);
        // A former incarnation's attempts may still run when this one is young.
        return link && link->known && link->upSince + m_longestRequest <= m_since;
    });
}

bool Takeover::settle(std::span<const std::string> members, const HolderLinks& links, Instant now)
{
    if (m_settled || !m_leading)
        return false;
    m_settled = now >= m_since + m_longestRequest || everyMemberHeard(members, links);
    return m_settled;
}

std::optional<uint32_t> Takeover::unknownOn(InstanceOrdinal n, const schema::ExecutorAnnounce& announce,
    const AttemptLedger& ledger, uint32_t before, Instant now)
{
    if (m_settled || now < m_since + m_grantLife + AttemptLedger::announcementAge)
        return std::nullopt;
    const auto known = ledger.olderThan(n, AttemptLedger::announcementAge, now);
    const auto seen = announce.in_flight() > known ? announce.in_flight() - known : 0;
    const bool first = m_estimated.insert(n).second;
    return first ? seen : std::min(seen, before);
}

} // namespace teasel
