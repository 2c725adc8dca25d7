// Plans the portions of all teams: at most one portion update per round, and the targets that data centres are asked to
// shrink to.
#pragma once

#include "fleet/fleet_state.h"
#include "fleet/session_ledger.h"

#include <optional>

namespace teasel {

class PortionAllocator {
public:
    // A data centre whose last contact is at most `contactTimeout` ago is live; others keep their portions.
    PortionAllocator(const FleetState& state, SessionLedger& ledger, Duration contactTimeout)
        : m_state(state)
        , m_ledger(ledger)
        , m_contactTimeout(contactTimeout)
    {
    }

    // Plans every team. Sets the targets in the ledger's entries and marks entries with changed targets as due for a
    // push. Returns the update to commit, if there is one.
    std::optional<schema::PortionUpdate> plan(Instant now);

private:
    bool isLive(const SessionEntry&, Instant now) const;
    DataCentrePortion dataCentrePortion(const std::string& dataCentre, const SessionEntry&, TeamId, Instant now) const;
    void planTeam(TeamId, Instant now, schema::PortionUpdate&);
    static void setTarget(SessionEntry&, TeamId, const Amounts& portion, const Amounts& target);

    const FleetState& m_state;
    SessionLedger& m_ledger;
    Duration m_contactTimeout;
};

} // namespace teasel
