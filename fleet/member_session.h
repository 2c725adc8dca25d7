// The receiving side of the fan-out of configuration and portions, run by a member that does not lead its data centre.
#pragma once

#include "core/clock.h"
#include "fleet/config_view.h"
#include "fleet/session_actions.h"

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

// The lease and portions that a member takes over when it becomes its data centre's leader.
struct InheritedAuthority {
    Instant end; // end of the data centre's authority lease
    std::vector<schema::Portion> portions;
};

struct MemberSessionOptions {
    std::string dataCentre;
    Duration renewInterval = std::chrono::milliseconds(250);
    uint64_t firstSequence = 0; // higher than every sequence of the process's earlier incarnations
};

class MemberSession {
public:
    MemberSession(MemberSessionOptions, ConfigView&);

    // A leader is known, possibly a new one: renews the lease with it at once.
    void onLeaderChanged(Instant now);

    // This instance has become leader: FleetSession takes its place until onLeaderChanged.
    void onBecameLeader();

    // Releases the lease before the instance stops.
    void onLeaving(Instant now);

    void onUpdate(const schema::MemberUpdate&, Instant now);
    void onTick(Instant now);

    // Whether this instance may act on its configuration, that is, whether its lease is valid.
    bool mayServe(Instant now) const;

    // Whether the data centre has no contact to the fleet state, as reported by its leader.
    bool cutOff() const { return m_cutOff; }

    // The data centre's authority lease and portions, for a member that becomes its leader. Empty if this member has no
    // valid lease: it may then lack changes that are in force, and some of the portions may have been returned.
    std::optional<InheritedAuthority> inheritableAuthority(Instant now) const;

    std::vector<SessionAction> takeActions() { return std::exchange(m_actions, {}); }

private:
    struct SentRenew {
        uint64_t sequence = 0;
        Instant at;
    };

    void sendRenew(Instant now);
    std::optional<Instant> sentAt(uint64_t sequence) const;
    bool applyDelta(const schema::MemberUpdate&);
    bool takePortions(const schema::MemberUpdate&);

    MemberSessionOptions m_options;
    ConfigView& m_view;
    std::deque<SentRenew> m_sent;
    std::vector<SessionAction> m_actions;
    std::vector<schema::Portion> m_portions;
    Epoch m_portionsEpoch = 0;
    uint64_t m_portionsSerial = 0;
    uint64_t m_sequence = 0;
    Epoch m_epoch = 0; // highest epoch seen
    Instant m_leaseEnd;
    Instant m_authorityEnd;
    Instant m_nextRenew;
    bool m_active = true;
    bool m_leaving = false;
    bool m_cutOff = false;
};

} // namespace teasel
