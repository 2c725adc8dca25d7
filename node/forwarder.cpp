#include "node/forwarder.h"

#include <fmt/format.h>

#include <utility>

namespace teasel {

schema::ForwardedReply failedReply(const Error& error)
{
    schema::ForwardedReply reply;
    reply.mutable_failure()->set_kind(static_cast<uint32_t>(error.kind));
    reply.mutable_failure()->set_message(error.message);
    reply.mutable_failure()->set_retry_after_ms(static_cast<uint64_t>(error.retryAfter.count()));
    return reply;
}

Error errorFrom(const schema::Failure& failure)
{
    return { errorKindFromNumber(failure.kind()), failure.message(),
        Milliseconds(static_cast<int64_t>(failure.retry_after_ms())) };
}

Forwarder::Forwarder(ForwarderOptions options, uint64_t firstTicket, Send send, HandleLocally handleLocally,
    FindLeader findLeader, IsLeader isLeader)
    : m_options(std::move(options))
    , m_nextTicket(firstTicket)
    , m_send(std::move(send))
    , m_handleLocally(std::move(handleLocally))
    , m_findLeader(std::move(findLeader))
    , m_isLeader(std::move(isLeader))
{
}

std::string Forwarder::nextInstance(const std::string& dataCentre)
{
    if (dataCentre == m_options.dataCentre)
        return m_findLeader();
    const auto found = m_options.members.find(dataCentre);
    if (found == m_options.members.end() || found->second.empty())
        return {};
    return found->second[m_nextMember++ % found->second.size()];
}

void Forwarder::route(schema::Forwarded message, Instant now, Reply reply)
{
    if (message.data_centre().empty())
        message.set_data_centre(m_options.dataCentre);
    if (message.data_centre() == m_options.dataCentre && m_isLeader()) {
        m_handleLocally(message, std::move(reply));
        return;
    }
    const auto to = nextInstance(message.data_centre());
    if (to.empty() || message.hops() >= m_options.maxHops) {
        const auto text = fmt::format("data centre '{}' has no leader that this instance knows", message.data_centre());
        reply(failedReply({ ErrorKind::NoLeader, text, {} }));
        return;
    }
    const auto ticket = m_nextTicket++;
    message.set_ticket(ticket);
    message.set_hops(message.hops() + 1);
    m_pending.emplace(ticket, PendingMessage { now + m_options.replyTimeout, std::move(reply) });
    m_send(to, message);
}

void Forwarder::onReply(const schema::ForwardedReply& message)
{
    const auto it = m_pending.find(message.ticket());
    if (it == m_pending.end())
        return;
    const auto reply = std::move(it->second.reply);
    m_pending.erase(it);
    reply(message);
}

void Forwarder::onTick(Instant now)
{
    std::vector<Reply> expired;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        expired.push_back(std::move(it->second.reply));
        it = m_pending.erase(it);
    }
    for (const auto& it : expired)
        it(failedReply({ ErrorKind::NoLeader, "the data centre's leader did not answer in time", {} }));
}

} // namespace teasel
