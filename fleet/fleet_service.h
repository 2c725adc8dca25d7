// The part of the fleet state that only its leader runs: the sessions with the data centres' leaders, the answers to
// proposals and the division of the teams' limits among data centres.
#pragma once

#include "core/clock.h"
#include "fleet/fleet_state.h"
#include "fleet/portion_allocator.h"
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
    std::vector<std::string> dataCentres; // from the settings; renewals of other data centres are ignored
    Duration authority = std::chrono::hours(1); // how long a cut-off data centre keeps serving; at least 2 s
    Duration planInterval = std::chrono::milliseconds(200); // minimum time between updates of portions
    Duration contactTimeout = std::chrono::seconds(1); // a data centre silent for longer keeps its portions
    Duration maxInForceWait = std::chrono::seconds(60); // upper bound of a proposer's wait, see Propose::wait_ms
    size_t maxPendingProposals = 10'000; // uncommitted proposals and changes that wait to come into force
    size_t maxCommandBytes = 6 << 20; // larger proposals are refused; the log takes somewhat larger records
    size_t maxJobsPerGrant = 256;
    // A grant carries more bytes of jobs than this only if they are those of one job, and none beside a configuration
    // that is larger.
    size_t maxJobBytesPerGrant = 1 << 20;
    uint64_t firstTicket = 0; // higher than every ticket of the process's earlier incarnations
};

struct SendGrant {
    std::string to;
    schema::SessionGrant grant;
};

struct SendAnswer {
    std::string to;
    schema::ProposeAnswer answer;
};

// A command to append to the log. The host sets the command's wall time, ticket and proposer.
struct ProposeCommand {
    uint64_t ticket = 0;
    schema::Command command;
};

using FleetAction = std::variant<SendGrant, SendAnswer, ProposeCommand>;

// The host calls onRenew only while the replica holds the leadership lease of the state, and checks the lease again
// before it sends grants.
class FleetService {
public:
    FleetService(FleetServiceOptions, const FleetState&);
    FleetService(const FleetService&) = delete;
    FleetService& operator=(const FleetService&) = delete;

    // `serving` becomes true once the replica leads and has applied every command committed under earlier leaders.
    void onLeadership(bool serving, Instant now);

    void onRenew(std::string_view from, const schema::SessionRenew&, Instant now);
    void onPropose(std::string_view from, const schema::Propose&, Instant now);

    // Called after FleetState has applied a command. The ticket is 0 if this replica did not propose the command.
    void onApplied(uint64_t ticket, const schema::Command&, const schema::CommandResult&, Instant now);

    // Called when this replica will not learn whether the command is committed.
    void onOutcomeUnknown(uint64_t ticket, Instant now);
    void onTick(Instant now);

    std::vector<FleetAction> takeActions();

    // The data centres where a revision may not be in force yet, for /v1/status.
    std::vector<std::string> dataCentresNotReached(Revision revision, Instant now) const
    {
        return m_ledger.dataCentresNotReached(revision, now);
    }

private:
    enum class Origin : uint8_t {
        Entry = 0, // proposed by an entry instance, which waits for the answer
        Session = 1,
        Portions = 2,
        InForce = 3,
    };
    struct PendingProposal {
        Origin origin = Origin::Entry;
        std::string from; // address of the proposer; for Origin::Session the data centre
        uint64_t proposerTicket = 0;
        bool waitInForce = false;
        Instant deadline;
    };
    // A committed change whose proposer waits until the change is in force.
    struct WaitingChange {
        PendingProposal pending;
        std::string madeBy;
        std::string changeId;
        schema::CommandResult result;
    };

    uint64_t propose(schema::Command, PendingProposal);
    void recordSession(const std::string& dataCentre, SessionEntry&, Epoch, bool open);
    void onSessionRecorded(const std::string& dataCentre, uint64_t ticket, Instant now);
    void onSessionRecordDropped(const std::string& dataCentre, uint64_t ticket);
    bool isOpen(const std::string& dataCentre, Epoch) const;
    void handleRenew(const std::string& from, const schema::SessionRenew&, Instant now);
    void onLeaving(const std::string& dataCentre, SessionEntry&, const schema::SessionRenew&);
    void closeExpiredSessions(Instant now);

    void grant(const std::string& dataCentre, SessionEntry&, const schema::SessionRenew&, Instant now);
    schema::SessionGrant grantFor(const std::string& dataCentre, const SessionEntry&) const;
    void pushDueGrants();
    void markPushesDue(const schema::Command&, const schema::CommandResult&, Instant now);

    void answer(const PendingProposal&, schema::CommandResult);
    void answerNotLeader(const std::string& to, uint64_t proposerTicket);
    void answerChange(PendingProposal, const schema::ConfigChange&, schema::CommandResult, Instant now);
    bool answerIfResolved(const WaitingChange&, Instant now);
    void answerWaitingChanges(Instant now);
    std::vector<std::string> dataCentresWithout(const schema::ChangeRecord&, Instant now) const;
    void advanceInForce(Instant now);
    void planPortions(Instant now);

    FleetServiceOptions m_options;
    const FleetState& m_state;
    SessionLedger m_ledger;
    PortionAllocator m_portionAllocator;
    std::vector<FleetAction> m_actions;
    absl::btree_map<uint64_t, PendingProposal> m_pending;
    std::vector<WaitingChange> m_waiting;
    uint64_t m_lastTicket = 0;
    uint64_t m_inForceTicket = 0; // ticket of the uncommitted InForceMark; 0 if there is none
    uint64_t m_portionsTicket = 0; // ticket of the uncommitted PortionUpdate; 0 if there is none
    Instant m_nextPlan;
    bool m_serving = false;
};

} // namespace teasel
