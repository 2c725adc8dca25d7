// Messages to a peer that can't be reached for a while.
#include "core/boot_clock.h"
#include "net/peer_network.h"

#include <doctest/doctest.h>

#include <cerrno>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teasel;

TEST_CASE("messages to a peer that fell silent are not delivered when a partition ends: the connection is reset")
{
    constexpr uint16_t port = 18'955;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    REQUIRE(::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(listener, 8) == 0);
    const BootClock clock;
    PeerNetworkOptions options;
    options.id = options.listenAddress = "127.0.0.1:18956";
    options.idsAreAddresses = true;
    options.inactivityTimeout = Milliseconds(100);
    PeerNetwork network(options, {}, clock, [](const schema::Envelope&) {});
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return network.start(); })));
    schema::Envelope envelope;
    envelope.mutable_order_batch()->set_term(1);
    network.send("127.0.0.1:" + std::to_string(port), std::move(envelope));
    const int connection = ::accept(listener, nullptr, nullptr);
    std::string buf(4'096, ' ');
    ssize_t n = 1;
    while (n > 0) // a peer that never answers
        n = ::recv(connection, buf.data(), buf.size(), 0);
    const int end = n == 0 ? 0 : errno;
    network.stop();
    ::close(connection);
    ::close(listener);
    CHECK(end == ECONNRESET);
}
