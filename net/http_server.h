// HTTP towards callers, endpoints and operators, on libmicrohttpd. Every
// request is taken whole, handed on, and answered later from any thread.
#pragma once

#include "core/result.h"

#include <absl/container/flat_hash_map.h>

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
    uint64_t handle = 0; // names the caller's connection until it is answered
    std::string method;
    std::string path;
    HttpHeaders headers; // names in lower case
    HttpHeaders query;
    std::string body;

    // The value of a header by its lower-case name; empty if it is not there.
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
    size_t maxHeaderBytes = 32 << 10;
    unsigned idleSeconds = 15; // a connection that sends nothing for this long is closed
};

class HttpServer {
public:
    using Handler = std::function<void(HttpRequest)>; // on an HTTP thread; must not block
    using CallerGone = std::function<void(uint64_t)>; // the caller of a handle closed its connection; may be empty

    HttpServer(HttpServerOptions, Handler, CallerGone);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Listens and starts its threads. Fails with BadRequest when the address can't be used.
    Result<void> start();

    // Stops listening; connections that wait for an answer stay.
    void stopListening();
    void stop();

    // Answers a request. A second answer to a handle is dropped. Safe from any thread.
    void answer(uint64_t handle, HttpResponse);

    // Requests handed on and not yet answered.
    size_t waiting() const;

private:
    struct Exchange;

    static MHD_Result onRequest(void* self, MHD_Connection*, const char* url, const char* method, const char* version,
        const char* data, size_t* n, void** state);
    static void onCompleted(void* self, MHD_Connection*, void** state, MHD_RequestTerminationCode);

    MHD_Result begin(MHD_Connection*, const char* url, const char* method, void** state);
    MHD_Result proceed(MHD_Connection*, Exchange&, const char* data, size_t* n);
    MHD_Result reply(MHD_Connection*, const HttpResponse&) const;
    MHD_Result replyTooLarge(MHD_Connection*) const;
    void watchCallers();

    HttpServerOptions m_options;
    Handler m_handler;
    CallerGone m_callerGone;
    MHD_Daemon* m_daemon = nullptr;
    std::atomic<uint64_t> m_nextHandle = 1;

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeWatcher;
    absl::flat_hash_map<uint64_t, Exchange*> m_suspended; // guarded by m_mutex
    bool m_stopping = false; // guarded by m_mutex
    std::thread m_watcher;
};

} // namespace teasel
