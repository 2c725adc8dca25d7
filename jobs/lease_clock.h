// Computes when all runs of an executor have certainly ended. Leases are times on the executor's own clock, of
// which one reading and a bound on its rate are known.
#pragma once

#include "core/clock.h"

#include <algorithm>
#include <cstdint>

namespace teasel {

// Bound on how much slower an executor's clock runs than the local one: 2 % by the platform's contract, and as much
// again as a margin.
constexpr double maxClockSlowdown = 1.04;

// Covers the time between an executor's reading of its clock and the end of the runs that it kills.
constexpr Duration expirySlack = std::chrono::milliseconds(300);

// From the beginning of a lease or of a ticket's validity to its certain end.
inline Duration longestValidity(Milliseconds nominal)
{
    return std::chrono::duration_cast<Duration>(nominal * maxClockSlowdown) + expirySlack;
}

class LeaseClock {
public:
    // Records a clock reading from an answer that arrived at this time.
    void onReading(uint64_t executorMs, Instant arrived)
    {
        if (executorMs < m_readingMs)
            return;
        m_readingMs = executorMs;
        m_readAt = arrived;
        m_isKnown = true;
    }

    bool isKnown() const { return m_isKnown; }
    Instant readAt() const { return m_readAt; }

    // A lower bound of the executor's current time; a lease counted from here is not too long.
    uint64_t executorNow(Instant now) const
    {
        const auto passed = std::max(Duration(0), now - m_readAt);
        return m_readingMs + static_cast<uint64_t>(static_cast<double>(passed.count()) / 1'000.0);
    }

    // Records that a lease until this time on the executor's clock may be in force.
    void recordLeaseSent(uint64_t untilMs) { m_leaseUntilMs = std::max(m_leaseUntilMs, untilMs); }
    uint64_t leaseUntilMs() const { return m_leaseUntilMs; }

    // From this time on, no lease that was sent can be in force.
    Instant expiresAt() const
    {
        const auto leftMs = m_leaseUntilMs > m_readingMs ? m_leaseUntilMs - m_readingMs : 0;
        return m_readAt + Duration(static_cast<int64_t>(static_cast<double>(leftMs) * 1'000.0 * maxClockSlowdown))
            + expirySlack;
    }

private:
    bool m_isKnown = false;
    uint64_t m_readingMs = 0;
    Instant m_readAt {};
    uint64_t m_leaseUntilMs = 0;
};

} // namespace teasel
