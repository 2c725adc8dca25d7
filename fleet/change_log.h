// The results of the operators' changes. A resend gets the first answer, and a change that lost a race learns which
// change won.
#pragma once

#include "core/ids.h"
#include "fleet.pb.h"

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <string>
#include <vector>

namespace teasel {

class ChangeLog {
public:
    // Keeps the latest `maxRecords` changes.
    explicit ChangeLog(size_t maxRecords)
        : m_maxRecords(maxRecords)
    {
    }

    void add(schema::ChangeRecord);

    // The record of an operator's change; null if it is not in the log.
    const schema::ChangeRecord* find(const std::string& madeBy, const std::string& changeId) const;

    // The change that created a revision; null if it is not in the log.
    const schema::ChangeRecord* findByRevision(Revision) const;

    // Called when the portions of a team are within its limit again: no change waits for this team any longer.
    void clearWaitingTeam(TeamId);

    // The teams for which at least one change waits until their portions are within the limit.
    const absl::flat_hash_set<TeamId>& waitingTeams() const { return m_waitingTeams; }

    const std::deque<schema::ChangeRecord>& records() const { return m_records; }

private:
    static std::string keyOf(const std::string& madeBy, const std::string& changeId);
    void dropOldest();
    schema::ChangeRecord& at(uint64_t number) { return m_records[number - m_firstNumber]; }
    const schema::ChangeRecord& at(uint64_t number) const { return m_records[number - m_firstNumber]; }

    size_t m_maxRecords;
    std::deque<schema::ChangeRecord> m_records;
    uint64_t m_firstNumber = 0; // number of the oldest record
    absl::flat_hash_map<std::string, uint64_t> m_byId;
    absl::flat_hash_map<Revision, uint64_t> m_byRevision;
    absl::flat_hash_set<TeamId> m_waitingTeams;
    absl::btree_set<uint64_t> m_waitingRecords; // numbers of the records that wait for a team
};

// A hash of a change's content, to distinguish a resend from a different change under the same id.
uint64_t contentHash(const schema::ConfigChange&);

} // namespace teasel
