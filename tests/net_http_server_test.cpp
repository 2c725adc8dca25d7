// Tests the HTTP server's stop on loopback. No durations are checked.
#include "net/http_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace teasel;

namespace {

constexpr std::string_view request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";

// A caller's connection, with the request sent at once.
class Caller {
public:
    explicit Caller(uint16_t port, std::string_view text = request)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
            send(text);
    }
    ~Caller() { ::close(m_socket); }
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void send(std::string_view text = request)
    {
        while (!text.empty()) {
            const auto n = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
            if (n <= 0)
                return;
            text.remove_prefix(static_cast<size_t>(n));
        }
    }

    // What arrives within `wait`; empty if nothing does.
    std::string receive(std::chrono::milliseconds wait)
    {
        pollfd it { m_socket, POLLIN, 0 };
        std::string out(4'096, ' ');
        const auto n
            = ::poll(&it, 1, static_cast<int>(wait.count())) > 0 ? ::recv(m_socket, out.data(), out.size(), 0) : 0;
        out.resize(n > 0 ? static_cast<size_t>(n) : 0);
        return out;
    }

private:
    int m_socket;
};

void start(HttpServer& server)
{
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return server.start(); })));
}

} // namespace

TEST_CASE("a request that arrives while the server stops is refused as not run")
{
    constexpr uint16_t port = 18'983;
    constexpr int maxCallers = 40;
    std::atomic<int> passed = 0;
    std::atomic<bool> isBlocked = false;
    std::atomic<bool> mayGoOn = false;
    // The blocked callback holds stop() between its answers to the waiting requests and the end of the server.
    HttpServer server(
        { "127.0.0.1:18983", 1, 128 }, [&](const HttpRequest&) { ++passed; },
        [&](uint64_t) {
            isBlocked = true;
            isBlocked.notify_all();
            mayGoOn.wait(false);
        });
    start(server);
    {
        Caller first(port);
        while (passed == 0)
            std::this_thread::yield();
    }
    isBlocked.wait(false);
    std::thread stopper([&] { server.stop(); });
    std::string answer;
    std::vector<std::unique_ptr<Caller>> callers;
    while (answer.empty() && callers.size() < maxCallers) {
        callers.push_back(std::make_unique<Caller>(port));
        answer = callers.back()->receive(std::chrono::milliseconds(50));
    }
    mayGoOn = true;
    mayGoOn.notify_all();
    stopper.join();
    CHECK(answer.starts_with("HTTP/1.1 503 "));
    CHECK(answer.find("did_not_run") != std::string::npos);
    CHECK(passed == static_cast<int>(callers.size()));
    CHECK(server.pendingRequests() == 0);
}

// Guards against channels that end without an answer to a request that was read: answers were queued in the moment in
// which the server closed its connections. A request that was passed on may run, so it must not get 503.
TEST_CASE("a server that stops sends an answer to each request that it has read")
{
    constexpr uint16_t port = 18'951;
    constexpr int rounds = 20;
    constexpr size_t callersPerRound = 100;
    for (int round = 0; round < rounds; ++round) {
        std::atomic<size_t> passed = 0;
        HttpServer server({ "127.0.0.1:18951", 1, 128 }, [&](const HttpRequest&) { ++passed; }, {});
        start(server);
        std::vector<std::unique_ptr<Caller>> callers;
        while (callers.size() < callersPerRound)
            callers.push_back(std::make_unique<Caller>(port));
        while (passed < callersPerRound)
            std::this_thread::yield();
        server.stop();
        size_t answered = 0;
        for (auto& it : callers) {
            const auto answer = it->receive(std::chrono::milliseconds(100));
            answered += answer.starts_with("HTTP/1.1 504 ") && answer.ends_with("\"may_have_run\"}") ? 1 : 0;
        }
        CHECK(answered == callersPerRound);
    }
}

// Guards against channels that are reset although their callers had connected before the stop.
TEST_CASE("a request on a connection that a stopping server has not accepted yet gets an answer")
{
    constexpr uint16_t port = 18'958;
    constexpr size_t queued = 40;
    std::atomic<bool> isBlocked = false;
    std::atomic<bool> mayGoOn = false;
    HttpServer server({ "127.0.0.1:18958", 1, 128 },
        [&](const HttpRequest&) {
            isBlocked = true;
            isBlocked.notify_all();
            mayGoOn.wait(false);
        },
        {});
    start(server);
    Caller first(port);
    isBlocked.wait(false);
    std::vector<std::unique_ptr<Caller>> callers;
    while (callers.size() < queued)
        callers.push_back(std::make_unique<Caller>(port));
    server.stopListening();
    server.refuseNewRequests();
    mayGoOn = true;
    mayGoOn.notify_all();
    server.stop();
    size_t refused = 0;
    for (auto& it : callers)
        refused += it->receive(std::chrono::seconds(1)).starts_with("HTTP/1.1 503 ") ? 1 : 0;
    CHECK(refused == queued);
}

TEST_CASE("a server that stops answers a request that was sent on an open connection")
{
    constexpr uint16_t port = 18'959;
    constexpr int rounds = 200;
    constexpr size_t callersPerRound = 20;
    size_t answered = 0;
    for (int round = 0; round < rounds; ++round) {
        HttpServer server(
            { "127.0.0.1:18959", 2, 128 }, [&](const HttpRequest& it) { server.answer(it.handle, {}); }, {});
        start(server);
        std::vector<std::unique_ptr<Caller>> callers;
        while (callers.size() < callersPerRound)
            callers.push_back(std::make_unique<Caller>(port));
        for (auto& it : callers)
            REQUIRE(it->receive(std::chrono::seconds(5)).starts_with("HTTP/1.1 200 "));
        for (auto& it : callers)
            it->send();
        server.stop();
        for (auto& it : callers)
            answered += it->receive(std::chrono::seconds(1)).starts_with("HTTP/1.1 ") ? 1 : 0;
    }
    CHECK(answered == rounds * callersPerRound);
}

TEST_CASE("answers end their connections while a server is about to stop")
{
    constexpr uint16_t port = 18'960;
    HttpServer server({ "127.0.0.1:18960", 1, 128 }, [&](const HttpRequest& it) { server.answer(it.handle, {}); }, {});
    start(server);
    Caller it(port);
    CHECK(it.receive(std::chrono::seconds(5)).find("Connection: close") == std::string::npos);
    server.closeAfterAnswers();
    it.send();
    CHECK(it.receive(std::chrono::seconds(5)).find("Connection: close") != std::string::npos);
    CHECK(it.receive(std::chrono::seconds(5)).empty());
}

TEST_CASE("a server that refuses new requests still answers those that it has passed on")
{
    constexpr uint16_t port = 18'952;
    std::atomic<uint64_t> handle = 0;
    HttpServer server({ "127.0.0.1:18952", 1, 128 }, [&](const HttpRequest& it) { handle = it.handle; }, {});
    start(server);
    Caller first(port);
    while (handle == 0)
        std::this_thread::yield();
    const auto firstHandle = handle.load();
    server.refuseNewRequests();
    Caller second(port);
    const auto refusal = second.receive(std::chrono::seconds(5));
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("did_not_run") != std::string::npos);
    CHECK(handle == firstHandle);
    server.answer(firstHandle, {});
    CHECK(first.receive(std::chrono::seconds(5)).starts_with("HTTP/1.1 200 "));
}

TEST_CASE("a server stops while requests arrive that are never answered")
{
    constexpr uint16_t port = 18'984;
    constexpr int rounds = 100;
    constexpr int connectionsPerRound = 8;
    for (int round = 0; round < rounds; ++round) {
        HttpServer server({ "127.0.0.1:18984", 2, 128 }, [](const HttpRequest&) {}, {});
        start(server);
        std::atomic<bool> isOver = false;
        std::atomic<int> sent = 0;
        std::vector<std::thread> threads;
        threads.reserve(2);
        for (int n = 0; n < 2; ++n)
            threads.emplace_back([&] {
                while (!isOver) {
                    std::vector<std::unique_ptr<Caller>> callers;
                    for (int k = 0; k < connectionsPerRound && !isOver; ++k) {
                        callers.push_back(std::make_unique<Caller>(port));
                        ++sent;
                    }
                }
            });
        while (sent < connectionsPerRound)
            std::this_thread::yield();
        server.stop();
        isOver = true;
        for (auto& it : threads)
            it.join();
        CHECK(server.pendingRequests() == 0);
    }
}

// Guards against a channel that ends without an answer to a large body: the caller was still writing it.
TEST_CASE("a body that is too large is answered with 413, however large it is")
{
    constexpr uint16_t port = 18'953;
    HttpServer server({ "127.0.0.1:18953", 1, 128, 1'000 }, [](const HttpRequest&) {}, {});
    start(server);
    for (const size_t bytes : { 1'001, 5'000'000 }) {
        const auto text = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
            + std::string(bytes, 'x');
        Caller caller(port, text);
        CHECK(caller.receive(std::chrono::seconds(5)).starts_with("HTTP/1.1 413 "));
    }
    CHECK(server.pendingRequests() == 0);
}

// Guards against memory that grows with the calls that wait for an answer.
TEST_CASE("bodies beyond the limit of all waiting requests are refused, until others are answered")
{
    constexpr uint16_t port = 18'954;
    std::atomic<uint64_t> handle = 0;
    HttpServer server(
        { "127.0.0.1:18954", 1, 128, 800, 1'000 }, [&](const HttpRequest& it) { handle = it.handle; }, {});
    start(server);
    const auto text = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 700\r\n\r\n" + std::string(700, 'x');
    Caller first(port, text);
    while (handle == 0)
        std::this_thread::yield();
    const auto firstHandle = handle.load();
    Caller second(port, text);
    const auto refusal = second.receive(std::chrono::seconds(5));
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("did_not_run") != std::string::npos);
    server.answer(firstHandle, {});
    CHECK(first.receive(std::chrono::seconds(5)).starts_with("HTTP/1.1 200 "));
    Caller third(port, text);
    while (handle == firstHandle)
        std::this_thread::yield();
    server.answer(handle, {});
    CHECK(third.receive(std::chrono::seconds(5)).starts_with("HTTP/1.1 200 "));
}
