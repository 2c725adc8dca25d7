#include "node/request_gateway.h"

#include "node/http_responses.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace teasel {

namespace {

    constexpr Duration proposalTimeout = std::chrono::milliseconds(2'000);
    constexpr Duration finishTimeout = std::chrono::seconds(10);
    constexpr Milliseconds connectTimeout { 1'000 };
    constexpr uint64_t maxDeadlineMs = 60'000;
    constexpr size_t maxRequestIdBytes = 128;
    constexpr size_t maxSelectorBytes = 4'096;
    constexpr size_t maxStoredBodyBytes = 4 << 10;

    double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    // Parses a deadline header in milliseconds; returns `fallback` if the header is absent.
    Result<uint64_t> parseDeadline(std::string_view text, uint64_t fallback)
    {
        if (text.empty())
            return fallback;
        uint64_t value = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (ec != std::errc() || end != text.data() + text.size() || value == 0)
            return fail(ErrorKind::BadRequest,
                fmt::format("Teasel-Deadline-Ms is '{}': expected a positive whole number", text));
        return value;
    }

    AttemptOutcome outcomeOf(const HttpOutcome& it, std::string_view attemptKey)
    {
        switch (it.result) {
        case HttpCallResult::Answered:
            if (it.attempt != attemptKey)
                return FailedAfterSending {};
            return CompleteAnswer { it.status, it.contentType, it.body.size() };
        case HttpCallResult::ConnectFailed:
            return ConnectFailed {};
        case HttpCallResult::Truncated:
            return AnswerTruncated {};
        case HttpCallResult::TimedOut:
            return DeadlineExceeded {};
        case HttpCallResult::FailedAfterSending:
        case HttpCallResult::Aborted:
            return FailedAfterSending {};
        }
        return FailedAfterSending {};
    }

} // namespace

RequestGateway::RequestGateway(HolderOptions options, RequestGatewayContext context)
    : m_context(std::move(context))
    , m_holder(std::move(options))
{
}

void RequestGateway::onHttp(HttpRequest request, std::string_view className, bool mayServe, Instant now)
{
    const std::string requestId(request.header("teasel-request-id"));
    auto accepted = valueOrError([&] { return acceptRequest(request, className, mayServe, now); });
    if (const auto* error = std::get_if<Error>(&accepted)) {
        m_context.metrics.errors(error->kind).Increment();
        m_context.server.answer(request.handle, errorResponse(*error, requestId));
        return;
    }
    auto& submission = std::get<Submission>(accepted);
    const auto* team = m_context.config.team(submission.team);
    HeldRequest held;
    held.requestId = submission.requestId;
    held.team = team == nullptr ? "" : team->name();
    held.className = submission.className;
    held.contentType = std::string(request.header("content-type"));
    held.idempotent = submission.idempotent;
    held.arrivedAt = now;
    held.body = std::make_shared<const std::string>(std::move(request.body));
    m_context.metrics.arrived(held.team, held.className).Increment();
    m_context.metrics.waiting(held.team, held.className).Increment();
    m_heldRequests.emplace(request.handle, std::move(held));
    m_holder.onSubmit(submission, now);
}

Result<Submission> RequestGateway::acceptRequest(
    const HttpRequest& request, std::string_view className, bool mayServe, Instant now)
{
    if (!mayServe)
        return fail(ErrorKind::CutOff,
            "this instance may not serve requests until its data centre's leader extends its authority");
    const auto* requestClass = m_context.config.requestClass(className);
    if (requestClass == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("there is no class '{}'", className));

    Submission out;
    out.handle = request.handle;
    out.className = requestClass->name();
    out.idempotent = requestClass->idempotent();
    out.bodyBytes = request.body.size();
    out.selector = std::string(request.header("teasel-selector"));
    if (out.selector.size() > maxSelectorBytes)
        return fail(ErrorKind::BadRequest,
            fmt::format("the selector has {} bytes: the maximum is {}", out.selector.size(), maxSelectorBytes));
    out.requestId = std::string(request.header("teasel-request-id"));
    if (out.requestId.size() > maxRequestIdBytes)
        return fail(ErrorKind::BadRequest,
            fmt::format("Teasel-Request-Id has {} bytes: the maximum is {}", out.requestId.size(), maxRequestIdBytes));
    if (out.requestId.empty() && !out.idempotent)
        return fail(ErrorKind::BadRequest,
            fmt::format("class '{}' is not idempotent: the header Teasel-Request-Id is required", className));
    if (out.requestId.empty())
        out.requestId = fmt::format("{}-{}", request.handle, now.time_since_epoch().count());

    const auto token = bearerToken(request);
    if (token.empty() && requestClass->open_team_id() != 0) {
        out.team = requestClass->open_team_id();
    } else {
        BOOST_LEAF_AUTO(identity, m_context.config.identify(token));
        if (identity.role != schema::ROLE_SUBMITTER)
            return fail(ErrorKind::Forbidden, "only a submitter's key may submit work");
        out.team = identity.team;
        out.keyId = identity.keyId;
    }
    BOOST_LEAF_AUTO(
        deadlineMs, parseDeadline(request.header("teasel-deadline-ms"), requestClass->default_deadline_ms()));
    out.deadline = now + Milliseconds(std::min(deadlineMs, maxDeadlineMs));
    return out;
}

void RequestGateway::onCallerDisconnected(uint64_t handle, Instant now)
{
    if (m_heldRequests.contains(handle))
        m_holder.onCallerDisconnected(handle, now);
}

void RequestGateway::executeActions(Instant now)
{
    while (true) {
        auto actions = m_holder.takeActions(now);
        if (actions.empty())
            return;
        for (auto& it : actions)
            std::visit([&](auto& action) { execute(action, now); }, it);
    }
}

void RequestGateway::execute(SendTickets& action, Instant) { m_context.sendTickets(action.leader, action.batch); }

void RequestGateway::execute(RecordBegin& action, Instant now)
{
    schema::Command command;
    *command.mutable_begin() = std::move(action.begin);
    command.mutable_begin()->set_wall_ms(static_cast<uint64_t>(m_context.clock.wallNow().time_since_epoch().count()));
    const auto attempt = command.begin().attempt();
    m_context.state.propose(std::move(command), false, proposalTimeout, now,
        [this, attempt](const schema::CommandResult* result, const Error* error) {
            const auto answeredAt = m_context.clock.now();
            if (result != nullptr && result->has_begin())
                m_holder.onBeginAnswer(result->begin(), answeredAt);
            else
                m_holder.onBeginFailed(attempt,
                    error != nullptr ? *error : Error { ErrorKind::StateUnavailable, result->failure().message(), {} },
                    answeredAt);
        });
}

void RequestGateway::execute(RecordFinish& action, Instant now)
{
    schema::Command command;
    *command.mutable_finish() = std::move(action.finish);
    auto& finish = *command.mutable_finish();
    if (const auto it = m_completeAnswers.find(action.attemptKey); it != m_completeAnswers.end()) {
        finish.set_body_left_out(it->second.body.size() > maxStoredBodyBytes);
        if (!finish.body_left_out())
            finish.set_body(it->second.body);
    }
    storeOutcome(std::move(command), now);
}

void RequestGateway::storeOutcome(schema::Command command, Instant now)
{
    auto resent = command;
    m_context.state.propose(std::move(command), false, finishTimeout, now,
        [this, resent = std::move(resent)](const schema::CommandResult*, const Error* error) {
            if (error != nullptr && m_context.clock.now() < m_storeDeadline)
                storeOutcome(resent, m_context.clock.now());
        });
}

void RequestGateway::stopStoringOutcomes() { m_storeDeadline = {}; }

void RequestGateway::execute(SendToExecutor& action, Instant now)
{
    const auto held = m_heldRequests.find(action.handle);
    if (held == m_heldRequests.end())
        return;
    auto& request = held->second;
    removeFromWaiting(request);
    request.sentAt = now;
    m_context.metrics.waitingTime(request.team, request.className).Observe(seconds(now - request.arrivedAt));
    HttpCall call;
    call.url = fmt::format("http://{}/run", action.address);
    call.headers = { { "Teasel-Attempt", action.attemptKey }, { "Teasel-Request-Id", request.requestId },
        { "Teasel-Class", request.className }, { "Teasel-Team", request.team },
        { "Content-Type", request.contentType.empty() ? "application/octet-stream" : request.contentType } };
    call.body = request.body;
    call.timeout = std::chrono::duration_cast<Milliseconds>(action.timeout);
    call.connectTimeout = connectTimeout;
    call.sendAtMostOnce = !request.idempotent;
    auto key = action.attemptKey;
    const auto id = m_context.client.start(std::move(call), [this, key](HttpOutcome outcome) {
        m_context.loop.postAlways([this, key, outcome = std::move(outcome)]() mutable {
            onOutcome(key, std::move(outcome), m_context.clock.now());
        });
    });
    m_clientCalls.emplace(std::move(key), id);
}

void RequestGateway::onOutcome(const std::string& attemptKey, HttpOutcome outcome, Instant now)
{
    const bool known = m_clientCalls.erase(attemptKey) > 0;
    if (!known || outcome.result == HttpCallResult::Aborted)
        return;
    ExecutorResult result { attemptKey, outcomeOf(outcome, attemptKey), outcome.duration };
    if (std::holds_alternative<CompleteAnswer>(result.outcome))
        m_completeAnswers[attemptKey] = std::move(outcome);
    m_holder.onExecutorResult(result, now);
    executeActions(now);
    m_completeAnswers.erase(attemptKey);
}

void RequestGateway::execute(AbortAttempt& action, Instant)
{
    const auto it = m_clientCalls.find(action.attemptKey);
    if (it == m_clientCalls.end())
        return;
    m_context.client.abort(it->second);
    m_clientCalls.erase(it);
}

void RequestGateway::execute(AnswerCaller& action, Instant now)
{
    const auto held = m_heldRequests.find(action.handle);
    const auto answer = m_completeAnswers.find(action.attemptKey);
    if (held == m_heldRequests.end() || answer == m_completeAnswers.end())
        return;
    auto& request = held->second;
    m_context.metrics.runningTime(request.team, request.className).Observe(seconds(now - request.sentAt));
    HttpResponse response;
    response.status = answer->second.status;
    response.contentType = answer->second.contentType;
    response.headers = { { "Teasel-Request-Id", request.requestId },
        { "Teasel-Waited-Us", std::to_string((request.sentAt - request.arrivedAt).count()) } };
    response.body = answer->second.body;
    m_context.server.answer(action.handle, std::move(response));
    removeRequest(action.handle);
}

void RequestGateway::execute(RefuseCaller& action, Instant)
{
    const auto held = m_heldRequests.find(action.handle);
    if (held == m_heldRequests.end())
        return;
    m_context.metrics.errors(action.error.kind).Increment();
    m_context.server.answer(action.handle, errorResponse(action.error, held->second.requestId));
    removeRequest(action.handle);
}

void RequestGateway::execute(AnswerStored& action, Instant)
{
    const auto held = m_heldRequests.find(action.handle);
    if (held == m_heldRequests.end())
        return;
    HttpResponse response;
    response.status = action.outcome.http_status();
    response.contentType = action.outcome.content_type();
    response.headers = { { "Teasel-Request-Id", held->second.requestId }, { "Teasel-Stored-Answer", "true" } };
    if (action.outcome.body_left_out())
        response.headers.emplace_back("Teasel-Body-Left-Out", "true");
    response.body = action.outcome.body();
    m_context.server.answer(action.handle, std::move(response));
    removeRequest(action.handle);
}

void RequestGateway::removeFromWaiting(const HeldRequest& request)
{
    if (request.sentAt == Instant {})
        m_context.metrics.waiting(request.team, request.className).Decrement();
}

void RequestGateway::removeRequest(uint64_t handle)
{
    const auto held = m_heldRequests.find(handle);
    if (held == m_heldRequests.end())
        return;
    removeFromWaiting(held->second);
    m_heldRequests.erase(held);
}

} // namespace teasel
