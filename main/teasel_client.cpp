#include "main/teasel_client.h"

#include "core/error_kind.h"
#include "main/teasel_json.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    bool isShuttingDown(const ApiResponse& response)
    {
        const auto& shutdownInfo = errorInfo(ErrorKind::ShuttingDown);
        return response.status == shutdownInfo.httpStatus && readErrorBody(response.body).kind == shutdownInfo.name;
    }

    bool isWorthAnotherServer(const ApiResponse& response, RetryPolicy policy)
    {
        if (isShuttingDown(response))
            return true;
        return policy == RetryPolicy::AlwaysAtOthers
            && (response.status >= 500 || response.status == 408 || response.status == 429);
    }

} // namespace

ApiResult TeaselClient::send(ApiRequest request, RetryPolicy retryPolicy)
{
    if (m_servers.empty())
        return ApiFailure { false, "no server was given" };
    if (!m_key.empty())
        request.headers.push_back({ "Authorization", fmt::format("Bearer {}", m_key) });
    ApiFailure failures;
    const auto attempts = m_servers.size();
    for (size_t attempt = 0; attempt < attempts; ++attempt) {
        const auto index = (m_lastWorkingServer + attempt) % m_servers.size();
        auto outcome = m_transport.send(m_servers[index], request);
        if (const auto* response = std::get_if<ApiResponse>(&outcome)) {
            if (isWorthAnotherServer(*response, retryPolicy) && attempt + 1 < attempts)
                continue;
            m_lastWorkingServer = index;
            return outcome;
        }
        const auto& failure = std::get<ApiFailure>(outcome);
        failures.maybeSent = failures.maybeSent || failure.maybeSent;
        failures.message += fmt::format("{}{}", failures.message.empty() ? "" : "; ", failure.message);
        if (failure.maybeSent && retryPolicy == RetryPolicy::IfNotSent)
            break;
    }
    return failures;
}

} // namespace teasel
