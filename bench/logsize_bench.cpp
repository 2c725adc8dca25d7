// Measures the bounds of the replicated log in bytes (docs/CAPACITY.md): a single replica takes changes of one size,
// many times what its bounds allow, and starts again. Prints one line per figure:
//   logsize METRIC VALUE UNIT BOUND held|short
#include "consensus/replicated_log.h"
#include "core/clock.h"
#include "node/log_limits.h"
#include "storage/posix_disk.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>

#include <malloc.h>

using namespace teasel;

namespace {

constexpr double mib = 1 << 20;
constexpr uint64_t maxChanges = 300'000; // of one size
constexpr uint64_t changesInFlight = 2; // as many as the job plane's leader proposes at once

// Keeps the last command, as the job plane keeps its last configuration.
class LastCommandMachine final : public StateMachine {
public:
    std::string apply(uint64_t, std::string_view command) override
    {
        m_command = command;
        return {};
    }
    std::string snapshot() const override { return m_command; }
    Result<void> restore(std::string_view snapshot) override
    {
        m_command = snapshot;
        return {};
    }

private:
    std::string m_command;
};

uint64_t residentBytes()
{
    std::ifstream status("/proc/self/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::strtoull(line.c_str() + std::string_view("VmRSS:").size(), nullptr, 10) * 1'024;
    }
    return 0;
}

// Without what the allocator keeps of earlier measurements.
uint64_t trimmedResidentBytes()
{
    malloc_trim(0);
    return residentBytes();
}

uint64_t bytesIn(const std::string& folder)
{
    uint64_t bytes = 0;
    for (const auto& it : std::filesystem::directory_iterator(folder))
        bytes += it.is_regular_file() ? it.file_size() : 0;
    return bytes;
}

struct Peaks {
    uint64_t memoryLog = 0;
    uint64_t disk = 0;
    uint64_t resident = 0; // beyond that before the log was opened
};

// A replica that is its only voter. Its disk jobs run between two changes.
class Host {
public:
    Host(const std::string& folder, uint64_t snapshotEveryBytes)
        : m_folder(folder)
        , m_residentBefore(trimmedResidentBytes())
        , m_disk(folder)
        , m_log(
              options(snapshotEveryBytes), m_clock, m_disk, m_machine,
              [](std::string_view, const schema::ConsensusMessage&) {},
              [this](std::function<void()> it) { m_tasks.push_back(std::move(it)); }, events())
    {
        if (!m_disk.open() || !m_log.start(m_clock.now()))
            throw std::runtime_error("the log can't be opened");
        measure();
        m_clock.advance(std::chrono::seconds(2));
        m_log.onTick(m_clock.now());
        runTasks();
        if (!m_log.isServing())
            throw std::runtime_error("the replica does not serve");
    }

    void change(const std::string& command)
    {
        while (m_inFlight >= changesInFlight)
            runTask();
        if (!m_log.propose(command, ++m_lastTicket, m_clock.now()))
            throw std::runtime_error("a change was refused");
        ++m_inFlight;
    }

    void runTasks()
    {
        while (!m_tasks.empty())
            runTask();
    }

    void measure()
    {
        m_peaks.memoryLog = std::max(m_peaks.memoryLog, m_log.replica().log().bytes());
        m_peaks.disk = std::max(m_peaks.disk, bytesIn(m_folder));
        m_peaks.resident = std::max(m_peaks.resident, residentBytes() - std::min(residentBytes(), m_residentBefore));
    }

    const Peaks& peaks() const { return m_peaks; }

private:
    static ReplicatedLogOptions options(uint64_t snapshotEveryBytes)
    {
        ReplicatedLogOptions out;
        out.replica.id = "a";
        out.replica.bootstrap.add_voters("a");
        out.hasOwnStorageThread = false;
        setByteLimits(out, snapshotEveryBytes);
        return out;
    }

    ReplicatedLogEvents events()
    {
        ReplicatedLogEvents out;
        out.onApplied = [this](uint64_t, const std::string&) { --m_inFlight; };
        out.onOutcomeUnknown = [](uint64_t) {};
        out.onServingChanged = [](bool) {};
        out.onStorageFailed = [](const Error& error) { throw std::runtime_error(error.message); };
        return out;
    }

    void runTask()
    {
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        task();
    }

    std::string m_folder;
    uint64_t m_residentBefore;
    ManualClock m_clock;
    PosixDisk m_disk;
    LastCommandMachine m_machine;
    std::deque<std::function<void()>> m_tasks;
    uint64_t m_inFlight = 0;
    uint64_t m_lastTicket = 0;
    Peaks m_peaks;
    ReplicatedLog m_log;
};

bool report(const std::string& metric, double value, double bound)
{
    const bool isHeld = value <= bound;
    fmt::print("logsize {} {:.1f} MiB {:.1f} {}\n", metric, value, bound, isHeld ? "held" : "short");
    return isHeld;
}

// The bound that docs/CAPACITY.md states for the records, without a transfer of a snapshot.
double logBound(uint64_t snapshotEveryBytes, uint64_t recordBytes)
{
    const ReplicaOptions defaults;
    const auto retained = snapshotEveryBytes / retainedBytesDivisor;
    const auto unapplied = std::min<uint64_t>(defaults.maxUnappliedBytes, changesInFlight * recordBytes);
    const auto bytes = std::max(snapshotEveryBytes, recordBytes) + retained + 2 * unapplied;
    return static_cast<double>(bytes) / mib;
}

bool measureSize(const std::string& folder, uint64_t recordBytes, uint64_t totalBytes, uint64_t snapshotEveryBytes)
{
    const auto name = fmt::format("{}_byte_changes", recordBytes);
    const auto log = logBound(snapshotEveryBytes, recordBytes + recordOverheadBytes);
    const auto segment = static_cast<double>(LogStoreOptions().segmentBytes) / mib;
    const auto record = static_cast<double>(recordBytes) / mib;
    bool isHeld = true;
    {
        Host host(folder, snapshotEveryBytes);
        const std::string command(recordBytes, 'x');
        const auto changes = std::min(totalBytes / recordBytes, maxChanges);
        const auto sampled = std::max<uint64_t>(1, changes / 2'000);
        for (uint64_t n = 0; n < changes; ++n) {
            host.change(command);
            if (n % sampled == 0)
                host.measure();
        }
        host.runTasks();
        isHeld = report(name + "_log_in_memory", static_cast<double>(host.peaks().memoryLog) / mib, log) && isHeld;
        // The old and the new snapshot, and a segment begun before the first record that is kept.
        isHeld = report(name + "_on_disk", static_cast<double>(host.peaks().disk) / mib, log + segment + 3 * record)
            && isHeld;
    }
    Host restarted(folder, snapshotEveryBytes);
    restarted.measure();
    // All records of the disk, and those that are copied for one portion of the start.
    return report(name + "_resident_after_a_start", static_cast<double>(restarted.peaks().resident) / mib,
               2 * (log + segment) + 6 * record)
        && isHeld;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Measures the bounds of the replicated log in bytes");
    uint64_t totalMib = 256;
    uint64_t snapshotEveryMib = 16;
    std::string parent = std::filesystem::temp_directory_path();
    app.add_option("--total", totalMib, "MiB of changes of each size");
    app.add_option("--snapshot-every", snapshotEveryMib, "MiB of records between snapshots");
    app.add_option("--folder", parent, "parent of the data folders");
    CLI11_PARSE(app, argc, argv);
    bool isHeld = true;
    for (const uint64_t recordBytes : { 1'400'000, 340'000, 4'000, 60 }) {
        std::string folder = parent + "/teasel-logsize-XXXXXX";
        if (::mkdtemp(folder.data()) == nullptr)
            return EXIT_FAILURE;
        isHeld = measureSize(folder, recordBytes, totalMib << 20, snapshotEveryMib << 20) && isHeld;
        std::filesystem::remove_all(folder);
    }
    return isHeld ? EXIT_SUCCESS : EXIT_FAILURE;
}
