// A holder's side of the numbered exchange with its data centre's leader.
//
// Batches carry numbers. A lost one is noticed by a gap or a missing
// acknowledgement and is mended by sending everything again. A batch of grants
// is dated by the batch of tickets that it acknowledges: it cannot be older
// than the sending of that one, so a grant that was delayed on its way is
// recognised without comparing clocks.
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

    // Changes for the next batch.
    void addTicket(schema::Ticket);
    void addCancelled(uint64_t sequence);
    void addEnd(schema::AttemptEnd, const schema::Outstanding&, Instant);

    // Whether the batch is to be taken; notes gaps, acknowledgements and wishes for everything.
    bool accept(const schema::GrantBatch&, Instant);
    // The earliest time at which an accepted batch can have been made.
    Instant createdNotBefore() const { return m_createdNotBefore; }

    void onTick(bool hasRequests, Instant);
    bool hasBatchToSend() const { return hasLeader() && (m_dirty || m_needsFull); }
    bool nextIsFull() const { return m_needsFull; }

    // The next batch. When it is to be full, `tickets` and `outstanding` are everything that is held.
    schema::TicketBatch takeBatch(
        std::vector<schema::Ticket> tickets, std::vector<schema::Outstanding> outstanding, Instant);

private:
    struct SentBatch {
        uint64_t number;
        Instant sentAt;
    };
    struct UnconfirmedEnd {
        uint64_t batch; // 0: not yet sent
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
    std::deque<SentBatch> m_sent; // not yet acknowledged, and the last acknowledged one first
    std::vector<UnconfirmedEnd> m_ends;
    std::deque<ClosedAttempt> m_closed;
    uint64_t m_lastBatch = 0;
    uint64_t m_lastAcknowledged = 0;
    uint64_t m_lastGrants = 0;
    Instant m_createdNotBefore {};
    Instant m_lastSentAt {};
    Instant m_lastFullAt {};
    Instant m_lastContactAt {};
    Milliseconds m_resendDelay = acknowledgementTimeout; // before everything is sent again unasked
    bool m_dirty = false;
    bool m_needsFull = false;
};

} // namespace teasel
