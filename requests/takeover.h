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
    Takeover(Milliseconds grantLife, Milliseconds settleMargin, Milliseconds longestRequest);

    void begin(Instant);
    void end();
    void setLeaseUntil(Instant until) { m_leaseUntil = until; }

    bool mayGrant(Instant) const;
    // All executors that live have announced themselves.
    bool executorsHeard(Instant now) const { return now >= m_since + executorsHeardAfter; }

    // Nothing is unknown any more.
    bool settled() const { return m_settled; }
    // Returns whether it has just become settled.
    bool settle(std::span<const std::string> members, const HolderLinks&, Instant);

    // Requests that an executor runs and no member has told of, when the
    // announcement says so; `before` is the former estimate.
    std::optional<uint32_t> unknownOn(
        InstanceOrdinal, const schema::ExecutorAnnounce&, const AttemptLedger&, uint32_t before, Instant);

private:
    bool everyMemberHeard(std::span<const std::string> members, const HolderLinks&) const;

    static constexpr Milliseconds executorsHeardAfter { 2'000 };

    Milliseconds m_grantLife;
    Milliseconds m_settleMargin;
    Milliseconds m_longestRequest;
    bool m_leading = false;
    bool m_settled = false;
    Instant m_since {};
    Instant m_leaseUntil = Instant::max();
    absl::flat_hash_set<InstanceOrdinal> m_estimated;
};

} // namespace teasel
