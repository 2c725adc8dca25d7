// The attempts that a leader has granted or learned of from holders. Each occupies a slot.
//
// An attempt is removed when its holder reports its end. If no holder waits for
// it any more but its executor may still run it, it is closed: it still counts
// against its executor's slots and its team's portion, until the executor's
// announcements show that it has ended or it can no longer be running.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "requests.pb.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace teasel {

using HolderId = uint32_t; // dense number of a holder, local to one leader

struct AttemptId {
    HolderId holder = 0;
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    uint32_t attempt = 0;

    bool operator==(const AttemptId&) const = default;
    bool operator<(const AttemptId& other) const
    {
        return std::tie(holder, incarnation, sequence, attempt)
            < std::tie(other.holder, other.incarnation, other.sequence, other.attempt);
    }
    template <class H> friend H AbslHashValue(H h, const AttemptId& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(h), it.holder, it.incarnation, it.sequence, it.attempt);
    }
};

struct GrantedAttempt {
    TeamId team = 0;
    InstanceOrdinal executor = 0;
    uint64_t executorIncarnation = 0;
    uint64_t grantBatch = 0; // number of the batch with its grant; 0 if learned from its holder
    Instant knownSince {}; // time of the grant, or when its holder reported it
    Instant deadline {};
    bool closed = false;
    Instant closedAt {};
};

class AttemptLedger {
public:
    using Attempts = std::map<AttemptId, GrantedAttempt>;

    void add(const AttemptId&, const GrantedAttempt&);
    GrantedAttempt* find(const AttemptId&);
    void erase(const AttemptId&);
    void close(const AttemptId&, Instant);
    void reopen(const AttemptId&);
    void clear();

    size_t size() const { return m_attempts.size(); }
    const Attempts& all() const { return m_attempts; }

    // Open attempts of one incarnation of a holder.
    std::vector<AttemptId> openAttemptsOf(HolderId, uint64_t incarnation) const;
    // Attempts of all incarnations of a holder before this one.
    std::vector<AttemptId> attemptsBefore(HolderId, uint64_t incarnation) const;

    // Closed attempts that can no longer be running because too much time has passed since their deadlines.
    std::vector<AttemptId> expired(Instant) const;
    // Closed attempts that have ended according to an announcement. `listed` contains the attempts that it lists.
    std::vector<AttemptId> closedAttemptsEndedBy(
        InstanceOrdinal, const schema::ExecutorAnnounce&, const absl::flat_hash_set<AttemptId>& listed, Instant) const;

    // Number of attempts on an executor that have been known for at least `age`.
    uint32_t countOlderThan(InstanceOrdinal, Duration age, Instant) const;

    // An announcement may be this old when it arrives, so it does not reflect later changes.
    static constexpr Milliseconds maxAnnouncementDelay { 1'000 };
    // A closed attempt is assumed to have ended this long after its deadline.
    static constexpr Milliseconds closedAttemptGrace { 5'000 };

private:
    Attempts m_attempts;
    absl::btree_set<AttemptId> m_closed;
};

} // namespace teasel
