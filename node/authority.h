// The authority of an entry instance: whether it leads its data centre, which
// configuration is in force, and whether its leases allow it to serve requests.
#pragma once

#include "core/clock.h"
#include "fleet/config_view.h"
#include "fleet/member_session.h"
#include "fleet/session.h"
#include "leadership/data_centre_election.h"
#include "peer.pb.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

struct AuthorityOptions {
    std::string instance;
    std::string dataCentre;
    std::vector<std::string> members; // entry instances of the data centre, including this one
    uint64_t incarnation = 0;
    uint64_t seed = 0;
};

// Callbacks for changes of the authority. Called on the control thread.
struct AuthorityEvents {
    std::function<void(Epoch)> onLeadershipGained;
    std::function<void()> onLeadershipLost;
    std::function<void()> onConfigChanged;
    std::function<void()> onPortionsChanged;
    std::function<void(const JobsChanged&)> onJobsChanged;
};

// Used on the control thread only.
class Authority {
public:
    using Send = std::function<void(std::string_view to, schema::Envelope)>;
    using SendToState = std::function<void(schema::Envelope)>;

    Authority(AuthorityOptions, const Clock&, Send, SendToState, AuthorityEvents);

    // Handles a message about elections, sessions or leases. Returns false for any other message.
    bool onEnvelope(const schema::Envelope&, bool fromState, Instant now);
    void onTick(Instant now);

    // Transfers leadership; the instance remains a member until it stops.
    void resign(Instant now);

    // Releases the leases before the instance stops.
    void leave(Instant now);

    bool isLeading(Instant now) const { return m_election.leads(now); }
    Instant leaseExpiry() const { return m_election.leaseUntil(); }
    std::string leader(Instant now) const { return std::string(m_election.leader(now)); }
    Epoch leaderEpoch(Instant now) const { return m_election.leaderEpoch(now); }

    // Whether the instance may accept requests under its current configuration.
    bool mayServe(Instant now) const;
    // Whether the data centre is cut off from the fleet state.
    bool isCutOff(Instant now) const;

    const ConfigView& config() const { return m_config; }

    // This data centre's portions: empty while this instance does not lead; until
    // the first grant, only the portions inherited from the previous leader.
    std::vector<schema::Portion> portions() const;
    void setNeeds(std::span<const schema::PortionNeed>, Instant now);

private:
    void executeActions(Instant now);
    void execute(SendLeadership&, Instant);
    void execute(LeadershipGained&, Instant);
    void execute(LeadershipLost&, Instant);
    void execute(SendSessionRenew&, Instant);
    void execute(SendMemberUpdate&, Instant);
    void execute(SendMemberRenew&, Instant);
    void execute(ConfigChanged&, Instant);
    void execute(PortionsChanged&, Instant);
    void execute(JobsChanged&, Instant);
    void updateLeader(Instant now);
    void notifyFirstGrant();

    AuthorityOptions m_options;
    const Clock& m_clock;
    Send m_send;
    SendToState m_sendToState;
    AuthorityEvents m_events;
    ConfigView m_config;
    DataCentreElection m_election;
    FleetSession m_fleetSession;
    MemberSession m_memberSession;
    std::string m_lastLeader; // leader with which the member session renews its lease
    bool m_hadGrant = false;
};

} // namespace teasel
