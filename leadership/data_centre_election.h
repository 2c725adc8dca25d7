// Election of a data centre's leader among its entry instances.
//
// The voters are the data centre's instances and, if their number is even, the leader of the fleet state. A leader
// holds a lease granted by a majority. The lease counts from the sending of the granted requests, so that a process
// that was paused sees that its lease has expired. A data centre with three instances elects without the fleet state;
// one with two keeps its leader without the fleet state while both instances run.
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
    std::vector<std::string> members; // entry instances of the data centre, including this one
    LeaseVoterOptions voter;
    Duration renewInterval { std::chrono::milliseconds(300) };
    Duration clockMargin { std::chrono::milliseconds(100) }; // maximum drift between two clocks over one lease
    Duration campaignTimeout { std::chrono::milliseconds(400) };
    Duration maxCampaignDelay { std::chrono::milliseconds(400) }; // bound of the random delay between campaigns
    uint64_t seed = 0;
};

// A message to a member of the data centre, or to the fleet state if `to` is empty.
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

    // Handles a message from a member, or from the fleet state's leader if `from` is empty.
    void onMessage(std::string_view from, const schema::LeadershipMessage&, Instant now);

    // Gives up leadership. The member with the latest contact is named as preferred successor.
    void resign(Instant now);

    // Whether this instance leads now. Check it again before each external effect.
    bool leads(Instant now) const { return m_leading && now < m_leaseUntil; }
    Epoch epoch() const { return m_epoch; }
    Instant leaseUntil() const { return m_leaseUntil; }

    // The leader as far as this instance knows; empty if there is none.
    std::string_view leader(Instant now) const;

    // The epoch of leader(), as far as this instance knows.
    Epoch leaderEpoch(Instant now) const;

    std::vector<ElectionAction> takeActions();

private:
    struct RequestRound {
        Instant sentAt;
        absl::flat_hash_set<std::string> granted;
    };

    size_t majority() const { return m_voters / 2 + 1; }
    void sendRequests(Instant now);
    void startCampaign(Instant now, WallTime wallNow);
    void abandonCampaign(Instant now);
    void onReply(std::string_view from, const schema::LeadershipMessage&, Instant now);
    void extendLease(const RequestRound&, Instant now);
    void loseLeadership();
    void releaseAll(std::string_view successor, Instant now);
    void broadcast(const schema::LeadershipMessage&, Instant now);
    void castOwnVote(const schema::LeadershipMessage&, Instant now);
    void assertLeaseWithinPromises(Instant now) const;

    ElectionOptions m_options;
    Random m_random;
    LeaseVoter m_voter;
    bool m_fleetStateVotes;
    size_t m_voters;

    bool m_leading = false;
    bool m_campaigning = false;
    bool m_resigned = false;
    Epoch m_epoch = 0;
    Epoch m_highestSeenEpoch = 0;
    Instant m_leaseUntil {};
    Instant m_campaignDeadline {};
    Instant m_nextCampaign {};
    Instant m_nextRenewal {};
    uint64_t m_sequence = 0;
    absl::flat_hash_map<uint64_t, RequestRound> m_rounds;
    absl::flat_hash_map<std::string, Instant> m_lastContactAt;
    std::vector<ElectionAction> m_actions;
};

} // namespace teasel
