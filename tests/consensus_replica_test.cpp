// Replicas, one mechanism at a time: scenarios over the simulation and single messages.
#include "consensus_simulation.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

constexpr auto second = std::chrono::seconds(1);

SimulationOptions calm(uint64_t seed = 1)
{
    SimulationOptions options;
    options.seed = seed;
    return options;
}

// The serving node and one that does not serve.
struct Places {
    size_t leader = 0;
    size_t follower = 0;
    size_t other = 0;
};

Places settle(Simulation& simulation)
{
    REQUIRE(simulation.awaitServing(5 * second));
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

void cutBetween(Simulation& simulation, size_t a, size_t b)
{
    simulation.setCut(a, b, true);
    simulation.setCut(b, a, true);
}

schema::LogRecord makeRecord(uint64_t index, uint64_t term)
{
    schema::LogRecord record;
    record.set_index(index);
    record.set_term(term);
    record.set_command("x");
    return record;
}

// A single replica whose disk is always done at once.
class Lone {
public:
    explicit Lone(RecoveredLog recovered, Instant now = Instant(second))
        : m_now(now)
        , replica(options(), std::move(recovered), now)
    {
        settle();
    }

    static RecoveredLog logOf(uint64_t term, std::vector<schema::LogRecord> records)
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
        settle();
    }

    void receive(std::string_view from, const schema::ConsensusMessage& message)
    {
        replica.onMessage(from, message, m_now);
        settle();
    }

    // Votes it in: the pre-vote, then the vote of "b".
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

    void settle()
    {
        for (auto actions = replica.takeActions(); !actions.empty(); actions = replica.takeActions())
            for (auto& action : actions) {
                if (const auto* persist = std::get_if<Persist>(&action)) {
                    saved = persist->hardState.value_or(saved);
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
    schema::HardState saved;
    std::map<std::string, uint64_t> lastSequence; // sent to each
    std::vector<SendMessage> messages;
};

} // namespace

TEST_CASE("a replica that was cut off does not depose the leader when it returns")
{
    Simulation simulation(calm());
    const auto at = settle(simulation);
    const auto term = simulation.log(at.leader).replica().term();
    simulation.cutOff(at.other, true);
    simulation.advanceFor(5 * second);
    simulation.healLinks();
    simulation.advanceFor(5 * second);
    CHECK(simulation.servingNode() == at.leader);
    CHECK(simulation.log(at.leader).replica().term() == term);
}

TEST_CASE("a replica that can't hear the leader is not elected while others do")
{
    Simulation simulation(calm());
    const auto at = settle(simulation);
    const auto term = simulation.log(at.leader).replica().term();
    cutBetween(simulation, at.leader, at.other);
    simulation.advanceFor(5 * second);
    CHECK(simulation.servingNode() == at.leader);
    CHECK(simulation.log(at.leader).replica().term() == term);
}

TEST_CASE("a restart forgets no promise that the leader's lease rests on")
{
    for (uint64_t seed = 1; seed <= 50; ++seed) {
        Simulation simulation(calm(seed));
        const auto at = settle(simulation);
        cutBetween(simulation, at.leader, at.other);
        simulation.advanceFor(second + Duration(simulation.random.below(1'000'000)));
        simulation.kill(at.follower);
        simulation.start(at.follower);
        cutBetween(simulation, at.leader, at.follower);
        CHECK_NOTHROW(simulation.advanceFor(3 * second));
    }
}

TEST_CASE("a leader without a quorum steps down and another serves")
{
    Simulation simulation(calm());
    const auto at = settle(simulation);
    simulation.cutOff(at.leader, true);
    simulation.propose(at.leader);
    simulation.advanceFor(2 * second);
    CHECK(!simulation.log(at.leader).isLeader());
    CHECK(simulation.log(at.leader).counters().proposalsDropped == 1);
    CHECK(simulation.servingNode() != simulation.size());
}

TEST_CASE("a handover takes no election timeout")
{
    Simulation simulation(calm());
    const auto at = settle(simulation);
    proposeMany(simulation, at.leader, 5);
    simulation.log(at.leader).stepDown(simulation.nowOf(at.leader));
    CHECK(!simulation.log(at.leader).holdsLease(simulation.nowOf(at.leader)));
    CHECK(simulation.awaitServing(std::chrono::milliseconds(200)));
    CHECK(simulation.servingNode() != at.leader);
}

TEST_CASE("the loss of a second instance right after a repair loses nothing")
{
    Simulation simulation(calm());
    const auto at = settle(simulation);
    simulation.cutOff(at.other, true); // what follows is on two disks only
    proposeMany(simulation, at.leader, 100);
    simulation.loseDisk(at.follower);
    simulation.start(at.follower);
    simulation.kill(at.leader);
    simulation.healLinks();
    simulation.advanceFor(5 * second);
    // The empty disk and the one that lacks the records make no quorum.
    CHECK(simulation.servingNode() == simulation.size());
    CHECK(!simulation.log(at.follower).replica().mayVote());
    simulation.start(at.leader);
    REQUIRE(simulation.awaitServing(5 * second));
    simulation.advanceFor(second);
    CHECK(simulation.log(at.follower).replica().mayVote());
    simulation.kill(at.leader);
    REQUIRE(simulation.awaitServing(5 * second));
    CHECK(simulation.appliedOf(simulation.servingNode()) >= simulation.truth.lastAcknowledged);
    CHECK(simulation.truth.acknowledged.size() == 100);
}

TEST_CASE("an empty disk that is not said to be a replacement does not vote where records are committed")
{
    Simulation simulation(calm());
    const auto at = settle(simulation);
    proposeMany(simulation, at.leader, 5);
    simulation.kill(at.follower);
    simulation.disk(at.follower).files.clear();
    simulation.kill(at.leader);
    simulation.start(at.follower);
    simulation.advanceFor(5 * second);
    CHECK(simulation.servingNode() == simulation.size());
    CHECK(!simulation.log(at.follower).replica().mayVote());
}

TEST_CASE("a replica refuses the data folder of another one")
{
    Simulation simulation(calm());
    settle(simulation);
    simulation.kill(0);
    simulation.disk(0) = simulation.disk(1);
    CHECK_THROWS_WITH(
        simulation.start(0), "a does not start: the data folder belongs to replica b, not to a; correct the settings");
}

TEST_CASE("a record of an earlier term is committed only by one of the leader's own")
{
    Lone lone(Lone::logOf(2, { makeRecord(1, 1), makeRecord(2, 2) }));
    lone.elect();
    lone.acknowledge("b", 2);
    CHECK(lone.replica.committedIndex() == 0);
    lone.acknowledge("b", 3);
    CHECK(lone.replica.committedIndex() == 3);
}

TEST_CASE("a disk that catches up counts for nothing, and old answers of the lost disk neither")
{
    Lone lone(Lone::logOf(2, { makeRecord(1, 1), makeRecord(2, 2) }));
    lone.elect();
    const auto old = lone.lastSequence["b"];
    lone.acknowledge("b", 3, 77);
    CHECK(lone.replica.committedIndex() == 0);
    lone.acknowledge("b", 3, 0, old);
    CHECK(lone.replica.committedIndex() == 0);
    CHECK(lone.replica.log().lastIndex() == 4); // the barrier for its readmission
    lone.acknowledge("c", 4);
    CHECK(lone.replica.committedIndex() == 4);
}

TEST_CASE("a voter refuses a second vote in a term, also after a restart, and a shorter log")
{
    const auto vote = [](Lone& lone, const char* from, uint64_t lastIndex) {
        schema::ConsensusMessage message;
        message.set_term(5);
        message.mutable_vote_request()->set_last_index(lastIndex);
        message.mutable_vote_request()->set_last_term(2);
        lone.messages.clear();
        lone.receive(from, message);
        return lone.messages.size() == 1 && lone.messages[0].message.vote_reply().granted();
    };
    Lone lone(Lone::logOf(4, { makeRecord(1, 1), makeRecord(2, 2) }));
    CHECK(!vote(lone, "b", 2)); // a leader may rely on what it promised before the start
    lone.tick(std::chrono::milliseconds(500));
    CHECK(!vote(lone, "b", 1));
    CHECK(vote(lone, "b", 2));
    CHECK(!vote(lone, "c", 2));
    auto log = Lone::logOf(5, { makeRecord(1, 1), makeRecord(2, 2) });
    log.hardState = lone.saved;
    Lone restarted(std::move(log));
    restarted.tick(std::chrono::milliseconds(500));
    CHECK(!vote(restarted, "c", 2));
    CHECK(vote(restarted, "b", 2));
}

TEST_CASE("a late snapshot does not drop acknowledged records that agree with it")
{
    Lone lone(Lone::logOf(2, { makeRecord(1, 1), makeRecord(2, 2), makeRecord(3, 2) }));
    schema::ConsensusMessage message;
    message.set_term(2);
    auto& chunk = *message.mutable_snapshot_chunk();
    chunk.mutable_meta()->set_index(2);
    chunk.mutable_meta()->set_term(2);
    chunk.set_last(true);
    lone.receive("b", message);
    CHECK(lone.replica.log().lastIndex() == 3);
    CHECK(lone.replica.committedIndex() == 2);
}

TEST_CASE("the voters change one at a time")
{
    Lone lone(Lone::logOf(1, { makeRecord(1, 1) }));
    lone.elect();
    const auto change = [&](VoterChange::Kind kind, const char* id) {
        const auto outcome = valueOrError([&] { return lone.replica.changeVoters({ kind, id }, Instant(3 * second)); });
        lone.settle();
        return std::holds_alternative<uint64_t>(outcome);
    };
    CHECK(!change(VoterChange::Kind::AddLearner, "d")); // the barrier is not committed
    lone.acknowledge("b", 2);
    CHECK(change(VoterChange::Kind::AddLearner, "d"));
    CHECK(!change(VoterChange::Kind::AddLearner, "e"));
    lone.acknowledge("b", 3);
    lone.acknowledge("c", 3);
    CHECK(!change(VoterChange::Kind::Promote, "d")); // it has not caught up
    lone.acknowledge("d", 3);
    CHECK(change(VoterChange::Kind::Promote, "d"));
    CHECK(lone.replica.voters().voters_size() == 4);
}

TEST_CASE("a replica campaigns as long as its own removal is not committed")
{
    auto removal = makeRecord(2, 2);
    removal.mutable_voters()->add_voters("b");
    removal.mutable_voters()->add_voters("c");
    Lone lone(Lone::logOf(2, { makeRecord(1, 1), removal }));
    lone.tick(2 * second);
    CHECK(lone.messages.size() == 2);
}
