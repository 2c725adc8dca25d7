// The state leader's view of each data centre: its authority lease, the revision in force there and its needs.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/portion_planner.h"
#include "fleet/portion_table.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teasel {

// One team's need as reported by a data centre's leader, and the version of the portions that the report is based on.
struct ReportedNeed {
    Amounts inUse;
    Amounts wanted;
    Amounts held;
    uint64_t version = 0;
};

struct SessionEntry {
    Instant authorityEnd; // latest time at which an instance of the data centre may still act on its lease
    bool hasReported = false; // has renewed with this leader of the state under the recorded epoch
    bool needsComplete = false; // the needs of every team are known, since an earlier grant requested them
    std::string address; // address of the data centre's leader
    Epoch epoch = 0;
    uint64_t sequence = 0;
    Instant lastContactAt;
    Revision appliedRevision = 0;
    uint64_t digest = 0;
    Revision inForceRevision = 0; // lower bound on the revision of every instance with a lease; never decreases
    uint64_t portionsVersion = 0;
    uint64_t jobsVersion = 0;
    absl::btree_map<TeamId, ReportedNeed> needs;
    absl::btree_map<TeamId, Amounts> targets; // teams whose portion the data centre is asked to shrink
    bool pushDue = false;
    uint64_t recordTicket = 0; // ticket of the uncommitted session record; 0 if there is none
    std::optional<schema::SessionRenew> deferredRenew; // answered once the session record is committed
};

class SessionLedger {
public:
    // Discards all reports. Every data centre with an open session is assumed to hold a lease that ends at `end`.
    void reset(const absl::btree_map<std::string, schema::SessionRecord>& sessions, Instant end);

    SessionEntry& entry(const std::string& dataCentre) { return m_entries[dataCentre]; }
    absl::btree_map<std::string, SessionEntry>& entries() { return m_entries; }
    const absl::btree_map<std::string, SessionEntry>& entries() const { return m_entries; }

    // Stores the report in a renewal under the recorded epoch.
    void handleReport(SessionEntry&, const std::string& from, const schema::SessionRenew&, Instant now);

    // Discards the reports of a data centre's previous leader.
    static void clearReports(SessionEntry&);

    // The data centres where the revision may not be in force yet.
    std::vector<std::string> dataCentresNotReached(Revision, Instant now) const;

    // The latest revision that is in force in every data centre with a lease, at most `current`.
    Revision inForceRevision(Revision current, Instant now) const;

private:
    absl::btree_map<std::string, SessionEntry> m_entries;
};

} // namespace teasel
