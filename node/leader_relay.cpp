#include "node/leader_relay.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr uint32_t statusUnavailable = 503;
    constexpr uint32_t statusUnknown = 504;

    schema::RoutedAnswer turnedAway(uint32_t status, std::string_view reason)
    {
        schema::RoutedAnswer out;
        out.set_status(status);
        out.set_retry_after_s(1);
        out.set_body("{\"error\":\"" + std::string(reason) + "\"}");
        return out;
    }

} // namespace

LeaderRelay::LeaderRelay(LeaderRelayOptions options, Send send, LeaderChanged leaderChanged)
    : m_options(std::move(options))
    , m_send(std::move(send))
    , m_leaderChanged(std::move(leaderChanged))
    , m_core(m_options.seeds.begin(), m_options.seeds.end())
    , m_lastNumber(m_options.firstNumber)
{
    if (m_options.isCore)
        m_core.insert(m_options.self);
}

void LeaderRelay::call(schema::RoutedCall call, Done done, Instant now)
{
    if (m_calls.size() >= m_options.maxCalls) {
        done(turnedAway(statusUnavailable, "too many calls are held here"));
        return;
    }
    const auto number = ++m_lastNumber;
    call.set_number(number);
    const auto time
        = call.time_left_ms() == 0 ? m_options.defaultTime : Milliseconds(static_cast<int64_t>(call.time_left_ms()));
    auto& open = m_calls[number];
    open.call = std::move(call);
    open.done = std::move(done);
    open.began = now;
    open.endsAt = now + std::max(Milliseconds(1), time - m_options.answerMargin);
    if (hasLeader(now))
        pass(open, now);
}

void LeaderRelay::pass(OpenCall& it, Instant now)
{
    it.call.set_term(m_term);
    it.sentAt = now;
    it.wasSent = true;
    schema::Envelope envelope;
    *envelope.mutable_routed_call() = it.call;
    m_send(m_leader, std::move(envelope));
}

void LeaderRelay::finish(uint64_t number, schema::RoutedAnswer answer)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    const auto done = std::move(found->second.done);
    m_calls.erase(found);
    done(std::move(answer));
}

void LeaderRelay::onAnswer(const schema::RoutedAnswer& answer, Instant now)
{
    if (answer.status() != 0) {
        finish(answer.number(), answer);
        return;
    }
    // It does not lead, or not in that term.
    if (!answer.leader().empty())
        m_core.insert(answer.leader());
    m_leaderHeard = Instant();
    m_nextHello = now;
}

void LeaderRelay::onView(std::string_view from, const schema::CoreView& view, Instant now)
{
    for (const auto& it : view.core())
        m_core.insert(it);
    if (!view.is_leader()) {
        if (!view.leader().empty() && view.leader() != m_options.self && !hasLeader(now)) {
            m_core.insert(view.leader());
            schema::Envelope envelope;
            envelope.mutable_core_hello()->set_is_core(m_options.isCore);
            envelope.mutable_core_hello()->set_data_centre(m_options.dataCentre);
            m_send(view.leader(), std::move(envelope));
        }
        return;
    }
    if (view.term() < m_term)
        return;
    // The leader knows which instances belong to the core now.
    m_core = absl::btree_set<std::string>(view.core().begin(), view.core().end());
    m_core.insert(m_options.seeds.begin(), m_options.seeds.end());
    m_leaderHeard = now;
    if (m_leader == from && m_term == view.term()) {
        for (auto& [number, it] : m_calls) {
            if (!it.wasSent)
                pass(it, now);
        }
        return;
    }
    m_leader = from;
    m_term = view.term();
    m_leaderChanged(m_leader, m_term);
    for (auto& [number, it] : m_calls)
        pass(it, now);
}

void LeaderRelay::sayHello(Instant now)
{
    m_nextHello = now + m_options.helloEvery;
    schema::Envelope envelope;
    envelope.mutable_core_hello()->set_is_core(m_options.isCore);
    envelope.mutable_core_hello()->set_is_stopping(m_isStopping);
    envelope.mutable_core_hello()->set_has_state(m_hasState);
    envelope.mutable_core_hello()->set_data_centre(m_options.dataCentre);
    if (hasLeader(now)) {
        m_send(m_leader, std::move(envelope));
        return;
    }
    for (const auto& it : m_core) {
        if (it != m_options.self)
            m_send(it, envelope);
    }
}

void LeaderRelay::onTick(Instant now)
{
    if (now >= m_nextHello)
        sayHello(now);
    std::vector<std::pair<uint64_t, bool>> over;
    for (auto& [number, it] : m_calls) {
        if (now >= it.endsAt || (!it.wasSent && now - it.began >= m_options.waitForLeader))
            over.emplace_back(number, it.wasSent);
        else if (it.wasSent && hasLeader(now) && now - it.sentAt >= m_options.repeatAfter)
            pass(it, now);
    }
    for (const auto& [number, wasSent] : over)
        finish(number,
            wasSent ? turnedAway(statusUnknown, "no answer in time; the call may have had its effect")
                    : turnedAway(statusUnavailable, "there is no leader; the call had no effect"));
}

} // namespace teasel
