#include "node/leader_relay.h"

#include "core/utf8.h"
#include "node/order_age.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr uint32_t statusBadRequest = 400;
    constexpr uint32_t statusUnavailable = 503;
    constexpr uint32_t statusUnknown = 504;

    schema::RoutedAnswer errorAnswer(uint32_t status, std::string_view reason)
    {
        schema::RoutedAnswer out;
        out.set_status(status);
        out.set_retry_after_s(1);
        out.set_body("{\"error\":\"" + std::string(reason) + "\"}");
        return out;
    }

    // Whether the leader can parse the call: text in messages is UTF-8.
    bool isSendable(const schema::RoutedCall& it)
    {
        return isUtf8(it.method()) && isUtf8(it.host()) && isUtf8(it.path()) && isUtf8(it.key()) && isUtf8(it.body());
    }

} // namespace

LeaderRelay::LeaderRelay(LeaderRelayOptions options, Send send, LeaderChanged leaderChanged)
    : m_options(std::move(options))
    , m_send(std::move(send))
    , m_leaderChanged(std::move(leaderChanged))
    , m_coreInstances(m_options.seeds.begin(), m_options.seeds.end())
    , m_lastNumber(m_options.firstNumber)
{
    if (m_options.isCore)
        m_coreInstances.insert(m_options.self);
}

void LeaderRelay::call(schema::RoutedCall call, Done done, Instant now)
{
    if (!isSendable(call)) {
        done(errorAnswer(statusBadRequest, "the call is not in UTF-8"));
        return;
    }
    if (m_pendingCalls.size() >= m_options.maxPendingCalls) {
        done(errorAnswer(statusUnavailable, "too many calls wait for an answer at this instance"));
        return;
    }
    const auto number = ++m_lastNumber;
    call.set_number(number);
    const auto timeout
        = call.time_left_ms() == 0 ? m_options.defaultTimeout : Milliseconds(static_cast<int64_t>(call.time_left_ms()));
    auto& pending = m_pendingCalls[number];
    pending.call = std::move(call);
    pending.done = std::move(done);
    pending.receivedAt = now;
    pending.deadline = std::min(m_lastAnswerAt, now + std::max(Milliseconds(1), timeout - m_options.answerMargin));
    if (hasLeader(now))
        forwardCall(pending, now);
}

void LeaderRelay::answerAllBy(Instant time)
{
    m_lastAnswerAt = time;
    for (auto& [number, it] : m_pendingCalls)
        it.deadline = std::min(it.deadline, time);
}

void LeaderRelay::forwardCall(PendingCall& it, Instant now)
{
    // After a suspension the time limit may have passed. The next tick answers the call.
    if (now >= it.deadline)
        return;
    const auto timeLeft = std::chrono::duration_cast<Milliseconds>(it.deadline - now);
    it.call.set_time_left_ms(std::max<uint64_t>(1, static_cast<uint64_t>(timeLeft.count())));
    it.call.set_view_sent_at_ms(m_viewSentAtMs);
    it.call.set_term(m_term);
    it.sentAt = now;
    it.wasSent = true;
    schema::Envelope envelope;
    *envelope.mutable_routed_call() = it.call;
    m_send(m_leader, std::move(envelope));
}

void LeaderRelay::complete(uint64_t number, schema::RoutedAnswer answer)
{
    const auto found = m_pendingCalls.find(number);
    if (found == m_pendingCalls.end())
        return;
    const auto done = std::move(found->second.done);
    m_pendingCalls.erase(found);
    done(std::move(answer));
}

bool LeaderRelay::isFromAddressee(const schema::RoutedAnswer& answer) const
{
    const auto found = m_pendingCalls.find(answer.number());
    return found != m_pendingCalls.end() && (answer.term() == 0 || answer.term() == found->second.call.term());
}

void LeaderRelay::onAnswer(const schema::RoutedAnswer& answer, Instant now)
{
    if (answer.status() != 0) {
        if (isFromAddressee(answer))
            complete(answer.number(), answer);
        return;
    }
    // Status 0: the instance does not lead, or leads in another term.
    if (!answer.leader().empty())
        m_coreInstances.insert(answer.leader());
    m_leaderContactAt = Instant();
    m_nextRegistration = now;
}

void LeaderRelay::onView(std::string_view from, const schema::CoreView& view, Instant now)
{
    for (const auto& it : view.core())
        m_coreInstances.insert(it);
    if (!view.is_leader()) {
        if (!view.leader().empty() && view.leader() != m_options.self && !hasLeader(now)) {
            m_coreInstances.insert(view.leader());
            schema::Envelope envelope;
            envelope.mutable_core_hello()->set_is_core(m_options.isCore);
            envelope.mutable_core_hello()->set_data_centre(m_options.dataCentre);
            envelope.mutable_core_hello()->set_sent_at_ms(batchClockMs(now));
            m_send(view.leader(), std::move(envelope));
        }
        return;
    }
    if (view.term() < m_term)
        return;
    m_viewSentAtMs
        = m_leader == from && m_term == view.term() ? std::max(m_viewSentAtMs, view.sent_at_ms()) : view.sent_at_ms();
    // The leader's view holds the current members of the core.
    m_coreInstances = absl::btree_set<std::string>(view.core().begin(), view.core().end());
    m_coreInstances.insert(m_options.seeds.begin(), m_options.seeds.end());
    m_leaderContactAt = now;
    if (m_leader == from && m_term == view.term()) {
        for (auto& [number, it] : m_pendingCalls) {
            if (!it.wasSent)
                forwardCall(it, now);
        }
        return;
    }
    m_leader = from;
    m_term = view.term();
    m_leaderChanged(m_leader, m_term);
    for (auto& [number, it] : m_pendingCalls)
        forwardCall(it, now);
}

void LeaderRelay::sendRegistration(Instant now)
{
    m_nextRegistration = now + m_options.registrationInterval;
    schema::Envelope envelope;
    envelope.mutable_core_hello()->set_is_core(m_options.isCore);
    envelope.mutable_core_hello()->set_is_stopping(m_isStopping);
    envelope.mutable_core_hello()->set_has_state(m_hasState);
    envelope.mutable_core_hello()->set_data_centre(m_options.dataCentre);
    envelope.mutable_core_hello()->set_sent_at_ms(batchClockMs(now));
    if (hasLeader(now)) {
        m_send(m_leader, std::move(envelope));
        return;
    }
    for (const auto& it : m_coreInstances) {
        if (it != m_options.self)
            m_send(it, envelope);
    }
}

void LeaderRelay::onTick(Instant now)
{
    if (now >= m_nextRegistration)
        sendRegistration(now);
    std::vector<std::pair<uint64_t, bool>> expired;
    for (auto& [number, it] : m_pendingCalls) {
        if (now >= it.deadline || (!it.wasSent && now - it.receivedAt >= m_options.leaderWaitTimeout))
            expired.emplace_back(number, it.wasSent);
        else if (it.wasSent && hasLeader(now) && now - it.sentAt >= m_options.resendInterval)
            forwardCall(it, now);
    }
    for (const auto& [number, wasSent] : expired)
        complete(number,
            wasSent ? errorAnswer(statusUnknown, "no answer in time; the call may have had its effect")
                    : errorAnswer(statusUnavailable, "there is no leader; the call had no effect"));
}

} // namespace teasel
