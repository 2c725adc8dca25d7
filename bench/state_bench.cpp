// Benchmarks of the replicated log: three replicas in one process, each with
// its own folder, storage thread and real syncs, connected in memory.
// Prints one line a figure: state METRIC VALUE UNIT BOUND held|short
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

constexpr size_t replicas = 3;
constexpr double maxWaitSeconds = 30; // for a leader, or for the next change
constexpr Duration tickInterval = std::chrono::milliseconds(10);

// A folder that is removed at the end of its scope.
class TemporaryFolder {
public:
    explicit TemporaryFolder(const std::string& parent)
    {
        m_path = parent + "/teasel-state-XXXXXX";
        if (!::mkdtemp(m_path.data()))
            throw std::runtime_error("can't make a folder in " + parent);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

// Keeps the ids of begun requests.
class BegunMachine final : public StateMachine {
public:
    std::string apply(uint64_t, std::string_view command) override
    {
        schema::Command parsed;
        parsed.ParseFromArray(command.data(), static_cast<int>(command.size()));
        m_begun.push_back(parsed.begin().request_id());
        return "begun";
    }
    std::string snapshot() const override
    {
        schema::FleetSnapshot all;
        for (const auto& id : m_begun)
            all.add_begun()->set_request_id(id);
        return all.SerializeAsString();
    }
    Result<void> restore(std::string_view snapshot) override
    {
        schema::FleetSnapshot all;
        if (!all.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
            return fail(ErrorKind::StateUnavailable, "the snapshot can't be read");
        m_begun.clear();
        for (const auto& it : all.begun())
            m_begun.push_back(it.request_id());
        return {};
    }
    size_t size() const { return m_begun.size(); }

private:
    std::vector<std::string> m_begun;
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

ReplicatedLogOptions optionsOf(const std::string& id, uint64_t snapshotEvery)
{
    ReplicatedLogOptions options;
    options.replica.id = id;
    for (const auto* it : { "a", "b", "c" })
        options.replica.bootstrap.add_voters(it);
    options.replica.seed = std::hash<std::string> {}(id);
    options.snapshotEveryRecords = snapshotEvery;
    return options;
}

// One replica with a control thread of its own.
class Member {
public:
    using Deliver = std::function<void(std::string_view from, std::string_view to, const schema::ConsensusMessage&)>;

    Member(std::string id, const std::string& folder, const Deliver& deliver)
        : m_id(std::move(id))
        , m_disk(folder)
        , m_log(
              optionsOf(m_id, 50'000), m_clock, m_disk, m_machine,
              [this, deliver](std::string_view to, const schema::ConsensusMessage& it) { deliver(m_id, to, it); },
              [this](std::function<void()> it) { post(std::move(it)); }, events())
    {
        const auto outcome = valueOrError([&]() -> Result<void> {
            BOOST_LEAF_CHECK(m_disk.open());
            return m_log.start(m_clock.now());
        });
        if (const auto* error = std::get_if<Error>(&outcome))
            throw std::runtime_error(error->message);
        m_thread = std::thread([this] { run(); });
    }

    ~Member() { stop(); }
    Member(const Member&) = delete;
    Member& operator=(const Member&) = delete;

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

    // Runs a function on the control thread and waits for its result.
    template <class Function> auto ask(Function function)
    {
        const auto answer = std::make_shared<std::promise<decltype(function(m_log))>>();
        post([this, answer, function] { answer->set_value(function(m_log)); });
        return answer->get_future().get();
    }

    const std::string& id() const { return m_id; }
    ReplicatedLog& log() { return m_log; }

    std::function<void(uint64_t ticket)> onApplied = [](uint64_t) {};

private:
    ReplicatedLogEvents events()
    {
        ReplicatedLogEvents events;
        events.onApplied = [this](uint64_t ticket, const std::string&) { onApplied(ticket); };
        events.onDropped = [](uint64_t) {};
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
    BegunMachine m_machine;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<std::function<void()>> m_queue;
    bool m_isStopping = false;
    ReplicatedLog m_log;
    std::thread m_thread;
};

double secondsSince(Instant start) { return std::chrono::duration<double>(SystemClock().now() - start).count(); }

// The replicas and the links between them.
class Group {
public:
    explicit Group(const std::string& folder)
    {
        for (size_t i = 0; i < replicas; ++i)
            m_members[i]
                = std::make_unique<Member>(std::string(1, static_cast<char>('a' + i)), fmt::format("{}/{}", folder, i),
                    [this](std::string_view from, std::string_view to, const schema::ConsensusMessage& message) {
                        deliver(from, to, message);
                    });
        m_isOpen = true;
    }
    ~Group()
    {
        for (auto& it : m_members)
            it->stop();
    }
    Group(const Group&) = delete;
    Group& operator=(const Group&) = delete;

    Member& member(size_t i) { return *m_members[i]; }

    // The index of a replica that serves, among those that run.
    size_t awaitLeader(size_t except = replicas)
    {
        const auto start = SystemClock().now();
        while (true) {
            if (secondsSince(start) > maxWaitSeconds)
                throw std::runtime_error("no replica leads");
            for (size_t i = 0; i < replicas; ++i)
                if (i != except && m_members[i]->ask([](auto& log) { return log.isServing(); }))
                    return i;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

private:
    void deliver(std::string_view from, std::string_view to, const schema::ConsensusMessage& message)
    {
        if (!m_isOpen)
            return;
        auto& target = *m_members[static_cast<size_t>(to[0] - 'a')];
        target.post([&target, from = std::string(from), message] {
            target.log().onMessage(from, message, SystemClock().now());
        });
    }

    std::array<std::unique_ptr<Member>, replicas> m_members;
    std::atomic<bool> m_isOpen = false;
};

// Prints figures with their bounds and remembers whether all held.
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
    bool allHeld() const { return m_allHeld; }

private:
    void print(std::string_view metric, double value, std::string_view unit, double bound, bool isHeld)
    {
        fmt::print("state {} {:.4g} {} {:.4g} {}\n", metric, value, unit, bound, isHeld ? "held" : "short");
        std::fflush(stdout);
        m_allHeld = m_allHeld && isHeld;
    }

    bool m_allHeld = true;
};

struct Traffic {
    ReplicatedLogCounters leader;
    ReplicatedLogCounters follower;
};

Traffic trafficOf(Group& group, size_t leader)
{
    const auto take = [](auto& log) { return log.counters(); };
    return { group.member(leader).ask(take), group.member((leader + 1) % replicas).ask(take) };
}

void reportTraffic(Report& report, std::string_view what, const ReplicatedLogCounters& before,
    const ReplicatedLogCounters& after, double count, double maxMessages, double maxBytes)
{
    const auto messages = static_cast<double>(after.messagesSent - before.messagesSent) / count;
    const auto bytes = static_cast<double>(after.bytesSent - before.bytesSent) / count;
    report.atMost(fmt::format("messages_sent_per_{}", what), messages, "messages", maxMessages);
    report.atMost(fmt::format("bytes_sent_per_{}", what), bytes, "bytes", maxBytes);
}

// Keeps `window` proposals open until `total` are applied. Gives the latencies in milliseconds, sorted.
class Load {
public:
    Load(Member& leader, uint64_t total, uint64_t window)
        : m_leader(leader)
        , m_total(total)
        , m_window(window)
        , m_started(total)
    {
    }

    std::vector<double> run()
    {
        m_leader.post([this] {
            m_leader.onApplied = [this](uint64_t ticket) { applied(ticket); };
            for (uint64_t i = 0; i < m_window; ++i)
                proposeNext();
        });
        const auto done = m_done; // outlives the call that sets it
        if (done->get_future().wait_for(std::chrono::duration<double>(maxWaitSeconds)) != std::future_status::ready)
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
        m_started[ticket] = m_clock.now();
        m_leader.log().propose(beginCommand(ticket), ticket, m_started[ticket]);
    }

    void applied(uint64_t ticket)
    {
        m_latencies.push_back(std::chrono::duration<double, std::milli>(m_clock.now() - m_started[ticket]).count());
        if (m_latencies.size() == m_total)
            std::shared_ptr(m_done)->set_value();
        else
            proposeNext();
    }

    Member& m_leader;
    SystemClock m_clock;
    uint64_t m_total;
    uint64_t m_window;
    uint64_t m_next = 0;
    std::vector<Instant> m_started;
    std::vector<double> m_latencies;
    std::shared_ptr<std::promise<void>> m_done = std::make_shared<std::promise<void>>();
};

void benchReplication(Report& report, const std::string& folder, uint64_t records)
{
    Group group(folder);
    const auto leader = group.awaitLeader();
    const auto idleBefore = trafficOf(group, leader);
    const auto idleStart = SystemClock().now();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto idleSeconds = secondsSince(idleStart);
    const auto idleAfter = trafficOf(group, leader);
    reportTraffic(report, "idle_second_leader", idleBefore.leader, idleAfter.leader, idleSeconds, 25, 1'500);
    reportTraffic(report, "idle_second_follower", idleBefore.follower, idleAfter.follower, idleSeconds, 15, 750);

    const auto start = SystemClock().now();
    const auto latencies = Load(group.member(leader), records, 512).run();
    const auto count = static_cast<double>(records);
    const double rate = count / secondsSince(start);
    const auto after = trafficOf(group, leader);
    const auto syncs = static_cast<double>(after.leader.disk.syncs - idleAfter.leader.disk.syncs);
    report.atLeast("begun_records_per_second", rate, "records/s", 5'000);
    report.atMost("begun_latency_median", latencies[latencies.size() / 2], "ms", 100);
    report.atMost("begun_latency_p99", latencies[latencies.size() * 99 / 100], "ms", 250);
    report.atLeast("records_per_sync_leader", count / syncs, "records", 2);
    reportTraffic(report, "change_leader", idleAfter.leader, after.leader, count, 2, 600);
    reportTraffic(report, "change_follower", idleAfter.follower, after.follower, count, 1, 50);

    const auto single = Load(group.member(leader), 200, 1).run();
    report.atMost("single_change_latency_median", single[single.size() / 2], "ms", 50);
}

void benchFailover(Report& report, const std::string& folder, int rounds)
{
    double worst = 0;
    for (int round = 0; round < rounds; ++round) {
        Group group(folder);
        const auto leader = group.awaitLeader();
        Load(group.member(leader), 100, 10).run();
        const auto start = SystemClock().now();
        group.member(leader).stop();
        group.awaitLeader(leader);
        worst = std::max(worst, secondsSince(start));
    }
    report.atMost("new_leader_worst", worst, "s", 2);
}

// Writes what a replica has after `records` of which the last `tail` are after the snapshot.
void writeLog(const std::string& folder, uint64_t records, uint64_t tail)
{
    PosixDisk disk(folder);
    LogStore store(disk);
    BegunMachine machine;
    const auto outcome = valueOrError([&]() -> Result<void> {
        BOOST_LEAF_CHECK(disk.open());
        BOOST_LEAF_CHECK(store.open());
        schema::HardState hard;
        hard.set_term(1);
        hard.set_replica("a");
        hard.set_may_vote(true);
        hard.mutable_bootstrap()->add_voters("a");
        BOOST_LEAF_CHECK(store.saveHardState(hard));
        std::vector<schema::LogRecord> batch;
        for (uint64_t index = 1; index <= records; ++index) {
            schema::LogRecord record;
            record.set_index(index);
            record.set_term(1);
            record.set_command(beginCommand(index));
            if (index <= records - tail)
                machine.apply(index, record.command());
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
        image.data = machine.snapshot();
        return image.meta.index() == 0 ? Result<void> {} : store.saveSnapshot(image);
    });
    if (const auto* error = std::get_if<Error>(&outcome))
        throw std::runtime_error(error->message);
}

// The time from the start of a lone replica until all records are applied and it serves.
double recoveryTime(const std::string& folder, uint64_t records)
{
    PosixDisk disk(folder);
    BegunMachine machine;
    ManualClock clock;
    ReplicatedLogOptions options;
    options.replica.id = "a";
    options.replica.bootstrap.add_voters("a");
    options.hasOwnStorageThread = false;
    ReplicatedLogEvents events;
    events.onServingChanged = [](bool) {};
    ReplicatedLog log(
        options, clock, disk, machine, [](std::string_view, const schema::ConsensusMessage&) {},
        [](const std::function<void()>& it) { it(); }, events);
    const auto start = SystemClock().now();
    if (!disk.open() || !log.start(clock.now()))
        throw std::runtime_error("the log can't be opened");
    clock.advance(std::chrono::seconds(2)); // an election timeout, which is not counted
    log.onTick(clock.now());
    const auto seconds = secondsSince(start);
    if (!log.isServing() || machine.size() != records)
        throw std::runtime_error(fmt::format("{} of {} records were recovered", machine.size(), records));
    return seconds;
}

void benchRecovery(Report& report, const std::string& folder)
{
    constexpr uint64_t records = 100'000;
    writeLog(folder + "/log", records, records);
    report.atMost("recovery_of_100000_records", recoveryTime(folder + "/log", records), "s", 2);
    writeLog(folder + "/snapshot", 3 * records, 20'000);
    report.atMost("recovery_of_300000_from_snapshot_and_tail", recoveryTime(folder + "/snapshot", 3 * records), "s", 2);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("Benchmarks of the replicated log");
    uint64_t records = 30'000;
    int rounds = 5;
    std::string parent = std::filesystem::temp_directory_path();
    app.add_option("--records", records, "begun records through three replicas");
    app.add_option("--rounds", rounds, "losses of the leader");
    app.add_option("--folder", parent, "where the data folders are made");
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
    return report.allHeld() ? EXIT_SUCCESS : EXIT_FAILURE;
}
