// Finds the job plane's leader through a few seeds and forwards calls to it.
//
// A forwarded call carries the term of the leader that it is addressed to. It is
// resent with the same number when the leader changes or does not answer in time,
// so a refusal must hold for every copy of the call.
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
    // Number before the first call's. It exceeds all call numbers of earlier processes at this address, whose answers
    // may still arrive.
    uint64_t firstNumber = 0;
    bool isCore = false;
    std::string dataCentre;
    std::vector<std::string> seeds; // addresses of core instances
    Milliseconds registrationInterval { 300 }; // to the leader; without a leader, to all known core instances
    Milliseconds leaderTimeout { 1'200 }; // without contact for this long, the leader is searched for again
    Milliseconds resendInterval { 700 }; // before an unanswered call is resent; several round trips
    // Time after which a call that was never forwarded fails; long enough for an election.
    Milliseconds leaderWaitTimeout { 1'500 };
    Milliseconds defaultTimeout { 3'000 }; // for a call without a time limit of its own
    Milliseconds answerMargin { 80 }; // a timed-out call is answered this long before the caller's own timeout
    size_t maxPendingCalls = 4'000; // calls waiting for an answer at the same time
};

// Used on the control thread only.
class LeaderRelay {
public:
    using Send = std::function<void(std::string_view to, schema::Envelope)>;
    using Done = std::function<void(schema::RoutedAnswer)>;
    using LeaderChanged = std::function<void(const std::string& leader, uint64_t term)>;

    LeaderRelay(LeaderRelayOptions, Send, LeaderChanged);

    // Forwards a call. Calls `done` exactly once, at the latest when the call's time limit expires.
    void call(schema::RoutedCall, Done, Instant now);

    void onAnswer(const schema::RoutedAnswer&, Instant now);
    void onView(std::string_view from, const schema::CoreView&, Instant now);
    void onTick(Instant now);

    // Whether there is a leader with contact within the leader timeout.
    bool hasLeader(Instant now) const
    {
        return !m_leader.empty() && now - m_leaderContactAt <= m_options.leaderTimeout;
    }
    const std::string& leader() const { return m_leader; }
    // Number of calls that wait for an answer.
    size_t pendingCalls() const { return m_pendingCalls.size(); }
    const absl::btree_set<std::string>& coreInstances() const { return m_coreInstances; }

    void addSeeds(const std::vector<std::string>& seeds)
    {
        m_options.seeds = seeds;
        m_coreInstances.insert(seeds.begin(), seeds.end());
    }
    void setStopping() { m_isStopping = true; }
    // Calls `done` of every call by this time at the latest, whatever the call's own time limit is.
    void answerAllBy(Instant);
    void setHasState(bool hasState) { m_hasState = hasState; }

private:
    struct PendingCall {
        schema::RoutedCall call;
        Done done;
        Instant receivedAt {};
        Instant deadline {};
        Instant sentAt {};
        bool wasSent = false;
    };

    void forwardCall(PendingCall&, Instant now);
    // Whether the answer is that of the leader to which the call was sent last. What an earlier leader has rejected,
    // this one may accept.
    bool isFromAddressee(const schema::RoutedAnswer&) const;
    void complete(uint64_t number, schema::RoutedAnswer);
    void sendRegistration(Instant now);

    LeaderRelayOptions m_options;
    Send m_send;
    LeaderChanged m_leaderChanged;
    absl::btree_map<uint64_t, PendingCall> m_pendingCalls;
    absl::btree_set<std::string> m_coreInstances;
    std::string m_leader;
    uint64_t m_term = 0;
    uint64_t m_viewSentAtMs = 0; // when the leader sent its latest view, on its clock
    Instant m_leaderContactAt {};
    Instant m_nextRegistration {};
    Instant m_lastAnswerAt = Instant::max(); // no call's deadline is later
    uint64_t m_lastNumber = 0;
    bool m_isStopping = false;
    bool m_hasState = false;
};

} // namespace teasel
