// JobLeader: the lease that leaders ask executors for, recorded for later leaders. A later incarnation reads the times
// of late orders on a clock of its own, so that only maxLease bounds its lease (lateLeaseExpiry()).
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

Milliseconds JobLeader::lease() const
{
    // A longer lease must be recorded before an order asks for it.
    const auto recorded = m_state.longestLease();
    return recorded == Milliseconds(0) ? m_options.lease : std::min(m_options.lease, recorded);
}

void JobLeader::recordLease()
{
    const auto recorded = m_state.longestLease();
    if (m_isLeaseProposed || recorded >= m_options.lease)
        return;
    // Leases of leaders that recorded nothing have expired after this time.
    if (recorded == Milliseconds(0) && m_now - m_leadingSince < longestValidity(m_options.maxLease))
        return;
    m_isLeaseProposed = true;
    change().set_longest_lease_ms(static_cast<uint64_t>(m_options.lease.count()));
}

} // namespace teasel
