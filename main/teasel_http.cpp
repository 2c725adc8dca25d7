#include "main/teasel_http.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace teasel {

namespace {

    constexpr long connectTimeoutMs = 2'000;
    constexpr size_t maxResponseBytes = 268'435'456;

    struct CurlCleanup {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
        void operator()(curl_slist* headerList) const { curl_slist_free_all(headerList); }
    };

    size_t appendBody(char* data, size_t size, size_t count, void* target)
    {
        auto& body = *static_cast<std::string*>(target);
        if (body.size() + size * count > maxResponseBytes)
            return 0;
        body.append(data, size * count);
        return size * count;
    }

    std::string_view trimmed(std::string_view text)
    {
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())))
            text.remove_prefix(1);
        while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())))
            text.remove_suffix(1);
        return text;
    }

    size_t appendHeader(char* data, size_t size, size_t count, void* target)
    {
        const std::string_view line(data, size * count);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos)
            static_cast<std::vector<ApiHeader>*>(target)->push_back(
                { std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))) });
        return line.size();
    }

    bool equalsIgnoringCase(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
            [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    bool wasNeverSent(CURL* handle, CURLcode code)
    {
        if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT
            || code == CURLE_UNSUPPORTED_PROTOCOL)
            return true;
        long sent = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
        return sent == 0;
    }

} // namespace

std::string ApiResponse::header(std::string_view name) const
{
    for (const auto& it : headers) {
        if (equalsIgnoringCase(it.name, name))
            return it.value;
    }
    return {};
}

CurlTransport::CurlTransport() { curl_global_init(CURL_GLOBAL_DEFAULT); }

CurlTransport::~CurlTransport() { curl_global_cleanup(); }

ApiResult CurlTransport::send(const std::string& server, const ApiRequest& request)
{
    const std::unique_ptr<CURL, CurlCleanup> curl(curl_easy_init());
    auto* handle = curl.get();
    if (!handle)
        return ApiFailure { false, "libcurl could not be initialized" };
    ApiResponse response;
    curl_slist* headerList = nullptr;
    for (const auto& it : request.headers)
        headerList = curl_slist_append(headerList, fmt::format("{}: {}", it.name, it.value).c_str());
    headerList = curl_slist_append(headerList, "Expect:");
    const std::unique_ptr<curl_slist, CurlCleanup> headers(headerList);
    const auto url = server + request.path;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headerList);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, appendHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response.headers);
    const auto code = curl_easy_perform(handle);
    if (code != CURLE_OK)
        return ApiFailure { !wasNeverSent(handle, code), fmt::format("{}: {}", server, curl_easy_strerror(code)) };
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

} // namespace teasel
