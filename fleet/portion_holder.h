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

// What is held never rises while the version of the portions stays the same:
// the fleet state may count on what it was told until it commits a later
// version. Where it asks for a part back, nothing new starts above that target
// and what is held follows the use down to it.
class PortionHolder {
public:
    // Forgets everything: a new leader uses nothing before it has a grant.
    void reset();

    // Takes the rows and targets of a grant; gives whether any cap changed.
    bool onGrant(const schema::SessionGrant&);

    // Takes the present needs, none for teams not listed, and shrinks what is
    // held towards its targets as far as use allows.
    void setNeeds(std::span<const TeamNeed>);

    // Needs changed since the last ones the fleet state acknowledged; all of them if asked for.
    void writeNeeds(schema::SessionRenew&);
    void onRenewAcknowledged(uint64_t sequence);
    void sendAllNeeds();

    // The use up to which new work of the team may start in this data centre.
    Amounts cap(TeamId) const;
    uint64_t version() const { return m_version; }

    // Something shrank, or a need began to exceed what is held, and was not yet reported.
    bool hasUnreported() const { return m_unreported; }

private:
    struct Row {
        Amounts granted;
        Amounts target;
        Amounts held; // promised not to be exceeded, whatever is granted on this version
        TeamNeed need;
        uint64_t reportedIn = 0; // sequence of the renewal with the present need; 0: in none
        bool acknowledged = false;
    };

    void takeNeed(Row&, const TeamNeed&);
    void shrink(Row&);

    absl::btree_map<TeamId, Row> m_rows;
    uint64_t m_version = 0;
    bool m_unreported = false;
};

} // namespace teasel
