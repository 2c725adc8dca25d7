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

Forwarder::Forwarder(ForwarderOptions options, uint64_t firstTicket, Send send, HandleHere handleHere, Leader leader,
    LeadsHere leadsHere)
    : m_options(std::move(options))
    , m_nextTicket(firstTicket)
    , m_send(std::move(send))
    , m_handleHere(std::move(handleHere))
    , m_leader(std::move(leader))
    , m_leadsHere(std::move(leadsHere))
{
}

std::string Forwarder::nextInstance(const std::string& dataCentre)
{
    if (dataCentre == m_options.dataCentre)
        return m_leader();
    const auto found = m_options.members.find(dataCentre);
    if (found == m_options.members.end() || found->second.empty())
        return {};
    return found->second[m_turn++ % found->second.size()];
}

void Forwarder::route(schema::Forwarded message, Instant now, Reply reply)
{
    if (message.data_centre().empty())
        message.set_data_centre(m_options.dataCentre);
    if (message.data_centre() == m_options.dataCentre && m_leadsHere()) {
        m_handleHere(message, std::move(reply));
        return;
    }
    const auto to = nextInstance(message.data_centre());
    if (to.empty() || message.hops() >= m_options.mostHops) {
        const auto text = fmt::format("data centre '{}' has no leader that this instance knows", message.data_centre());
        reply(failedReply({ ErrorKind::NoLeader, text, {} }));
        return;
    }
    const auto ticket = m_nextTicket++;
    message.set_ticket(ticket);
    message.set_hops(message.hops() + 1);
    m_open.emplace(ticket, Open { now + m_options.limit, std::move(reply) });
    m_send(to, message);
}

void Forwarder::onReply(const schema::ForwardedReply& message)
{
    const auto it = m_open.find(message.ticket());
    if (it == m_open.end())
        return;
    const auto reply = std::move(it->second.reply);
    m_open.erase(it);
    reply(message);
}

void Forwarder::onTick(Instant now)
{
    std::vector<Reply> late;
    for (auto it = m_open.begin(); it != m_open.end();) {
        if (it->second.limit > now) {
            ++it;
            continue;
        }
        late.push_back(std::move(it->second.reply));
        it = m_open.erase(it);
    }
    for (const auto& it : late)
        it(failedReply({ ErrorKind::NoLeader, "the data centre's leader did not answer in time", {} }));
}

} // namespace teasel
