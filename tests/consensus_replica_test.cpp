// Tests of single mechanisms of a replica, by simulated scenarios and by single messages.
#include "consensus_simulation.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

constexpr auto second = std::chrono::seconds(1);

SimulationOptions withoutFaults(uint64_t seed = 1)
{
    SimulationOptions options;
    options.seed = seed;
    return options;
}

// The serving node and the two other ones.
struct NodeRoles {
    size_t leader = 0;
    size_t follower = 0;
    size_t other = 0;
};

NodeRoles waitForStableLeader(Simulation& simulation)
{
    REQUIRE(simulation.advanceUntilServing(5 * second));
    simulation.advanceFor(second);
    const auto leader = simulation.servingNode();
    return { leader, (leader + 1) % 3, (leader + 2) % 3 };
}

void proposeMany(Simulation& simulation, size_t node, int count)
{
    for (int i = 0; i < count; ++i) {
        simulation.propose(node);
        simulation.advance();
    }
    simulation.advanceFor(second);
}

void blockLinksBetween(Simulation& simulation, size_t a, size_t b)
{
    simulation.setLinkBlocked(a, b, true);
    simulation.setLinkBlocked(b, a, true);
}

schema::LogRecord makeRecord(uint64_t index, uint64_t term)
{
    schema::LogRecord record;
    record.set_index(index);
    record.set_term(term);
    record.set_command("x");
    return record;
}

// A single replica "a" of three whose writes complete at once. The test sends the messages of its peers.
class ReplicaHost {
public:
    explicit ReplicaHost(RecoveredLog recovered, Instant now = Instant(second))
        : m_now(now)
        , replica(options(), std::move(recovered), now)
    {
        executeActions();
    }

    static RecoveredLog makeLog(uint64_t term, std::vector<schema::LogRecord> records)
    {
        RecoveredLog log;
        log.isEmpty = false;
        log.hardState.set_term(term);
        log.hardState.set_may_vote(true);
        log.hardState.set_replica("a");
        log.records = std::move(records);
        return log;
    }

    void tick(Duration length)
    {
        m_now += length;
        replica.onTick(m_now);
        executeActions();
    }

    void receive(std::string_view from, const schema::ConsensusMessage& message)
    {
        replica.onMessage(from, message, m_now);
        executeActions();
    }

    // Elects the replica by a pre-vote and a vote of "b".
    void elect()
    {
        tick(2 * second);
        schema::ConsensusMessage message;
        message.set_term(replica.term() + 1);
        message.mutable_vote_reply()->set_pre_vote(true);
        message.mutable_vote_reply()->set_granted(true);
        receive("b", message);
        message.mutable_vote_reply()->set_pre_vote(false);
        receive("b", message);
        REQUIRE(replica.isLeader());
    }

    void acknowledge(std::string_view from, uint64_t match, uint64_t catchingUp = 0, uint64_t sequence = 0)
    {
        schema::ConsensusMessage message;
        message.set_term(replica.term());
        auto& reply = *message.mutable_append_reply();
        reply.set_success(true);
        reply.set_match_index(match);
        reply.set_catching_up_incarnation(catchingUp);
        reply.set_sequence(sequence != 0 ? sequence : lastSequence[std::string(from)]);
        receive(from, message);
    }

    void executeActions()
    {
        for (auto actions = replica.takeActions(); !actions.empty(); actions = replica.takeActions())
            for (auto& action : actions) {
                if (const auto* persist = std::get_if<Persist>(&action)) {
                    savedHardState = persist->hardState.value_or(savedHardState);
                    replica.onPersisted(persist->sequence, m_now);
                }
                if (auto* sent = std::get_if<SendMessage>(&action)) {
                    lastSequence[sent->to] = sent->message.append_request().sequence();
                    messages.push_back(std::move(*sent));
                }
            }
    }

private:
    static ReplicaOptions options()
    {
        ReplicaOptions options;
        options.id = "a";
        for (const auto* it : { "a", "b", "c" })
            options.bootstrap.add_voters(it);
        return options;
    }

    Instant m_now;

public:
    Replica replica;
    schema::HardState savedHardState;
    std::map<std::string, uint64_t> lastSequence; // last sequence sent to each replica
    std::vector<SendMessage> messages;
};

} // namespace

TEST_CASE("a replica does not depose the leader when it returns from a partition")
{
    Simulation simulation(withoutFaults());
    const auto roles = waitForStableLeader(simulation);
    const auto term = simulation.log(roles.leader).replica().term();
    simulation.setPartitioned(roles.other, true);
    simulation.advanceFor(5 * second);
    simulation.unblockLinks();
    simulation.advanceFor(5 * second);
    CHECK(simulation.servingNode() == roles.leader);
    CHECK(simulation.log(roles.leader).replica().term() == term);
}

TEST_CASE("a replica without a link to the leader is not elected while others have one")
{
    Simulation simulation(withoutFaults());
    const auto roles = waitForStableLeader(simulation);
    const auto term = simulation.log(roles.leader).replica().term();
    blockLinksBetween(simulation, roles.leader, roles.other);
    simulation.advanceFor(5 * second);
    CHECK(simulation.servingNode() == roles.leader);
    CHECK(simulation.log(roles.leader).replica().term() == term);
}

// The lease relies on followers ignoring vote requests for one election timeout after a contact with the leader. A
// follower that voted right after a restart would elect a second leader during the lease.
TEST_CASE("a restarted replica does not vote while the leader's lease may last")
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Simulation simulation(withoutFaults(seed));
        const auto roles = waitForStableLeader(simulation);
        blockLinksBetween(simulation, roles.leader, roles.other);
        simulation.advanceFor(second + Duration(simulation.random.below(1'000'000)));
        simulation.kill(roles.follower);
        simulation.start(roles.follower);
        blockLinksBetween(simulation, roles.leader, roles.follower);
        CHECK_NOTHROW(simulation.advanceFor(3 * second));
    }
}

TEST_CASE("a leader without a quorum steps down and another serves")
{
    Simulation simulation(withoutFaults());
    const auto roles = waitForStableLeader(simulation);
    simulation.setPartitioned(roles.leader, true);
    simulation.propose(roles.leader);
    simulation.advanceFor(2 * second);
    CHECK(!simulation.log(roles.leader).isLeader());
    CHECK(simulation.log(roles.leader).counters().proposalsWithUnknownOutcome == 1);
    CHECK(simulation.servingNode() != simulation.size());
}

TEST_CASE("a leadership transfer does not wait for an election timeout")
{
    Simulation simulation(withoutFaults());
    const auto roles = waitForStableLeader(simulation);
    proposeMany(simulation, roles.leader, 5);
    simulation.log(roles.leader).transferLeadership(simulation.nowOf(roles.leader));
    CHECK(!simulation.log(roles.leader).holdsLease(simulation.nowOf(roles.leader)));
    CHECK(simulation.advanceUntilServing(std::chrono::milliseconds(200)));
    CHECK(simulation.servingNode() != roles.leader);
}

TEST_CASE("the loss of a second instance right after a repair loses nothing")
{
    Simulation simulation(withoutFaults());
    const auto roles = waitForStableLeader(simulation);
    simulation.setPartitioned(roles.other, true); // the following commands are on two disks only
    proposeMany(simulation, roles.leader, 100);
    simulation.loseDisk(roles.follower);
    simulation.start(roles.follower);
    simulation.kill(roles.leader);
    simulation.unblockLinks();
    simulation.advanceFor(5 * second);
    // The empty disk and the one that lacks the records make no quorum.
    CHECK(simulation.servingNode() == simulation.size());
    CHECK(!simulation.log(roles.follower).replica().mayVote());
    simulation.start(roles.leader);
    REQUIRE(simulation.advanceUntilServing(5 * second));
    simulation.advanceFor(second);
    CHECK(simulation.log(roles.follower).replica().mayVote());
    simulation.kill(roles.leader);
    REQUIRE(simulation.advanceUntilServing(5 * second));
    CHECK(simulation.appliedOf(simulation.servingNode()) >= simulation.oracle.lastAcknowledged);
    CHECK(simulation.oracle.acknowledged.size() == 100);
}

// Guards against a cluster without a leader once every original disk has been replaced: only those knew the voters.
TEST_CASE("replicas whose disks were all replaced in turn know the voters and elect a leader")
{
    for (const size_t replicas : { 3, 4, 5, 7 }) {
        for (const uint64_t snapshotEvery : { 40, 4'000 }) {
            CAPTURE(replicas);
            CAPTURE(snapshotEvery);
            auto options = withoutFaults(replicas);
            options.nodes = options.voters = replicas;
            options.snapshotEvery = snapshotEvery;
            options.replacementsKnowVoters = false;
            Simulation simulation(options);
            for (size_t n = 0; n < 3 * replicas; ++n) {
                REQUIRE(simulation.advanceUntilServing(5 * second));
                proposeMany(simulation, simulation.servingNode(), 30);
                simulation.loseDisk(n % replicas);
                simulation.start(n % replicas);
                simulation.advanceFor(3 * second);
                REQUIRE(simulation.mayVoteOnDisk(n % replicas));
            }
            for (size_t i = 0; i < replicas; ++i) {
                simulation.kill(i);
                simulation.start(i);
                CHECK(simulation.log(i).replica().voters().voters_size() == static_cast<int>(replicas));
            }
            REQUIRE(simulation.advanceUntilServing(5 * second));
            CHECK(simulation.appliedOf(simulation.servingNode()) >= simulation.oracle.lastAcknowledged);
        }
    }
}

// Guards against a replacement without the voters after an upgrade: the log then starts with a snapshot of a replica
// that knew no voters.
TEST_CASE("a leader whose log holds no record of the voters appends one in each term")
{
    auto log = ReplicaHost::makeLog(2, { makeRecord(1, 1), makeRecord(2, 2) });
    ReplicaHost host(log);
    host.elect();
    REQUIRE(host.replica.log().lastIndex() == 4);
    CHECK(host.replica.log().at(3).voters().voters_size() == 3);
    CHECK(host.replica.log().at(4).barrier());
    log.records.push_back(host.replica.log().at(3));
    ReplicaHost restarted(log);
    restarted.elect();
    CHECK(restarted.replica.log().lastIndex() == 4); // only the barrier
}

TEST_CASE("an empty disk not declared as a replacement does not vote once records are committed")
{
    Simulation simulation(withoutFaults());
    const auto roles = waitForStableLeader(simulation);
    proposeMany(simulation, roles.leader, 5);
    simulation.kill(roles.follower);
    simulation.disk(roles.follower).files.clear();
    simulation.kill(roles.leader);
    simulation.start(roles.follower);
    simulation.advanceFor(5 * second);
    CHECK(simulation.servingNode() == simulation.size());
    CHECK(!simulation.log(roles.follower).replica().mayVote());
}

TEST_CASE("a replica rejects the data folder of another one")
{
    Simulation simulation(withoutFaults());
    waitForStableLeader(simulation);
    simulation.kill(0);
    simulation.disk(0) = simulation.disk(1);
    CHECK_THROWS_WITH(
        simulation.start(0), "a does not start: the data folder belongs to replica b, not to a; correct the settings");
}

TEST_CASE("a record of an earlier term is committed only by one of the leader's own term")
{
    ReplicaHost host(ReplicaHost::makeLog(2, { makeRecord(1, 1), makeRecord(2, 2) }));
    host.elect();
    host.acknowledge("b", 2);
    CHECK(host.replica.committedIndex() == 0);
    host.acknowledge("b", 3);
    CHECK(host.replica.committedIndex() == 3);
}

TEST_CASE("a disk that catches up counts for nothing, and old answers of the lost disk neither")
{
    ReplicaHost host(ReplicaHost::makeLog(2, { makeRecord(1, 1), makeRecord(2, 2) }));
    host.elect();
    const auto sequenceBeforeLoss = host.lastSequence["b"];
    host.acknowledge("b", 4, 77);
    CHECK(host.replica.committedIndex() == 0);
    host.acknowledge("b", 4, 0, sequenceBeforeLoss);
    CHECK(host.replica.committedIndex() == 0);
    CHECK(host.replica.log().lastIndex() == 5); // the barrier for the readmission of "b"
    host.acknowledge("c", 5);
    CHECK(host.replica.committedIndex() == 5);
}

TEST_CASE("a voter rejects a shorter log, and a second vote in a term, also after a restart")
{
    const auto vote = [](ReplicaHost& host, const char* from, uint64_t lastIndex) {
        schema::ConsensusMessage message;
        message.set_term(5);
        message.mutable_vote_request()->set_last_index(lastIndex);
        message.mutable_vote_request()->set_last_term(2);
        host.messages.clear();
        host.receive(from, message);
        return host.messages.size() == 1 && host.messages[0].message.vote_reply().granted();
    };
    ReplicaHost host(ReplicaHost::makeLog(4, { makeRecord(1, 1), makeRecord(2, 2) }));
    CHECK(!vote(host, "b", 2)); // a leader's lease may rely on a contact before the start
    host.tick(std::chrono::milliseconds(500));
    CHECK(!vote(host, "b", 1));
    CHECK(vote(host, "b", 2));
    CHECK(!vote(host, "c", 2));
    auto log = ReplicaHost::makeLog(5, { makeRecord(1, 1), makeRecord(2, 2) });
    log.hardState = host.savedHardState;
    ReplicaHost restartedHost(std::move(log));
    restartedHost.tick(std::chrono::milliseconds(500));
    CHECK(!vote(restartedHost, "c", 2));
    CHECK(vote(restartedHost, "b", 2));
}

TEST_CASE("a late snapshot does not drop acknowledged records that agree with it")
{
    ReplicaHost host(ReplicaHost::makeLog(2, { makeRecord(1, 1), makeRecord(2, 2), makeRecord(3, 2) }));
    schema::ConsensusMessage message;
    message.set_term(2);
    auto& chunk = *message.mutable_snapshot_chunk();
    chunk.mutable_meta()->set_index(2);
    chunk.mutable_meta()->set_term(2);
    chunk.set_last(true);
    host.receive("b", message);
    CHECK(host.replica.log().lastIndex() == 3);
    CHECK(host.replica.committedIndex() == 2);
}

TEST_CASE("the voters change one at a time")
{
    ReplicaHost host(ReplicaHost::makeLog(1, { makeRecord(1, 1) }));
    host.elect();
    const auto change = [&](VoterChange::Kind kind, const char* id) {
        const auto outcome = valueOrError([&] { return host.replica.changeVoters({ kind, id }, Instant(3 * second)); });
        host.executeActions();
        return std::holds_alternative<uint64_t>(outcome);
    };
    host.acknowledge("b", 2);
    CHECK(!change(VoterChange::Kind::AddLearner, "d")); // the barrier is not committed yet
    host.acknowledge("b", 3);
    CHECK(change(VoterChange::Kind::AddLearner, "d"));
    CHECK(!change(VoterChange::Kind::AddLearner, "e"));
    host.acknowledge("b", 4);
    host.acknowledge("c", 4);
    CHECK(!change(VoterChange::Kind::Promote, "d")); // "d" has not caught up
    host.acknowledge("d", 4);
    CHECK(change(VoterChange::Kind::Promote, "d"));
    CHECK(host.replica.voters().voters_size() == 4);
}

TEST_CASE("a replica campaigns as long as its own removal is not committed")
{
    auto removal = makeRecord(2, 2);
    removal.mutable_voters()->add_voters("b");
    removal.mutable_voters()->add_voters("c");
    ReplicaHost host(ReplicaHost::makeLog(2, { makeRecord(1, 1), removal }));
    host.tick(2 * second);
    CHECK(host.messages.size() == 2);
}

TEST_CASE("a message with a term or an index that can't be true changes nothing")
{
    const auto makeHost = [] { return ReplicaHost(ReplicaHost::makeLog(2, { makeRecord(1, 1), makeRecord(2, 2) })); };
    const auto append = [](uint64_t previous, std::initializer_list<uint64_t> indexes) {
        schema::ConsensusMessage message;
        message.set_term(2);
        message.mutable_append_request()->set_previous_index(previous);
        message.mutable_append_request()->set_previous_term(2);
        for (const auto index : indexes)
            *message.mutable_append_request()->add_records() = makeRecord(index, 2);
        return message;
    };
    for (const auto& odd : { append(2, { 9 }), append(2, { 3, 3 }), append(2, { 4, 3 }), append(2, { UINT64_MAX }),
             append(UINT64_MAX, { 3 }), append(UINT64_MAX, { 0 }) }) {
        auto host = makeHost();
        host.receive("b", odd);
        CHECK(host.replica.log().lastIndex() == 2);
    }
    auto host = makeHost();
    auto term = append(2, {});
    term.set_term(UINT64_MAX);
    host.receive("b", term);
    CHECK(host.replica.term() == 2);
    auto laterTerm = append(2, { 3 });
    laterTerm.mutable_append_request()->mutable_records(0)->set_term(3);
    host.receive("b", laterTerm);
    CHECK(host.replica.log().lastIndex() == 2);
    host.receive("b", append(2, { 3, 4 }));
    CHECK(host.replica.log().lastIndex() == 4);
    schema::ConsensusMessage snapshot;
    snapshot.set_term(2);
    snapshot.mutable_snapshot_chunk()->mutable_meta()->set_index(UINT64_MAX);
    snapshot.mutable_snapshot_chunk()->mutable_meta()->set_term(2);
    snapshot.mutable_snapshot_chunk()->set_last(true);
    host.receive("b", snapshot);
    CHECK(host.replica.log().lastIndex() == 4);
}
