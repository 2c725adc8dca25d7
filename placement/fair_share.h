// Weighted dominant-resource shares of teams across the fleet, and their portions in this data centre.
#pragma once

#include "placement/placement_types.h"
#include "requests.pb.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace teasel {

// Tracks the resources held by each team's tasks. The dominant share of a team is
// the largest fraction of any kind of resource that it holds. Teams are served in
// order of dominant share divided by weight (dominant resource fairness).
class FairShare {
public:
    void setTeams(std::span<const TaskTeamPolicy>);
    void setTotalCapacity(const ResourceVector& total) { m_total = total; }
    // Sets the teams' usage in another data centre, replacing its previous summary.
    void setRemoteUse(const schema::LoadSummary&);
    void clearUse();

    void add(TeamId, const ResourceVector&);
    void subtract(TeamId, const ResourceVector&);

    // Whether `additional` resources keep the team within its portion in this data centre.
    bool withinPortion(TeamId, const ResourceVector& additional) const;
    // Amount held in this data centre beyond the team's portion, at least 0 per kind.
    // Zero while the portion is not known.
    ResourceVector excess(TeamId) const;
    ResourceVector used(TeamId) const;
    ResourceVector portion(TeamId) const;

    // Adds to what the team is about to hold, or to release if negative. Expected
    // amounts affect the weighted share at once, but not the portion.
    void addExpected(TeamId, const ResourceVector&);
    // Adds or removes capacity that is being freed for the team's tasks by preemption.
    void claim(TeamId, const ResourceVector&);
    void unclaim(TeamId, const ResourceVector&);
    // Like withinPortion, counting all claims of the team as held.
    bool withinPortionAfterClaims(TeamId, const ResourceVector& additional) const;

    // Dominant share divided by weight, with `additional` added to the resources held
    // and expected across the fleet.
    double weightedShare(TeamId, const ResourceVector& additional = {}) const;

    // Whether any other team that holds resources in this data centre is above the given weighted share.
    bool anyOtherTeamAbove(TeamId, double share) const;

    // Reserves or releases a part of the team's portion for a waiting gang.
    void reserve(TeamId, const ResourceVector&);
    void unreserve(TeamId, const ResourceVector&);

    std::vector<TeamId> teams() const;

private:
    struct Team {
        double share = 0; // 0: the team is not configured
        ResourceVector portion;
        bool portionKnown = false;
        ResourceVector used;
        ResourceVector reserved;
        ResourceVector claimed;
        ResourceVector expected;
        ResourceVector remoteUse;
    };
    const Team* find(TeamId) const;

    std::map<TeamId, Team> m_teams;
    absl::flat_hash_map<std::string, absl::flat_hash_map<TeamId, ResourceVector>> m_remoteUse; // by data centre
    ResourceVector m_total;
};

} // namespace teasel
