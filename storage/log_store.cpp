#include "storage/log_store.h"

#include "storage/record_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace teasel {

namespace {

    constexpr std::string_view hardStateName = "hard-state";
    constexpr std::string_view segmentPrefix = "segment-";
    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr std::string_view howToRepair
        = "to repair, move the data folder away and start this replica with an empty one and `replacement: true`; it "
          "then takes the state from the other replicas";

    std::string segmentName(uint64_t number) { return fmt::format("{}{:020}", segmentPrefix, number); }

    std::string snapshotName(uint64_t index) { return fmt::format("{}{:020}", snapshotPrefix, index); }

    // The number in a file's name; nothing for other files.
    std::optional<uint64_t> numberIn(std::string_view name, std::string_view prefix)
    {
        if (!name.starts_with(prefix))
            return std::nullopt;
        uint64_t number = 0;
        const auto* end = name.data() + name.size();
        const auto [it, ec] = std::from_chars(name.data() + prefix.size(), end, number);
        return ec == std::errc() && it == end ? std::optional(number) : std::nullopt;
    }

    boost::leaf::error_id damaged(std::string_view file, uint64_t offset, std::string_view what)
    {
        return fail(ErrorKind::StateUnavailable,
            fmt::format("{} is damaged at byte {}: {}; {}", file, offset, what, howToRepair));
    }

} // namespace

// ---- Recovery ------------------------------------------------------------

Result<RecoveredLog> LogStore::open()
{
    RecoveredLog found;
    BOOST_LEAF_AUTO(names, m_disk.list());
    BOOST_LEAF_CHECK(recoverHardState(found, names));
    BOOST_LEAF_CHECK(recoverSnapshot(found, names));
    BOOST_LEAF_CHECK(recoverSegments(found, names));
    BOOST_LEAF_CHECK(syncWhatWasRead(found));
    BOOST_LEAF_CHECK(dropWhatSnapshotReplaced(found));
    found.isEmpty = found.hard.replica().empty();
    if (found.isEmpty && (found.snapshot.index() != 0 || !found.records.empty()))
        return damaged(hardStateName, 0, "the file is missing beside a log");
    m_isOpen = true;
    return found;
}

Result<void> LogStore::recoverHardState(RecoveredLog& found, std::span<const std::string> names)
{
    if (std::find(names.begin(), names.end(), hardStateName) == names.end())
        return {};
    BOOST_LEAF_AUTO(file, m_disk.read(hardStateName));
    const auto bytes = openSealedFile(file);
    if (!bytes || !found.hard.ParseFromArray(bytes->data(), static_cast<int>(bytes->size())))
        return damaged(hardStateName, 0, "the checksum does not match");
    return {};
}

Result<void> LogStore::recoverSnapshot(RecoveredLog& found, std::span<const std::string> names)
{
    for (const auto& name : names)
        if (const auto index = numberIn(name, snapshotPrefix))
            m_snapshotIndex = std::max(m_snapshotIndex, *index);
    if (m_snapshotIndex == 0)
        return {};
    BOOST_LEAF_AUTO(image, readSnapshot());
    found.snapshot = std::move(image.meta);
    return {};
}

Result<void> LogStore::recoverSegments(RecoveredLog& found, std::span<const std::string> names)
{
    std::vector<uint64_t> numbers;
    for (const auto& name : names)
        if (const auto number = numberIn(name, segmentPrefix))
            numbers.push_back(*number);
    std::sort(numbers.begin(), numbers.end());
    for (const auto number : numbers) {
        BOOST_LEAF_CHECK(recoverSegment(found, number, number == numbers.back()));
        m_nextSegment = number + 1;
    }
    return {};
}

Result<void> LogStore::recoverSegment(RecoveredLog& found, uint64_t number, bool isLast)
{
    const auto name = segmentName(number);
    BOOST_LEAF_AUTO(file, m_disk.read(name));
    Segment segment { number, 0, 0 };
    const std::string_view data = file;
    while (segment.bytes < data.size()) {
        const auto framed = readFramed(data.substr(segment.bytes));
        if (!framed) {
            BOOST_LEAF_CHECK(cutTornTail(name, data, segment.bytes, isLast));
            break;
        }
        schema::LogRecord record;
        if (!record.ParseFromArray(framed->bytes.data(), static_cast<int>(framed->bytes.size())))
            return damaged(name, segment.bytes, "a record can't be read");
        segment.lastIndex = std::max(segment.lastIndex, record.index());
        if (!addRecovered(found.records, std::move(record)))
            return damaged(name, segment.bytes, "records are missing before this one");
        segment.bytes += framed->frameSize;
    }
    m_segments.push_back(segment);
    return {};
}

Result<void> LogStore::cutTornTail(std::string_view name, std::string_view data, size_t good, bool isLast)
{
    // A batch is written only after the one before it was synced, so only the last batch can be torn.
    if (!isLast)
        return damaged(name, good, "the checksum of a record does not match, and later segments follow");
    if (const auto next = findBatchStart(data.substr(good)))
        return damaged(name, good,
            fmt::format(
                "the checksum of a record does not match, and a later batch is whole at byte {}", good + *next));
    m_counters.tornBytesCut += data.size() - good;
    return m_disk.truncate(name, good);
}

Result<void> LogStore::syncWhatWasRead(const RecoveredLog& found)
{
    // A process that ended may have left bytes that are read now and not yet durable.
    if (!found.hard.replica().empty())
        BOOST_LEAF_CHECK(m_disk.sync(hardStateName));
    if (!m_segments.empty())
        BOOST_LEAF_CHECK(m_disk.sync(segmentName(m_segments.back().number)));
    return {};
}

bool LogStore::addRecovered(std::vector<schema::LogRecord>& records, schema::LogRecord record)
{
    while (!records.empty() && records.back().index() >= record.index())
        records.pop_back();
    if (!records.empty() && records.back().index() + 1 != record.index())
        return false;
    records.push_back(std::move(record));
    return true;
}

Result<void> LogStore::dropWhatSnapshotReplaced(RecoveredLog& found)
{
    if (found.records.empty())
        return {};
    const auto snapshot = found.snapshot.index();
    const auto first = found.records.front().index();
    const auto last = found.records.back().index();
    if (first > snapshot + 1)
        return damaged(segmentName(m_segments.front().number), 0, "records after the snapshot are missing");
    // A crash may come between the saving of a leader's snapshot and the removal of the log that it replaces.
    const bool isReplaced
        = last < snapshot || (first <= snapshot && found.records[snapshot - first].term() != found.snapshot.term());
    if (!isReplaced)
        return {};
    found.records.clear();
    return removeAllSegments();
}

// ---- Writing -------------------------------------------------------------

Result<void> LogStore::checkUsable() const
{
    if (m_hasFailed || !m_isOpen)
        return fail(ErrorKind::StateUnavailable, "the log takes no writes after a failed one");
    return {};
}

Result<void> LogStore::noteOutcome(Result<void> outcome)
{
    m_hasFailed = m_hasFailed || !outcome;
    return outcome;
}

Result<void> LogStore::saveHardState(const schema::HardState& hard)
{
    BOOST_LEAF_CHECK(checkUsable());
    ++m_counters.syncs;
    return noteOutcome(m_disk.replace(hardStateName, sealFile(hard.SerializeAsString())));
}

Result<void> LogStore::append(std::span<const schema::LogRecord> records)
{
    BOOST_LEAF_CHECK(checkUsable());
    if (records.empty())
        return {};
    if (!m_hasOpenSegment || m_segments.back().bytes >= m_options.segmentBytes) {
        m_segments.push_back({ m_nextSegment++, 0, 0 });
        m_hasOpenSegment = true;
    }
    return noteOutcome(appendTo(m_segments.back(), records));
}

Result<void> LogStore::appendTo(Segment& segment, std::span<const schema::LogRecord> records)
{
    std::string batch;
    auto place = RecordPlace::First;
    for (const auto& it : records) {
        appendFramed(batch, place, it.SerializeAsString());
        place = RecordPlace::Following;
        segment.lastIndex = std::max(segment.lastIndex, it.index());
    }
    const auto name = segmentName(segment.number);
    BOOST_LEAF_CHECK(m_disk.append(name, batch));
    BOOST_LEAF_CHECK(m_disk.sync(name));
    segment.bytes += batch.size();
    m_counters.records += records.size();
    m_counters.bytes += batch.size();
    ++m_counters.batches;
    ++m_counters.syncs;
    return {};
}

// ---- Snapshots -----------------------------------------------------------

Result<SnapshotImage> LogStore::readSnapshot()
{
    if (m_snapshotIndex == 0)
        return fail(ErrorKind::NotFound, "there is no snapshot");
    const auto name = snapshotName(m_snapshotIndex);
    BOOST_LEAF_AUTO(file, m_disk.read(name));
    const auto meta = readFramed(file);
    SnapshotImage image;
    if (!meta || !image.meta.ParseFromArray(meta->bytes.data(), static_cast<int>(meta->bytes.size())))
        return damaged(name, 0, "the checksum does not match");
    const auto data = openSealedFile(std::string_view(file).substr(meta->frameSize));
    if (!data)
        return damaged(name, meta->frameSize, "the checksum does not match");
    image.data = *data;
    return image;
}

Result<void> LogStore::writeSnapshot(const SnapshotImage& image)
{
    auto file = sealFile(image.meta.SerializeAsString());
    appendFramed(file, RecordPlace::First, image.data);
    BOOST_LEAF_CHECK(m_disk.replace(snapshotName(image.meta.index()), file));
    ++m_counters.snapshots;
    ++m_counters.syncs;
    if (m_snapshotIndex != 0 && m_snapshotIndex != image.meta.index())
        BOOST_LEAF_CHECK(m_disk.remove(snapshotName(m_snapshotIndex)));
    m_snapshotIndex = image.meta.index();
    return {};
}

Result<void> LogStore::saveSnapshot(const SnapshotImage& image)
{
    BOOST_LEAF_CHECK(checkUsable());
    if (image.meta.index() <= m_snapshotIndex)
        return {};
    return noteOutcome(writeSnapshot(image));
}

Result<void> LogStore::installSnapshot(const SnapshotImage& image)
{
    BOOST_LEAF_CHECK(checkUsable());
    BOOST_LEAF_CHECK(noteOutcome(writeSnapshot(image)));
    return noteOutcome(removeAllSegments());
}

Result<void> LogStore::removeAllSegments()
{
    // From the newest: what is left after a crash is still the beginning of the replaced log.
    while (!m_segments.empty()) {
        BOOST_LEAF_CHECK(m_disk.remove(segmentName(m_segments.back().number)));
        m_segments.pop_back();
    }
    m_hasOpenSegment = false;
    return {};
}

Result<void> LogStore::compact(uint64_t firstIndex)
{
    BOOST_LEAF_CHECK(checkUsable());
    return noteOutcome(removeSegmentsBefore(firstIndex));
}

Result<void> LogStore::removeSegmentsBefore(uint64_t firstIndex)
{
    // From the oldest, so that what is left has no gap.
    while (m_segments.size() > 1 && m_segments.front().lastIndex < firstIndex) {
        BOOST_LEAF_CHECK(m_disk.remove(segmentName(m_segments.front().number)));
        m_segments.erase(m_segments.begin());
    }
    return {};
}

} // namespace teasel
