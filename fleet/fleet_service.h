// What the state's leader runs: the sessions with the data centres' leaders,
// the answers to proposals, and the division of limits.
#pragma once

#include "core/clock.h"
#include "fleet/fleet_state.h"
#include "fleet/portion_rounds.h"
#include "fleet/session_ledger.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace teasel {

struct FleetServiceOptions {
    std::vector<std::string> dataCentres; // of the settings; others are not answered
    Duration authority = std::chrono::hours(1); // how long a data centre serves when cut off; at least 2 s
    Duration planEvery = std::chrono::milliseconds(200); // between updates of portions, at least
    Duration heardWithin = std::chrono::seconds(1); // a data centre silent for longer keeps its portions
    Duration maxWait = std::chrono::seconds(60); // for a change to come into force
    size_t maxPending = 10'000; // proposals held
    size_t maxJobsPerGrant = 256;
    uint64_t firstTicket = 0; // above those of the process's earlier incarnations
};

struct SendGrant {
    std::string to;
    schema::SessionGrant grant;
};

struct SendAnswer {
    std::string to;
    schema::ProposeAnswer answer;
};

// To be appended to the log; the host sets the command's wall time, ticket and proposer.
struct ProposeCommand {
    uint64_t ticket = 0;
    schema::Command command;
};

using FleetAction = std::variant<SendGrant, SendAnswer, ProposeCommand>;

// The host calls onRenew only while the replica holds the leadership lease of
// the state, and looks at it again before it sends grants.
class FleetService {
public:
    FleetService(FleetServiceOptions, const FleetState&);
    FleetService(const FleetService&) = delete;
    FleetService& operator=(const FleetService&) = delete;

    // Serving starts once the replica has applied all that was committed before it led.
    void onLeadership(bool serving, Instant now);

    void onRenew(std::string_view from, const schema::SessionRenew&, Instant now);
    void onPropose(std::string_view from, const schema::Propose&, Instant now);

    // After FleetState has applied a command; the ticket is 0 for one that this replica did not propose.
    void onApplied(uint64_t ticket, const schema::Command&, const schema::CommandResult&, Instant now);

    // The command will not be known to be committed here.
    void onDropped(uint64_t ticket, Instant now);
    void onTick(Instant now);

    std::vector<FleetAction> takeActions();

    // Data centres where a revision may not be in force yet, for status.
    std::vector<std::string> notReached(Revision revision, Instant now) const
    {
        return m_ledger.notReached(revision, now);
    }

private:
    enum class Origin : uint8_t {
        Entry = 0, // an entry instance waits for the answer
        Session = 1,
        Portions = 2,
        InForce = 3,
    };
    struct Pending {
        Origin origin = Origin::Entry;
        std::string from; // or the data centre of a session record
        uint64_t askerTicket = 0;
        bool waitInForce = false;
        Instant deadline;
    };
    // A committed change whose proposer waits until it is in force.
    struct Waiting {
        Pending pending;
        std::string madeBy;
        std::string changeId;
        schema::CommandResult result;
    };

    uint64_t propose(schema::Command, Pending);
    void recordSession(const std::string& dataCentre, SessionEntry&, Epoch, bool open);
    void onRecorded(const std::string& dataCentre, uint64_t ticket, Instant now);
    void onNotRecorded(const std::string& dataCentre, uint64_t ticket);
    bool isOpen(const std::string& dataCentre, Epoch) const;
    void takeRenew(const std::string& from, const schema::SessionRenew&, Instant now);
    void onLeaving(const std::string& dataCentre, SessionEntry&, const schema::SessionRenew&);
    void closeEnded(Instant now);

    void grant(const std::string& dataCentre, SessionEntry&, const schema::SessionRenew&, Instant now);
    schema::SessionGrant grantFor(const std::string& dataCentre, const SessionEntry&) const;
    void pushChanges();
    void markChanged(const schema::Command&, const schema::CommandResult&, Instant now);

    void answer(const Pending&, schema::CommandResult);
    void answerNotLeader(const std::string& to, uint64_t askerTicket);
    void answerChange(Pending, const schema::ConfigChange&, schema::CommandResult, Instant now);
    bool finishIfAccepted(const Waiting&, Instant now);
    void checkWaiting(Instant now);
    std::vector<std::string> missingFor(const schema::ChangeRecord&, Instant now) const;
    void advanceInForce(Instant now);
    void planPortions(Instant now);

    FleetServiceOptions m_options;
    const FleetState& m_state;
    SessionLedger m_ledger;
    PortionRounds m_rounds;
    std::vector<FleetAction> m_actions;
    absl::btree_map<uint64_t, Pending> m_pending;
    std::vector<Waiting> m_waiting;
    uint64_t m_lastTicket = 0;
    uint64_t m_inForceTicket = 0; // of a mark on its way; 0: none
    uint64_t m_portionsTicket = 0;
    Instant m_nextPlan;
    bool m_serving = false;
};

} // namespace teasel
