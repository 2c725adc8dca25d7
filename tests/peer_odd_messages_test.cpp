// Odd messages between the system's own processes.
#include "core/boot_clock.h"
#include "core/utf8.h"
#include "jobs/order_messages.h"
#include "net/peer_network.h"
#include "net/peer_session.h"
#include "node/batch_parts.h"
#include "node/leader_relay.h"

#include <doctest/doctest.h>

#include <future>
#include <string>
#include <utility>

using namespace teasel;

namespace {

constexpr const char* receiverAddress = "127.0.0.1:18994";
constexpr const char* senderAddress = "127.0.0.1:18995";
constexpr std::chrono::seconds patience { 20 };

PeerNetworkOptions options(const char* address)
{
    PeerNetworkOptions out;
    out.id = out.listenAddress = address;
    out.idsAreAddresses = true;
    return out;
}

schema::Envelope call(uint64_t number, const std::string& path)
{
    schema::Envelope out;
    out.mutable_routed_call()->set_number(number);
    out.mutable_routed_call()->set_path(path);
    return out;
}

// Sends a message, this one and another one; returns whether the last arrives, and over how many connections.
std::pair<bool, uint64_t> sendAround(schema::Envelope odd)
{
    const BootClock clock;
    std::promise<void> last;
    PeerNetwork receiver(options(receiverAddress), {}, clock, [&](const schema::Envelope& it) {
        if (it.routed_call().number() == 3)
            last.set_value();
    });
    PeerNetwork sender(options(senderAddress), {}, clock, [](const schema::Envelope&) {});
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return receiver.start(); })));
    sender.send(receiverAddress, call(1, "/a"));
    sender.send(receiverAddress, std::move(odd));
    sender.send(receiverAddress, call(3, "/a"));
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return sender.start(); })));
    const bool hasArrived = last.get_future().wait_for(patience) == std::future_status::ready;
    const auto connections = sender.stats().connectionsEstablished;
    sender.stop();
    receiver.stop();
    return { hasArrived, connections };
}

} // namespace

TEST_CASE("a message whose text is not UTF-8 does not end the connection")
{
    const auto [hasArrived, connections] = sendAround(call(2, "/instances/\xff/heartbeat"));
    CHECK(hasArrived);
    CHECK(connections == 1);
}

TEST_CASE("a message that is larger than a peer accepts is not sent")
{
    const auto [hasArrived, connections] = sendAround(call(2, std::string(maxEnvelopeBytes + 1, 'a')));
    CHECK(hasArrived);
    CHECK(connections == 1);
}

TEST_CASE("a call whose text is not UTF-8 is answered at once and not forwarded")
{
    size_t sent = 0;
    LeaderRelayOptions options;
    options.self = "front";
    LeaderRelay relay(
        options, [&](std::string_view, const schema::Envelope& it) { sent += it.has_routed_call() ? 1 : 0; },
        [](const std::string&, uint64_t) {});
    const Instant now { Milliseconds(1'000) };
    schema::CoreView view;
    view.set_is_leader(true);
    view.set_term(1);
    relay.onView("core", view, now);
    using Set = void (*)(schema::RoutedCall&, const std::string&);
    const Set fields[] { [](schema::RoutedCall& it, const std::string& text) { it.set_method(text); },
        [](schema::RoutedCall& it, const std::string& text) { it.set_host(text); },
        [](schema::RoutedCall& it, const std::string& text) { it.set_path(text); },
        [](schema::RoutedCall& it, const std::string& text) { it.set_key(text); },
        [](schema::RoutedCall& it, const std::string& text) { it.set_body(text); } };
    for (const auto& set : fields) {
        schema::RoutedCall odd;
        set(odd, "a\xff");
        uint32_t status = 0;
        relay.call(
            std::move(odd), [&](const schema::RoutedAnswer& it) { status = it.status(); }, now);
        CHECK(status == 400);
        CHECK(sent == 0);
    }
    schema::RoutedCall good;
    good.set_path("/blend/\xc3\xa9");
    relay.call(
        std::move(good), [](const schema::RoutedAnswer&) {}, now);
    CHECK(sent == 1);
}

TEST_CASE("UTF-8 is told from other bytes as the messages' parser tells it")
{
    for (const char* text : { "", "a", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf",
             "\xed\x9f\xbf", "\xff", "\x80", "\xc3", "\xc0\x80", "\xc1\xbf", "\xe0\x9f\xbf", "\xed\xa0\x80",
             "\xf0\x8f\xbf\xbf", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xe2\x82", "a\xc3z" }) {
        schema::RoutedCall it;
        it.set_path(text);
        CHECK_MESSAGE(isUtf8(text) == schema::RoutedCall().ParsePartialFromString(it.SerializePartialAsString()), text);
    }
}

TEST_CASE("a relayed order without a body or with times out of range is no order")
{
    const SendOrder order { 1, "10.0.0.1:80", "x1", 1, Milliseconds(400), StopRun { { { 7, 0, 0 }, 0 }, 1 } };
    CHECK(isValid(toMessage(order)));
    auto unknown = toMessage(order);
    unknown.clear_stop();
    CHECK(!isValid(unknown));
    for (const uint64_t odd : { uint64_t(1) << 63, UINT64_MAX }) {
        auto timeout = toMessage(order);
        timeout.set_timeout_ms(odd);
        CHECK(!isValid(timeout));
        auto wait = toMessage(order);
        wait.mutable_hold()->set_wait_ms(odd);
        CHECK(!isValid(wait));
        auto lease = toMessage(order);
        lease.mutable_hold()->set_lease_until_ms(odd);
        CHECK(!isValid(lease));
        auto start = toMessage(order);
        start.mutable_start()->set_lease_until_ms(odd);
        CHECK(!isValid(start));
    }
}

TEST_CASE("relayed lists hold only what executors report")
{
    const TaskKey task { { 7, 0, 0 }, 0 };
    const OrderResult good { OrderOutcome::Done, 5, 9, { { task, 1, {}, 50, -1 } },
        { { 1, task, 1, schema::RUN_OUTCOME_DONE, {} }, { 2, task, 1, schema::RUN_OUTCOME_ALONE, {} } }, true };
    CHECK(fromMessage(toMessage(1, good)).ended[1].outcome == schema::RUN_OUTCOME_ALONE);
    CHECK(fromMessage(toMessage(1, good)).isEndListComplete);
    for (const int odd : { 0, 7, 8, 9, 1'000'000, -1 }) {
        auto message = toMessage(1, good);
        message.mutable_ended(1)->set_outcome(static_cast<schema::RunOutcome>(odd));
        CHECK(fromMessage(message).ended[1].outcome == schema::RUN_OUTCOME_STOPPED);
    }
    for (const uint64_t odd : { uint64_t(0), uint64_t(1), uint64_t(1) << 63, UINT64_MAX }) {
        auto message = toMessage(1, good);
        message.mutable_ended(1)->set_end_number(odd);
        CHECK(fromMessage(message).ended.size() == 1);
        CHECK(!fromMessage(message).isEndListComplete);
    }
    auto clock = toMessage(1, good);
    clock.set_clock_ms(UINT64_MAX);
    CHECK(fromMessage(clock).clockMs == 0);
    auto born = toMessage(1, good);
    born.set_born_ms(UINT64_MAX);
    CHECK(fromMessage(born).outcome == OrderOutcome::UnknownOutcome);
    auto outcome = toMessage(1, good);
    outcome.set_end(UINT32_MAX);
    CHECK(fromMessage(outcome).outcome == OrderOutcome::UnknownOutcome);
}

TEST_CASE("long lists of several executors are relayed in messages that a peer accepts")
{
    schema::ResultBatch batch;
    batch.set_term(4);
    for (uint64_t n = 1; n <= 40; ++n) {
        auto& result = *batch.add_results();
        result.set_number(n);
        result.add_running()->set_checkpoint(std::string(n == 7 ? 3 << 20 : 300'000, 'c'));
    }
    CHECK(batch.ByteSizeLong() > maxEnvelopeBytes);
    uint64_t last = 0;
    for (const auto& part : partsOf(batch)) {
        CHECK(part.term() == 4);
        CHECK(part.ByteSizeLong() < maxEnvelopeBytes);
        CHECK(part.results_size() > 0);
        for (const auto& it : part.results())
            CHECK(it.number() == ++last);
    }
    CHECK(last == 40);
}
