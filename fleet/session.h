// The half of a data centre's session with the fleet state that its leader
// runs, and the fan-out of configuration to the other members.
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
    std::vector<std::string> members; // the data centre's other entry instances, by the settings
    Duration renewEvery = std::chrono::milliseconds(250);
    Duration earlyRenewGap = std::chrono::milliseconds(10); // between renewals sent ahead of time
    Duration memberLease = std::chrono::seconds(2); // longer than a change of leaders takes
    Duration cutOffAfter = std::chrono::seconds(1); // without a grant
    Duration portionsPushGap = std::chrono::milliseconds(50); // between pushes of portions to members
};

// The host calls it only while the instance's own leadership lease lasts, and
// looks at that lease again before it sends what takeActions() gives.
class FleetSession {
public:
    FleetSession(FleetSessionOptions, ConfigView&);

    // Starts leading, with what MemberSession::inheritableAuthority gave at this
    // instant. Without it no portion may be used before a grant under this
    // epoch has come.
    void onBecameLeader(Epoch, const std::optional<InheritedAuthority>&, Instant now);
    void onLostLeadership();

    // Gives up the authority lease, before the last instance of a data centre stops.
    void onLeaving(Instant now);

    void onGrant(const schema::SessionGrant&, Instant now);
    void onMemberRenew(std::string_view from, const schema::MemberRenew&, Instant now);
    void onTick(Instant now);

    // What the data centre uses and wants of each team's limits, as of this
    // instant. Called before onTick, so that portions asked back shrink.
    void setNeeds(std::span<const TeamNeed>, Instant now);

    // The use up to which new work of the team may start in this data centre.
    Amounts cap(TeamId team) const { return m_holder.cap(team); }

    // Whether this instance may act on its configuration: it leads and the authority lease lasts.
    bool mayServe(Instant now) const;

    // Whether the portions are those of a grant under this epoch.
    bool hasGrant() const { return leads() && !m_awaitsJobs; }

    // Whether the fleet state has been silent for a while.
    bool cutOff(Instant now) const;

    Instant authorityEnd() const { return m_authorityEnd; }
    bool leads() const { return m_epoch != 0; }
    Epoch epoch() const { return m_epoch; }

    // The revision in force on this instance and on every member with a lease.
    Revision inForceRevision(Instant now) const;

    std::vector<SessionAction> takeActions() { return std::exchange(m_actions, {}); }

private:
    struct Member {
        bool heard = false; // under this epoch
        uint64_t sequence = 0; // of its last renewal
        uint64_t leaseMs = 0; // given for that renewal
        Instant leaseEnd; // as late as it can be
        Revision revision = 0; // applied, at least
        Revision sentRevision = 0;
        uint64_t sentDigest = 0;
        uint64_t portionsSerial = 0; // that it knows, under this epoch
    };
    struct SentRenew {
        uint64_t sequence = 0;
        Instant at;
    };

    std::optional<Instant> sentAt(uint64_t sequence) const;
    bool applyDelta(const schema::SessionGrant&);
    void takeJobs(const schema::SessionGrant&);
    void answerMember(const std::string& name, Member&, const schema::MemberRenew&, Instant now);
    void sendUpdate(const std::string& name, Member&, schema::ConfigDelta, Instant now);
    void fanOut(Instant now);
    void renewIfDue(Instant now);
    void spreadPortions(Instant now);
    void sendRenew(Instant now);
    void writeMembers(schema::SessionRenew&, Instant now) const;

    FleetSessionOptions m_options;
    ConfigView& m_view;
    PortionHolder m_holder;
    absl::btree_map<std::string, Member> m_members;
    std::deque<SentRenew> m_sent;
    std::vector<SessionAction> m_actions;
    Epoch m_epoch = 0; // 0: does not lead
    uint64_t m_sequence = 0;
    uint64_t m_jobsVersion = 0;
    Instant m_authorityEnd;
    Instant m_nextRenew;
    Instant m_lastRenew;
    Instant m_nextPortionsPush;
    Instant m_heardAt; // sending of the latest renewal that was answered
    Revision m_reportedRevision = 0; // in force, by the latest renewal
    bool m_awaitsJobs = false; // no grant has come under this epoch
    bool m_renewSoon = false;
    bool m_portionsPushDue = false;
    bool m_leaving = false;
};

} // namespace teasel
