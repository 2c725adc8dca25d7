// What each team is owed of a fleet that the teams contend for.
//
// A team's weight is the rate of jobs, in jobs a second, that it is owed. Jobs beyond it are borrowed: they are served
// while there is room, and give way to what other teams are owed. Answers the load of one team that sends several times
// its usual rate: it is limited to its weight, and callers of the other teams do not notice.
#pragma once

#include "core/clock.h"

#include <absl/container/btree_map.h>

#include <string>
#include <string_view>

namespace teasel {

class TeamShares {
public:
    // Sets the weights in jobs a second. Teams that are already known keep what they have used.
    void setWeights(const absl::btree_map<std::string, double>& weights);

    // Whether a further job of the team is within its weight. A team without a weight is owed all of its jobs.
    bool isOwed(std::string_view team, Instant now) const;

    // Records an accepted job. Calls for one team are in order of time; a new leader replays the recent jobs.
    void recordAccepted(std::string_view team, bool isBorrowed, Instant at);

    // How long the caller of a refused job waits until the team's weight has room for it. Each call takes the next
    // place, so that callers return one after the other.
    Duration reserveReturn(std::string_view team, Instant now);

    // Jobs beyond its weight that the team was lent lately; halves every few seconds.
    double borrowed(std::string_view team, Instant now) const;

    void clear();

private:
    struct Team {
        double weight = 0; // jobs a second
        double tokens = 0; // jobs that may be accepted at once
        Instant refilledAt {};
        Instant nextReturnAt {};
        double borrowed = 0;
        Instant borrowedAt {};
    };

    static double tokensAt(const Team&, Instant now);
    static double borrowedAt(const Team&, Instant now);

    absl::btree_map<std::string, Team, std::less<>> m_teams;
};

} // namespace teasel
