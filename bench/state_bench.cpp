// Benchmarks of the replicated log: three replicas in one process, each with its own data folder, storage thread and
// real syncs, connected in memory. Prints one line per figure: state METRIC VALUE UNIT BOUND held|short
#include "consensus/replicated_log.h"
#include "core/clock.h"
#include "fleet.pb.h"
#include "storage/posix_disk.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace teasel;

namespace {

constexpr size_t replicaCount = 3;
constexpr double timeoutSeconds = 30; // for a leader to serve or a load to complete
constexpr Duration tickInterval = std::chrono::milliseconds(10);

// A folder that is removed at the end of its scope.
class TemporaryFolder {
public:
    explicit TemporaryFolder(const std::string& parent)
    {
        m_path = parent + "/teasel-state-XXXXXX";
        if (!::mkdtemp(m_path.data()))
            throw std::runtime_error("can't create a folder in " + parent);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

// A state machine that stores the ids of begun requests.
class BegunRequestsMachine final : public StateMachine {
public:
    std::string apply(uint64_t, std::string_view command) override
    {
        schema::Command parsed;
        parsed.ParseFromArray(command.data(), static_cast<int>(command.size()));
        m_requestIds.push_back(parsed.begin().request_id());
        return "begun";
    }
    std::string snapshot() const override
    {
        schema::FleetSnapshot snapshotMessage;
        for (const auto& id : m_requestIds)
            snapshotMessage.add_begun()->set_request_id(id);
        return snapshotMessage.SerializeAsString();
    }
    Result<void> restore(std::string_view snapshot) override
    {
        schema::FleetSnapshot snapshotMessage;
        if (!snapshotMessage.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
            return fail(ErrorKind::StateUnavailable, "the snapshot can't be parsed");
        m_requestIds.clear();
        for (const auto& it : snapshotMessage.begun())
            m_requestIds.push_back(it.request_id());
        return {};
    }
    size_t size() const { return m_requestIds.size(); }

private:
    std::vector<std::string> m_requestIds;
};

std::string beginCommand(uint64_t n)
{
    schema::Command command;
    auto& begin = *command.mutable_begin();
    begin.set_request_id(fmt::format("request-{:032}", n));
    begin.set_team_id(static_cast<uint32_t>(n % 6 + 1));
    begin.set_attempt(fmt::format("entry-{}-{}", n % 9, n));
    begin.set_wall_ms(1'700'000'000'000);
    command.set_ticket(n);
    return command.SerializeAsString();
}

ReplicatedLogOptions makeOptions(const std::string& id, uint64_t snapshotEvery)
{
    ReplicatedLogOptions options;
    options.replica.id = id;
    for (const auto* it : { "a", "b", "c" })
        options.replica.bootstrap.add_voters(it);
    options.replica.seed = std::hash<std::string> {}(id);
    options.snapshotEveryRecords = snapshotEvery;
    return options;
}

// A replica with its own control thread.
class BenchReplica {
public:
    using Deliver = std::function<void(std::string_view from, std::string_view to, const schema::ConsensusMessage&)>;

    BenchReplica(std::string id, const std::string& folder, const Deliver& deliver)
        : m_id(std::move(id))
        , m_disk(folder)
        , m_log(
              makeOptions(m_id, 50'000), m_clock, m_disk, m_stateMachine,
              [this, deliver](std::string_view to, const schema::ConsensusMessage& it) { deliver(m_id, to, it); },
              [this](std::function<void()> it) { post(std::move(it)); }, makeEvents())
    {
        const auto outcome = valueOrError([&]() -> Result<void> {
            BOOST_LEAF_CHECK(m_disk.open());
            return m_log.start(m_clock.now());
        });
        if (const auto* error = std::get_if<Error>(&outcome))
            throw std::runtime_error(error->message);
        m_thread = std::thread([this] { run(); });
    }

    ~BenchReplica() { stop(); }
    BenchReplica(const BenchReplica&) = delete;
    BenchReplica& operator=(const BenchReplica&) = delete;

    void stop()
    {
        if (!m_thread.joinable())
            return;
        post([this] { m_isStopping = true; });
        m_thread.join();
    }

    void post(std::function<void()> function)
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(function));
        m_wake.notify_one();
    }

    // Runs a function on the control thread and returns its result.
    template <class Function> auto callAndWait(Function function)
    {
        const auto result = std::make_shared<std::promise<decltype(function(m_log))>>();
        post([this, result, function] { result->set_value(function(m_log)); });
        return result->get_future().get();
    }

    const std::string& id() const { return m_id; }
    ReplicatedLog& log() { return m_log; }

    std::function<void(uint64_t ticket)> onApplied = [](uint64_t) {};

private:
    ReplicatedLogEvents makeEvents()
    {
        ReplicatedLogEvents events;
        events.onApplied = [this](uint64_t ticket, const std::string&) { onApplied(ticket); };
        events.onOutcomeUnknown = [](uint64_t) {};
        events.onServingChanged = [](bool) {};
        events.onStorageFailed = [](const Error& error) { fmt::print(stderr, "{}\n", error.message); };
        return events;
    }

    void run()
    {
        auto nextTick = m_clock.now();
        while (!m_isStopping) {
            std::vector<std::function<void()>> due;
            {
                std::unique_lock lock(m_mutex);
                m_wake.wait_until(lock, nextTick, [this] { return !m_queue.empty(); });
                due.swap(m_queue);
            }
            for (const auto& it : due)
                it();
            if (m_clock.now() < nextTick)
                continue;
            m_log.onTick(m_clock.now());
            nextTick = m_clock.now() + tickInterval;
        }
    }

    std::string m_id;
    SystemClock m_clock;
    PosixDisk m_disk;
    BegunRequestsMachine m_stateMachine;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::function<void()>> m_queue;
    bool m_isStopping = false;
    ReplicatedLog m_log;
    std::thread m_thread;
};

double secondsSince(Instant start) { return std::chrono::duration<double>(SystemClock().now() - start).count(); }

// Three replicas that deliver messages to each other in memory.
class ReplicaGroup {
public:
    explicit ReplicaGroup(const std::string& folder)
    {
        for (size_t i = 0; i < replicaCount; ++i)
            m_replicas[i] = std::make_unique<BenchReplica>(std::string(1, static_cast<char>('a' + i)),
                fmt::format("{}/{}", folder, i),
                [this](std::string_view from, std::string_view to, const schema::ConsensusMessage& message) {
                    deliver(from, to, message);
                });
        m_isDelivering = true;
    }
    ~ReplicaGroup()
    {
        for (auto& it : m_replicas)
            it->stop();
    }
    ReplicaGroup(const ReplicaGroup&) = delete;
    ReplicaGroup& operator=(const ReplicaGroup&) = delete;

    BenchReplica& replicaAt(size_t i) { return *m_replicas[i]; }

    // Waits until a replica other than `except` serves and returns its index.
    size_t awaitLeader(size_t except = replicaCount)
    {
        const auto start = SystemClock().now();
        while (true) {
            if (secondsSince(start) > timeoutSeconds)
                throw std::runtime_error("no replica became the leader");
            for (size_t i = 0; i < replicaCount; ++i)
                if (i != except && m_replicas[i]->callAndWait([](auto& log) { return log.isServing(); }))
                    return i;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

private:
    void deliver(std::string_view from, std::string_view to, const schema::ConsensusMessage& message)
    {
        if (!m_isDelivering)
            return;
        auto& target = *m_replicas[static_cast<size_t>(to[0] - 'a')];
        target.post([&target, from = std::string(from), message] {
            target.log().onMessage(from, message, SystemClock().now());
        });
    }

    std::array<std::unique_ptr<BenchReplica>, replicaCount> m_replicas;
    std::atomic<bool> m_isDelivering = false;
};

// Prints figures with their bounds and records whether all bounds held.
class Report {
public:
    void atLeast(std::string_view metric, double value, std::string_view unit, double bound)
    {
        print(metric, value, unit, bound, value >= bound);
    }
    void atMost(std::string_view metric, double value, std::string_view unit, double bound)
    {
        print(metric, value, unit, bound, value <= bound);
    }
    bool allBoundsHeld() const { return m_allBoundsHeld; }

private:
    void print(std::string_view metric, double value, std::string_view unit, double bound, bool isBoundHeld)
    {
        fmt::print("state {} {:.4g} {} {:.4g} {}\n", metric, value, unit, bound, isBoundHeld ? "held" : "short");
        std::fflush(stdout);
        m_allBoundsHeld = m_allBoundsHeld && isBoundHeld;
    }

    bool m_allBoundsHeld = true;
};

struct Traffic {
    ReplicatedLogCounters leader;
    ReplicatedLogCounters follower;
};

Traffic readTraffic(ReplicaGroup& group, size_t leader)
{
    const auto readCounters = [](auto& log) { return log.counters(); };
    return { group.replicaAt(leader).callAndWait(readCounters),
        group.replicaAt((leader + 1) % replicaCount).callAndWait(readCounters) };
}

void reportTraffic(Report& report, std::string_view denominator, const ReplicatedLogCounters& before,
    const ReplicatedLogCounters& after, double count, double maxMessages, double maxBytes)
{
    const auto messages = static_cast<double>(after.messagesSent - before.messagesSent) / count;
    const auto bytes = static_cast<double>(after.bytesSent - before.bytesSent) / count;
    report.atMost(fmt::format("messages_sent_per_{}", denominator), messages, "messages", maxMessages);
    report.atMost(fmt::format("bytes_sent_per_{}", denominator), bytes, "bytes", maxBytes);
}

// Keeps `window` proposals in flight until `total` are applied. run() returns the latencies in milliseconds, sorted.
class LoadGenerator {
public:
    LoadGenerator(BenchReplica& leader, uint64_t total, uint64_t window)
        : m_leader(leader)
        , m_total(total)
        , m_window(window)
        , m_proposedAt(total)
    {
    }

    std::vector<double> run()
    {
        m_leader.post([this] {
            m_leader.onApplied = [this](uint64_t ticket) { onProposalApplied(ticket); };
            for (uint64_t i = 0; i < m_window; ++i)
                proposeNext();
        });
        const auto done = m_done; // keeps the promise alive until set_value() has returned
        if (done->get_future().wait_for(std::chrono::duration<double>(timeoutSeconds)) != std::future_status::ready)
            throw std::runtime_error("the leadership was lost under load");
        std::sort(m_latencies.begin(), m_latencies.end());
        return std::move(m_latencies);
    }

private:
    void proposeNext()
    {
        if (m_next == m_total)
            return;
        const auto ticket = m_next++;
        m_proposedAt[ticket] = m_clock.now();
        m_leader.log().propose(beginCommand(ticket), ticket, m_proposedAt[ticket]);
    }

    void onProposalApplied(uint64_t ticket)
    {
        m_latencies.push_back(std::chrono::duration<double, std::milli>(m_clock.now() - m_proposedAt[ticket]).count());
        if (m_latencies.size() == m_total)
            std::shared_ptr(m_done)->set_value();
        else
            proposeNext();
    }

    BenchReplica& m_leader;
    SystemClock m_clock;
    uint64_t m_total;
    uint64_t m_window;
    uint64_t m_next = 0;
    std::vector<Instant> m_proposedAt;
    std::vector<double> m_latencies;
    std::shared_ptr<std::promise<void>> m_done = std::make_shared<std::promise<void>>();
};

void benchReplication(Report& report, const std::string& folder, uint64_t records)
{
    ReplicaGroup group(folder);
    const auto leader = group.awaitLeader();
    const auto idleBefore = readTraffic(group, leader);
    const auto idleStart = SystemClock().now();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto idleSeconds = secondsSince(idleStart);
    const auto idleAfter = readTraffic(group, leader);
    reportTraffic(report, "idle_second_leader", idleBefore.leader, idleAfter.leader, idleSeconds, 25, 1'500);
    reportTraffic(report, "idle_second_follower", idleBefore.follower, idleAfter.follower, idleSeconds, 15, 750);

    const auto start = SystemClock().now();
    const auto latencies = LoadGenerator(group.replicaAt(leader), records, 512).run();
    const auto count = static_cast<double>(records);
    const double rate = count / secondsSince(start);
    const auto after = readTraffic(group, leader);
    const auto syncs = static_cast<double>(after.leader.disk.syncs - idleAfter.leader.disk.syncs);
    report.atLeast("begun_records_per_second", rate, "records/s", 5'000);
    report.atMost("begun_latency_median", latencies[latencies.size() / 2], "ms", 100);
    report.atMost("begun_latency_p99", latencies[latencies.size() * 99 / 100], "ms", 250);
    report.atLeast("records_per_sync_leader", count / syncs, "records", 2);
    reportTraffic(report, "change_leader", idleAfter.leader, after.leader, count, 2, 600);
    reportTraffic(report, "change_follower", idleAfter.follower, after.follower, count, 1, 50);

    const auto single = LoadGenerator(group.replicaAt(leader), 200, 1).run();
    report.atMost("single_change_latency_median", single[single.size() / 2], "ms", 50);
}

void benchFailover(Report& report, const std::string& folder, int rounds)
{
    double slowestSeconds = 0;
    for (int round = 0; round < rounds; ++round) {
        ReplicaGroup group(folder);
        const auto leader = group.awaitLeader();
        LoadGenerator(group.replicaAt(leader), 100, 10).run();
        const auto start = SystemClock().now();
        group.replicaAt(leader).stop();
        group.awaitLeader(leader);
        slowestSeconds = std::max(slowestSeconds, secondsSince(start));
    }
    report.atMost("new_leader_worst", slowestSeconds, "s", 2);
}

// Writes the data folder of a replica with `records` records, of which the last `tail` follow the snapshot.
void writeLog(const std::string& folder, uint64_t records, uint64_t tail)
{
    PosixDisk disk(folder);
    LogStore store(disk);
    BegunRequestsMachine stateMachine;
    const auto outcome = valueOrError([&]() -> Result<void> {
        BOOST_LEAF_CHECK(disk.open());
        BOOST_LEAF_CHECK(store.open());
        schema::HardState hardState;
        hardState.set_term(1);
        hardState.set_replica("a");
        hardState.set_may_vote(true);
        hardState.mutable_bootstrap()->add_voters("a");
        BOOST_LEAF_CHECK(store.saveHardState(hardState));
        std::vector<schema::LogRecord> batch;
        for (uint64_t index = 1; index <= records; ++index) {
            schema::LogRecord record;
            record.set_index(index);
            record.set_term(1);
            record.set_command(beginCommand(index));
            if (index <= records - tail)
                stateMachine.apply(index, record.command());
            batch.push_back(std::move(record));
            if (batch.size() == 1'000 || index == records) {
                BOOST_LEAF_CHECK(store.append(batch));
                batch.clear();
            }
        }
        SnapshotImage image;
        image.meta.set_index(records - tail);
        image.meta.set_term(1);
        image.meta.mutable_voters()->add_voters("a");
        image.data = stateMachine.snapshot();
        return image.meta.index() == 0 ? Result<void> {} : store.saveSnapshot(image);
    });
    if (const auto* error = std::get_if<Error>(&outcome))
        throw std::runtime_error(error->message);
}

// The time in seconds that a single replica takes to start, apply all records and serve.
double measureRecovery(const std::string& folder, uint64_t records)
{
    PosixDisk disk(folder);
    BegunRequestsMachine stateMachine;
    ManualClock clock;
    ReplicatedLogOptions options;
    options.replica.id = "a";
    options.replica.bootstrap.add_voters("a");
    options.hasOwnStorageThread = false;
    ReplicatedLogEvents events;
    events.onServingChanged = [](bool) {};
    ReplicatedLog log(
        options, clock, disk, stateMachine, [](std::string_view, const schema::ConsensusMessage&) {},
        [](const std::function<void()>& it) { it(); }, events);
    const auto start = SystemClock().now();
    if (!disk.open() || !log.start(clock.now()))
        throw std::runtime_error("the log can't be opened");
    // The election timeout passes on the manual clock only: it is not part of the measured time.
    clock.advance(std::chrono::seconds(2));
    log.onTick(clock.now());
    const auto seconds = secondsSince(start);
    if (!log.isServing() || stateMachine.size() != records)
        throw std::runtime_error(fmt::format("{} of {} records were recovered", stateMachine.size(), records));
    return seconds;
}

void benchRecovery(Report& report, const std::string& folder)
{
    constexpr uint64_t records = 100'000;
    writeLog(folder + "/log", records, records);
    report.atMost("recovery_of_100000_records", measureRecovery(folder + "/log", records), "s", 2);
    writeLog(folder + "/snapshot", 3 * records, 20'000);
    report.atMost(
        "recovery_of_300000_from_snapshot_and_tail", measureRecovery(folder + "/snapshot", 3 * records), "s", 2);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Benchmarks of the replicated log");
    uint64_t records = 30'000;
    int rounds = 5;
    std::string parent = std::filesystem::temp_directory_path();
    app.add_option("--records", records, "number of begun records to replicate");
    app.add_option("--rounds", rounds, "number of failovers");
    app.add_option("--folder", parent, "parent of the data folders");
    CLI11_PARSE(app, argc, argv);
    Report report;
    {
        const TemporaryFolder folder(parent);
        benchReplication(report, folder.path(), records);
    }
    {
        const TemporaryFolder folder(parent);
        benchFailover(report, folder.path(), rounds);
    }
    {
        const TemporaryFolder folder(parent);
        benchRecovery(report, folder.path());
    }
    return report.allBoundsHeld() ? EXIT_SUCCESS : EXIT_FAILURE;
}
