// The bounds of the replicated log in bytes.
#include "consensus_simulation.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

constexpr auto second = std::chrono::seconds(1);
constexpr uint64_t snapshotEveryBytes = 100'000;
constexpr uint64_t retainedBytes = 50'000;
constexpr uint64_t maxUnappliedBytes = 60'000;
constexpr uint64_t smallFiles
    = 5'000; // the hard state, the snapshots, and a segment begun before the first kept record

SimulationOptions boundedInBytes(uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.snapshotEvery = 1'000'000; // not reached
    options.retainedRecords = 1'000'000;
    options.snapshotEveryBytes = snapshotEveryBytes;
    options.retainedBytes = retainedBytes;
    options.maxUnappliedBytes = maxUnappliedBytes;
    return options;
}

// A log as stated in docs/CAPACITY.md: what may come before a snapshot, twice that while one is sent to a replica, what
// is kept before it, what is not applied, and as much again that comes while the snapshot is written.
uint64_t logBound(bool isSendingSnapshot)
{
    return (isSendingSnapshot ? 2 : 1) * snapshotEveryBytes + retainedBytes + 2 * maxUnappliedBytes;
}

void checkBounds(Simulation& simulation, size_t recordBytes, bool isSendingSnapshot)
{
    const auto bound = logBound(isSendingSnapshot) + 2 * (recordBytes + recordOverheadBytes);
    for (size_t i = 0; i < simulation.size(); ++i) {
        if (simulation.isUp(i))
            CHECK(simulation.log(i).replica().log().bytes() <= bound);
        CHECK(simulation.disk(i).size() <= bound + smallFiles);
    }
}

// Proposes commands of this size; returns how many were accepted.
size_t proposeFor(Simulation& simulation, Duration length, size_t recordBytes, bool isSendingSnapshot = false)
{
    constexpr int commandsPerStep = 4;
    size_t accepted = 0;
    for (const auto end = simulation.now() + length; simulation.now() < end;) {
        const auto leader = simulation.servingNode();
        for (int n = 0; n < commandsPerStep && leader < simulation.size(); ++n)
            accepted += simulation.propose(leader, recordBytes) ? 1 : 0;
        simulation.advance();
        checkBounds(simulation, recordBytes, isSendingSnapshot);
    }
    return accepted;
}

} // namespace

// Guards against review/7: a log that is compacted by the number of its records only.
TEST_CASE("the log keeps its bounds in memory and on disk, whatever the size of the records")
{
    for (const size_t recordBytes : { 16U, 1'000U, 20'000U }) {
        CAPTURE(recordBytes);
        Simulation simulation(boundedInBytes(recordBytes));
        REQUIRE(simulation.advanceUntilServing(5 * second));
        const auto accepted = proposeFor(simulation, 30 * second, recordBytes);
        CHECK(accepted * (recordBytes + recordOverheadBytes) > 2 * logBound(false));
        for (size_t i = 0; i < simulation.size(); ++i)
            simulation.kill(i);
        for (size_t i = 0; i < simulation.size(); ++i)
            simulation.start(i);
        REQUIRE(simulation.advanceUntilServing(5 * second));
        CHECK(simulation.appliedOf(simulation.servingNode()) >= simulation.oracle.lastAcknowledged);
        checkBounds(simulation, recordBytes, false);
    }
}

// Guards against a log that grows while one replica lags, is away or has lost its disk.
TEST_CASE("the log keeps its bounds while a replica is away, and the replica catches up")
{
    constexpr size_t recordBytes = 2'000;
    for (const bool losesDisk : { false, true }) {
        CAPTURE(losesDisk);
        Simulation simulation(boundedInBytes(losesDisk ? 2 : 1));
        REQUIRE(simulation.advanceUntilServing(5 * second));
        const auto away = (simulation.servingNode() + 1) % simulation.size();
        simulation.kill(away);
        if (losesDisk)
            simulation.loseDisk(away);
        CHECK(proposeFor(simulation, 20 * second, recordBytes) * recordBytes > 3 * logBound(true));
        simulation.start(away);
        // The transfer of the snapshot takes place under load.
        proposeFor(simulation, 5 * second, recordBytes, true);
        simulation.advanceFor(10 * second);
        CHECK(simulation.appliedOf(away) >= simulation.oracle.lastAcknowledged);
        CHECK(simulation.log(away).counters().snapshotsInstalled > 0);
    }
}

// Guards against a start that copies the whole log into its list of actions.
TEST_CASE("a replica that starts hands out its committed records in portions")
{
    constexpr uint64_t count = 100;
    constexpr size_t recordBytes = 10'000;
    RecoveredLog recovered;
    recovered.isEmpty = false;
    recovered.hardState.set_replica("a");
    recovered.hardState.set_may_vote(true);
    recovered.hardState.set_term(1);
    for (uint64_t index = 1; index <= count; ++index) {
        auto& record = recovered.records.emplace_back();
        record.set_index(index);
        record.set_term(1);
        record.set_command(std::string(recordBytes, 'x'));
    }
    ReplicaOptions options;
    options.id = "a";
    options.bootstrap.add_voters("a");
    options.maxApplyBytes = 50'000;
    Instant now { second };
    Replica replica(options, std::move(recovered), now);
    uint64_t applied = 0;
    for (int n = 0; n < 100 && applied < count; ++n) {
        replica.onTick(now += second);
        for (auto actions = replica.takeActions(); !actions.empty(); actions = replica.takeActions()) {
            uint64_t bytes = 0;
            for (const auto& action : actions) {
                if (const auto* persist = std::get_if<Persist>(&action))
                    replica.onPersisted(persist->sequence, now);
                const auto* apply = std::get_if<Apply>(&action);
                if (apply == nullptr)
                    continue;
                CHECK(apply->record.index() == ++applied);
                bytes += apply->record.ByteSizeLong();
            }
            CHECK(bytes <= options.maxApplyBytes + 2 * recordBytes);
        }
    }
    CHECK(applied >= count);
}

// Guards against review/6: a record that no message can hold stops replication for good.
TEST_CASE("a command that no message can hold is rejected, and the next one is not")
{
    Simulation simulation(SimulationOptions {});
    REQUIRE(simulation.advanceUntilServing(5 * second));
    const auto leader = simulation.servingNode();
    CHECK(!simulation.propose(leader, defaultMaxCommandBytes + 1));
    REQUIRE(simulation.propose(leader, 100));
    simulation.advanceFor(second);
    CHECK(simulation.counters.work["acknowledged"] == 1);
}

TEST_CASE("records that are not acknowledged are sent up to a limit in bytes, and one above it alone")
{
    constexpr size_t recordBytes = 400;
    std::vector<schema::LogRecord> records;
    for (uint64_t index = 1; index <= 20; ++index) {
        auto& record = records.emplace_back();
        record.set_index(index);
        record.set_term(1);
        record.set_command(std::string(index == 10 ? 10 * recordBytes : recordBytes, 'x'));
    }
    ReplicaOptions options;
    options.id = "a";
    options.bootstrap.add_voters("a");
    options.maxBatchBytes = 2 * recordBytes + 100;
    options.maxBytesInFlight = 5 * recordBytes;
    options.bootstrap.add_voters("b");
    const MemoryLog log(options.bootstrap, {}, std::move(records));
    LeaderState state(options, log);
    Instant now { second };
    state.startTerm(2, now);
    // "b" is behind by the whole log and acknowledges each message.
    uint64_t matched = 0;
    uint64_t sequence = 0;
    std::vector<ReplicaAction> actions;
    for (int n = 0; n < 40 && matched < log.lastIndex(); ++n) {
        actions.clear();
        state.collectMessages(0, now += second, actions);
        uint64_t bytesInFlight = 0;
        size_t messages = 0;
        for (const auto& action : actions) {
            const auto& request = std::get<SendMessage>(action).message.append_request();
            sequence = request.sequence();
            uint64_t bytes = 0;
            for (const auto& record : request.records())
                bytes += record.ByteSizeLong();
            CHECK((request.records_size() <= 1 || bytes <= options.maxBatchBytes));
            bytesInFlight += bytes;
            ++messages;
            matched = std::max(matched, request.previous_index() + static_cast<uint64_t>(request.records_size()));
        }
        CHECK((messages <= 1 || bytesInFlight <= options.maxBytesInFlight + options.maxBatchBytes));
        schema::AppendReply reply;
        reply.set_sequence(sequence);
        if (n == 0) {
            matched = 0;
            reply.set_hint_index(0);
        } else {
            reply.set_success(true);
            reply.set_match_index(matched);
        }
        state.onAppendReply("b", reply, now);
    }
    CHECK(matched == log.lastIndex());
}
