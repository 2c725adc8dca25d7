// Tests the HTTP client against the project's HTTP server on loopback. No durations are checked.
#include "net/http_client.h"
#include "net/http_server.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <future>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teasel;

namespace {

HttpOutcome callOnce(HttpClient& client, const std::string& url)
{
    std::promise<HttpOutcome> done;
    HttpCall call;
    call.url = url;
    call.body = std::make_shared<const std::string>("{}");
    call.timeout = Milliseconds(400);
    client.start(std::move(call), [&](HttpOutcome outcome) { done.set_value(std::move(outcome)); });
    return done.get_future().get();
}

} // namespace

TEST_CASE("a call that times out on a reused connection is reported as sent")
{
    std::atomic<int> received = 0;
    HttpServer* self = nullptr;
    HttpServer server({ "127.0.0.1:18977", 1, 8 },
        [&](const HttpRequest& request) {
            if (++received == 1)
                self->answer(request.handle, { 200, "application/json", {}, "{}" });
        },
        {});
    self = &server;
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return server.start(); })));
    HttpClient client({ 1, 2, 1 << 20 });
    const std::string url = "http://127.0.0.1:18977/";
    CHECK(callOnce(client, url).result == HttpCallResult::Answered);
    const auto second = callOnce(client, url);
    CHECK(received == 2);
    CHECK(second.result == HttpCallResult::TimedOut);
    client.stop();
    server.stop();
}

TEST_CASE("a call that was received before its connection broke is reported as sent, though no new connection is made")
{
    constexpr uint16_t port = 18'980;
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    const int on = 1;
    REQUIRE(::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(::listen(listener, 8) == 0);
    std::atomic<int> received = 0;
    std::thread server([&] {
        const int connection = ::accept(listener, nullptr, nullptr);
        std::string buf(4'096, ' ');
        const auto readRequest = [&] {
            std::string request;
            while (!request.ends_with("{}")) {
                const auto n = ::recv(connection, buf.data(), buf.size(), 0);
                if (n <= 0)
                    return;
                request.append(buf.data(), static_cast<size_t>(n));
            }
            ++received;
        };
        readRequest();
        constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        ::send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        readRequest();
        ::close(listener);
        const linger resetOnClose { 1, 0 };
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof(resetOnClose));
        ::close(connection);
    });
    HttpClient client({ 1, 2, 1 << 20 });
    const auto url = fmt::format("http://127.0.0.1:{}/", port);
    CHECK(callOnce(client, url).result == HttpCallResult::Answered);
    const auto second = callOnce(client, url);
    server.join();
    CHECK(received == 2);
    CHECK(second.result == HttpCallResult::FailedAfterSending);
    client.stop();
}

TEST_CASE("a call to a port without a listener is reported as not sent")
{
    HttpClient client({ 1, 2, 1 << 20 });
    CHECK(callOnce(client, "http://127.0.0.1:18978/").result == HttpCallResult::ConnectFailed);
    client.stop();
}

TEST_CASE("connections to a host stay within the limit, and further calls wait for one")
{
    constexpr int calls = 6;
    constexpr unsigned maxConnections = 2;
    std::atomic<int> open = 0;
    std::atomic<int> maxOpen = 0;
    HttpServer* self = nullptr;
    std::vector<std::thread> answering;
    HttpServer server({ "127.0.0.1:18979", 1, 32 },
        [&](const HttpRequest& request) {
            maxOpen = std::max(maxOpen.load(), ++open);
            answering.emplace_back([&, handle = request.handle] {
                // Gives further connections time to arrive, in case the limit is not enforced.
                std::this_thread::sleep_for(Milliseconds(20));
                --open;
                self->answer(handle, { 200, "application/json", {}, "{}" });
            });
        },
        {});
    self = &server;
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return server.start(); })));
    HttpClient client({ 1, maxConnections, 1 << 20 });
    std::vector<std::promise<HttpOutcome>> done(calls);
    for (auto& it : done) {
        HttpCall call;
        call.url = "http://127.0.0.1:18979/";
        call.body = std::make_shared<const std::string>("{}");
        call.timeout = Milliseconds(20'000);
        client.start(std::move(call), [&it](HttpOutcome outcome) { it.set_value(std::move(outcome)); });
    }
    for (auto& it : done)
        CHECK(it.get_future().get().result == HttpCallResult::Answered);
    CHECK(maxOpen <= static_cast<int>(maxConnections));
    client.stop();
    server.stop();
    for (auto& it : answering)
        it.join();
}
