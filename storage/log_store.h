// The replicated log on disk: hard state, snapshots, and segments of records with checksums.
#pragma once

#include "consensus.pb.h"
#include "core/result.h"
#include "storage/disk.h"
#include "storage/recovered_log.h"

#include <span>
#include <string>
#include <vector>

namespace teasel {

struct LogStoreOptions {
    size_t segmentBytes = 4 << 20; // a segment is closed when it is larger than this
};

// What the store has done since it was opened.
struct LogStoreCounters {
    uint64_t records = 0;
    uint64_t bytes = 0;
    uint64_t batches = 0;
    uint64_t syncs = 0;
    uint64_t snapshots = 0;
    uint64_t tornBytesCut = 0;
};

// Each write is durable on return. After a failed write the store refuses all
// further ones, since what then is on disk is known only to the next open().
class LogStore {
public:
    explicit LogStore(Disk& disk, LogStoreOptions options = {})
        : m_disk(disk)
        , m_options(options)
    {
    }

    // Reads what is on disk. A torn last batch, which was never acknowledged,
    // is cut off. Fails with StateUnavailable when anything else is damaged;
    // the message names the file, the place and the way to repair.
    Result<RecoveredLog> open();

    Result<void> saveHardState(const schema::HardState&);

    // Appends one batch with one sync. A record whose index is already there
    // replaces it and all that follow.
    Result<void> append(std::span<const schema::LogRecord>);

    // Saves a snapshot and forgets older ones.
    Result<void> saveSnapshot(const SnapshotImage&);

    // Saves a snapshot that came from the leader and forgets the whole log.
    Result<void> installSnapshot(const SnapshotImage&);

    // The newest snapshot. Fails with NotFound when there is none.
    Result<SnapshotImage> readSnapshot();

    // Removes segments that hold nothing from `firstIndex` on.
    Result<void> compact(uint64_t firstIndex);

    const LogStoreCounters& counters() const { return m_counters; }

private:
    struct Segment {
        uint64_t number = 0;
        uint64_t lastIndex = 0; // highest index in it
        size_t bytes = 0;
    };

    Result<void> recoverHardState(RecoveredLog&, std::span<const std::string> names);
    Result<void> recoverSnapshot(RecoveredLog&, std::span<const std::string> names);
    Result<void> recoverSegments(RecoveredLog&, std::span<const std::string> names);
    Result<void> recoverSegment(RecoveredLog&, uint64_t number, bool isLast);
    Result<void> cutTornTail(std::string_view name, std::string_view data, size_t good, bool isLast);
    Result<void> syncWhatWasRead(const RecoveredLog&);
    static bool addRecovered(std::vector<schema::LogRecord>&, schema::LogRecord);
    Result<void> dropWhatSnapshotReplaced(RecoveredLog&);
    Result<void> appendTo(Segment&, std::span<const schema::LogRecord>);
    Result<void> writeSnapshot(const SnapshotImage&);
    Result<void> removeAllSegments();
    Result<void> removeSegmentsBefore(uint64_t firstIndex);
    Result<void> checkUsable() const;

    // Remembers that a write failed.
    Result<void> noteOutcome(Result<void>);

    Disk& m_disk;
    LogStoreOptions m_options;
    std::vector<Segment> m_segments;
    uint64_t m_nextSegment = 1;
    bool m_hasOpenSegment = false;
    uint64_t m_snapshotIndex = 0;
    bool m_isOpen = false;
    bool m_hasFailed = false;
    LogStoreCounters m_counters;
};

} // namespace teasel
