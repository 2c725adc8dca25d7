// Finds the job plane's leader from a few seeds and passes calls to it.
//
// A call names the term of the leader that it is meant for. It is passed again,
// with the same number, when the leader changes or stays silent; an answer that
// says "not accepted" therefore holds for every copy of it.
#pragma once

#include "core/clock.h"
#include "peer.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

struct LeaderRelayOptions {
    std::string self; // address of this instance
    uint64_t firstNumber
        = 0; // of calls, above those of earlier processes at this address: their answers may still come
    bool isCore = false;
    std::string dataCentre;
    std::vector<std::string> seeds; // addresses of core instances
    Milliseconds helloEvery { 300 }; // to the leader; to all known instances while there is none
    Milliseconds viewLasts { 1'200 }; // a leader that has not been heard of for this long is looked for anew
    Milliseconds repeatAfter { 700 }; // an unanswered call is passed again; several round trips
    Milliseconds waitForLeader { 1'500 }; // a call that was never passed on is turned away then; an election
    Milliseconds defaultTime { 3'000 }; // of a caller that does not say how long it waits
    Milliseconds answerMargin { 80 }; // the last answer leaves this long before the caller gives up
    size_t maxCalls = 4'000; // calls held at once
};

// Used on the control thread only.
class LeaderRelay {
public:
    using Send = std::function<void(std::string_view to, schema::Envelope)>;
    using Done = std::function<void(schema::RoutedAnswer)>;
    using LeaderChanged = std::function<void(const std::string& leader, uint64_t term)>;

    LeaderRelay(LeaderRelayOptions, Send, LeaderChanged);

    // Passes a call on. `done` is called exactly once, at the latest when the caller's time is over.
    void call(schema::RoutedCall, Done, Instant now);

    void onAnswer(const schema::RoutedAnswer&, Instant now);
    void onView(std::string_view from, const schema::CoreView&, Instant now);
    void onTick(Instant now);

    // A leader was heard of within the time that its view lasts.
    bool hasLeader(Instant now) const { return !m_leader.empty() && now - m_leaderHeard <= m_options.viewLasts; }
    const std::string& leader() const { return m_leader; }
    size_t open() const { return m_calls.size(); }
    const absl::btree_set<std::string>& core() const { return m_core; }

    void addSeeds(const std::vector<std::string>& seeds)
    {
        m_options.seeds = seeds;
        m_core.insert(seeds.begin(), seeds.end());
    }
    void setStopping() { m_isStopping = true; }
    void setHasState(bool hasState) { m_hasState = hasState; }

private:
    struct OpenCall {
        schema::RoutedCall call;
        Done done;
        Instant began {};
        Instant endsAt {};
        Instant sentAt {};
        bool wasSent = false;
    };

    void pass(OpenCall&, Instant now);
    void finish(uint64_t number, schema::RoutedAnswer);
    void sayHello(Instant now);

    LeaderRelayOptions m_options;
    Send m_send;
    LeaderChanged m_leaderChanged;
    absl::btree_map<uint64_t, OpenCall> m_calls;
    absl::btree_set<std::string> m_core;
    std::string m_leader;
    uint64_t m_term = 0;
    Instant m_leaderHeard {};
    Instant m_nextHello {};
    uint64_t m_lastNumber = 0;
    bool m_isStopping = false;
    bool m_hasState = false;
};

} // namespace teasel
