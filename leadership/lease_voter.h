// One voter in the elections of data centres' leaders. A vote is a promise not to vote for another candidate until the
// lease granted with it has expired (leases as in Gray and Cheriton, 1989).
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
    Duration successorReservation { std::chrono::milliseconds(500) }; // for the successor named in a release
};

class LeaseVoter {
public:
    // Grants no vote before `start` plus one lease: promises made before a restart are not stored and may still be
    // valid.
    LeaseVoter(LeaseVoterOptions, Instant start);

    // Starts the waiting time of one lease again. Earlier promises stay in force.
    void restart(Instant);

    // Answers a request or records a release. There is no answer to a release.
    std::optional<schema::LeadershipMessage> onMessage(
        std::string_view from, const schema::LeadershipMessage&, Instant now);

    // The candidate that holds this vote now; empty if none does.
    std::string_view holder(std::string_view dataCentre, Instant now) const;
    Epoch promisedEpoch(std::string_view dataCentre) const;

private:
    struct Promise {
        std::string holder;
        Epoch epoch = 0;
        Instant expiresAt {};
        std::string successor;
        Instant successorUntil {};
    };

    schema::LeadershipMessage answerRequest(std::string_view from, const schema::LeadershipMessage&, Instant now);
    bool mayVoteFor(std::string_view candidate, Epoch, bool renewal, const Promise&, Instant now) const;
    void handleRelease(std::string_view from, const schema::LeadershipMessage&, Instant now);

    LeaseVoterOptions m_options;
    Instant m_votesFrom;
    absl::flat_hash_map<std::string, Promise> m_promises; // by data centre
};

} // namespace teasel
