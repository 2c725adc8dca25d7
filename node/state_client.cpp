#include "node/state_client.h"

#include <algorithm>
#include <utility>

namespace teasel {

StateClient::StateClient(StateClientOptions options, uint64_t firstTicket, Send send)
    : m_options(std::move(options))
    , m_nextTicket(firstTicket)
    , m_send(std::move(send))
{
}

std::string_view StateClient::leader() const
{
    if (m_options.states.empty())
        return {};
    return m_options.states[m_current];
}

void StateClient::propose(schema::Command command, bool waitInForce, Duration limit, Instant now, Done done)
{
    const auto ticket = m_nextTicket++;
    auto& it = m_open[ticket];
    it.propose.set_ticket(ticket);
    it.propose.set_wait_in_force(waitInForce);
    it.propose.set_wait_ms(static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(limit).count()));
    *it.propose.mutable_command() = std::move(command);
    it.limit = now + limit + m_options.resendEvery;
    it.done = std::move(done);
    sendDue(it, now);
}

void StateClient::sendDue(Open& it, Instant now)
{
    it.nextSend = now + m_options.resendEvery;
    m_send(leader(), it.propose);
    expectAnswer(now);
}

void StateClient::onAnswer(std::string_view from, const schema::ProposeAnswer& answer, Instant now)
{
    if (answer.not_leader()) {
        const auto hint = std::find(m_options.states.begin(), m_options.states.end(), answer.leader_hint());
        if (from != leader())
            return;
        m_expectedSince = {};
        if (hint != m_options.states.end())
            m_current = static_cast<size_t>(hint - m_options.states.begin());
        else
            tryNext(now);
        return;
    }
    onHeard(from, now);
    const auto it = m_open.find(answer.ticket());
    if (it == m_open.end())
        return;
    if (answer.received()) {
        it->second.nextSend = now + m_options.resendReceivedEvery;
        return;
    }
    const auto done = std::move(it->second.done);
    m_open.erase(it);
    done(&answer.result(), nullptr);
}

void StateClient::onHeard(std::string_view from, Instant)
{
    if (from == leader())
        m_expectedSince = {};
}

void StateClient::expectAnswer(Instant now)
{
    if (m_expectedSince == Instant {})
        m_expectedSince = now;
}

void StateClient::tryNext(Instant)
{
    m_expectedSince = {};
    if (!m_options.states.empty())
        m_current = (m_current + 1) % m_options.states.size();
}

void StateClient::onTick(Instant now)
{
    if (m_expectedSince != Instant {} && now - m_expectedSince > m_options.silenceLimit)
        tryNext(now);
    std::vector<uint64_t> ended;
    for (auto& [ticket, it] : m_open) {
        if (now >= it.limit)
            ended.push_back(ticket);
        else if (now >= it.nextSend)
            sendDue(it, now);
    }
    for (const auto ticket : ended) {
        const auto it = m_open.find(ticket);
        const auto done = std::move(it->second.done);
        m_open.erase(it);
        const Error error { ErrorKind::OutcomeUnknown, "the fleet state did not answer in time", {} };
        done(nullptr, &error);
    }
}

} // namespace teasel
