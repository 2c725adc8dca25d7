// Weighted dominant-resource shares of teams, fleet-wide, and their portions here.
#pragma once

#include "placement/placement_types.h"
#include "requests.pb.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <span>
#include <string>
#include <vector>

namespace teasel {

// Accounts what each team's tasks hold. The dominant share of a team is the
// largest fraction that it holds of any kind of resource; divided by its
// weight it orders the teams (dominant resource fairness).
class FairShare {
public:
    void setTeams(std::span<const TaskTeamPolicy>);
    void setTotal(const ResourceVector& total) { m_total = total; }
    // What the teams use in another data centre; replaces what it said before.
    void setElsewhere(const schema::LoadSummary&);
    void clearUse();

    void add(TeamId, const ResourceVector&);
    void subtract(TeamId, const ResourceVector&);

    // Whether the team may hold this much more here.
    bool withinPortion(TeamId, const ResourceVector& more) const;
    // What the team holds here beyond its portion, of each kind at least 0;
    // nothing while its portion is not known.
    ResourceVector excess(TeamId) const;
    ResourceVector used(TeamId) const;
    ResourceVector portion(TeamId) const;

    // What the team is about to hold, or to give up when negative: it counts
    // for its weighted share at once, and for its portion when it happens.
    void expect(TeamId, const ResourceVector&);
    // Room being made for the team's tasks.
    void claim(TeamId, const ResourceVector&);
    void unclaim(TeamId, const ResourceVector&);
    // Like withinPortion, with all of the team's claims.
    bool withinPortionAfterClaims(TeamId, const ResourceVector& more) const;

    // The dominant share over the weight, with `more` added to what is held
    // and expected fleet-wide.
    double weighted(TeamId, const ResourceVector& more = {}) const;

    // Whether another team that holds something here is above a weighted share.
    bool anyOtherAbove(TeamId, double weightedShare) const;

    // Keeps a part of the team's portion for a waiting gang.
    void reserve(TeamId, const ResourceVector&);
    void unreserve(TeamId, const ResourceVector&);

    std::vector<TeamId> teams() const;

private:
    struct Team {
        double share = 0; // 0: unknown to the configuration
        ResourceVector portion;
        bool portionKnown = false;
        ResourceVector used;
        ResourceVector reserved;
        ResourceVector claimed;
        ResourceVector expected;
        ResourceVector elsewhere;
    };
    const Team* find(TeamId) const;

    std::map<TeamId, Team> m_teams;
    absl::flat_hash_map<std::string, absl::flat_hash_map<TeamId, ResourceVector>> m_elsewhere; // by data centre
    ResourceVector m_total;
};

} // namespace teasel
