#include "main/teasel_http.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace teasel {

namespace {

    constexpr long connectTimeoutMs = 2'000;
    constexpr size_t maxReplyBytes = 268'435'456;

    struct CurlCleanup {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };

    size_t takeBody(char* data, size_t size, size_t count, void* target)
    {
        auto& body = *static_cast<std::string*>(target);
        if (body.size() + size * count > maxReplyBytes)
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

    size_t takeHeader(char* data, size_t size, size_t count, void* target)
    {
        const std::string_view line(data, size * count);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos)
            static_cast<std::vector<HttpHeader>*>(target)->push_back(
                { std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1))) });
        return line.size();
    }

    bool sameName(std::string_view a, std::string_view b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
            [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
    }

    bool neverSent(CURL* handle, CURLcode code)
    {
        if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT
            || code == CURLE_UNSUPPORTED_PROTOCOL)
            return true;
        long sent = 0;
        curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
        return sent == 0;
    }

} // namespace

std::string HttpReply::header(std::string_view name) const
{
    for (const auto& it : headers) {
        if (sameName(it.name, name))
            return it.value;
    }
    return {};
}

CurlTransport::CurlTransport() { curl_global_init(CURL_GLOBAL_DEFAULT); }

CurlTransport::~CurlTransport() { curl_global_cleanup(); }

HttpOutcome CurlTransport::send(const std::string& server, const HttpCall& call)
{
    const std::unique_ptr<CURL, CurlCleanup> owner(curl_easy_init());
    auto* handle = owner.get();
    if (!handle)
        return HttpFailure { false, "libcurl cannot be started" };
    HttpReply reply;
    curl_slist* list = nullptr;
    for (const auto& it : call.headers)
        list = curl_slist_append(list, fmt::format("{}: {}", it.name, it.value).c_str());
    list = curl_slist_append(list, "Expect:");
    const std::unique_ptr<curl_slist, CurlCleanup> headers(list);
    const auto url = server + call.path;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, connectTimeoutMs);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, takeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &reply.body);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, takeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &reply.headers);
    const auto code = curl_easy_perform(handle);
    if (code != CURLE_OK)
        return HttpFailure { !neverSent(handle, code), fmt::format("{}: {}", server, curl_easy_strerror(code)) };
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

} // namespace teasel
