// The in-memory log of one replica: the position of its snapshot, the records and the voters.
#pragma once

#include "consensus.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace teasel {

// Memory of a record beyond its serialized size, counted so that a bound in bytes also bounds many small records.
constexpr uint64_t recordOverheadBytes = 128;

class MemoryLog {
public:
    // `bootstrap` is the voter set used while neither a snapshot nor a record names one.
    MemoryLog(schema::VoterSet bootstrap, schema::SnapshotMeta snapshot, std::vector<schema::LogRecord> records);

    uint64_t firstIndex() const { return m_baseIndex + 1; }
    uint64_t lastIndex() const { return m_baseIndex + m_records.size(); }
    uint64_t lastTerm() const { return m_records.empty() ? m_baseTerm : m_records.back().term(); }
    bool isEmpty() const { return lastIndex() == 0; }

    // `index` must be between firstIndex() and lastIndex().
    const schema::LogRecord& at(uint64_t index) const { return m_records[index - firstIndex()]; }

    // The term of a record; known from firstIndex() - 1 to lastIndex().
    std::optional<uint64_t> termAt(uint64_t index) const;

    // Bytes of all records, including recordOverheadBytes for each.
    uint64_t bytes() const { return m_offsets.empty() ? 0 : m_offsets.back() - m_baseOffset; }

    // Bytes of the records after `index` up to `last`, as far as they are in the log.
    uint64_t bytesBetween(uint64_t index, uint64_t last) const;

    // The lowest index from which on the records up to `last` have at most this many bytes; last + 1 if even the
    // record at `last` is larger.
    uint64_t firstIndexWithin(uint64_t bytes, uint64_t last) const;

    const schema::SnapshotMeta& snapshot() const { return m_snapshot; }

    // The effective voter set: that of the last record that names one, whether committed or not.
    const schema::VoterSet& voters() const { return m_voters.back().set; }
    uint64_t votersIndex() const { return m_voters.back().index; }

    // Whether a record after the snapshot names the voters. Otherwise they come from the snapshot or the settings.
    bool hasVotersRecord() const { return votersIndex() > m_snapshot.index(); }

    // The voter set before the last change; the current one if the snapshot already includes that change.
    const schema::VoterSet& previousVoters() const
    {
        return m_voters[m_voters.size() < 2 ? 0 : m_voters.size() - 2].set;
    }

    // The metadata of a snapshot taken at `index`, which must not precede the current snapshot.
    schema::SnapshotMeta snapshotMetaAt(uint64_t index) const;

    // The index of the record must be lastIndex() + 1.
    void append(schema::LogRecord);

    // Removes the record at `index` and all that follow.
    void truncateFrom(uint64_t index);

    // Makes `snapshot`, which was taken from this log, the current one and removes the records before `firstIndex`.
    void compact(const schema::SnapshotMeta&, uint64_t firstIndex);

    // Replaces the whole log by a snapshot.
    void resetTo(const schema::SnapshotMeta&);

private:
    struct VotersEntry {
        uint64_t index = 0;
        schema::VoterSet set;
    };

    // The total size of all records ever appended, up to and including the one at `index`.
    uint64_t offsetAt(uint64_t index) const;

    uint64_t m_baseIndex = 0; // index of the record before the first one
    uint64_t m_baseTerm = 0;
    std::deque<schema::LogRecord> m_records;
    uint64_t m_baseOffset = 0; // offsetAt(m_baseIndex)
    std::deque<uint64_t> m_offsets; // offsetAt() of each record
    schema::SnapshotMeta m_snapshot;
    std::vector<VotersEntry> m_voters; // in order of index; the first entry is that of the snapshot
};

} // namespace teasel
