// Tests the forwarding of calls to the leader: time limits, and what is said of a call that gets no answer.
#include "node/leader_relay.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>
#include <vector>

using namespace teasel;

namespace {

constexpr Instant begin { std::chrono::seconds(100) };

// A relay whose leader "a" answers nothing by itself.
class RelayHost {
public:
    RelayHost()
        : relay(
            options(),
            [this](std::string_view, const schema::Envelope& envelope) {
                if (envelope.has_routed_call())
                    forwarded.push_back(envelope.routed_call());
            },
            [](const std::string&, uint64_t) {})
    {
    }

    void see(uint64_t term, Instant now)
    {
        schema::CoreView view;
        view.set_is_leader(true);
        view.set_term(term);
        view.set_sent_at_ms(7'000 + term);
        relay.onView("a", view, now);
    }

    void call(uint64_t timeLeftMs, Instant now)
    {
        schema::RoutedCall it;
        it.set_method("POST");
        it.set_path("/weigh/1");
        it.set_time_left_ms(timeLeftMs);
        relay.call(
            std::move(it), [this](schema::RoutedAnswer answer) { answers.push_back(std::move(answer)); }, now);
    }

private:
    static LeaderRelayOptions options()
    {
        LeaderRelayOptions out;
        out.self = "f";
        out.seeds = { "a" };
        return out;
    }

public:
    LeaderRelay relay;
    std::vector<schema::RoutedCall> forwarded;
    std::vector<schema::RoutedAnswer> answers;
};

} // namespace

// Guards against calls that a stopping front has read and forwarded and that are still open when its process ends.
TEST_CASE("a relay answers all calls by the time that a stop sets, as unknown if they were forwarded")
{
    RelayHost host;
    host.see(1, begin);
    host.call(3'000, begin);
    host.relay.answerAllBy(begin + Milliseconds(500));
    host.see(1, begin + Milliseconds(400));
    host.call(3'000, begin + Milliseconds(400));
    host.relay.onTick(begin + Milliseconds(499));
    CHECK(host.answers.empty());
    host.relay.onTick(begin + Milliseconds(500));
    REQUIRE(host.answers.size() == 2);
    CHECK(std::all_of(host.answers.begin(), host.answers.end(), [](const auto& it) { return it.status() == 504; }));
    CHECK(host.relay.pendingCalls() == 0);
}

TEST_CASE("a call that was never forwarded when a stop ends the wait is said not to have run")
{
    RelayHost host;
    host.call(3'000, begin);
    host.relay.answerAllBy(begin + Milliseconds(500));
    host.relay.onTick(begin + Milliseconds(500));
    REQUIRE(host.answers.size() == 1);
    CHECK(host.answers[0].status() == 503);
    CHECK(host.forwarded.empty());
}

// Guards against a submission that a frozen front forwards when it wakes: its client may have left and cancelled it.
TEST_CASE("a call whose time limit has passed is not forwarded when a leader is found")
{
    RelayHost host;
    host.call(1'000, begin);
    host.see(1, begin + Milliseconds(3'500)); // after a suspension, before the next tick
    CHECK(host.forwarded.empty());
    host.relay.onTick(begin + Milliseconds(3'500));
    REQUIRE(host.answers.size() == 1);
    CHECK(host.answers[0].status() == 503);
}

TEST_CASE("a forwarded call names the time that its caller still has, and the leader's view before it")
{
    RelayHost host;
    host.call(3'000, begin);
    host.see(1, begin + Milliseconds(1'000));
    host.see(2, begin + Milliseconds(2'000));
    REQUIRE(host.forwarded.size() == 2);
    CHECK(host.forwarded[0].time_left_ms() == 1'920); // the answer is due 80 ms before the limit
    CHECK(host.forwarded[0].view_sent_at_ms() == 7'001);
    CHECK(host.forwarded[1].time_left_ms() == 920);
    CHECK(host.forwarded[1].view_sent_at_ms() == 7'002);
}

// Guards against a rejection that a frozen leader sends when it wakes, of a call that the next leader has accepted
// (REFUSED).
TEST_CASE("an answer of an earlier leader does not count once the call was sent to the next one")
{
    RelayHost host;
    host.see(1, begin);
    host.call(3'000, begin);
    host.see(2, begin + Milliseconds(500));
    REQUIRE(host.forwarded.size() == 2);
    schema::RoutedAnswer answer;
    answer.set_number(host.forwarded[0].number());
    for (const uint32_t status : { 401, 404, 429, 503 }) {
        answer.set_status(status);
        answer.set_term(1);
        host.relay.onAnswer(answer, begin + Milliseconds(600));
    }
    CHECK(host.answers.empty());
    answer.set_status(200);
    answer.set_term(2);
    host.relay.onAnswer(answer, begin + Milliseconds(700));
    REQUIRE(host.answers.size() == 1);
    CHECK(host.answers[0].status() == 200);
}

TEST_CASE("an answer that names no term counts")
{
    RelayHost host;
    host.see(1, begin);
    host.call(3'000, begin);
    schema::RoutedAnswer answer;
    answer.set_number(host.forwarded[0].number());
    answer.set_status(429);
    host.relay.onAnswer(answer, begin + Milliseconds(100));
    REQUIRE(host.answers.size() == 1);
    CHECK(host.answers[0].status() == 429);
}
