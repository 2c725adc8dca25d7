// The half of the fan-out that a member runs which does not lead its data centre.
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

// What a member takes over when it becomes its data centre's leader.
struct InheritedAuthority {
    Instant end; // of the data centre's authority lease
    std::vector<schema::Portion> portions;
};

struct MemberSessionOptions {
    std::string dataCentre;
    Duration renewEvery = std::chrono::milliseconds(250);
    uint64_t firstSequence = 0; // above those of the process's earlier incarnations
};

class MemberSession {
public:
    MemberSession(MemberSessionOptions, ConfigView&);

    // A leader is known, a new one perhaps: the lease is renewed with it at once.
    void onLeaderChanged(Instant now);

    // This instance leads now; FleetSession speaks for it until onLeaderChanged.
    void onBecameLeader();

    // Gives up the lease, before the instance stops.
    void onLeaving(Instant now);

    void onUpdate(const schema::MemberUpdate&, Instant now);
    void onTick(Instant now);

    // Whether this instance may act on its configuration: its lease lasts.
    bool mayServe(Instant now) const;

    // Whether the data centre is out of the fleet state's reach, as its leader said.
    bool cutOff() const { return m_cutOff; }

    // The data centre's authority lease and portions, for a member that becomes
    // its leader. None without a lease of its own: it may then lack changes
    // that are in force, and portions may have been given back.
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
    Epoch m_epoch = 0; // highest seen
    Instant m_leaseEnd;
    Instant m_authorityEnd;
    Instant m_nextRenew;
    bool m_active = true;
    bool m_leaving = false;
    bool m_cutOff = false;
};

} // namespace teasel
