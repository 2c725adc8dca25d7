#include "membership/voter_planner.h"
#include "node/leader_relay.h"

#include <doctest/doctest.h>

using namespace teasel;
using Kind = VoterChange::Kind;

namespace {

schema::VoterSet setOf(std::initializer_list<const char*> voters, std::initializer_list<const char*> learners = {})
{
    schema::VoterSet out;
    for (const auto* it : voters)
        out.add_voters(it);
    for (const auto* it : learners)
        out.add_learners(it);
    return out;
}

struct RelayFixture {
    ManualClock clock;
    std::vector<std::pair<std::string, schema::Envelope>> sent;
    std::vector<schema::RoutedAnswer> answers;
    explicit RelayFixture(uint64_t firstNumber = 0)
        : relay(
            options(firstNumber),
            [this](std::string_view to, schema::Envelope it) { sent.emplace_back(std::string(to), std::move(it)); },
            [](const std::string&, uint64_t) {})
    {
    }
    LeaderRelay relay;

    static LeaderRelayOptions options(uint64_t firstNumber)
    {
        LeaderRelayOptions out;
        out.firstNumber = firstNumber;
        out.self = "front";
        out.seeds = { "a", "b" };
        return out;
    }
    void call(uint64_t timeLeft = 3'000)
    {
        schema::RoutedCall it;
        it.set_time_left_ms(timeLeft);
        relay.call(
            std::move(it), [this](schema::RoutedAnswer answer) { answers.push_back(std::move(answer)); }, clock.now());
    }
    void setLeader(const std::string& who, uint64_t term)
    {
        schema::CoreView view;
        view.set_is_leader(true);
        view.set_term(term);
        relay.onView(who, view, clock.now());
    }
    void pass(Milliseconds time)
    {
        for (Milliseconds n { 0 }; n < time; n += Milliseconds(50)) {
            clock.advance(Milliseconds(50));
            relay.onTick(clock.now());
        }
    }
    size_t calls(std::string_view to) const
    {
        size_t n = 0;
        for (const auto& [who, it] : sent)
            n += who == to && it.has_routed_call() ? 1 : 0;
        return n;
    }
};

} // namespace

TEST_CASE("a registered instance becomes a learner, and a voter if one is missing")
{
    ManualClock clock;
    VoterPlanner planner({});
    planner.onBecameLeader({}, clock.now());
    for (const char* it : { "a", "b", "c", "d" })
        planner.onRegistration(it, clock.now());
    auto change = planner.nextChange(setOf({ "a", "b", "c" }), "a", clock.now());
    REQUIRE(change);
    CHECK(change->kind == Kind::AddLearner);
    CHECK(change->replica == "d");
    CHECK(!planner.nextChange(setOf({ "a", "b", "c" }, { "d" }), "a", clock.now()));
    VoterPlanner small({});
    small.onBecameLeader({}, clock.now());
    small.onRegistration("d", clock.now());
    change = small.nextChange(setOf({ "a", "b" }, { "d" }), "a", clock.now());
    REQUIRE(change);
    CHECK(change->kind == Kind::Promote);
}

TEST_CASE("a silent voter is replaced by a learner before it is removed")
{
    ManualClock clock;
    VoterPlanner planner({});
    planner.onBecameLeader({}, clock.now());
    clock.advance(std::chrono::seconds(6));
    for (const char* it : { "a", "b", "d" })
        planner.onRegistration(it, clock.now());
    auto change = planner.nextChange(setOf({ "a", "b", "c" }, { "d" }), "a", clock.now());
    REQUIRE(change);
    CHECK(change->kind == Kind::Promote);
    CHECK(change->replica == "d");
    change = planner.nextChange(setOf({ "a", "b", "c", "d" }), "a", clock.now());
    REQUIRE(change);
    CHECK(change->kind == Kind::Remove);
    CHECK(change->replica == "c");
    CHECK(!planner.nextChange(setOf({ "a", "b", "d" }), "a", clock.now()));
}

TEST_CASE("a silent voter without a learner to replace it stays")
{
    ManualClock clock;
    VoterPlanner planner({});
    planner.onBecameLeader({}, clock.now());
    clock.advance(std::chrono::seconds(30));
    planner.onRegistration("a", clock.now());
    planner.onRegistration("b", clock.now());
    CHECK(!planner.nextChange(setOf({ "a", "b", "c" }), "a", clock.now()));
}

TEST_CASE("a call that was never forwarded fails as without effect, a forwarded one with an unknown outcome")
{
    RelayFixture it;
    it.call();
    it.pass(Milliseconds(1'700));
    REQUIRE(it.answers.size() == 1);
    CHECK(it.answers[0].status() == 503);
    it.setLeader("a", 4);
    it.call();
    CHECK(it.calls("a") == 1);
    it.pass(Milliseconds(3'000));
    REQUIRE(it.answers.size() == 2);
    CHECK(it.answers[1].status() == 504);
}

TEST_CASE("open calls are resent to a new leader with its term")
{
    RelayFixture it;
    it.setLeader("a", 4);
    it.call();
    it.setLeader("b", 5);
    REQUIRE(it.calls("b") == 1);
    CHECK(it.sent.back().second.routed_call().term() == 5);
    // A view from an earlier term is stale.
    it.setLeader("a", 4);
    CHECK(it.relay.leader() == "b");
    schema::RoutedAnswer answer;
    answer.set_number(it.sent.back().second.routed_call().number());
    answer.set_status(200);
    it.relay.onAnswer(answer, it.clock.now());
    it.relay.onAnswer(answer, it.clock.now());
    CHECK(it.answers.size() == 1);
}

TEST_CASE("a silent leader is searched for among all known instances")
{
    RelayFixture it;
    it.setLeader("a", 4);
    it.sent.clear();
    it.pass(Milliseconds(2'000));
    CHECK(!it.relay.hasLeader(it.clock.now()));
    const auto polled = std::any_of(it.sent.begin(), it.sent.end(),
        [](const auto& message) { return message.first == "b" && message.second.has_core_hello(); });
    CHECK(polled);
}

TEST_CASE("an answer to a call of an earlier process at the same address is ignored")
{
    RelayFixture earlier(1'000);
    RelayFixture it(2'000);
    for (auto* relay : { &earlier, &it }) {
        relay->setLeader("a", 4);
        relay->call();
        REQUIRE(relay->calls("a") == 1);
    }
    schema::RoutedAnswer answer;
    answer.set_number(earlier.sent.back().second.routed_call().number());
    answer.set_status(200);
    it.relay.onAnswer(answer, it.clock.now());
    CHECK(it.answers.empty());
    answer.set_number(it.sent.back().second.routed_call().number());
    it.relay.onAnswer(answer, it.clock.now());
    CHECK(it.answers.size() == 1);
}
