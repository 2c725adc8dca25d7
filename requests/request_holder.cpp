#include "requests/request_holder.h"

#include "requests/holder_messages.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    Error makeError(ErrorKind kind, std::string message) { return Error { kind, std::move(message), {} }; }

    bool impliesDidNotRun(ErrorKind kind) { return errorInfo(kind).runState == RunState::DidNotRun; }

} // namespace

RequestHolder::RequestHolder(HolderOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_link(m_options.incarnation, m_options.startedAt)
{
}

RequestAttempt RequestHolder::attemptKeyOf(const HeldRequest& it) const
{
    return { m_options.instance, m_options.incarnation, it.sequence, it.attempt };
}

HeldRequest* RequestHolder::findByAttemptKey(std::string_view attemptKey)
{
    const auto key = parseAttemptKey(attemptKey);
    if (!key || key->instance != m_options.instance || key->incarnation != m_options.incarnation)
        return nullptr;
    const auto it = m_requests.find(key->sequence);
    return it == m_requests.end() ? nullptr : &it->second;
}

// ---- Callers ---------------------------------------------------------------

void RequestHolder::onSubmit(const Submission& submission, Instant now)
{
    ++m_stats.submitted;
    const auto sequence = m_nextSequence++;
    auto& it = m_requests[sequence];
    it.submission = submission;
    it.sequence = sequence;
    m_byHandle[submission.handle] = sequence;
    if (m_shuttingDown)
        return refuse(it, makeError(ErrorKind::ShuttingDown, "this instance is shutting down"), now);
    if (m_requests.size() > m_options.maxHeldRequests)
        return refuse(it, makeError(ErrorKind::QueueFull, "this instance holds the maximum number of requests"), now);
    if (submission.deadline <= now)
        return refuse(
            it, makeError(ErrorKind::DeadlinePassed, "the deadline had passed when the request arrived"), now);
    if (!m_link.hasLeader() && now >= m_link.leaderlessSince() + m_options.leaderlessTimeout)
        return refuse(it, makeError(ErrorKind::NoLeader, "the data centre has no leader"), now);
    queueTicket(it, now);
}

void RequestHolder::onCallerDisconnected(uint64_t handle, Instant now)
{
    const auto found = m_byHandle.find(handle);
    if (found == m_byHandle.end())
        return;
    auto& it = m_requests.at(found->second);
    ++m_stats.callersDisconnected;
    m_byHandle.erase(found);
    it.callerDisconnected = true;
    switch (it.phase) {
    case HeldPhase::Waiting:
    case HeldPhase::BackingOff:
        m_link.addCancelled(it.sequence);
        return refuseNow(it, makeError(ErrorKind::Cancelled, "the caller disconnected"), now);
    case HeldPhase::RecordingBegin: // the begin may already be recorded; its answer decides
    case HeldPhase::CheckingRefusal:
    case HeldPhase::Sent: // the executor may run it; its outcome is still recorded
        return;
    }
}

void RequestHolder::onKeysRevoked(std::span<const std::string> keyIds, Instant now)
{
    std::vector<uint64_t> found;
    for (const auto& [sequence, it] : m_requests) {
        const bool waits = it.phase == HeldPhase::Waiting || it.phase == HeldPhase::BackingOff;
        if (waits && std::find(keyIds.begin(), keyIds.end(), it.submission.keyId) != keyIds.end())
            found.push_back(sequence);
    }
    for (const auto sequence : found) {
        m_link.addCancelled(sequence);
        refuse(m_requests.at(sequence), makeError(ErrorKind::Unauthenticated, "the key was revoked"), now);
    }
}

// ---- The leader ------------------------------------------------------------

void RequestHolder::onLeader(std::string_view leaderInstance, Epoch epoch, Instant now)
{
    m_link.onLeader(leaderInstance, epoch, now);
}

void RequestHolder::onGrants(const schema::GrantBatch& batch, Instant now)
{
    if (!m_link.accept(batch, now))
        return;
    for (const auto& it : batch.refusals())
        handleRefusal(it, now);
    for (const auto& it : batch.grants())
        handleGrant(it, m_link.createdNotBefore() + Milliseconds(it.grant_ms()), now);
}

void RequestHolder::handleRefusal(const schema::Refusal& refusal, Instant now)
{
    const auto it = m_requests.find(refusal.sequence());
    if (it == m_requests.end() || it->second.phase != HeldPhase::Waiting || it->second.attempt != refusal.attempt())
        return;
    const auto& failure = refusal.failure();
    refuse(it->second,
        Error { errorKindFromNumber(failure.kind()), failure.message(), Milliseconds(failure.retry_after_ms()) }, now);
}

void RequestHolder::handleGrant(const schema::Grant& grant, Instant usableUntil, Instant now)
{
    const auto found = m_requests.find(grant.sequence());
    const bool known = found != m_requests.end();
    if (known && found->second.attempt == grant.attempt()
        && (found->second.phase == HeldPhase::RecordingBegin || found->second.phase == HeldPhase::Sent))
        return; // duplicate of the grant in use
    if (!known || found->second.attempt != grant.attempt() || found->second.phase != HeldPhase::Waiting) {
        m_link.addEnd(endOfUnusedGrant(grant), {}, now);
        return;
    }
    auto& it = found->second;
    it.executor = grant.executor();
    it.address = grant.address();
    it.grantUsableUntil = usableUntil;
    if (!grantUsable(it, now))
        return returnGrant(it, true, now);
    startAttempt(it, now);
}

bool RequestHolder::grantUsable(const HeldRequest& it, Instant now) const
{
    return now < it.grantUsableUntil && now < it.submission.deadline;
}

// Returns an unused grant to the leader. With `wantsRetry`, the request is queued again.
void RequestHolder::returnGrant(HeldRequest& it, bool wantsRetry, Instant now)
{
    ++m_stats.staleGrantsReturned;
    it.phase = HeldPhase::RecordingBegin;
    endAttempt(it, nullptr, wantsRetry, now);
    ++it.attempt;
    if (wantsRetry)
        queueTicket(it, now);
}

void RequestHolder::queueTicket(HeldRequest& it, Instant now)
{
    it.phase = HeldPhase::Waiting;
    it.executor.clear();
    setTimer(it, it.submission.deadline);
    m_link.addTicket(ticketOf(it, now));
}

// ---- Attempts --------------------------------------------------------------

void RequestHolder::startAttempt(HeldRequest& it, Instant now)
{
    if (it.submission.idempotent || it.begun)
        return sendToExecutor(it, now);
    it.phase = HeldPhase::RecordingBegin;
    it.beginDeadline = now + m_options.beginTimeout;
    sendBegin(it, now);
}

void RequestHolder::sendBegin(HeldRequest& it, Instant now)
{
    if (it.beginKey.empty())
        it.beginKey = toString(attemptKeyOf(it));
    RecordBegin action;
    action.handle = it.submission.handle;
    action.begin.set_request_id(it.submission.requestId);
    action.begin.set_team_id(it.submission.team);
    action.begin.set_attempt(it.beginKey);
    m_actions.emplace_back(std::move(action));
    setTimer(it, std::min<Instant>(now + m_options.beginResendPeriod, it.beginDeadline));
}

void RequestHolder::sendToExecutor(HeldRequest& it, Instant now)
{
    if (!it.earnedRetryBudget)
        m_retryBudget.onFirstAttempt(it.submission.team);
    it.earnedRetryBudget = true;
    it.phase = HeldPhase::Sent;
    it.sentAt = now;
    setTimer(it, it.submission.deadline);
    m_actions.emplace_back(SendToExecutor {
        toString(attemptKeyOf(it)), it.submission.handle, it.executor, it.address, it.submission.deadline - now });
}

void RequestHolder::onBeginAnswer(const schema::BeginAnswer& answer, Instant now)
{
    auto* it = findByAttemptKey(answer.attempt());
    if (!it || it->beginKey != answer.attempt() || it->begun
        || (it->phase != HeldPhase::RecordingBegin && it->phase != HeldPhase::CheckingRefusal))
        return;
    switch (answer.verdict()) {
    case schema::BEGIN_VERDICT_BEGUN:
        it->begun = true;
        return onBegun(*it, now);
    case schema::BEGIN_VERDICT_FINISHED:
        endUnsentAttempt(*it, now);
        m_actions.emplace_back(AnswerStored { it->submission.handle, answer.outcome() });
        ++m_stats.answered;
        return removeRequest(*it);
    case schema::BEGIN_VERDICT_RUNNING:
        return refuseBeforeSending(*it,
            makeError(ErrorKind::AlreadyRunning, "another submission with this request id has already begun"), now);
    default:
        return refuseUnknownOutcome(*it, now);
    }
}

void RequestHolder::onBegun(HeldRequest& it, Instant now)
{
    if (it.phase == HeldPhase::CheckingRefusal)
        return refuseNow(it, *it.refusal, now);
    if (it.callerDisconnected)
        return refuseBeforeSending(it, makeError(ErrorKind::Cancelled, "the caller disconnected"), now);
    if (now >= it.submission.deadline)
        return refuseBeforeSending(
            it, makeError(ErrorKind::DeadlinePassed, "the deadline passed before the request was sent"), now);
    if (!grantUsable(it, now))
        return returnGrant(it, true, now);
    sendToExecutor(it, now);
}

void RequestHolder::onBeginFailed(std::string_view attemptKey, const Error&, Instant now)
{
    auto* it = findByAttemptKey(attemptKey);
    if (it && !it->begun && (it->phase == HeldPhase::RecordingBegin || it->phase == HeldPhase::CheckingRefusal))
        refuseUnknownOutcome(*it, now);
}

void RequestHolder::onExecutorResult(const ExecutorResult& result, Instant now)
{
    const auto key = parseAttemptKey(result.attemptKey);
    auto* it = findByAttemptKey(result.attemptKey);
    if (!it || it->phase != HeldPhase::Sent || it->attempt != key->attempt) {
        ++m_stats.lateAnswersDropped;
        return;
    }
    if (const auto* answer = std::get_if<CompleteAnswer>(&result.outcome))
        return onCompleteAnswer(*it, *answer, result, now);
    onFailure(*it, result, now);
}

void RequestHolder::onCompleteAnswer(
    HeldRequest& it, const CompleteAnswer& answer, const ExecutorResult& result, Instant now)
{
    it.bytesSent = true;
    const bool failed = answer.httpStatus >= serverErrorStatus;
    const bool retry = failed && it.submission.idempotent && tryConsumeRetry(it, now);
    endAttempt(it, &result, retry, now);
    if (retry)
        return scheduleRetry(it, now);
    if (!it.submission.idempotent) {
        RecordFinish action { it.submission.handle, result.attemptKey, {} };
        action.finish.set_request_id(it.submission.requestId);
        action.finish.set_team_id(it.submission.team);
        action.finish.set_attempt(it.beginKey);
        action.finish.set_http_status(answer.httpStatus);
        action.finish.set_content_type(answer.contentType);
        m_actions.emplace_back(std::move(action));
    }
    m_actions.emplace_back(AnswerCaller { it.submission.handle, result.attemptKey });
    ++m_stats.answered;
    removeRequest(it);
}

void RequestHolder::onFailure(HeldRequest& it, const ExecutorResult& result, Instant now)
{
    const bool unsent = definitelyDidNotRun(result.outcome);
    it.bytesSent = it.bytesSent || !unsent;
    const bool retry = (it.submission.idempotent || unsent) && tryConsumeRetry(it, now);
    endAttempt(it, &result, retry, now);
    if (retry)
        return scheduleRetry(it, now);
    if (unsent)
        return refuseNow(it, makeError(ErrorKind::ExecutorUnreachable, "the executor could not be reached"), now);
    if (std::holds_alternative<DeadlineExceeded>(result.outcome))
        return refuseNow(
            it, makeError(ErrorKind::AnswerOverdue, "the executor did not answer before the deadline"), now);
    if (std::holds_alternative<AnswerTruncated>(result.outcome))
        return refuseNow(it, makeError(ErrorKind::AnswerLost, "the answer was truncated"), now);
    refuseNow(it, makeError(ErrorKind::ExecutorFailed, "the executor failed after the request was sent"), now);
}

// Returns whether the request may be retried. If so, one retry is taken from the team's budget.
bool RequestHolder::tryConsumeRetry(const HeldRequest& it, Instant now)
{
    const bool allowed
        = !it.callerDisconnected && it.retries + 1 < m_options.maxAttempts && now < it.submission.deadline;
    return allowed && m_retryBudget.tryConsume(it.submission.team);
}

void RequestHolder::scheduleRetry(HeldRequest& it, Instant now)
{
    const auto backoff = Duration(m_options.retryBackoff) * (1 << std::min<uint32_t>(it.retries, 6));
    const auto jittered = backoff / 2 + Duration(m_random.below(static_cast<uint64_t>(backoff.count())));
    ++it.retries;
    ++it.attempt;
    ++m_stats.retries;
    it.avoid.push_back(it.executor);
    it.phase = HeldPhase::BackingOff;
    setTimer(it, std::min<Instant>(now + jittered, it.submission.deadline));
}

// Reports the end of the current attempt to the leader. A null `result` means that the attempt was never sent.
void RequestHolder::endAttempt(HeldRequest& it, const ExecutorResult* result, bool wantsRetry, Instant now)
{
    m_link.addEnd(endOf(it, result, wantsRetry), outstandingOf(it, now), now);
}

void RequestHolder::endUnsentAttempt(HeldRequest& it, Instant now)
{
    if (it.phase == HeldPhase::RecordingBegin)
        endAttempt(it, nullptr, false, now);
}

// ---- Refusals --------------------------------------------------------------

// Refuses a request. The id of a non-idempotent one is first checked against the
// record of begun requests, because "did not run" must hold for every submission
// with that id.
void RequestHolder::refuse(HeldRequest& it, Error error, Instant now)
{
    const bool mustCheckId = !it.callerDisconnected && !it.submission.idempotent && !it.begun
        && impliesDidNotRun(error.kind) && error.kind != ErrorKind::Unauthenticated;
    if (!mustCheckId)
        return refuseNow(it, std::move(error), now);
    it.refusal = std::move(error);
    it.phase = HeldPhase::CheckingRefusal;
    it.beginDeadline = now + m_options.beginTimeout;
    sendBegin(it, now);
}

void RequestHolder::refuseBeforeSending(HeldRequest& it, Error error, Instant now)
{
    endUnsentAttempt(it, now);
    refuseNow(it, std::move(error), now);
}

void RequestHolder::refuseNow(HeldRequest& it, Error error, Instant)
{
    if (it.bytesSent && impliesDidNotRun(error.kind))
        error = makeError(ErrorKind::ExecutorFailed, "an earlier attempt may have run: " + error.message);
    recordNotRun(it);
    ++m_stats.refused;
    m_actions.emplace_back(RefuseCaller { it.submission.handle, std::move(error) });
    removeRequest(it);
}

// Refuses a request because the record of begun requests did not answer: an
// earlier submission with this id may have run.
void RequestHolder::refuseUnknownOutcome(HeldRequest& it, Instant now)
{
    refuseBeforeSending(it,
        makeError(
            ErrorKind::AlreadyRunning, "the record of begun requests is unavailable; retry with the same request id"),
        now);
}

// If this submission may have recorded its id as begun but sent nothing, records that it did not run, so that the
// id can be begun again.
void RequestHolder::recordNotRun(HeldRequest& it)
{
    if (it.beginKey.empty() || it.bytesSent || it.phase == HeldPhase::Sent)
        return;
    RecordFinish action { it.submission.handle, {}, {} };
    action.finish.set_request_id(it.submission.requestId);
    action.finish.set_team_id(it.submission.team);
    action.finish.set_attempt(it.beginKey);
    action.finish.set_did_not_run(true);
    m_actions.emplace_back(std::move(action));
}

void RequestHolder::removeRequest(HeldRequest& it)
{
    const auto sequence = it.sequence;
    m_timers.erase({ it.timerAt, sequence });
    m_byHandle.erase(it.submission.handle);
    m_requests.erase(sequence);
}

// ---- Time ------------------------------------------------------------------

void RequestHolder::setTimer(HeldRequest& it, Instant timerAt)
{
    m_timers.erase({ it.timerAt, it.sequence });
    it.timerAt = timerAt;
    m_timers.insert({ timerAt, it.sequence });
}

void RequestHolder::onTick(Instant now)
{
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto sequence = m_timers.begin()->second;
        m_timers.erase(m_timers.begin());
        onTimer(m_requests.at(sequence), now);
    }
    refuseWithoutLeader(now);
    m_link.onTick(!m_requests.empty(), now);
}

void RequestHolder::onTimer(HeldRequest& it, Instant now)
{
    const bool overdue = now >= it.submission.deadline;
    switch (it.phase) {
    case HeldPhase::Waiting:
        m_link.addCancelled(it.sequence);
        return refuse(
            it, makeError(ErrorKind::DeadlinePassed, "the deadline passed while the request was waiting"), now);
    case HeldPhase::BackingOff:
        if (overdue)
            return refuse(it, makeError(ErrorKind::DeadlinePassed, "the deadline passed before the next attempt"), now);
        return queueTicket(it, now);
    case HeldPhase::RecordingBegin:
    case HeldPhase::CheckingRefusal:
        if (now >= it.beginDeadline)
            return refuseUnknownOutcome(it, now);
        return sendBegin(it, now);
    case HeldPhase::Sent:
        m_actions.emplace_back(AbortAttempt { toString(attemptKeyOf(it)) });
        return onFailure(it, { toString(attemptKeyOf(it)), DeadlineExceeded {}, now - it.sentAt }, now);
    }
}

void RequestHolder::refuseWithoutLeader(Instant now)
{
    if (m_link.hasLeader() || now < m_link.leaderlessSince() + m_options.leaderlessTimeout)
        return;
    std::vector<uint64_t> waiting;
    for (const auto& [sequence, it] : m_requests) {
        if (it.phase == HeldPhase::Waiting)
            waiting.push_back(sequence);
    }
    for (const auto sequence : waiting)
        refuse(m_requests.at(sequence), makeError(ErrorKind::NoLeader, "the data centre has no leader"), now);
}

void RequestHolder::beginShutdown(Instant) { m_shuttingDown = true; }

std::vector<HolderAction> RequestHolder::takeActions(Instant now)
{
    if (m_link.hasBatchToSend())
        m_actions.emplace_back(SendTickets { m_link.leader(), makeBatch(now) });
    return std::exchange(m_actions, {});
}

schema::TicketBatch RequestHolder::makeBatch(Instant now)
{
    std::vector<schema::Ticket> tickets;
    std::vector<schema::Outstanding> outstanding;
    if (m_link.nextIsFull()) {
        ++m_stats.fullResends;
        for (const auto& [sequence, it] : m_requests) {
            if (it.phase == HeldPhase::Waiting)
                tickets.push_back(ticketOf(it, now));
            if (it.phase == HeldPhase::RecordingBegin || it.phase == HeldPhase::Sent)
                outstanding.push_back(outstandingOf(it, now));
        }
    }
    return m_link.takeBatch(std::move(tickets), std::move(outstanding), now);
}

HolderStats RequestHolder::stats() const
{
    auto stats = m_stats;
    stats.held = m_requests.size();
    return stats;
}

} // namespace teasel
