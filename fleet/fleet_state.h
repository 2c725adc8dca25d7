// The replicated state of the fleet: applies the commands of the log in order, the same way on every replica.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet/begun_table.h"
#include "fleet/change_log.h"
#include "fleet/config_table.h"
#include "fleet/delta_log.h"
#include "fleet/job_table.h"
#include "fleet/portion_table.h"
#include "settings.pb.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace teasel {

struct FleetLimits {
    BegunLimits begun;
    JobLimits jobs;
    size_t maxChangeRecords = 100'000;
    size_t maxDeltaEdits = 2'000;
    size_t maxUsedKeyIds = 1'000'000;
};

// No clock, no random numbers: the only time is the wall time in a command.
class FleetState {
public:
    // Starts with the operator's key and the naming schemes of the settings.
    FleetState(const schema::BootstrapSettings&, const FleetLimits&);

    // Applies one committed command. Failures are part of the result.
    schema::CommandResult apply(const schema::Command&);

    std::string snapshot() const;

    // Replaces everything. Fails with BadRequest for bytes that are no snapshot; the state is then as before.
    Result<void> restore(std::string_view);

    const schema::FleetConfig& config() const { return m_table.config(); }
    const ConfigTable& table() const { return m_table; }
    Revision revision() const { return m_table.revision(); }
    uint64_t digest() const { return m_table.digest(); } // of the configuration

    // What brings a holder of a revision to the current one.
    schema::ConfigDelta deltaSince(Revision) const;

    // As above; a holder whose digest differs from that of its revision gets the whole configuration.
    schema::ConfigDelta deltaFor(Revision, uint64_t digest) const;

    // All revisions up to this one are in force everywhere.
    Revision inForceRevision() const { return m_inForce; }

    // Whether an operator's change is in force everywhere and the portions are within the limits it lowered.
    bool isAccepted(const schema::ChangeRecord&) const;
    const ChangeLog& changes() const { return m_changes; }

    const PortionTable& portions() const { return m_portions; }
    const JobTable& jobs() const { return m_jobs; }
    const BegunTable& begun() const { return m_begun; }

    // Sessions of the data centres' leaders, by data centre.
    const absl::btree_map<std::string, schema::SessionRecord>& sessions() const { return m_sessions; }

private:
    void applyChange(const schema::ConfigChange&, schema::CommandResult&);
    void answerQuery(const schema::ConfigChange&, schema::ChangeAnswer&) const;
    bool answerFromLog(const schema::ConfigChange&, schema::ChangeAnswer&) const;
    Result<void> checkChange(const schema::ConfigChange&) const;
    void refuse(const schema::ConfigChange&, const Error&, schema::ChangeAnswer&);
    void commitEdits(std::vector<schema::ConfigEdit>);
    std::vector<TeamId> takeLimits(const std::vector<schema::ConfigEdit>&);
    void takeLimit(TeamId, std::vector<TeamId>& exceeded);
    void record(const schema::ConfigChange&, const schema::ChangeAnswer&, const std::vector<TeamId>& waiting);
    void settleTeams();
    void applySession(const schema::SessionRecord&, schema::CommandResult&);
    void rememberKeyIds(const std::vector<schema::ConfigEdit>&);

    FleetLimits m_limits;
    ConfigTable m_table;
    DeltaLog m_deltas;
    ChangeLog m_changes;
    PortionTable m_portions;
    BegunTable m_begun;
    JobTable m_jobs;
    absl::btree_map<std::string, schema::SessionRecord> m_sessions;
    absl::flat_hash_set<std::string> m_usedKeyIds;
    std::deque<std::string> m_usedKeyOrder;
    Revision m_inForce = 0;
    uint64_t m_wallMs = 0; // latest wall time of a command
};

} // namespace teasel
