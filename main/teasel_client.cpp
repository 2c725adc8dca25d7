#include "main/teasel_client.h"

#include "core/error_kind.h"
#include "main/teasel_json.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    bool isShuttingDown(const HttpReply& reply)
    {
        const auto& answer = answerOf(ErrorKind::ShuttingDown);
        return reply.status == answer.httpStatus && readErrorBody(reply.body).kind == answer.name;
    }

} // namespace

HttpOutcome TeaselClient::send(HttpCall call, Resend resend)
{
    if (m_servers.empty())
        return HttpFailure { false, "no server is given" };
    if (!m_key.empty())
        call.headers.push_back({ "Authorization", fmt::format("Bearer {}", m_key) });
    HttpFailure failures;
    const auto rounds = m_servers.size();
    for (size_t n = 0; n < rounds; ++n) {
        const auto place = (m_first + n) % m_servers.size();
        auto outcome = m_transport.send(m_servers[place], call);
        if (const auto* reply = std::get_if<HttpReply>(&outcome)) {
            if (isShuttingDown(*reply) && n + 1 < rounds)
                continue;
            m_first = place;
            return outcome;
        }
        const auto& failure = std::get<HttpFailure>(outcome);
        failures.maybeSent = failures.maybeSent || failure.maybeSent;
        failures.message += fmt::format("{}{}", failures.message.empty() ? "" : "; ", failure.message);
        if (failure.maybeSent && resend == Resend::IfNeverSent)
            break;
    }
    return failures;
}

} // namespace teasel
