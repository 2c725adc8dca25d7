// HTTP calls of the operators' command line.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasel {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpCall {
    std::string method = "GET";
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
    std::chrono::milliseconds timeout { 5'000 }; // from sending to the whole answer
};

struct HttpReply {
    int status = 0;
    std::string body;
    std::vector<HttpHeader> headers;

    // The value of a header, whatever its case; empty if there is none.
    std::string header(std::string_view name) const;
};

// No whole answer came.
struct HttpFailure {
    bool maybeSent = false; // false: no byte of the call left
    std::string message;
};

using HttpOutcome = std::variant<HttpReply, HttpFailure>;

class HttpTransport {
public:
    virtual ~HttpTransport() = default;

    // Makes one call. `server` is a URL without a path, as `http://127.0.0.1:8080`.
    virtual HttpOutcome send(const std::string& server, const HttpCall&) = 0;
};

// Calls by libcurl, one connection each.
class CurlTransport final : public HttpTransport {
public:
    CurlTransport();
    ~CurlTransport() override;
    CurlTransport(const CurlTransport&) = delete;
    CurlTransport& operator=(const CurlTransport&) = delete;

    HttpOutcome send(const std::string& server, const HttpCall&) override;
};

} // namespace teasel
