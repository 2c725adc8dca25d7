// Rounds of planning over all teams: one update of the portions at most, and what each data centre is asked to give
// back.
#pragma once

#include "fleet/fleet_state.h"
#include "fleet/session_ledger.h"

#include <optional>

namespace teasel {

class PortionRounds {
public:
    // A data centre heard from within `heardWithin` takes part; others keep what they have.
    PortionRounds(const FleetState& state, SessionLedger& ledger, Duration heardWithin)
        : m_state(state)
        , m_ledger(ledger)
        , m_heardWithin(heardWithin)
    {
    }

    // Plans every team. Sets the targets of the ledger's entries and marks
    // those that changed as due for a push; gives the update to commit, if any.
    std::optional<schema::PortionUpdate> plan(Instant now);

private:
    bool isLive(const SessionEntry&, Instant now) const;
    PortionSite siteOf(const std::string& dataCentre, const SessionEntry&, TeamId, Instant now) const;
    void planTeam(TeamId, Instant now, schema::PortionUpdate&);
    static void setTarget(SessionEntry&, TeamId, const Amounts& portion, const Amounts& target);

    const FleetState& m_state;
    SessionLedger& m_ledger;
    Duration m_heardWithin;
};

} // namespace teasel
