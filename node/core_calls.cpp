// CoreNode: calls of callers, executors and operators.
#include "node/core_node.h"

#include "node/job_plane_common.h"
#include "node/order_age.h"
#include "platform/call_codec.h"

#include <utility>

namespace teasel {

namespace {

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

void CoreNode::answerRoutedCall(const schema::CallOrigin& call, uint64_t term, schema::RoutedAnswer answer)
{
    answer.set_number(call.number());
    answer.set_term(term);
    schema::Envelope out;
    *out.mutable_routed_answer() = std::move(answer);
    sendEnvelope(call.instance(), std::move(out));
}

void CoreNode::returnRoutedCall(const schema::CallOrigin& call)
{
    schema::RoutedAnswer answer; // status 0
    answer.set_leader(std::string(m_log->leaderHint()));
    answerRoutedCall(call, m_log->replica().term(), std::move(answer));
}

void CoreNode::onRoutedCall(const schema::Envelope& envelope, Instant now)
{
    const auto& call = envelope.routed_call();
    schema::CallOrigin origin;
    origin.set_instance(envelope.from());
    origin.set_incarnation(envelope.incarnation());
    origin.set_number(call.number());
    if (!m_leader.isLeading() || !m_log->holdsLease(now) || call.term() != m_log->replica().term())
        return returnRoutedCall(origin);
    // The caller may have left, have cancelled the job elsewhere, and count on it that the call has no effect any more.
    if (call.surface() == schema::RoutedCall::CALLERS && call.method() == "POST" && mayBeExpired(call, now)) {
        m_context.log.info("call_expired",
            { { "path", call.path() }, { "from", envelope.from() }, { "time_left_ms", call.time_left_ms() } });
        return answerRoutedCall(origin, call.term(), {});
    }
    if (const auto* rejection = m_rejectedCalls.find(origin))
        return answerRoutedCall(origin, call.term(), *rejection);
    auto decoded = platform::decodeCall(call);
    if (auto* answer = std::get_if<schema::RoutedAnswer>(&decoded)) {
        m_context.log.info(
            "call_invalid", { { "path", call.path() }, { "status", answer->status() }, { "reason", answer->body() } });
        return answerRoutedCall(origin, call.term(), std::move(*answer));
    }
    const auto handle = ++m_lastHandle;
    auto& jobCall = std::get<JobCall>(decoded);
    if (auto* submission = std::get_if<SubmitJob>(&jobCall))
        submission->origin = origin;
    if (auto* cancellation = std::get_if<CancelJob>(&jobCall))
        cancellation->origin = origin;
    PendingCall pending { JobCall(GetConfiguration {}), std::move(origin), call.term() };
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
    const bool isRefusal = platform::isRefusal(action.answer);
    if (!holdsLease(now) && !isRefusal)
        return returnRoutedCall(pending.origin);
    auto answer = platform::encodeAnswer(pending.call, action.answer);
    if (isRefusal && std::holds_alternative<SubmitJob>(pending.call))
        m_rejectedCalls.add(pending.origin, answer);
    answerRoutedCall(pending.origin, pending.term, std::move(answer));
}

} // namespace teasel
