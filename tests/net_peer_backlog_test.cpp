// Messages to a peer to which no connection can be opened.
#include "core/boot_clock.h"
#include "net/peer_network.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

using namespace teasel;

namespace {

PeerNetworkOptions options(const char* address)
{
    PeerNetworkOptions out;
    out.id = out.listenAddress = address;
    out.idsAreAddresses = true;
    out.maxReconnectDelay = Milliseconds(50);
    return out;
}

schema::Envelope batch(uint64_t term)
{
    schema::Envelope out;
    out.mutable_order_batch()->set_term(term);
    return out;
}

} // namespace

TEST_CASE("messages that could not be sent because no connection could be opened are not sent later")
{
    const BootClock clock;
    std::promise<uint64_t> firstTerm;
    bool isSet = false;
    PeerNetwork receiver(options("127.0.0.1:18992"), {}, clock, [&](const schema::Envelope& it) {
        if (!std::exchange(isSet, true))
            firstTerm.set_value(it.order_batch().term());
    });
    PeerNetwork sender(options("127.0.0.1:18993"), {}, clock, [](const schema::Envelope&) {});
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return receiver.start(); })));
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return sender.start(); })));
    rlimit limit {};
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &limit) == 0);
    auto none = limit;
    none.rlim_cur = 3; // no further descriptor can be opened
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &none) == 0);
    sender.send("127.0.0.1:18992", batch(1));
    std::this_thread::sleep_for(Milliseconds(200));
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
    std::this_thread::sleep_for(Milliseconds(200)); // a connection is opened again
    sender.send("127.0.0.1:18992", batch(2));
    CHECK(firstTerm.get_future().get() == 2);
    sender.stop();
    receiver.stop();
}

// Guards against review/6: messages that disappear without a trace.
TEST_CASE("each message that is not sent is reported once, with its reason")
{
    const BootClock clock;
    auto settings = options("127.0.0.1:18996");
    settings.maxQueuedBytes = 4 << 20;
    PeerNetwork sender(settings, {}, clock, [](const schema::Envelope&) {});
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return sender.start(); })));
    const auto sendBytes = [&](size_t bytes) {
        schema::Envelope envelope;
        envelope.mutable_routed_answer()->set_body(std::string(bytes, 'x'));
        sender.send("127.0.0.1:18997", std::move(envelope)); // nothing listens there
    };
    sendBytes(maxEnvelopeBytes);
    sendBytes(5 << 20); // more than the queue takes
    sender.send("", schema::Envelope());
    sendBytes(100); // lost with the connection
    PeerDrops drops;
    for (int n = 0; n < 200 && drops.total() < 4; ++n) {
        std::this_thread::sleep_for(Milliseconds(10));
        const auto more = sender.takeDrops();
        drops.tooLarge += more.tooLarge;
        drops.queueFull += more.queueFull;
        drops.unknownPeer += more.unknownPeer;
        drops.connectionLost += more.connectionLost;
        if (!more.lastPeer.empty())
            drops.lastPeer = more.lastPeer;
        drops.largestBytes = std::max(drops.largestBytes, more.largestBytes);
    }
    CHECK(drops.tooLarge == 1);
    CHECK(drops.queueFull == 1);
    CHECK(drops.unknownPeer == 1);
    CHECK(drops.connectionLost == 1);
    CHECK(drops.lastPeer == "127.0.0.1:18997");
    CHECK(drops.largestBytes > maxEnvelopeBytes);
    CHECK(sender.stats().messagesDropped == 4);
    sender.stop();
}
