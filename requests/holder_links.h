// The leader's side of the batch protocol with the holders of its data centre.
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

// How a received ticket batch relates to the previous ones.
enum class BatchStatus : uint8_t {
    Next = 0, // the expected next batch
    Full = 1, // contains the holder's full state
    Gap = 2, // an earlier batch was lost; a full batch is requested
    Stale = 3, // duplicate, late, or of a previous incarnation or epoch
};

struct SentGrants {
    uint64_t batch = 0;
    Instant sentAt {};
};

struct HolderLink {
    std::string name;
    uint64_t incarnation = 0;
    bool inSync = false; // a full batch was received in this epoch
    Instant startedAt {}; // start of the holder's incarnation plus the batch's transit time
    uint64_t lastBatch = 0;
    uint64_t acknowledgedGrants = 0; // grant batches up to this number were processed or lost
    uint64_t nextBatch = 1; // number of the batch being built
    std::deque<SentGrants> unconfirmed; // unacknowledged batches with grants or refusals
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

    // Classifies a batch and updates the link. A new incarnation of the holder resets its link.
    BatchStatus receive(HolderId, const schema::TicketBatch&, Instant);

    void addGrant(HolderId, schema::Grant);
    void addRefusal(HolderId, schema::Refusal);
    void requestFullBatch(HolderId);

    // Requests a full batch from each holder whose acknowledgement is overdue.
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
