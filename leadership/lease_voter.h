// One vote in the election of data centres' leaders. A vote is a promise to
// back nobody else until the lease it was given for has run out (leases as in
// Gray and Cheriton, 1989).
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "peer.pb.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <string_view>

namespace teasel {

struct LeaseVoterOptions {
    Duration lease { std::chrono::milliseconds(1'500) };
    Duration successorHold { std::chrono::milliseconds(500) }; // a released lease is kept for the named successor
};

class LeaseVoter {
public:
    // Backs nobody before `start` plus one lease: a promise from before a
    // restart is not remembered and may still hold.
    LeaseVoter(LeaseVoterOptions, Instant start);

    // Forgets all promises and waits one lease again.
    void restart(Instant);

    // Answers a request or takes note of a release; nothing to send for the latter.
    std::optional<schema::LeadershipMessage> onMessage(
        std::string_view from, const schema::LeadershipMessage&, Instant now);

    // Whom the vote backs now; empty if nobody.
    std::string_view holder(std::string_view dataCentre, Instant now) const;
    Epoch seenEpoch(std::string_view dataCentre) const;

private:
    struct Promise {
        std::string holder;
        Epoch epoch = 0;
        Instant until {};
        std::string successor;
        Instant successorUntil {};
    };

    schema::LeadershipMessage answerRequest(std::string_view from, const schema::LeadershipMessage&, Instant now);
    bool mayBack(std::string_view candidate, Epoch, bool renewal, const Promise&, Instant now) const;
    void takeRelease(std::string_view from, const schema::LeadershipMessage&, Instant now);

    LeaseVoterOptions m_options;
    Instant m_backsFrom;
    absl::flat_hash_map<std::string, Promise> m_promises; // by data centre
};

} // namespace teasel
