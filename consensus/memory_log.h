// The log of one replica as it is held in memory: a snapshot's place, records and voters.
#pragma once

#include "consensus.pb.h"

#include <deque>
#include <optional>
#include <vector>

namespace teasel {

class MemoryLog {
public:
    // `bootstrap` are the voters when neither a snapshot nor a record names any.
    MemoryLog(schema::VoterSet bootstrap, schema::SnapshotMeta snapshot, std::vector<schema::LogRecord> records);

    uint64_t firstIndex() const { return m_baseIndex + 1; }
    uint64_t lastIndex() const { return m_baseIndex + m_records.size(); }
    uint64_t lastTerm() const { return m_records.empty() ? m_baseTerm : m_records.back().term(); }
    bool isEmpty() const { return lastIndex() == 0; }

    // A record between firstIndex() and lastIndex().
    const schema::LogRecord& at(uint64_t index) const { return m_records[index - firstIndex()]; }

    // The term of a record, if it is known: from firstIndex() - 1 to lastIndex().
    std::optional<uint64_t> termAt(uint64_t index) const;

    const schema::SnapshotMeta& snapshot() const { return m_snapshot; }

    // The voters in force: those of the last record that names any, committed or not.
    const schema::VoterSet& voters() const { return m_voters.back().set; }
    uint64_t votersIndex() const { return m_voters.back().index; }

    // The voters before the last change, as far back as the snapshot.
    const schema::VoterSet& previousVoters() const
    {
        return m_voters[m_voters.size() < 2 ? 0 : m_voters.size() - 2].set;
    }

    // What a snapshot at `index`, not before the current snapshot, is described by.
    schema::SnapshotMeta metaAt(uint64_t index) const;

    // Adds the record that follows the last one.
    void append(schema::LogRecord);

    // Drops the record at `index` and all that follow.
    void truncateFrom(uint64_t index);

    // Takes note of a snapshot of this log and drops records before `firstIndex`.
    void compact(const schema::SnapshotMeta&, uint64_t firstIndex);

    // Drops everything in favour of a snapshot.
    void resetTo(const schema::SnapshotMeta&);

private:
    struct VotersFrom {
        uint64_t index = 0;
        schema::VoterSet set;
    };

    uint64_t m_baseIndex = 0; // the record before the first one
    uint64_t m_baseTerm = 0;
    std::deque<schema::LogRecord> m_records;
    schema::SnapshotMeta m_snapshot;
    std::vector<VotersFrom> m_voters; // by index; the first is that of the snapshot
};

} // namespace teasel
