// What an entry instance may do at this moment: whether it leads its data
// centre, which configuration is in force, and whether it may act on it.
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
    std::vector<std::string> members; // entry instances of the data centre, this one too
    uint64_t incarnation = 0;
    uint64_t seed = 0;
};

// What changes of authority set off. Called on the control thread.
struct AuthorityEvents {
    std::function<void(Epoch)> onGained;
    std::function<void()> onLost;
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

    // Takes the messages that concern authority; false if it is another one.
    bool onEnvelope(const schema::Envelope&, bool fromState, Instant now);
    void onTick(Instant now);

    // Hands leadership over; the instance goes on as a member until it stops.
    void resign(Instant now);
    void leave(Instant now);

    bool leads(Instant now) const { return m_election.leads(now); }
    Instant leaseUntil() const { return m_election.leaseUntil(); }
    std::string leader(Instant now) const { return std::string(m_election.leader(now)); }
    Epoch leaderEpoch(Instant now) const { return m_election.leaderEpoch(now); }

    // Whether the instance may take work on the configuration that it has.
    bool mayServe(Instant now) const;
    bool cutOff(Instant now) const;

    const ConfigView& config() const { return m_config; }

    // This data centre's portions: none while not leading, and before the
    // first grant only those inherited from the former leader.
    std::vector<schema::Portion> portions() const;
    void setNeeds(std::span<const schema::PortionNeed>, Instant now);

private:
    void carryOut(Instant now);
    void perform(SendLeadership&, Instant);
    void perform(LeadershipGained&, Instant);
    void perform(LeadershipLost&, Instant);
    void perform(SendRenew&, Instant);
    void perform(SendMemberUpdate&, Instant);
    void perform(SendMemberRenew&, Instant);
    void perform(ConfigChanged&, Instant);
    void perform(PortionsChanged&, Instant);
    void perform(JobsChanged&, Instant);
    void followLeader(Instant now);
    void noteFirstGrant();

    AuthorityOptions m_options;
    const Clock& m_clock;
    Send m_send;
    SendToState m_sendToState;
    AuthorityEvents m_events;
    ConfigView m_config;
    DataCentreElection m_election;
    FleetSession m_session;
    MemberSession m_member;
    std::string m_followed; // the leader that the member session renews with
    bool m_hadGrant = false;
};

} // namespace teasel
