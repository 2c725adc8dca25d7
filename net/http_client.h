// HTTP client for calls to executors, based on libcurl. The outcome of a call tells whether any byte of the request may
// have reached the executor.
#pragma once

#include "core/clock.h"
#include "net/http_server.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace teasel {

enum class HttpCallResult : uint8_t {
    Answered = 0, // the complete response was received
    ConnectFailed = 1, // no byte of the request was sent, also because its timeout had passed before
    FailedAfterSending = 2, // the connection failed after sending, or the response was malformed
    Truncated = 3, // the response was incomplete, too large, or had no length to check it against
    TimedOut = 4, // the timeout expired after sending
    Aborted = 5, // by abort() or stop()
};

struct HttpCall {
    std::string url;
    HttpHeaders headers;
    std::shared_ptr<const std::string> body;
    Milliseconds timeout { 1'000 }; // after this time since start(), the request is not sent any more
    Milliseconds connectTimeout { 1'000 };
    bool mayRepeat = true; // false: fails after sending where libcurl would send the request over another connection
    bool sendAtMostOnce = false; // uses a connection of its own, so that libcurl never sends the request twice
};

struct HttpOutcome {
    HttpCallResult result = HttpCallResult::FailedAfterSending;
    unsigned status = 0;
    std::string contentType;
    std::string attempt; // the Teasel-Attempt header of the response
    std::string body;
    Duration duration { 0 };
    std::string error; // of the connection, in libcurl's words; empty if there was none
};

struct HttpClientOptions {
    unsigned threads = 2;
    unsigned connectionsPerHost = 0; // maximum open connections per host and thread; further calls wait. 0: no limit
    size_t maxAnswerBytes = 16 << 20;
    // Closes connections by a reset, so that a call which timed out is not delivered after a partition.
    bool resetsConnections = false;
};

class HttpClient {
public:
    using Callback = std::function<void(HttpOutcome)>; // called on a client thread; must not block

    explicit HttpClient(HttpClientOptions); // with the operating system's clock
    HttpClient(HttpClientOptions, const Clock&); // the clock must outlive the client
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Starts a call and returns its id. The callback is called exactly once. Thread-safe.
    uint64_t start(HttpCall, Callback);

    // Aborts a call: its outcome becomes Aborted unless it has already ended. Thread-safe.
    void abort(uint64_t id);

    // Aborts all calls and joins the threads.
    void stop();

private:
    class Worker;

    HttpClientOptions m_options;
    const Clock& m_clock;
    std::atomic<uint64_t> m_nextId = 1;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace teasel
