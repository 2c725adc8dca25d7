// The replicated state machine of the fleet: applies the committed commands in log order, deterministically on every
// replica.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet/change_log.h"
#include "fleet/config_table.h"
#include "fleet/delta_log.h"
#include "fleet/job_table.h"
#include "fleet/portion_table.h"
#include "fleet/started_request_table.h"
#include "settings.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace teasel {

struct FleetLimits {
    StartedRequestLimits startedRequests;
    JobLimits jobs;
    size_t maxChangeRecords = 100'000;
    size_t maxDeltaEdits = 2'000;
    size_t maxUsedKeyIds = 1'000'000;
    size_t maxConfigBytes = 6 << 20; // of the whole configuration, which one grant carries
};

// Deterministic: reads no clock and draws no random numbers. The only time it uses is the wall time in a command.
class FleetState {
public:
    // The initial state contains the operator's key and the naming schemes of the bootstrap settings.
    FleetState(const schema::BootstrapSettings&, const FleetLimits&);

    // Applies one committed command. A failure is reported in the result.
    schema::CommandResult apply(const schema::Command&);

    std::string snapshot() const;

    // Replaces the whole state by a snapshot. Fails with BadRequest, and leaves the state unchanged, if the bytes are
    // not a snapshot.
    Result<void> restore(std::string_view);

    const schema::FleetConfig& config() const { return m_table.config(); }
    const ConfigTable& table() const { return m_table; }
    Revision revision() const { return m_table.revision(); }
    uint64_t digest() const { return m_table.digest(); } // digest of the configuration

    // The delta from a revision to the current one.
    schema::ConfigDelta deltaSince(Revision) const;

    // Like deltaSince, but returns the full configuration if the holder's digest is not the digest of its revision.
    schema::ConfigDelta deltaFor(Revision, uint64_t digest) const;

    // The latest revision that is in force, with all earlier ones, on every instance.
    Revision inForceRevision() const { return m_inForceRevision; }

    // Whether an operator's change is in force on every instance and all portions are within the limits that it
    // lowered.
    bool isAccepted(const schema::ChangeRecord&) const;
    const ChangeLog& changes() const { return m_changes; }

    const PortionTable& portions() const { return m_portions; }
    const JobTable& jobs() const { return m_jobs; }
    const StartedRequestTable& startedRequests() const { return m_startedRequests; }

    // The sessions of the data centres' leaders, keyed by data centre.
    const absl::btree_map<std::string, schema::SessionRecord>& sessions() const { return m_sessions; }

private:
    void applyChange(const schema::ConfigChange&, schema::CommandResult&);
    void answerQuery(const schema::ConfigChange&, schema::ChangeAnswer&) const;
    bool answerFromLog(const schema::ConfigChange&, schema::ChangeAnswer&) const;
    Result<void> checkChange(const schema::ConfigChange&) const;
    void refuse(const schema::ConfigChange&, const Error&, schema::ChangeAnswer&);
    void commitEdits(std::vector<schema::ConfigEdit>);
    std::vector<TeamId> applyLimits(const std::vector<schema::ConfigEdit>&);
    void applyLimit(TeamId, std::vector<TeamId>& exceeded);
    void recordChange(const schema::ConfigChange&, const schema::ChangeAnswer&, const std::vector<TeamId>& waiting);
    void resolveWaitingTeams();
    void applySession(const schema::SessionRecord&, schema::CommandResult&);
    void rememberKeyIds(const std::vector<schema::ConfigEdit>&);

    FleetLimits m_limits;
    ConfigTable m_table;
    DeltaLog m_deltas;
    ChangeLog m_changes;
    PortionTable m_portions;
    StartedRequestTable m_startedRequests;
    JobTable m_jobs;
    absl::btree_map<std::string, schema::SessionRecord> m_sessions;
    absl::flat_hash_set<std::string> m_usedKeyIds;
    std::deque<std::string> m_usedKeyOrder;
    Revision m_inForceRevision = 0;
    uint64_t m_wallMs = 0; // latest wall time seen in a command
};

} // namespace teasel
