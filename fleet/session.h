// The data centre's side of its session with the fleet state, run by the data centre's leader, and the fan-out of
// configuration and portions to the other members.
#pragma once

#include "core/clock.h"
#include "fleet/config_view.h"
#include "fleet/member_session.h"
#include "fleet/portion_holder.h"
#include "fleet/session_actions.h"

#include <absl/container/btree_map.h>

#include <deque>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

struct FleetSessionOptions {
    std::string dataCentre;
    std::vector<std::string> members; // the data centre's other entry instances, from the settings
    Duration renewInterval = std::chrono::milliseconds(250);
    Duration minEarlyRenewInterval = std::chrono::milliseconds(10); // from the previous renewal to an early one
    Duration memberLease = std::chrono::seconds(2); // longer than a leader change takes
    Duration cutOffTimeout = std::chrono::seconds(1); // without a grant for longer, the data centre counts as cut off
    Duration minPortionsPushInterval = std::chrono::milliseconds(50); // between pushes of portions to members
};

// The host calls this class only while the instance holds its leadership lease, and checks the lease again before it
// sends the messages from takeActions().
class FleetSession {
public:
    FleetSession(FleetSessionOptions, ConfigView&);

    // Starts leading with the result of MemberSession::inheritableAuthority at this instant. If that is empty, no
    // portion may be used before a grant under this epoch arrives.
    void onBecameLeader(Epoch, const std::optional<InheritedAuthority>&, Instant now);
    void onLostLeadership();

    // Releases the authority lease before the last instance of a data centre stops.
    void onLeaving(Instant now);

    void onGrant(const schema::SessionGrant&, Instant now);
    void onMemberRenew(std::string_view from, const schema::MemberRenew&, Instant now);
    void onTick(Instant now);

    // Sets the present use and need of each team's limits. Called before onTick, so that portions with a lower target
    // shrink before the renewal reports them.
    void setNeeds(std::span<const TeamNeed>, Instant now);

    // The use up to which new work of the team may start in this data centre.
    Amounts cap(TeamId team) const { return m_holder.cap(team); }

    // Whether this instance may act on its configuration: it leads and the authority lease is valid.
    bool mayServe(Instant now) const;

    // Whether a grant under this epoch has set the portions.
    bool hasGrant() const { return leads() && !m_awaitsFirstGrant; }

    // Whether no grant has arrived for longer than the cut-off timeout.
    bool cutOff(Instant now) const;

    Instant authorityEnd() const { return m_authorityEnd; }
    bool leads() const { return m_epoch != 0; }
    Epoch epoch() const { return m_epoch; }

    // The lowest revision among this instance and every member that may hold a lease.
    Revision inForceRevision(Instant now) const;

    std::vector<SessionAction> takeActions() { return std::exchange(m_actions, {}); }

private:
    struct Member {
        bool hasReported = false; // has renewed under this epoch
        uint64_t sequence = 0; // sequence of its last renewal
        uint64_t leaseMs = 0; // lease granted for that renewal
        Instant leaseEnd; // latest possible end, with clock margin
        Revision revision = 0; // lower bound on the applied revision
        Revision sentRevision = 0;
        uint64_t sentDigest = 0;
        uint64_t portionsSerial = 0; // serial of the portions that it has under this epoch
    };
    struct SentRenew {
        uint64_t sequence = 0;
        Instant at;
    };

    std::optional<Instant> sentAt(uint64_t sequence) const;
    bool applyDelta(const schema::SessionGrant&);
    void handleJobs(const schema::SessionGrant&);
    void answerMember(const std::string& name, Member&, const schema::MemberRenew&, Instant now);
    void sendUpdate(const std::string& name, Member&, schema::ConfigDelta, Instant now);
    void fanOut(Instant now);
    void renewIfDue(Instant now);
    void pushPortions(Instant now);
    void sendRenew(Instant now);
    void writeMembers(schema::SessionRenew&, Instant now) const;

    FleetSessionOptions m_options;
    ConfigView& m_view;
    PortionHolder m_holder;
    absl::btree_map<std::string, Member> m_members;
    std::deque<SentRenew> m_sent;
    std::vector<SessionAction> m_actions;
    Epoch m_epoch = 0; // 0 if this instance does not lead
    uint64_t m_sequence = 0;
    uint64_t m_jobsVersion = 0;
    Instant m_authorityEnd;
    Instant m_nextRenew;
    Instant m_lastRenew;
    Instant m_nextPortionsPush;
    Instant m_lastContactAt; // when the latest answered renewal was sent
    Revision m_reportedRevision = 0; // revision in force as of the latest renewal
    bool m_awaitsFirstGrant = false; // no grant has arrived under this epoch
    bool m_renewSoon = false;
    bool m_portionsPushDue = false;
    bool m_leaving = false;
};

} // namespace teasel
