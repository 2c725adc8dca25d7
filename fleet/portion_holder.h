// A data centre's portions of the teams' limits, as its leader holds them.
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

// The data centre's use of a team's limits, and the use that it wants, which includes the present use.
struct TeamNeed {
    TeamId team = 0;
    Amounts inUse;
    Amounts wanted;
};

// The held amounts never grow while the version of the portions stays the same, so that the fleet state may rely on the
// reported amounts until it commits a later version. If it sets a target below a portion, no new work starts above the
// target, and the held amount shrinks to the target as use declines.
class PortionHolder {
public:
    // Discards all state except the portions inherited from the previous leader and the needs. Inherited portions may
    // be used. Until a grant arrives, reports carry version 0, so that the fleet state does not rely on them.
    void reset(std::span<const schema::Portion> inherited);

    // Applies the portions and targets of a grant. Returns whether a cap may have changed.
    bool onGrant(const schema::SessionGrant&);

    // Sets the present needs; teams that are not listed need nothing. Shrinks the held amounts towards their targets as
    // far as the use allows.
    void setNeeds(std::span<const TeamNeed>);

    // Writes the needs that the fleet state has not acknowledged; all needs after resendAllNeeds().
    void writeNeeds(schema::SessionRenew&);
    void onRenewAcknowledged(uint64_t sequence);
    void resendAllNeeds();

    // Writes all portions for a member that may become leader, and nothing but the serial if the member has them.
    void writePortions(schema::MemberUpdate&, const std::string& dataCentre, uint64_t knownSerial) const;

    // Every member that may inherit has the portions of this serial or later ones. Reductions after this serial are not
    // reported to the fleet state yet.
    void onMembersAcknowledged(uint64_t serial);
    uint64_t serial() const { return m_serial; }

    // Whether a held amount shrank since the last call.
    bool consumeShrunk() { return std::exchange(m_shrunk, false); }

    // The use up to which new work of the team may start in this data centre.
    Amounts cap(TeamId) const;
    uint64_t version() const { return m_version; }

    // Whether a reduction, or a need that began to exceed the held amount, has not been reported yet.
    bool hasUnreported() const { return m_unreported; }

private:
    struct HeldVersion {
        uint64_t serial = 0;
        Amounts held;
    };
    struct Row {
        Amounts granted;
        Amounts target;
        Amounts held; // upper bound of the use on this version, whatever the version grants
        std::deque<HeldVersion> heldHistory; // values that a member may still inherit, ending with the present one
        TeamNeed need;
        uint64_t reportedInRenewal = 0; // sequence of the renewal that reported the present need; 0 if none did
        bool acknowledged = false;
    };

    bool applyTargets(const schema::SessionGrant&);
    void updateNeed(Row&, const TeamNeed&);
    void shrink(Row&);
    void setHeld(Row&, const Amounts&);
    static Amounts reportableHeld(const Row&);

    absl::btree_map<TeamId, Row> m_rows;
    uint64_t m_version = 0;
    uint64_t m_serial = 0;
    bool m_unreported = false;
    bool m_shrunk = false;
};

} // namespace teasel
