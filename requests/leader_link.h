// A holder's side of the batch protocol with its data centre's leader.
//
// Batches are numbered. A gap in the numbers or a missing acknowledgement
// reveals a lost batch; the holder then sends its full state. A grant batch
// cannot have been created before the ticket batch that it acknowledges was
// sent. That send time therefore bounds the age of a grant delayed in transit,
// without comparing the clocks of two machines.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "requests.pb.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class LeaderLink {
public:
    LeaderLink(uint64_t incarnation, Instant startedAt);

    // Returns whether the leader or its epoch changed.
    bool onLeader(std::string_view leader, Epoch, Instant);
    const std::string& leader() const { return m_leader; }
    bool hasLeader() const { return !m_leader.empty(); }
    Instant leaderlessSince() const { return m_leaderlessSince; }

    // Each adds a change to the next batch.
    void addTicket(schema::Ticket);
    void addCancelled(uint64_t sequence);
    void addEnd(schema::AttemptEnd, const schema::Outstanding&, Instant);

    // Returns whether the batch is to be processed. Records acknowledgements, and plans a full batch after a gap or
    // when the leader requests one.
    bool accept(const schema::GrantBatch&, Instant);
    // The earliest time at which the accepted batch can have been created; `Instant {}` when unknown.
    Instant createdNotBefore() const { return m_createdNotBefore; }

    void onTick(bool hasRequests, Instant);
    bool hasBatchToSend() const { return hasLeader() && (m_hasChanges || m_needsFullBatch); }
    bool nextIsFull() const { return m_needsFullBatch; }

    // Returns the next batch. For a full batch, `tickets` and `outstanding` must describe all held requests.
    schema::TicketBatch takeBatch(
        std::vector<schema::Ticket> tickets, std::vector<schema::Outstanding> outstanding, Instant);

private:
    struct SentBatch {
        uint64_t number;
        Instant sentAt;
    };
    struct UnconfirmedEnd {
        uint64_t batch; // number of the batch that last carried it; 0 if not yet sent
        schema::AttemptEnd end;
    };
    struct ClosedAttempt {
        Instant expiresAt;
        schema::Outstanding attempt;
    };

    void addFullState(schema::TicketBatch&, std::vector<schema::Ticket>, std::vector<schema::Outstanding>, Instant);
    void acknowledge(uint64_t batch);

    static constexpr Milliseconds heartbeatPeriod { 100 };
    static constexpr Milliseconds acknowledgementTimeout { 300 };
    static constexpr Milliseconds maxResendDelay { 2'000 };
    static constexpr Milliseconds closedAttemptRetention { 15'000 };

    uint64_t m_incarnation;
    Instant m_startedAt;
    std::string m_leader;
    Epoch m_epoch = 0;
    Instant m_leaderlessSince;
    schema::TicketBatch m_next;
    std::deque<SentBatch> m_sent; // unacknowledged batches, preceded by the last acknowledged one
    std::vector<UnconfirmedEnd> m_ends;
    std::deque<ClosedAttempt> m_closed;
    uint64_t m_lastBatch = 0;
    uint64_t m_lastAcknowledged = 0;
    uint64_t m_lastGrants = 0;
    Instant m_createdNotBefore {};
    Instant m_lastSentAt {};
    Instant m_lastFullAt {};
    Instant m_lastContactAt {};
    Milliseconds m_resendDelay = acknowledgementTimeout; // time without an acknowledgement before a full batch is sent
    bool m_hasChanges = false;
    bool m_needsFullBatch = false;
};

} // namespace teasel
