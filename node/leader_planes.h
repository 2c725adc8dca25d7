// The two planes of a data centre's leader, the request plane and the placement
// plane, and the events that concern both: leadership, leases, configuration.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/config_view.h"
#include "naming/name_table.h"
#include "peer.pb.h"
#include "placement/placement_leader.h"
#include "requests/dispatch_leader.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// Used on the control thread only.
class LeaderPlanes {
public:
    using SendGrantBatch = std::function<void(std::string_view holder, const schema::GrantBatch&)>;
    using Propose = std::function<void(schema::Command)>;

    LeaderPlanes(DispatchOptions, PlacementOptions, NameTable&, SendGrantBatch, Propose);

    void onLeadershipGained(Epoch, Instant now);
    void onLeadershipLost(Instant now);

    // Sets when the leadership lease expires; neither plane grants or orders anything from then on.
    void setLeaseExpiry(Instant expiry);

    // Applies teams, classes, drains, and the portions of this data centre.
    void onConfig(const ConfigView&, std::span<const schema::Portion>, Instant now);
    void onJobs(std::span<const schema::JobRecord>, JobBatch, Instant now);

    // Records a message from a member. A member that stays silent for too long counts as lost, with the requests that
    // it holds.
    void onMemberContact(std::string_view member, Instant now);
    void onLoadSummary(const schema::LoadSummary&, Instant now);

    // Capacity that each team uses and wants, from which its portions are computed.
    std::vector<schema::PortionNeed> needs() const;
    schema::LoadSummary loadSummary() const;

    void onTick(Instant now);
    void executeActions(Instant now);

    DispatchLeader& dispatch() { return m_dispatch; }
    PlacementLeader& placement() { return m_placement; }
    const DispatchLeader& dispatch() const { return m_dispatch; }
    const PlacementLeader& placement() const { return m_placement; }

private:
    void executePlacementActions();
    void dropSilentMembers(Instant now);

    DispatchLeader m_dispatch;
    PlacementLeader m_placement;
    std::map<std::string, Instant> m_lastContactAt; // by member, since this instance leads
    SendGrantBatch m_sendGrants;
    Propose m_propose;
};

} // namespace teasel
