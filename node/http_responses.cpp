#include "node/http_responses.h"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace teasel {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";

} // namespace

std::string jsonString(std::string_view text)
{
    std::string out = "\"";
    for (const unsigned char c : text) {
        if (c == '"' || c == '\\')
            out += fmt::format("\\{}", static_cast<char>(c));
        else if (c < 0x20)
            out += fmt::format("\\u{:04x}", c);
        else
            out += static_cast<char>(c);
    }
    return out + "\"";
}

HttpResponse errorResponse(const Error& error, std::string_view requestId)
{
    const auto& row = errorInfo(error.kind);
    const auto errorRetryAfterMs = static_cast<int64_t>(error.retryAfter.count());
    const auto retryAfterMs = errorRetryAfterMs > 0 ? errorRetryAfterMs : static_cast<int64_t>(row.retryAfterMs);
    HttpResponse response;
    response.status = row.httpStatus;
    response.body = fmt::format(
        R"({{"kind":"{}","run":"{}","request_id":{},"message":{},"advice":{},"retry_after_ms":{}}})", row.name,
        nameOf(row.runState), jsonString(requestId), jsonString(error.message), jsonString(row.advice), retryAfterMs);
    if (retryAfterMs > 0)
        response.headers.emplace_back("Retry-After", std::to_string((retryAfterMs + 999) / 1'000));
    if (!requestId.empty())
        response.headers.emplace_back("Teasel-Request-Id", std::string(requestId));
    return response;
}

HttpResponse messageResponse(const google::protobuf::Message& message, unsigned status)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    HttpResponse response;
    response.status = status;
    static_cast<void>(google::protobuf::util::MessageToJsonString(message, &response.body, options));
    return response;
}

Result<void> parseJson(std::string_view body, google::protobuf::Message& out)
{
    const auto status = google::protobuf::util::JsonStringToMessage(std::string(body), &out);
    if (!status.ok())
        return fail(
            ErrorKind::BadRequest, fmt::format("the body is not the expected JSON: {}", status.message().ToString()));
    return {};
}

Duration parseWait(const HttpRequest& request)
{
    constexpr Milliseconds defaultWait { 3'000 };
    constexpr Milliseconds maxWait { 60'000 };
    const std::string text(request.header("teasel-wait-ms"));
    if (text.empty())
        return defaultWait;
    return std::clamp(Milliseconds(std::strtoll(text.c_str(), nullptr, 10)), Milliseconds(0), maxWait);
}

std::string_view bearerToken(const HttpRequest& request)
{
    const auto value = request.header("authorization");
    return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string_view {};
}

} // namespace teasel
