// The replicated log on disk: the hard state, a snapshot, and segments of checksummed records.
#pragma once

#include "consensus.pb.h"
#include "core/result.h"
#include "storage/disk.h"
#include "storage/recovered_log.h"

#include <functional>
#include <span>
#include <string>
#include <vector>

namespace teasel {

struct LogStoreOptions {
    size_t segmentBytes = 4 << 20; // a new segment is started once the current one has reached this size
};

// Totals since the store was created.
struct LogStoreCounters {
    uint64_t records = 0;
    uint64_t bytes = 0;
    uint64_t batches = 0;
    uint64_t syncs = 0;
    uint64_t snapshots = 0;
    uint64_t tornBytesTruncated = 0;
    uint64_t segmentsReclaimed = 0; // removed early because the disk was full
    uint64_t bytesOnDisk = 0; // of the segments and the snapshot, now
};

// Each write is durable on return. After a failed write the store rejects all further ones, since only the next open()
// can find out what is on disk. Before a write fails because the disk is full, the segments that the snapshot replaces
// are removed; they are only kept for slow replicas.
class LogStore {
public:
    explicit LogStore(Disk& disk, LogStoreOptions options = {})
        : m_disk(disk)
        , m_options(options)
    {
    }

    // Recovers the log from disk. A torn last batch, which was never acknowledged, is truncated. Fails with
    // StateUnavailable when anything else is damaged; the message names the file, the offset and the way to repair it.
    Result<RecoveredLog> open();

    Result<void> saveHardState(const schema::HardState&);

    // Appends one batch with one sync. A record whose index is already in the log replaces that record and all that
    // follow it.
    Result<void> append(std::span<const schema::LogRecord>);

    // Saves a snapshot and removes the previous one. Does nothing when the stored one is at least as recent.
    Result<void> saveSnapshot(const SnapshotImage&);

    // Saves a snapshot received from the leader and removes the whole log.
    Result<void> installSnapshot(const SnapshotImage&);

    // Reads the newest snapshot. Fails with NotFound when there is none.
    Result<SnapshotImage> readSnapshot();

    // Removes the segments that hold only records before `firstIndex`. The newest segment is kept.
    Result<void> compact(uint64_t firstIndex);

    LogStoreCounters counters() const;

private:
    struct Segment {
        uint64_t number = 0;
        uint64_t lastIndex = 0; // highest index in the segment
        size_t bytes = 0;
    };

    Result<void> recoverHardState(RecoveredLog&, std::span<const std::string> fileNames);
    Result<void> recoverSnapshot(RecoveredLog&, std::span<const std::string> fileNames);
    Result<void> recoverSegments(RecoveredLog&, std::span<const std::string> fileNames);
    Result<void> recoverSegment(RecoveredLog&, uint64_t number, bool isLast);
    Result<void> truncateTornTail(std::string_view name, std::string_view data, size_t validBytes, bool isLast);
    Result<void> syncRecoveredFiles(const RecoveredLog&);
    static bool appendRecovered(std::vector<schema::LogRecord>&, schema::LogRecord);
    Result<void> removeLogReplacedBySnapshot(RecoveredLog&);
    Result<void> appendTo(Segment&, std::span<const schema::LogRecord>);
    Result<void> writeSnapshot(const SnapshotImage&);
    Result<void> removeAllSegments();
    Result<void> removeSegmentsBefore(uint64_t firstIndex);
    Result<void> checkWritable() const;

    // Repeats a write once if it failed because the disk was full and segments could be removed.
    Result<void> writeReclaimingSpace(const std::function<Result<void>()>& write);

    // Returns the outcome of a write. After an error the store rejects further writes.
    Result<void> recordOutcome(Result<void>);

    Disk& m_disk;
    LogStoreOptions m_options;
    std::vector<Segment> m_segments;
    uint64_t m_nextSegmentNumber = 1;
    bool m_hasOpenSegment = false;
    uint64_t m_snapshotIndex = 0;
    size_t m_snapshotBytes = 0; // of its file
    bool m_isOpen = false;
    bool m_hasFailed = false;
    LogStoreCounters m_counters;
};

} // namespace teasel
