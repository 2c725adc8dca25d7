// What a data centre's leader decides with: the request plane and the placement
// plane, driven together through changes of leadership and configuration.
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

    void onGained(Epoch, Instant now);
    void onLost(Instant now);

    // No grant and no order is given from `until` on.
    void onLeaseUntil(Instant until);

    // Teams with this data centre's portions, classes and drains.
    void onConfig(const ConfigView&, std::span<const schema::Portion>, Instant now);
    void onJobs(std::span<const schema::JobRecord>, JobBatch, Instant now);

    // A message of a member came; one that stays silent loses what it held.
    void onMemberHeard(std::string_view member, Instant now);
    void onLoadSummary(const schema::LoadSummary&, Instant now);

    // What the teams use and would like, for the portions.
    std::vector<schema::PortionNeed> needs() const;
    schema::LoadSummary loadSummary() const;

    void onTick(Instant now);
    void carryOut(Instant now);

    DispatchLeader& dispatch() { return m_dispatch; }
    PlacementLeader& placement() { return m_placement; }
    const DispatchLeader& dispatch() const { return m_dispatch; }
    const PlacementLeader& placement() const { return m_placement; }

private:
    void carryOutPlacement();
    void dropSilentMembers(Instant now);

    DispatchLeader m_dispatch;
    PlacementLeader m_placement;
    std::map<std::string, Instant> m_heard; // members, since leading
    SendGrantBatch m_sendGrants;
    Propose m_propose;
};

} // namespace teasel
