// HTTP server for callers, endpoints and operators, based on libmicrohttpd. Each request is read completely, passed to
// a handler, and answered later from any thread. Callers that hold more connections or memory than the server has lose
// the connections whose requests or answers have been on their way for the longest time.
#pragma once

#include "core/result.h"
#include "net/caller_load.h"
#include "net/connection_acceptor.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <microhttpd.h>

namespace teasel {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
    uint64_t handle = 0; // identifies the request until it is answered
    std::string method;
    std::string path;
    HttpHeaders headers; // names in lower case
    HttpHeaders query;
    std::string body;

    // Value of a header by its lower-case name; empty if the header is missing.
    std::string_view header(std::string_view name) const;
    std::string_view queryValue(std::string_view name) const;
};

struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    HttpHeaders headers;
    std::string body;
};

struct HttpServerOptions {
    std::string address; // host:port
    unsigned threads = 4;
    unsigned maxConnections = 4'096;
    size_t maxBodyBytes = 1 << 20;
    // Requests until they are answered, and long answers until they are sent; room for two of the longest bodies at
    // least. For more, connections are closed, or further requests get 503 if all others wait for their answers.
    size_t maxBufferedBytes = 4 << 20;
    size_t maxHeaderBytes = 32 << 10; // also the buffer of each connection
    unsigned idleSeconds = 15; // a connection that sends nothing for this long is closed
};

class HttpServer {
public:
    using Handler = std::function<void(HttpRequest)>; // called on an HTTP thread; must not block

    // Called with the handle of a waiting request whose caller closed the connection. May be empty.
    using CallerDisconnected = std::function<void(uint64_t)>;

    HttpServer(HttpServerOptions, Handler, CallerDisconnected);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Starts listening and the server's threads. Fails with BadRequest if the address can't be used.
    Result<void> start();

    // From now on each answer ends its connection, so that callers send their next requests elsewhere.
    void closeAfterAnswers() { m_closesAfterAnswers = true; }

    // Stops accepting connections; existing connections stay open, also those that were still in the queue.
    void stopListening() { m_acceptor.stop(); }

    // From now on requests are answered at once with 503 and are not passed to the handler.
    void refuseNewRequests();

    // Answers the waiting requests with 504, since they may have run, and new ones with 503. Stops the server once all
    // connections have ended, or after a short time limit.
    void stop();

    // Answers a request. Ignored if the request has already been answered. Thread-safe.
    void answer(uint64_t handle, HttpResponse);

    // Whether the caller of a waiting request has closed its side of the connection. Thread-safe.
    bool hasCallerLeft(uint64_t handle) const;

    // Number of requests passed to the handler and not yet answered.
    size_t pendingRequests() const;

    // Number of connections that were closed since the last call because callers used too much.
    uint64_t takeClosedForRoom() { return m_closedForRoom.exchange(0); }

private:
    struct Exchange;

    static MHD_Result onRequest(void* self, MHD_Connection*, const char* url, const char* method, const char* version,
        const char* data, size_t* n, void** state);
    static void onCompleted(void* self, MHD_Connection*, void** state, MHD_RequestTerminationCode);
    static void onConnection(void* self, MHD_Connection*, void** id, MHD_ConnectionNotificationCode);

    MHD_Result beginRequest(MHD_Connection*, const char* url, const char* method, void** state);
    MHD_Result continueRequest(MHD_Connection*, Exchange&, const char* data, size_t* n);
    void appendToBody(Exchange&, std::string_view);
    void closeForRoom();
    MHD_Result reply(MHD_Connection*, const HttpResponse&) const;
    MHD_Result replyTooLarge(MHD_Connection*) const;
    MHD_Result replyOverloaded(MHD_Connection*) const;
    void watchForDisconnects();
    size_t connectionLimit() const; // with those that are to be closed
    size_t roomForConnections() const;
    void addConnection(int fd, const sockaddr* peer, socklen_t);
    void closeConnections();

    HttpServerOptions m_options;
    Handler m_handler;
    CallerDisconnected m_callerDisconnected;
    MHD_Daemon* m_daemon = nullptr;
    ConnectionAcceptor m_acceptor; // stopped before the daemon
    std::atomic<uint64_t> m_nextHandle = 1;
    std::atomic<uint64_t> m_closedForRoom = 0;
    std::atomic<bool> m_closesAfterAnswers = false;

    mutable std::mutex m_mutex;
    CallerLoad m_load; // guarded by m_mutex
    absl::flat_hash_map<MHD_Connection*, CallerLoad::Id> m_connectionIds; // guarded by m_mutex
    std::condition_variable m_watcherWakeup;
    absl::flat_hash_set<int> m_handedOver; // accepted, but the daemon has not begun with them; guarded by m_mutex
    std::condition_variable m_connectionClosed;
    bool m_refusing = false; // guarded by m_mutex
    absl::flat_hash_map<uint64_t, Exchange*> m_suspended; // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    std::thread m_watcher;
};

} // namespace teasel
