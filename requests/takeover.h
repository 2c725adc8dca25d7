// When a new leader may grant, and what it must hold back for holders that it has not heard.
//
// It may grant once every member has told what it has outstanding, or once
// every grant of former leaders must have been used or lapsed. In the latter
// case executors may still run requests that no member has told of; these are
// estimated from the announcements and err towards too many.
#pragma once

#include "core/clock.h"
#include "requests.pb.h"
#include "requests/attempt_ledger.h"
#include "requests/holder_links.h"

#include <absl/container/flat_hash_set.h>

#include <optional>
#include <span>
#include <string>

namespace teasel {

class Takeover {
public:
    // Grants are used within `grantLife`; no attempt runs longer than `longestRequest`.
    Takeover(Milliseconds grantLifetime, Milliseconds expiryMargin, Milliseconds maxRequestDuration);

    void begin(Instant);
    void end();
    void setLeaseExpiry(Instant until) { m_leaseExpiresAt = until; }

    bool mayGrant(Instant) const;
    // All executors that live have announced themselves.
    bool executorsRegistered(Instant now) const { return now >= m_startedAt + executorRegistrationTime; }

    // Nothing is unknown any more.
    bool complete() const { return m_complete; }
    // Returns whether it has just become settled.
    bool tryComplete(std::span<const std::string> members, const HolderLinks&, Instant);

    // Requests that an executor runs and no member has told of, when the
    // announcement says so; `before` is the former estimate.
    std::optional<uint32_t> estimateUnattributed(
        InstanceOrdinal, const schema::ExecutorAnnounce&, const AttemptLedger&, uint32_t previousEstimate, Instant);

private:
    bool allMembersReported(std::span<const std::string> members, const HolderLinks&) const;

    static constexpr Milliseconds executorRegistrationTime { 2'000 };

    Milliseconds m_grantLifetime;
    Milliseconds m_expiryMargin;
    Milliseconds m_maxRequestDuration;
    bool m_leading = false;
    bool m_complete = false;
    Instant m_startedAt {};
    Instant m_leaseExpiresAt = Instant::max();
    absl::flat_hash_set<InstanceOrdinal> m_estimated;
};

} // namespace teasel
