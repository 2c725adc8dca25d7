// A data centre's portions of the teams' limits, as its leader holds and uses them.
#pragma once

#include "core/ids.h"
#include "fleet/portion_table.h"
#include "peer.pb.h"

#include <absl/container/btree_map.h>

#include <deque>
#include <span>
#include <string>
#include <utility>

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
    // Forgets everything but what was inherited from the former leader. That
    // may be used; the fleet state is told nothing of it before a grant.
    void reset(std::span<const schema::Portion> inherited);

    // Takes the rows and targets of a grant; gives whether any cap changed.
    bool onGrant(const schema::SessionGrant&);

    // Takes the present needs, none for teams not listed, and shrinks what is
    // held towards its targets as far as use allows.
    void setNeeds(std::span<const TeamNeed>);

    // Needs changed since the last ones the fleet state acknowledged; all of them if asked for.
    void writeNeeds(schema::SessionRenew&);
    void onRenewAcknowledged(uint64_t sequence);
    void sendAllNeeds();

    // All rows, for a member that may come to lead; nothing if it knows them.
    void writePortions(schema::MemberUpdate&, const std::string& dataCentre, uint64_t knownSerial) const;

    // Every member that may inherit knows the rows of this serial, or later
    // ones. What shrank since is not reported yet.
    void onMembersKnow(uint64_t serial);
    uint64_t serial() const { return m_serial; }

    // Whether something shrank since the last call.
    bool takeShrunk() { return std::exchange(m_shrunk, false); }

    // The use up to which new work of the team may start in this data centre.
    Amounts cap(TeamId) const;
    uint64_t version() const { return m_version; }

    // Something shrank, or a need began to exceed what is held, and was not yet reported.
    bool hasUnreported() const { return m_unreported; }

private:
    struct Step {
        uint64_t serial = 0;
        Amounts held;
    };
    struct Row {
        Amounts granted;
        Amounts target;
        Amounts held; // not exceeded, whatever is granted on this version
        std::deque<Step> steps; // values of `held` that some member may still inherit, and the present one
        TeamNeed need;
        uint64_t reportedIn = 0; // sequence of the renewal with the present need; 0: in none
        bool acknowledged = false;
    };

    bool takeTargets(const schema::SessionGrant&);
    void takeNeed(Row&, const TeamNeed&);
    void shrink(Row&);
    void setHeld(Row&, const Amounts&);
    static Amounts reported(const Row&);

    absl::btree_map<TeamId, Row> m_rows;
    uint64_t m_version = 0;
    uint64_t m_serial = 0;
    bool m_unreported = false;
    bool m_shrunk = false;
};

} // namespace teasel
