// The client of the replicated fleet state in an entry instance: finds the state
// leader and resends each proposal until it is answered or times out.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "fleet.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

struct StateClientOptions {
    std::vector<std::string> states; // ids of the state replicas
    Duration resendInterval { std::chrono::milliseconds(400) };
    // Used once the leader has acknowledged the proposal.
    Duration acknowledgedResendInterval { std::chrono::milliseconds(1'500) };
    // Without an answer for this long, the next replica is tried.
    Duration leaderTimeout { std::chrono::milliseconds(700) };
};

class StateClient {
public:
    using Send = std::function<void(std::string_view state, const schema::Propose&)>;
    // Receives the result, or an error when no answer arrived in time. After an
    // error the command may have been applied; proposing it again is harmless.
    using Done = std::function<void(const schema::CommandResult*, const Error*)>;

    StateClient(StateClientOptions, uint64_t firstTicket, Send);

    void propose(schema::Command, bool waitInForce, Duration timeout, Instant now, Done);
    void onAnswer(std::string_view from, const schema::ProposeAnswer&, Instant now);
    void onTick(Instant now);

    // Id of the replica assumed to lead the fleet state; empty only if there are no state replicas.
    std::string_view leader() const;

    // Records a message from a state replica; one from the assumed leader ends the wait for an answer.
    void onContact(std::string_view from, Instant now);

    // Records that a message that requires an answer was sent to the leader.
    void expectAnswer(Instant now);

    // Number of proposals that wait for an answer.
    size_t pendingProposals() const { return m_pending.size(); }

private:
    struct PendingProposal {
        schema::Propose propose;
        Instant deadline;
        Instant nextSend;
        Done done;
    };

    void sendProposal(PendingProposal&, Instant now);
    void tryNextReplica(Instant now);

    StateClientOptions m_options;
    uint64_t m_nextTicket;
    Send m_send;
    size_t m_leaderIndex = 0; // index in `states` of the assumed leader
    Instant m_unansweredSince {}; // send time of the first unanswered message; zero if there is none
    std::map<uint64_t, PendingProposal> m_pending;
};

} // namespace teasel
