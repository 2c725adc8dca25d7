// CoreNode: calls of callers, executors and operators.
#include "node/core_node.h"

#include "node/job_plane_common.h"
#include "node/order_age.h"
#include "platform/call_codec.h"

#include <utility>

namespace teasel {

namespace {

    constexpr size_t maxRefusals = 20'000;
    constexpr Milliseconds announcementTimeout { 900 }; // an executor waits one second for the answer
    constexpr Milliseconds operatorTimeout { 2'500 };
    constexpr unsigned tooLargeStatus = 413;

    schema::RoutedCall makeControlCall(HttpRequest& request)
    {
        schema::RoutedCall call;
        call.set_surface(schema::RoutedCall::CONTROL);
        call.set_method(request.method);
        call.set_path(request.path);
        call.set_body(std::move(request.body));
        return call;
    }

} // namespace

void CoreNode::sendRoutedAnswer(const std::string& to, schema::RoutedAnswer answer)
{
    schema::Envelope out;
    *out.mutable_routed_answer() = std::move(answer);
    sendEnvelope(to, std::move(out));
}

void CoreNode::onRoutedCall(const schema::Envelope& envelope, Instant now)
{
    const auto& call = envelope.routed_call();
    if (!m_leader.isLeading() || !m_log->holdsLease(now) || call.term() != m_log->replica().term()) {
        schema::RoutedAnswer answer;
        answer.set_number(call.number());
        answer.set_leader(std::string(m_log->leaderHint()));
        sendRoutedAnswer(envelope.from(), std::move(answer));
        return;
    }
    // The caller may have left, have cancelled the job elsewhere, and count on it that the call has no effect any more.
    if (call.surface() == schema::RoutedCall::CALLERS && call.method() == "POST" && mayBeExpired(call, now)) {
        m_context.log.info("call_expired",
            { { "path", call.path() }, { "from", envelope.from() }, { "time_left_ms", call.time_left_ms() } });
        schema::RoutedAnswer answer;
        answer.set_number(call.number());
        sendRoutedAnswer(envelope.from(), std::move(answer));
        return;
    }
    const CallId callId { envelope.from(), envelope.incarnation(), call.number() };
    if (const auto it = m_refusals.find(callId); it != m_refusals.end()) {
        sendRoutedAnswer(envelope.from(), it->second);
        return;
    }
    auto decoded = platform::decodeCall(call);
    if (auto* answer = std::get_if<schema::RoutedAnswer>(&decoded)) {
        m_context.log.info(
            "call_invalid", { { "path", call.path() }, { "status", answer->status() }, { "reason", answer->body() } });
        answer->set_number(call.number());
        sendRoutedAnswer(envelope.from(), std::move(*answer));
        return;
    }
    const auto handle = ++m_lastHandle;
    auto& jobCall = std::get<JobCall>(decoded);
    PendingCall pending { JobCall(GetConfiguration {}), envelope.from(), envelope.incarnation(), call.number(), now };
    // Encoding the answer needs only the type of the call; its contents move to the job leader.
    pending.call = std::visit([](const auto& it) { return JobCall(std::decay_t<decltype(it)> {}); }, jobCall);
    m_pendingCalls.emplace(handle, std::move(pending));
    m_leader.onCall(handle, std::move(jobCall), now, m_context.clock.wallNow());
}

void CoreNode::onConfigurationChange(HttpRequest request)
{
    auto call = makeControlCall(request);
    if (auto answer = platform::decodeConfigurationIn(call)) {
        m_context.log.info(
            "call_invalid", { { "path", call.path() }, { "status", answer->status() }, { "reason", answer->body() } });
        return m_controlServer.answer(request.handle, toHttpResponse(std::move(*answer)));
    }
    // The leader would refuse it, too, but no message could hold a much larger one.
    if (const auto bytes = call.configuration().ByteSizeLong(); bytes > defaultMaxChangeBytes) {
        m_context.log.info(
            "call_invalid", { { "path", call.path() }, { "status", tooLargeStatus }, { "bytes", bytes } });
        return m_controlServer.answer(request.handle,
            { tooLargeStatus, "application/json", {},
                R"({"error":"the configuration is too large for the log; it had no effect"})" });
    }
    m_loop.postAlways([this, handle = request.handle, call = std::move(call)]() mutable {
        forwardControlCall(handle, std::move(call));
    });
}

void CoreNode::onHttp(HttpRequest request)
{
    auto call = makeControlCall(request);
    // Malformed orders are answered at once, also while there is no leader.
    if (platform::isEvacuation(call.path())) {
        auto decoded = platform::decodeCall(call);
        if (auto* answer = std::get_if<schema::RoutedAnswer>(&decoded)) {
            m_context.log.info("call_invalid",
                { { "path", call.path() }, { "status", answer->status() }, { "reason", answer->body() } });
            return m_controlServer.answer(request.handle, toHttpResponse(std::move(*answer)));
        }
    }
    forwardControlCall(request.handle, std::move(call));
}

void CoreNode::forwardControlCall(uint64_t handle, schema::RoutedCall call)
{
    const bool isAnnouncement = platform::isAnnouncement(call.path());
    call.set_time_left_ms(static_cast<uint64_t>((isAnnouncement ? announcementTimeout : operatorTimeout).count()));
    m_relay.call(
        std::move(call),
        [this, handle](
            schema::RoutedAnswer answer) { m_controlServer.answer(handle, toHttpResponse(std::move(answer))); },
        m_context.clock.now());
}

void CoreNode::execute(AnswerCall& action, Instant now)
{
    const auto found = m_pendingCalls.find(action.handle);
    if (found == m_pendingCalls.end())
        return;
    auto pending = std::move(found->second);
    m_pendingCalls.erase(found);
    // Any answer but a refusal is only valid while this replica's state is the latest.
    if (!holdsLease(now) && !platform::isRefusal(action.answer)) {
        schema::RoutedAnswer answer;
        answer.set_number(pending.number);
        sendRoutedAnswer(pending.from, std::move(answer));
        return;
    }
    auto answer = platform::encodeAnswer(pending.call, action.answer);
    answer.set_number(pending.number);
    if (platform::isRefusal(action.answer) && std::holds_alternative<SubmitJob>(pending.call)) {
        const CallId callId { pending.from, pending.incarnation, pending.number };
        m_refusals[callId] = answer;
        m_refusalOrder.push_back(callId);
        if (m_refusalOrder.size() > maxRefusals) {
            m_refusals.erase(m_refusalOrder.front());
            m_refusalOrder.pop_front();
        }
    }
    sendRoutedAnswer(pending.from, std::move(answer));
}

} // namespace teasel
