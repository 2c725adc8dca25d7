#include "storage/log_store.h"

#include "storage/record_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace teasel {

namespace {

    constexpr std::string_view hardStateFileName = "hard-state";
    constexpr std::string_view segmentPrefix = "segment-";
    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr std::string_view repairInstructions
        = "to repair, move the data folder away and start this replica with an empty one and `replacement: true`; it "
          "then copies the state from the other replicas";

    std::string segmentFileName(uint64_t number) { return fmt::format("{}{:020}", segmentPrefix, number); }

    std::string snapshotFileName(uint64_t index) { return fmt::format("{}{:020}", snapshotPrefix, index); }

    // The number after the prefix of a file name; nothing for other files.
    std::optional<uint64_t> parseFileNumber(std::string_view name, std::string_view prefix)
    {
        if (!name.starts_with(prefix))
            return std::nullopt;
        uint64_t number = 0;
        const auto* end = name.data() + name.size();
        const auto [it, ec] = std::from_chars(name.data() + prefix.size(), end, number);
        return ec == std::errc() && it == end ? std::optional(number) : std::nullopt;
    }

    boost::leaf::error_id failDamaged(std::string_view file, uint64_t offset, std::string_view reason)
    {
        return fail(ErrorKind::StateUnavailable,
            fmt::format("{} is damaged at byte {}: {}; {}", file, offset, reason, repairInstructions));
    }

} // namespace

// ---- Recovery ------------------------------------------------------------

Result<RecoveredLog> LogStore::open()
{
    RecoveredLog recovered;
    BOOST_LEAF_AUTO(fileNames, m_disk.list());
    BOOST_LEAF_CHECK(recoverHardState(recovered, fileNames));
    BOOST_LEAF_CHECK(recoverSnapshot(recovered, fileNames));
    BOOST_LEAF_CHECK(recoverSegments(recovered, fileNames));
    BOOST_LEAF_CHECK(syncRecoveredFiles(recovered));
    BOOST_LEAF_CHECK(removeLogReplacedBySnapshot(recovered));
    recovered.isEmpty = recovered.hardState.replica().empty();
    if (recovered.isEmpty && (recovered.snapshot.index() != 0 || !recovered.records.empty()))
        return failDamaged(hardStateFileName, 0, "the file is missing although a log exists");
    m_isOpen = true;
    return recovered;
}

Result<void> LogStore::recoverHardState(RecoveredLog& recovered, std::span<const std::string> fileNames)
{
    if (std::find(fileNames.begin(), fileNames.end(), hardStateFileName) == fileNames.end())
        return {};
    BOOST_LEAF_AUTO(file, m_disk.read(hardStateFileName));
    const auto bytes = decodeChecksummedFile(file);
    if (!bytes || !recovered.hardState.ParseFromArray(bytes->data(), static_cast<int>(bytes->size())))
        return failDamaged(hardStateFileName, 0, "the checksum does not match");
    return {};
}

Result<void> LogStore::recoverSnapshot(RecoveredLog& recovered, std::span<const std::string> fileNames)
{
    for (const auto& name : fileNames)
        if (const auto index = parseFileNumber(name, snapshotPrefix))
            m_snapshotIndex = std::max(m_snapshotIndex, *index);
    if (m_snapshotIndex == 0)
        return {};
    BOOST_LEAF_AUTO(image, readSnapshot());
    m_snapshotBytes = image.data.size();
    recovered.snapshot = std::move(image.meta);
    return {};
}

Result<void> LogStore::recoverSegments(RecoveredLog& recovered, std::span<const std::string> fileNames)
{
    std::vector<uint64_t> numbers;
    for (const auto& name : fileNames)
        if (const auto number = parseFileNumber(name, segmentPrefix))
            numbers.push_back(*number);
    std::sort(numbers.begin(), numbers.end());
    for (const auto number : numbers) {
        BOOST_LEAF_CHECK(recoverSegment(recovered, number, number == numbers.back()));
        m_nextSegmentNumber = number + 1;
    }
    return {};
}

Result<void> LogStore::recoverSegment(RecoveredLog& recovered, uint64_t number, bool isLast)
{
    const auto name = segmentFileName(number);
    BOOST_LEAF_AUTO(file, m_disk.read(name));
    Segment segment { number, 0, 0 };
    const std::string_view data = file;
    while (segment.bytes < data.size()) {
        const auto frame = decodeFrame(data.substr(segment.bytes));
        if (!frame) {
            BOOST_LEAF_CHECK(truncateTornTail(name, data, segment.bytes, isLast));
            break;
        }
        schema::LogRecord record;
        if (!record.ParseFromArray(frame->bytes.data(), static_cast<int>(frame->bytes.size())))
            return failDamaged(name, segment.bytes, "a record can't be parsed");
        segment.lastIndex = std::max(segment.lastIndex, record.index());
        if (!appendRecovered(recovered.records, std::move(record)))
            return failDamaged(name, segment.bytes, "records are missing before this one");
        segment.bytes += frame->frameSize;
    }
    m_segments.push_back(segment);
    return {};
}

Result<void> LogStore::truncateTornTail(std::string_view name, std::string_view data, size_t validBytes, bool isLast)
{
    // A batch is written only after the previous one was synced, so only the last batch can be torn.
    if (!isLast)
        return failDamaged(name, validBytes, "the checksum of a record does not match, and later segments follow");
    if (const auto nextBatch = findBatchStart(data.substr(validBytes)))
        return failDamaged(name, validBytes,
            fmt::format("the checksum of a record does not match, and a later valid batch begins at byte {}",
                validBytes + *nextBatch));
    m_counters.tornBytesTruncated += data.size() - validBytes;
    return m_disk.truncate(name, validBytes);
}

Result<void> LogStore::syncRecoveredFiles(const RecoveredLog& recovered)
{
    // The previous process may have written bytes that can be read now but are not durable yet.
    if (!recovered.hardState.replica().empty())
        BOOST_LEAF_CHECK(m_disk.sync(hardStateFileName));
    if (!m_segments.empty())
        BOOST_LEAF_CHECK(m_disk.sync(segmentFileName(m_segments.back().number)));
    return {};
}

bool LogStore::appendRecovered(std::vector<schema::LogRecord>& records, schema::LogRecord record)
{
    while (!records.empty() && records.back().index() >= record.index())
        records.pop_back();
    if (!records.empty() && records.back().index() + 1 != record.index())
        return false;
    records.push_back(std::move(record));
    return true;
}

Result<void> LogStore::removeLogReplacedBySnapshot(RecoveredLog& recovered)
{
    if (recovered.records.empty())
        return {};
    const auto snapshot = recovered.snapshot.index();
    const auto first = recovered.records.front().index();
    const auto last = recovered.records.back().index();
    if (first > snapshot + 1)
        return failDamaged(segmentFileName(m_segments.front().number), 0, "records after the snapshot are missing");
    // A crash may have occurred after a snapshot from the leader was saved and before the log it replaces was removed.
    const bool isReplaced = last < snapshot
        || (first <= snapshot && recovered.records[snapshot - first].term() != recovered.snapshot.term());
    if (!isReplaced)
        return {};
    recovered.records.clear();
    return removeAllSegments();
}

// ---- Writing -------------------------------------------------------------

Result<void> LogStore::checkWritable() const
{
    if (m_hasFailed || !m_isOpen)
        return fail(ErrorKind::StateUnavailable, "the log accepts no writes after a failed write");
    return {};
}

Result<void> LogStore::recordOutcome(Result<void> outcome)
{
    m_hasFailed = m_hasFailed || !outcome;
    return outcome;
}

Result<void> LogStore::writeReclaimingSpace(const std::function<Result<void>()>& write)
{
    const auto outcome = valueOrError(write);
    const auto* error = std::get_if<Error>(&outcome);
    if (error == nullptr)
        return {};
    const auto segments = m_segments.size();
    if (error->kind == ErrorKind::StateFull)
        BOOST_LEAF_CHECK(removeSegmentsBefore(m_snapshotIndex + 1));
    const auto reclaimed = segments - m_segments.size();
    if (reclaimed == 0)
        return fail(error->kind, error->message);
    m_counters.segmentsReclaimed += reclaimed;
    return write();
}

Result<void> LogStore::saveHardState(const schema::HardState& hardState)
{
    BOOST_LEAF_CHECK(checkWritable());
    ++m_counters.syncs;
    const auto file = encodeChecksummedFile(hardState.SerializeAsString());
    return recordOutcome(writeReclaimingSpace([&] { return m_disk.replace(hardStateFileName, file); }));
}

Result<void> LogStore::append(std::span<const schema::LogRecord> records)
{
    BOOST_LEAF_CHECK(checkWritable());
    if (records.empty())
        return {};
    if (!m_hasOpenSegment || m_segments.back().bytes >= m_options.segmentBytes) {
        m_segments.push_back({ m_nextSegmentNumber++, 0, 0 });
        m_hasOpenSegment = true;
    }
    bool isRepeated = false;
    return recordOutcome(writeReclaimingSpace([&]() -> Result<void> {
        auto& segment = m_segments.back();
        // The first attempt may have written a part.
        if (std::exchange(isRepeated, true))
            BOOST_LEAF_CHECK(m_disk.truncate(segmentFileName(segment.number), segment.bytes));
        return appendTo(segment, records);
    }));
}

Result<void> LogStore::appendTo(Segment& segment, std::span<const schema::LogRecord> records)
{
    std::string batch;
    auto position = BatchPosition::First;
    for (const auto& it : records) {
        appendFrame(batch, position, it.SerializeAsString());
        position = BatchPosition::Following;
        segment.lastIndex = std::max(segment.lastIndex, it.index());
    }
    const auto name = segmentFileName(segment.number);
    BOOST_LEAF_CHECK(m_disk.append(name, batch));
    BOOST_LEAF_CHECK(m_disk.sync(name));
    segment.bytes += batch.size();
    m_counters.records += records.size();
    m_counters.bytes += batch.size();
    ++m_counters.batches;
    ++m_counters.syncs;
    return {};
}

LogStoreCounters LogStore::counters() const
{
    auto out = m_counters;
    out.bytesOnDisk = m_snapshotBytes;
    for (const auto& it : m_segments)
        out.bytesOnDisk += it.bytes;
    return out;
}

// ---- Snapshots -----------------------------------------------------------

Result<SnapshotImage> LogStore::readSnapshot()
{
    if (m_snapshotIndex == 0)
        return fail(ErrorKind::NotFound, "there is no snapshot");
    const auto name = snapshotFileName(m_snapshotIndex);
    BOOST_LEAF_AUTO(file, m_disk.read(name));
    const auto meta = decodeFrame(file);
    SnapshotImage image;
    if (!meta || !image.meta.ParseFromArray(meta->bytes.data(), static_cast<int>(meta->bytes.size())))
        return failDamaged(name, 0, "the checksum does not match");
    const auto data = decodeChecksummedFile(std::string_view(file).substr(meta->frameSize));
    if (!data)
        return failDamaged(name, meta->frameSize, "the checksum does not match");
    image.data = *data;
    return image;
}

Result<void> LogStore::writeSnapshot(const SnapshotImage& image)
{
    auto file = encodeChecksummedFile(image.meta.SerializeAsString());
    appendFrame(file, BatchPosition::First, image.data);
    BOOST_LEAF_CHECK(m_disk.replace(snapshotFileName(image.meta.index()), file));
    ++m_counters.snapshots;
    ++m_counters.syncs;
    if (m_snapshotIndex != 0 && m_snapshotIndex != image.meta.index())
        BOOST_LEAF_CHECK(m_disk.remove(snapshotFileName(m_snapshotIndex)));
    m_snapshotIndex = image.meta.index();
    m_snapshotBytes = file.size();
    return {};
}

Result<void> LogStore::saveSnapshot(const SnapshotImage& image)
{
    BOOST_LEAF_CHECK(checkWritable());
    if (image.meta.index() <= m_snapshotIndex)
        return {};
    return recordOutcome(writeReclaimingSpace([&] { return writeSnapshot(image); }));
}

Result<void> LogStore::installSnapshot(const SnapshotImage& image)
{
    BOOST_LEAF_CHECK(checkWritable());
    BOOST_LEAF_CHECK(recordOutcome(writeReclaimingSpace([&] { return writeSnapshot(image); })));
    return recordOutcome(removeAllSegments());
}

Result<void> LogStore::removeAllSegments()
{
    // Newest first: after a crash, the remaining segments are still a prefix of the replaced log.
    while (!m_segments.empty()) {
        BOOST_LEAF_CHECK(m_disk.remove(segmentFileName(m_segments.back().number)));
        m_segments.pop_back();
    }
    m_hasOpenSegment = false;
    return {};
}

Result<void> LogStore::compact(uint64_t firstIndex)
{
    BOOST_LEAF_CHECK(checkWritable());
    return recordOutcome(removeSegmentsBefore(firstIndex));
}

Result<void> LogStore::removeSegmentsBefore(uint64_t firstIndex)
{
    // Oldest first, so that the remaining log has no gap.
    while (m_segments.size() > 1 && m_segments.front().lastIndex < firstIndex) {
        BOOST_LEAF_CHECK(m_disk.remove(segmentFileName(m_segments.front().number)));
        m_segments.erase(m_segments.begin());
    }
    return {};
}

} // namespace teasel
