// HTTP to executors, on libcurl. A call's outcome says whether any byte of it
// can have reached the other side.
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

enum class CallEnd : uint8_t {
    Answered = 0, // the whole answer is here
    ConnectFailed = 1, // no byte was sent
    FailedAfterSending = 2, // the connection broke, or the answer made no sense
    CutShort = 3, // the answer ended early, or its end could not be told
    Overdue = 4, // the time allowed ran out after sending
    Aborted = 5,
};

struct HttpCall {
    std::string url;
    HttpHeaders headers;
    std::shared_ptr<const std::string> body;
    Milliseconds timeout { 1'000 };
    Milliseconds connectTimeout { 1'000 };
    bool neverTwice = false; // a connection of its own, so that nothing below sends it again
};

struct HttpOutcome {
    CallEnd end = CallEnd::FailedAfterSending;
    unsigned status = 0;
    std::string contentType;
    std::string attempt; // the header Teasel-Attempt of the answer
    std::string body;
    Duration took { 0 };
};

struct HttpClientOptions {
    unsigned threads = 2;
    unsigned connectionsPerHost = 0; // open at once, by each thread; further calls wait for one. 0: no limit
    size_t maxAnswerBytes = 16 << 20;
};

class HttpClient {
public:
    using Done = std::function<void(HttpOutcome)>; // on a client thread; must not block

    explicit HttpClient(HttpClientOptions);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Starts a call; `done` is called exactly once. Returns the call's id. Safe from any thread.
    uint64_t start(HttpCall, Done);

    // Gives a call up; its outcome becomes Aborted unless it has ended. Safe from any thread.
    void abort(uint64_t id);

    void stop();

private:
    class Worker;

    HttpClientOptions m_options;
    std::atomic<uint64_t> m_nextId = 1;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace teasel
