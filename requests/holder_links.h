// The leader's side of the numbered exchange with the holders of its data centre.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "requests.pb.h"
#include "requests/attempt_ledger.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// What a batch of tickets is to the leader.
enum class BatchStatus : uint8_t {
    Next = 0, // the one that was due
    Full = 1, // holds everything
    Gap = 2, // one before it was lost; everything is asked for
    Stale = 3, // doubled, late or of an incarnation that is gone
};

struct SentGrants {
    uint64_t batch = 0;
    Instant sentAt {};
};

struct HolderLink {
    std::string name;
    uint64_t incarnation = 0;
    bool inSync = false; // a full batch came in this epoch
    Instant startedAt {}; // start of the incarnation, at the earliest
    uint64_t lastBatch = 0;
    uint64_t acknowledgedGrants = 0; // batches of grants up to this one are taken or lost
    uint64_t nextBatch = 1; // number of the batch in the making
    std::deque<SentGrants> unconfirmed; // batches with grants or refusals
    schema::GrantBatch next;
    bool needsSend = false;
};

class HolderLinks {
public:
    void reset(Epoch);

    HolderId idOf(std::string_view holder);
    HolderLink& at(HolderId id) { return m_links[id]; }
    const HolderLink& at(HolderId id) const { return m_links[id]; }
    const HolderLink* find(const std::string& holder) const;

    // Places a batch. A new incarnation starts its link over.
    BatchStatus receive(HolderId, const schema::TicketBatch&, Instant);

    void addGrant(HolderId, schema::Grant);
    void addRefusal(HolderId, schema::Refusal);
    void requestFullBatch(HolderId);

    // Asks for everything where an acknowledgement is overdue.
    void onTick(Instant);

    struct Outgoing {
        std::string holder;
        schema::GrantBatch batch;
    };
    std::vector<Outgoing> takeBatches(Instant);

private:
    static constexpr Milliseconds acknowledgementTimeout { 500 };

    Epoch m_epoch = 0;
    std::vector<HolderLink> m_links;
    absl::flat_hash_map<std::string, HolderId> m_byName;
};

} // namespace teasel
