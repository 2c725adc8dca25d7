// Election of one data centre's leader among its entry instances.
//
// The voters are the data centre's instances and, where these are even in
// number, the fleet state's leader. A leader holds a lease from a majority,
// counted from the sending of the requests that were granted, so that a paused
// process sees its own lease end. A data centre with three instances elects
// without the fleet state; one with two keeps its leader while both run.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "leadership/lease_voter.h"
#include "peer.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasel {

struct ElectionOptions {
    std::string self;
    std::string dataCentre;
    std::vector<std::string> members; // entry instances of the data centre, this one too
    LeaseVoterOptions voter;
    Duration renewEvery { std::chrono::milliseconds(300) };
    Duration clockMargin { std::chrono::milliseconds(100) }; // how far clocks may drift apart over one lease
    Duration campaignLimit { std::chrono::milliseconds(400) };
    Duration longestPause { std::chrono::milliseconds(400) }; // between campaigns, drawn at random
    uint64_t seed = 0;
};

// To a member of the data centre, or to the fleet state where `to` is empty.
struct SendLeadership {
    std::string to;
    schema::LeadershipMessage message;
};

struct LeadershipGained {
    Epoch epoch = 0;
};

struct LeadershipLost { };

using ElectionAction = std::variant<SendLeadership, LeadershipGained, LeadershipLost>;

class DataCentreElection {
public:
    DataCentreElection(ElectionOptions, Instant start);

    void onTick(Instant now, WallTime wallNow);

    // From a member, or from the fleet state's leader with an empty `from`.
    void onMessage(std::string_view from, const schema::LeadershipMessage&, Instant now);

    // Gives leadership up, preferring another member that was heard lately.
    void resign(Instant now);

    // Whether this instance leads at this moment. Look again before each outward effect.
    bool leads(Instant now) const { return m_leading && now < m_leaseUntil; }
    Epoch epoch() const { return m_epoch; }
    Instant leaseUntil() const { return m_leaseUntil; }

    // Who leads as far as this instance knows; empty if nobody does.
    std::string_view leader(Instant now) const;

    // The epoch of that leader, as far as it is known.
    Epoch leaderEpoch(Instant now) const;

    std::vector<ElectionAction> takeActions();

private:
    struct Round {
        Instant sentAt;
        absl::flat_hash_set<std::string> granted;
    };

    size_t majority() const { return m_voters / 2 + 1; }
    void sendRequests(Instant now);
    void startCampaign(Instant now, WallTime wallNow);
    void abandonCampaign(Instant now);
    void onReply(std::string_view from, const schema::LeadershipMessage&, Instant now);
    void extendLease(const Round&, Instant now);
    void loseLeadership();
    void releaseAll(std::string_view successor, Instant now);
    void broadcast(const schema::LeadershipMessage&, Instant now);
    void takeOwnVote(const schema::LeadershipMessage&, Instant now);
    void assertLeaseWithinPromises(Instant now) const;

    ElectionOptions m_options;
    Random m_random;
    LeaseVoter m_voter;
    bool m_stateVotes;
    size_t m_voters;

    bool m_leading = false;
    bool m_campaigning = false;
    bool m_resigned = false;
    Epoch m_epoch = 0;
    Epoch m_seenEpoch = 0;
    Instant m_leaseUntil {};
    Instant m_campaignEnds {};
    Instant m_nextCampaign {};
    Instant m_nextRenewal {};
    uint64_t m_sequence = 0;
    absl::flat_hash_map<uint64_t, Round> m_rounds;
    absl::flat_hash_map<std::string, Instant> m_heard;
    std::vector<ElectionAction> m_actions;
};

} // namespace teasel
