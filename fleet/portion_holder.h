// A data centre's portions of the teams' limits, as its leader holds and uses them.
#pragma once

#include "core/ids.h"
#include "fleet/portion_table.h"

#include <absl/container/btree_map.h>

#include <span>

namespace teasel {

// What the data centre uses of a team's limits and would like to use, including what is in use.
struct TeamNeed {
    TeamId team = 0;
    Amounts inUse;
    Amounts wanted;
};

// A cap never rises while the version of the portions stays the same: the
// fleet state may count on every cap it was told until it commits a later
// version.
class PortionHolder {
public:
    // Forgets everything: a new leader uses nothing before it has a grant.
    void reset();

    // Takes the rows and targets of a grant; gives whether any cap changed.
    bool onGrant(const schema::SessionGrant&);

    // Takes the present needs, none for teams not listed, and lowers caps to
    // their targets as far as use allows; gives whether any cap changed.
    bool setNeeds(std::span<const TeamNeed>);

    // Needs changed since the last ones the fleet state acknowledged; all of them if asked for.
    void writeNeeds(schema::SessionRenew&);
    void onRenewAcknowledged(uint64_t sequence);
    void sendAllNeeds();

    // What the team may use now, in this data centre.
    Amounts cap(TeamId) const;
    uint64_t version() const { return m_version; }

    // A cap was lowered, or a need began to exceed its cap, and was not yet reported.
    bool hasUnreported() const { return m_unreported; }

private:
    struct Row {
        Amounts granted;
        Amounts target;
        Amounts cap;
        TeamNeed need;
        uint64_t reportedIn = 0; // sequence of the renewal with the present need and cap; 0: in none
        bool acknowledged = false;
    };

    void takeNeed(Row&, const TeamNeed&);
    bool lowerCap(Row&);

    absl::btree_map<TeamId, Row> m_rows;
    uint64_t m_version = 0;
    bool m_unreported = false;
};

} // namespace teasel
