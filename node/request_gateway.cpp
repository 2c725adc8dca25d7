#include "node/request_gateway.h"

#include "node/http_answers.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace teasel {

namespace {

    constexpr Duration proposalLimit = std::chrono::milliseconds(2'000);
    constexpr Duration finishLimit = std::chrono::seconds(10);
    constexpr Milliseconds connectLimit { 1'000 };
    constexpr uint64_t longestDeadlineMs = 60'000;
    constexpr size_t longestRequestId = 128;
    constexpr size_t longestSelector = 4'096;
    constexpr size_t keptOutcomeBytes = 4 << 10;

    double seconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    // Reads a header with a number of milliseconds; `fallback` when it is not there.
    Result<uint64_t> deadlineFrom(std::string_view text, uint64_t fallback)
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
        switch (it.end) {
        case CallEnd::Answered:
            if (it.attempt != attemptKey)
                return FailedAfterSending {};
            return WholeAnswer { it.status, it.contentType, it.body.size() };
        case CallEnd::ConnectFailed:
            return ConnectFailed {};
        case CallEnd::CutShort:
            return CutShort {};
        case CallEnd::Overdue:
            return Overdue {};
        case CallEnd::FailedAfterSending:
        case CallEnd::Aborted:
            return FailedAfterSending {};
        }
        return FailedAfterSending {};
    }

} // namespace

RequestGateway::RequestGateway(HolderOptions options, RequestGatewayLinks links)
    : m_links(std::move(links))
    , m_holder(std::move(options))
{
}

void RequestGateway::onHttp(HttpRequest request, std::string_view className, bool mayServe, Instant now)
{
    const std::string requestId(request.header("teasel-request-id"));
    auto accepted = valueOrError([&] { return accept(request, className, mayServe, now); });
    if (const auto* error = std::get_if<Error>(&accepted)) {
        m_links.metrics.errors(error->kind).Increment();
        m_links.server.answer(request.handle, errorResponse(*error, requestId));
        return;
    }
    auto& submission = std::get<Submission>(accepted);
    const auto* team = m_links.config.team(submission.team);
    Held held;
    held.requestId = submission.requestId;
    held.team = team == nullptr ? "" : team->name();
    held.className = submission.className;
    held.contentType = std::string(request.header("content-type"));
    held.idempotent = submission.idempotent;
    held.arrivedAt = now;
    held.body = std::make_shared<const std::string>(std::move(request.body));
    m_links.metrics.arrived(held.team, held.className).Increment();
    m_links.metrics.waiting(held.team, held.className).Increment();
    m_held.emplace(request.handle, std::move(held));
    m_holder.onSubmit(submission, now);
}

Result<Submission> RequestGateway::accept(
    const HttpRequest& request, std::string_view className, bool mayServe, Instant now)
{
    if (!mayServe)
        return fail(
            ErrorKind::CutOff, "this instance has no authority to serve until it hears from its data centre's leader");
    const auto* kind = m_links.config.requestClass(className);
    if (kind == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("there is no class '{}'", className));

    Submission out;
    out.handle = request.handle;
    out.className = kind->name();
    out.idempotent = kind->idempotent();
    out.bodyBytes = request.body.size();
    out.selector = std::string(request.header("teasel-selector"));
    if (out.selector.size() > longestSelector)
        return fail(ErrorKind::BadRequest,
            fmt::format("the selector has {} bytes: at most {} are taken", out.selector.size(), longestSelector));
    out.requestId = std::string(request.header("teasel-request-id"));
    if (out.requestId.size() > longestRequestId)
        return fail(ErrorKind::BadRequest,
            fmt::format(
                "Teasel-Request-Id has {} bytes: at most {} are taken", out.requestId.size(), longestRequestId));
    if (out.requestId.empty() && !out.idempotent)
        return fail(ErrorKind::BadRequest,
            fmt::format("class '{}' is not idempotent: send a Teasel-Request-Id of your own", className));
    if (out.requestId.empty())
        out.requestId = fmt::format("{}-{}", request.handle, now.time_since_epoch().count());

    const auto token = bearerToken(request);
    if (token.empty() && kind->open_team_id() != 0) {
        out.team = kind->open_team_id();
    } else {
        BOOST_LEAF_AUTO(identity, m_links.config.identify(token));
        if (identity.role != schema::ROLE_SUBMITTER)
            return fail(ErrorKind::Forbidden, "this key does not submit work");
        out.team = identity.team;
        out.keyId = identity.keyId;
    }
    BOOST_LEAF_AUTO(deadlineMs, deadlineFrom(request.header("teasel-deadline-ms"), kind->default_deadline_ms()));
    out.deadline = now + Milliseconds(std::min(deadlineMs, longestDeadlineMs));
    return out;
}

void RequestGateway::onCallerGone(uint64_t handle, Instant now)
{
    if (m_held.contains(handle))
        m_holder.onCallerGone(handle, now);
}

void RequestGateway::carryOut(Instant now)
{
    while (true) {
        auto actions = m_holder.takeActions(now);
        if (actions.empty())
            return;
        for (auto& it : actions)
            std::visit([&](auto& action) { perform(action, now); }, it);
    }
}

void RequestGateway::perform(SendTickets& action, Instant) { m_links.sendTickets(action.leader, action.batch); }

void RequestGateway::perform(BeginDurably& action, Instant now)
{
    schema::Command command;
    *command.mutable_begin() = std::move(action.begin);
    command.mutable_begin()->set_wall_ms(static_cast<uint64_t>(m_links.clock.wallNow().time_since_epoch().count()));
    const auto attempt = command.begin().attempt();
    m_links.state.propose(std::move(command), false, proposalLimit, now,
        [this, attempt](const schema::CommandResult* result, const Error* error) {
            const auto then = m_links.clock.now();
            if (result != nullptr && result->has_begin())
                m_holder.onBeginAnswer(result->begin(), then);
            else
                m_holder.onBeginFailed(attempt,
                    error != nullptr ? *error : Error { ErrorKind::StateUnavailable, result->failure().message(), {} },
                    then);
        });
}

void RequestGateway::perform(FinishDurably& action, Instant now)
{
    schema::Command command;
    *command.mutable_finish() = std::move(action.finish);
    auto& finish = *command.mutable_finish();
    if (const auto it = m_wholeAnswers.find(action.attemptKey); it != m_wholeAnswers.end()) {
        finish.set_body_left_out(it->second.body.size() > keptOutcomeBytes);
        if (!finish.body_left_out())
            finish.set_body(it->second.body);
    }
    store(std::move(command), now);
}

void RequestGateway::store(schema::Command command, Instant now)
{
    auto again = command;
    m_links.state.propose(std::move(command), false, finishLimit, now,
        [this, again = std::move(again)](const schema::CommandResult*, const Error* error) {
            if (error != nullptr && m_links.clock.now() < m_storesUntil)
                store(again, m_links.clock.now());
        });
}

void RequestGateway::stopStoring() { m_storesUntil = {}; }

void RequestGateway::perform(SendToExecutor& action, Instant now)
{
    const auto held = m_held.find(action.handle);
    if (held == m_held.end())
        return;
    auto& request = held->second;
    noteStarted(request);
    request.sentAt = now;
    m_links.metrics.waitingTime(request.team, request.className).Observe(seconds(now - request.arrivedAt));
    HttpCall call;
    call.url = fmt::format("http://{}/run", action.address);
    call.headers = { { "Teasel-Attempt", action.attemptKey }, { "Teasel-Request-Id", request.requestId },
        { "Teasel-Class", request.className }, { "Teasel-Team", request.team },
        { "Content-Type", request.contentType.empty() ? "application/octet-stream" : request.contentType } };
    call.body = request.body;
    call.timeout = std::chrono::duration_cast<Milliseconds>(action.timeout);
    call.connectTimeout = connectLimit;
    call.neverTwice = !request.idempotent;
    auto key = action.attemptKey;
    const auto id = m_links.client.start(std::move(call), [this, key](HttpOutcome outcome) {
        m_links.loop.postAlways([this, key, outcome = std::move(outcome)]() mutable {
            onOutcome(key, std::move(outcome), m_links.clock.now());
        });
    });
    m_calls.emplace(std::move(key), id);
}

void RequestGateway::onOutcome(const std::string& attemptKey, HttpOutcome outcome, Instant now)
{
    const bool known = m_calls.erase(attemptKey) > 0;
    if (!known || outcome.end == CallEnd::Aborted)
        return;
    ExecutorResult result { attemptKey, outcomeOf(outcome, attemptKey), outcome.took };
    if (std::holds_alternative<WholeAnswer>(result.outcome))
        m_wholeAnswers[attemptKey] = std::move(outcome);
    m_holder.onExecutorResult(result, now);
    carryOut(now);
    m_wholeAnswers.erase(attemptKey);
}

void RequestGateway::perform(AbortAttempt& action, Instant)
{
    const auto it = m_calls.find(action.attemptKey);
    if (it == m_calls.end())
        return;
    m_links.client.abort(it->second);
    m_calls.erase(it);
}

void RequestGateway::perform(AnswerCaller& action, Instant now)
{
    const auto held = m_held.find(action.handle);
    const auto answer = m_wholeAnswers.find(action.attemptKey);
    if (held == m_held.end() || answer == m_wholeAnswers.end())
        return;
    auto& request = held->second;
    m_links.metrics.runningTime(request.team, request.className).Observe(seconds(now - request.sentAt));
    HttpResponse response;
    response.status = answer->second.status;
    response.contentType = answer->second.contentType;
    response.headers = { { "Teasel-Request-Id", request.requestId },
        { "Teasel-Waited-Us", std::to_string((request.sentAt - request.arrivedAt).count()) } };
    response.body = answer->second.body;
    m_links.server.answer(action.handle, std::move(response));
    forget(action.handle);
}

void RequestGateway::perform(RefuseCaller& action, Instant)
{
    const auto held = m_held.find(action.handle);
    if (held == m_held.end())
        return;
    m_links.metrics.errors(action.error.kind).Increment();
    m_links.server.answer(action.handle, errorResponse(action.error, held->second.requestId));
    forget(action.handle);
}

void RequestGateway::perform(AnswerStored& action, Instant)
{
    const auto held = m_held.find(action.handle);
    if (held == m_held.end())
        return;
    HttpResponse response;
    response.status = action.outcome.http_status();
    response.contentType = action.outcome.content_type();
    response.headers = { { "Teasel-Request-Id", held->second.requestId }, { "Teasel-Stored-Answer", "true" } };
    if (action.outcome.body_left_out())
        response.headers.emplace_back("Teasel-Body-Left-Out", "true");
    response.body = action.outcome.body();
    m_links.server.answer(action.handle, std::move(response));
    forget(action.handle);
}

void RequestGateway::noteStarted(const Held& request)
{
    if (request.sentAt == Instant {})
        m_links.metrics.waiting(request.team, request.className).Decrement();
}

void RequestGateway::forget(uint64_t handle)
{
    const auto held = m_held.find(handle);
    if (held == m_held.end())
        return;
    noteStarted(held->second);
    m_held.erase(held);
}

} // namespace teasel
