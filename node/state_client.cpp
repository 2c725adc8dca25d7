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
    return m_options.states[m_leaderIndex];
}

void StateClient::propose(schema::Command command, bool waitInForce, Duration timeout, Instant now, Done done)
{
    const auto ticket = m_nextTicket++;
    auto& it = m_pending[ticket];
    it.propose.set_ticket(ticket);
    it.propose.set_wait_in_force(waitInForce);
    it.propose.set_wait_ms(static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(timeout).count()));
    *it.propose.mutable_command() = std::move(command);
    it.deadline = now + timeout + m_options.resendInterval;
    it.done = std::move(done);
    sendProposal(it, now);
}

void StateClient::sendProposal(PendingProposal& it, Instant now)
{
    it.nextSend = now + m_options.resendInterval;
    m_send(leader(), it.propose);
    expectAnswer(now);
}

void StateClient::onAnswer(std::string_view from, const schema::ProposeAnswer& answer, Instant now)
{
    if (answer.not_leader()) {
        const auto hint = std::find(m_options.states.begin(), m_options.states.end(), answer.leader_hint());
        if (from != leader())
            return;
        m_unansweredSince = {};
        if (hint != m_options.states.end())
            m_leaderIndex = static_cast<size_t>(hint - m_options.states.begin());
        else
            tryNextReplica(now);
        return;
    }
    onContact(from, now);
    const auto it = m_pending.find(answer.ticket());
    if (it == m_pending.end())
        return;
    if (answer.received()) {
        it->second.nextSend = now + m_options.acknowledgedResendInterval;
        return;
    }
    const auto done = std::move(it->second.done);
    m_pending.erase(it);
    done(&answer.result(), nullptr);
}

void StateClient::onContact(std::string_view from, Instant)
{
    if (from == leader())
        m_unansweredSince = {};
}

void StateClient::expectAnswer(Instant now)
{
    if (m_unansweredSince == Instant {})
        m_unansweredSince = now;
}

void StateClient::tryNextReplica(Instant)
{
    m_unansweredSince = {};
    if (!m_options.states.empty())
        m_leaderIndex = (m_leaderIndex + 1) % m_options.states.size();
}

void StateClient::onTick(Instant now)
{
    if (m_unansweredSince != Instant {} && now - m_unansweredSince > m_options.leaderTimeout)
        tryNextReplica(now);
    std::vector<uint64_t> expired;
    for (auto& [ticket, it] : m_pending) {
        if (now >= it.deadline)
            expired.push_back(ticket);
        else if (now >= it.nextSend)
            sendProposal(it, now);
    }
    for (const auto ticket : expired) {
        const auto it = m_pending.find(ticket);
        const auto done = std::move(it->second.done);
        m_pending.erase(it);
        const Error error { ErrorKind::OutcomeUnknown, "the fleet state did not answer in time", {} };
        done(nullptr, &error);
    }
}

} // namespace teasel
