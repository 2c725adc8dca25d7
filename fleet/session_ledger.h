// What the state's leader knows of each data centre: its authority lease, what is in force there and what it needs.
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

// What a data centre's leader said of one team, on which version of its portions.
struct ReportedNeed {
    Amounts inUse;
    Amounts wanted;
    Amounts held;
    uint64_t version = 0;
};

struct SessionEntry {
    Instant authorityEnd; // as late as any instance of the data centre may act on its lease
    bool heard = false; // under the recorded epoch, by this leader of the state
    bool allNeeds = false; // needs of every team are known: they were asked for in an earlier grant
    std::string address; // of the data centre's leader
    Epoch epoch = 0;
    uint64_t sequence = 0;
    Instant heardAt;
    Revision appliedRevision = 0;
    uint64_t digest = 0;
    Revision inForceRevision = 0; // at least this on every instance with a lease; never falls
    uint64_t portionsVersion = 0;
    uint64_t jobsVersion = 0;
    absl::btree_map<TeamId, ReportedNeed> needs;
    absl::btree_map<TeamId, Amounts> targets; // where the data centre is asked to shrink
    bool pushDue = false;
    uint64_t recordTicket = 0; // of a session record on its way; 0: none
    std::optional<schema::SessionRenew> waitingRenew; // to be answered when the record is there
};

class SessionLedger {
public:
    // Forgets all reports. Every data centre with an open session may hold a lease that ends at `end`.
    void reset(const absl::btree_map<std::string, schema::SessionRecord>& sessions, Instant end);

    SessionEntry& entry(const std::string& dataCentre) { return m_entries[dataCentre]; }
    absl::btree_map<std::string, SessionEntry>& entries() { return m_entries; }
    const absl::btree_map<std::string, SessionEntry>& entries() const { return m_entries; }

    // Takes a renewal of the recorded epoch.
    void takeReport(SessionEntry&, const std::string& from, const schema::SessionRenew&, Instant now);

    // Forgets what the former leader of a data centre said.
    static void forgetReports(SessionEntry&);

    // Data centres where the revision may not be in force yet.
    std::vector<std::string> notReached(Revision, Instant now) const;

    // The latest revision in force everywhere, at most `current`.
    Revision inForceRevision(Revision current, Instant now) const;

private:
    absl::btree_map<std::string, SessionEntry> m_entries;
};

} // namespace teasel
