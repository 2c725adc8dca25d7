#include "storage/log_store.h"
#include "storage/posix_disk.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>

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
    schema::HardState hard;
    hard.set_term(3);
    hard.set_replica("a");
    hard.set_may_vote(true);
    return hard;
}

} // namespace

TEST_CASE("a log is found again as it was written")
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
    PosixDisk disk(folder.path());
    REQUIRE(disk.open());
    LogStore store(disk);
    const auto found = store.open().value();
    CHECK(!found.isEmpty);
    CHECK(found.hard.term() == 3);
    REQUIRE(found.records.size() == 12);
    CHECK(found.records[6].term() == 1);
    CHECK(found.records[7].term() == 2);
    CHECK(found.records[11].command() == "command 12");
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
