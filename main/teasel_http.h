// HTTP client of the operators' command line tool.
#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasel {

struct ApiHeader {
    std::string name;
    std::string value;
};

struct ApiRequest {
    std::string method = "GET";
    std::string path;
    std::vector<ApiHeader> headers;
    std::string body;
    std::chrono::milliseconds timeout { 5'000 }; // from sending until the response is complete
};

struct ApiResponse {
    int status = 0;
    std::string body;
    std::vector<ApiHeader> headers;

    // The value of a header, found by its case-insensitive name; empty if absent.
    std::string header(std::string_view name) const;
};

// No complete response was received.
struct ApiFailure {
    bool maybeSent = false; // false: no byte of the request was sent
    std::string message;
};

using ApiResult = std::variant<ApiResponse, ApiFailure>;

class ApiTransport {
public:
    virtual ~ApiTransport() = default;

    // Sends one request. `server` is a URL without a path, such as `http://127.0.0.1:8080`.
    virtual ApiResult send(const std::string& server, const ApiRequest&) = 0;
};

// Sends requests with libcurl over a new connection each.
class CurlTransport final : public ApiTransport {
public:
    CurlTransport();
    ~CurlTransport() override;
    CurlTransport(const CurlTransport&) = delete;
    CurlTransport& operator=(const CurlTransport&) = delete;

    ApiResult send(const std::string& server, const ApiRequest&) override;
};

} // namespace teasel
