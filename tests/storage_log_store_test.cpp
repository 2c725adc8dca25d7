#include "fake_disk.h"
#include "storage/log_store.h"
#include "storage/posix_disk.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace teasel;

namespace {

// A folder that is removed at the end of its scope.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string path = std::filesystem::temp_directory_path() / "teasel-storage-XXXXXX";
        m_path = ::mkdtemp(path.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

schema::LogRecord makeRecord(uint64_t index, uint64_t term, std::string command)
{
    schema::LogRecord record;
    record.set_index(index);
    record.set_term(term);
    record.set_command(std::move(command));
    return record;
}

std::vector<schema::LogRecord> makeRecords(uint64_t first, uint64_t last, uint64_t term)
{
    std::vector<schema::LogRecord> records;
    for (uint64_t index = first; index <= last; ++index)
        records.push_back(makeRecord(index, term, "command " + std::to_string(index)));
    return records;
}

schema::HardState makeHardState()
{
    schema::HardState hardState;
    hardState.set_term(3);
    hardState.set_replica("a");
    hardState.set_may_vote(true);
    return hardState;
}

} // namespace

TEST_CASE("a log is recovered as it was written")
{
    const TemporaryFolder folder;
    {
        PosixDisk disk(folder.path());
        REQUIRE(disk.open());
        LogStore store(disk);
        CHECK(store.open().value().isEmpty);
        REQUIRE(store.saveHardState(makeHardState()));
        REQUIRE(store.append(makeRecords(1, 10, 1)));
        REQUIRE(store.append(makeRecords(8, 12, 2)));
    }
    std::ofstream(folder.path() + "/hard-state.new") << "left over";
    PosixDisk disk(folder.path());
    REQUIRE(disk.open());
    CHECK(!std::filesystem::exists(folder.path() + "/hard-state.new"));
    LogStore store(disk);
    const auto recovered = store.open().value();
    CHECK(!recovered.isEmpty);
    CHECK(recovered.hardState.term() == 3);
    REQUIRE(recovered.records.size() == 12);
    CHECK(recovered.records[6].term() == 1);
    CHECK(recovered.records[7].term() == 2);
    CHECK(recovered.records[11].command() == "command 12");
}

TEST_CASE("a data folder is used by one process at a time")
{
    const TemporaryFolder folder;
    PosixDisk first(folder.path());
    REQUIRE(first.open());
    PosixDisk second(folder.path());
    const auto outcome = valueOrError([&] { return second.open(); });
    REQUIRE(std::holds_alternative<Error>(outcome));
    CHECK(std::get<Error>(outcome).message.find("in use by another process") != std::string::npos);
}

namespace {

// A disk with three batches: records 1 to 3, 4 to 6 and 7 to 9.
FakeDisk makeWrittenDisk()
{
    FakeDisk disk;
    LogStore store(disk);
    REQUIRE(store.open());
    REQUIRE(store.saveHardState(makeHardState()));
    for (uint64_t first = 1; first <= 7; first += 3)
        REQUIRE(store.append(makeRecords(first, first + 2, 1)));
    return disk;
}

std::string& firstSegmentOf(FakeDisk& disk) { return disk.files["segment-00000000000000000001"].synced; }

size_t countRecoveredRecords(FakeDisk& disk)
{
    LogStore store(disk);
    return store.open().value().records.size();
}

// The message with which open() rejects a disk; empty when it succeeds.
std::string openError(FakeDisk& disk)
{
    LogStore store(disk);
    const auto outcome = valueOrError([&] { return store.open(); });
    const auto* error = std::get_if<Error>(&outcome);
    return error ? error->message : "";
}

} // namespace

TEST_CASE("a torn last batch is truncated at every length")
{
    const auto intactDisk = makeWrittenDisk();
    const auto size = intactDisk.files.at("segment-00000000000000000001").synced.size();
    const auto batchBytes = size / 3;
    for (size_t keptBytes = 2 * batchBytes; keptBytes < size; ++keptBytes) {
        auto disk = intactDisk;
        firstSegmentOf(disk).resize(keptBytes);
        const auto expected = 6 + (keptBytes - 2 * batchBytes) / (batchBytes / 3);
        CHECK(countRecoveredRecords(disk) == expected);
        CHECK(countRecoveredRecords(disk) == expected); // the truncation is durable
    }
}

TEST_CASE("a damaged record before the last batch is rejected with repair instructions")
{
    const auto intactDisk = makeWrittenDisk();
    const auto size = intactDisk.files.at("segment-00000000000000000001").synced.size();
    for (size_t offset = 0; offset < size / 3 * 2; offset += 7) {
        auto disk = intactDisk;
        firstSegmentOf(disk)[offset] ^= 1;
        const auto message = openError(disk);
        CHECK(message.find("segment-00000000000000000001 is damaged at byte") != std::string::npos);
        CHECK(message.find("`replacement: true`") != std::string::npos);
    }
}

TEST_CASE("a damaged or missing hard state or a damaged snapshot is rejected")
{
    const auto damage = [](const char* name) {
        auto disk = makeWrittenDisk();
        LogStore store(disk);
        REQUIRE(store.open());
        SnapshotImage image;
        image.meta.set_index(5);
        image.meta.set_term(1);
        image.data = "state";
        REQUIRE(store.saveSnapshot(image));
        disk.files[name].synced.back() ^= 1;
        return openError(disk);
    };
    CHECK(damage("hard-state").find("hard-state is damaged") != std::string::npos);
    CHECK(
        damage("snapshot-00000000000000000005").find("snapshot-00000000000000000005 is damaged") != std::string::npos);
    auto disk = makeWrittenDisk();
    disk.files.erase("hard-state");
    CHECK(openError(disk).find("missing although a log exists") != std::string::npos);
}

TEST_CASE("after a failed write all writes are rejected and acknowledged records are recovered")
{
    for (uint64_t writes = 0; writes < 2; ++writes) {
        auto disk = makeWrittenDisk();
        LogStore store(disk);
        REQUIRE(store.open());
        disk.writesLeft = writes;
        CHECK(!store.append(makeRecords(10, 12, 1)));
        disk.writesLeft = FakeDisk::unlimited;
        CHECK(!store.append(makeRecords(10, 12, 1)));
        CHECK(!store.saveHardState(makeHardState()));
        Random random(writes);
        disk.crash(random);
        CHECK(countRecoveredRecords(disk) >= 9);
    }
}

TEST_CASE("compaction removes whole segments and a snapshot from the leader replaces the log")
{
    FakeDisk disk;
    LogStore store(disk, { 100 });
    REQUIRE(store.open());
    REQUIRE(store.saveHardState(makeHardState()));
    for (uint64_t first = 1; first <= 91; first += 10)
        REQUIRE(store.append(makeRecords(first, first + 9, 1)));
    SnapshotImage image;
    image.meta.set_index(55);
    image.meta.set_term(1);
    REQUIRE(store.saveSnapshot(image));
    REQUIRE(store.compact(45));
    CHECK(countRecoveredRecords(disk) == 60);
    image.meta.set_index(500);
    image.meta.set_term(3);
    REQUIRE(store.installSnapshot(image));
    REQUIRE(store.append(makeRecords(501, 510, 3)));
    CHECK(countRecoveredRecords(disk) == 10);
    CHECK(LogStore(disk).open().value().snapshot.index() == 500);
}

// Guards against a replica that cannot start again because the records kept for slow replicas fill its disk.
TEST_CASE("on a full disk the segments that the snapshot replaces make room for the next write")
{
    FakeDisk disk;
    LogStore store(disk, { 100 });
    REQUIRE(store.open());
    REQUIRE(store.saveHardState(makeHardState()));
    for (uint64_t first = 1; first <= 91; first += 10)
        REQUIRE(store.append(makeRecords(first, first + 9, 1)));
    SnapshotImage image;
    image.meta.set_index(50);
    image.meta.set_term(1);
    image.data = "state";
    REQUIRE(store.saveSnapshot(image));
    const auto before = disk.size();
    disk.capacity = before + 10;
    REQUIRE(store.append(makeRecords(101, 110, 1)));
    CHECK(store.counters().segmentsReclaimed > 0);
    CHECK(disk.size() < before);
    LogStore recovering(disk, { 100 });
    const auto recovered = recovering.open().value();
    CHECK(recovered.records.front().index() == 51);
    CHECK(recovered.records.back().index() == 110);
    // Nothing is left to remove: the write fails, and no record after the snapshot was given up.
    disk.capacity = disk.size();
    CHECK(!store.append(makeRecords(111, 120, 1)));
    LogStore last(disk, { 100 });
    CHECK(last.open().value().records.size() >= 60);
}
