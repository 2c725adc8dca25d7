// When a new leader may grant, and how many slots it must reserve for holders that have not reported.
//
// A new leader may grant once every member has reported its outstanding
// attempts, or once every grant of previous leaders must have been used or have
// expired. In the latter case executors may still run requests that no member
// has reported. Their number is estimated from the executors' announcements and
// errs on the high side.
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
    // Grants expire after `grantLifetime`, to which `expiryMargin` is added. No attempt runs longer than
    // `maxRequestDuration`.
    Takeover(Milliseconds grantLifetime, Milliseconds expiryMargin, Milliseconds maxRequestDuration);

    void begin(Instant);
    void end();
    void setLeaseExpiry(Instant until) { m_leaseExpiresAt = until; }

    bool mayGrant(Instant) const;
    // Returns whether every live executor has had time to announce itself.
    bool executorsRegistered(Instant now) const { return now >= m_startedAt + executorRegistrationTime; }

    // Returns whether all running attempts are known.
    bool complete() const { return m_complete; }
    // Completes the takeover if every member has reported or maxRequestDuration has passed. Returns true only for the
    // call that completes it.
    bool tryComplete(std::span<const std::string> members, const HolderLinks&, Instant);

    // Estimates how many requests an executor runs that no member has reported. Returns nullopt while the
    // announcement cannot tell, or once the takeover is complete.
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
