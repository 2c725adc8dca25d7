// An entry instance's way to the fleet state: finds the state's leader, and
// repeats each proposal until it is answered or its time is over.
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
    Duration resendEvery { std::chrono::milliseconds(400) };
    Duration resendReceivedEvery { std::chrono::milliseconds(1'500) }; // once the leader has said that it has it
    Duration silenceLimit { std::chrono::milliseconds(700) }; // then another replica is tried
};

class StateClient {
public:
    using Send = std::function<void(std::string_view state, const schema::Propose&)>;
    // The result, or an error when no answer came in time; the command may then
    // have been carried out, and is harmless to propose again.
    using Done = std::function<void(const schema::CommandResult*, const Error*)>;

    StateClient(StateClientOptions, uint64_t firstTicket, Send);

    void propose(schema::Command, bool waitInForce, Duration limit, Instant now, Done);
    void onAnswer(std::string_view from, const schema::ProposeAnswer&, Instant now);
    void onTick(Instant now);

    // The replica believed to lead the fleet state; empty only without any state replica.
    std::string_view leader() const;

    // Notes a sign of life from the leader, or that none came for something sent to it.
    void onHeard(std::string_view from, Instant now);
    void expectAnswer(Instant now);

    size_t open() const { return m_open.size(); }

private:
    struct Open {
        schema::Propose propose;
        Instant limit;
        Instant nextSend;
        Done done;
    };

    void sendDue(Open&, Instant now);
    void tryNext(Instant now);

    StateClientOptions m_options;
    uint64_t m_nextTicket;
    Send m_send;
    size_t m_current = 0;
    Instant m_expectedSince {}; // when the first unanswered message was sent; zero if none
    std::map<uint64_t, Open> m_open;
};

} // namespace teasel
