#include "requests/request_holder.h"

#include "requests/holder_messages.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    Error errorOf(ErrorKind kind, std::string message) { return Error { kind, std::move(message), {} }; }

    bool promisesDidNotRun(ErrorKind kind) { return answerOf(kind).runState == RunState::DidNotRun; }

} // namespace

RequestHolder::RequestHolder(HolderOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_link(m_options.incarnation, m_options.startedAt)
{
}

RequestAttempt RequestHolder::keyOf(const HeldRequest& it) const
{
    return { m_options.instance, m_options.incarnation, it.sequence, it.attempt };
}

HeldRequest* RequestHolder::byKey(std::string_view attemptKey)
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
        return giveUp(it, errorOf(ErrorKind::ShuttingDown, "this instance is stopping"), now);
    if (m_requests.size() > m_options.maxHeld)
        return giveUp(it, errorOf(ErrorKind::QueueFull, "this instance holds as much as it may"), now);
    if (submission.deadline <= now)
        return giveUp(it, errorOf(ErrorKind::DeadlinePassed, "the deadline had passed on arrival"), now);
    if (!m_link.hasLeader() && now >= m_link.leaderlessSince() + m_options.leaderlessPatience)
        return giveUp(it, errorOf(ErrorKind::NoLeader, "the data centre has no leader"), now);
    queueTicket(it, now);
}

void RequestHolder::onCallerGone(uint64_t handle, Instant)
{
    const auto place = m_byHandle.find(handle);
    if (place == m_byHandle.end())
        return;
    auto& it = m_requests.at(place->second);
    ++m_stats.callersGone;
    m_byHandle.erase(place);
    it.callerGone = true;
    switch (it.phase) {
    case HeldPhase::Waiting:
    case HeldPhase::BackingOff:
        m_link.addCancelled(it.sequence);
        finishUnsent(it);
        return drop(it);
    case HeldPhase::Beginning: // its beginning may be on record; the answer decides
    case HeldPhase::Refusing:
    case HeldPhase::Sent: // it may run; its outcome is worth recording
        return;
    }
}

void RequestHolder::onKeysWithdrawn(std::span<const std::string> keyIds, Instant now)
{
    std::vector<uint64_t> found;
    for (const auto& [sequence, it] : m_requests) {
        const bool waits = it.phase == HeldPhase::Waiting || it.phase == HeldPhase::BackingOff;
        if (waits && std::find(keyIds.begin(), keyIds.end(), it.submission.keyId) != keyIds.end())
            found.push_back(sequence);
    }
    for (const auto sequence : found) {
        m_link.addCancelled(sequence);
        giveUp(m_requests.at(sequence), errorOf(ErrorKind::Unauthenticated, "the key was withdrawn"), now);
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
        takeRefusal(it, now);
    for (const auto& it : batch.grants())
        takeGrant(it, m_link.madeNotBefore() + Milliseconds(it.grant_ms()), now);
}

void RequestHolder::takeRefusal(const schema::Refusal& refusal, Instant now)
{
    const auto it = m_requests.find(refusal.sequence());
    if (it == m_requests.end() || it->second.phase != HeldPhase::Waiting || it->second.attempt != refusal.attempt())
        return;
    const auto& failure = refusal.failure();
    giveUp(it->second,
        Error { errorKindFromNumber(failure.kind()), failure.message(), Milliseconds(failure.retry_after_ms()) }, now);
}

void RequestHolder::takeGrant(const schema::Grant& grant, Instant usableUntil, Instant now)
{
    const auto place = m_requests.find(grant.sequence());
    const bool known = place != m_requests.end();
    if (known && place->second.attempt == grant.attempt()
        && (place->second.phase == HeldPhase::Beginning || place->second.phase == HeldPhase::Sent))
        return; // a repetition of the grant in use
    if (!known || place->second.attempt != grant.attempt() || place->second.phase != HeldPhase::Waiting) {
        m_link.addEnd(unusedGrant(grant), {}, now);
        return;
    }
    auto& it = place->second;
    it.executor = grant.executor();
    it.address = grant.address();
    it.grantUsableUntil = usableUntil;
    if (!attemptStillUsable(it, now))
        return returnGrant(it, true, now);
    start(it, now);
}

bool RequestHolder::attemptStillUsable(const HeldRequest& it, Instant now) const
{
    return now < it.grantUsableUntil && now < it.submission.deadline;
}

// Gives a grant back unused; the request waits on when it wants another.
void RequestHolder::returnGrant(HeldRequest& it, bool wantsRetry, Instant now)
{
    ++m_stats.staleGrantsReturned;
    it.phase = HeldPhase::Beginning;
    endAttempt(it, nullptr, wantsRetry, now);
    ++it.attempt;
    if (wantsRetry)
        queueTicket(it, now);
}

void RequestHolder::queueTicket(HeldRequest& it, Instant now)
{
    it.phase = HeldPhase::Waiting;
    it.executor.clear();
    wakeAt(it, it.submission.deadline);
    m_link.addTicket(ticketOf(it, now));
}

// ---- Attempts --------------------------------------------------------------

void RequestHolder::start(HeldRequest& it, Instant now)
{
    if (it.submission.idempotent || it.begun)
        return sendToExecutor(it, now);
    it.phase = HeldPhase::Beginning;
    it.beginUntil = now + m_options.beginPatience;
    sendBegin(it, now);
}

void RequestHolder::sendBegin(HeldRequest& it, Instant now)
{
    if (it.beginKey.empty())
        it.beginKey = toString(keyOf(it));
    BeginDurably action;
    action.handle = it.submission.handle;
    action.begin.set_request_id(it.submission.requestId);
    action.begin.set_team_id(it.submission.team);
    action.begin.set_attempt(it.beginKey);
    m_actions.emplace_back(std::move(action));
    wakeAt(it, std::min<Instant>(now + m_options.beginResend, it.beginUntil));
}

void RequestHolder::sendToExecutor(HeldRequest& it, Instant now)
{
    if (!it.counted)
        m_retryBudget.onFirstAttempt(it.submission.team);
    it.counted = true;
    it.phase = HeldPhase::Sent;
    it.sentAt = now;
    wakeAt(it, it.submission.deadline);
    m_actions.emplace_back(SendToExecutor {
        toString(keyOf(it)), it.submission.handle, it.executor, it.address, it.submission.deadline - now });
}

void RequestHolder::onBeginAnswer(const schema::BeginAnswer& answer, Instant now)
{
    auto* it = byKey(answer.attempt());
    if (!it || it->beginKey != answer.attempt() || it->begun
        || (it->phase != HeldPhase::Beginning && it->phase != HeldPhase::Refusing))
        return;
    switch (answer.verdict()) {
    case schema::BEGIN_VERDICT_BEGUN:
        it->begun = true;
        return onBegun(*it, now);
    case schema::BEGIN_VERDICT_FINISHED:
        endUnsentAttempt(*it, now);
        m_actions.emplace_back(AnswerStored { it->submission.handle, answer.outcome() });
        ++m_stats.answered;
        return drop(*it);
    case schema::BEGIN_VERDICT_RUNNING:
        return refuseUnsent(
            *it, errorOf(ErrorKind::AlreadyRunning, "this request id was begun by another arrival"), now);
    default:
        return refuseUnresolved(*it, now);
    }
}

void RequestHolder::onBegun(HeldRequest& it, Instant now)
{
    if (it.phase == HeldPhase::Refusing)
        return refuseNow(it, *it.refusal, now);
    if (it.callerGone) {
        endUnsentAttempt(it, now);
        finishUnsent(it);
        return drop(it);
    }
    if (now >= it.submission.deadline)
        return refuseUnsent(it, errorOf(ErrorKind::DeadlinePassed, "the deadline passed before it was sent"), now);
    if (!attemptStillUsable(it, now))
        return returnGrant(it, true, now);
    sendToExecutor(it, now);
}

void RequestHolder::onBeginFailed(std::string_view attemptKey, const Error&, Instant now)
{
    auto* it = byKey(attemptKey);
    if (it && !it->begun && (it->phase == HeldPhase::Beginning || it->phase == HeldPhase::Refusing))
        refuseUnresolved(*it, now);
}

void RequestHolder::onExecutorResult(const ExecutorResult& result, Instant now)
{
    const auto key = parseAttemptKey(result.attemptKey);
    auto* it = byKey(result.attemptKey);
    if (!it || it->phase != HeldPhase::Sent || it->attempt != key->attempt) {
        ++m_stats.lateAnswersDropped;
        return;
    }
    if (const auto* answer = std::get_if<WholeAnswer>(&result.outcome))
        return onWholeAnswer(*it, *answer, result, now);
    onFailure(*it, result, now);
}

void RequestHolder::onWholeAnswer(HeldRequest& it, const WholeAnswer& answer, const ExecutorResult& result, Instant now)
{
    it.bytesSent = true;
    const bool failed = answer.httpStatus >= serverErrorStatus;
    const bool retry = failed && mayRetry(it, now);
    endAttempt(it, &result, retry, now);
    if (retry)
        return retryLater(it, now);
    if (!it.submission.idempotent) {
        FinishDurably action { it.submission.handle, result.attemptKey, {} };
        action.finish.set_request_id(it.submission.requestId);
        action.finish.set_team_id(it.submission.team);
        action.finish.set_attempt(it.beginKey);
        action.finish.set_http_status(answer.httpStatus);
        action.finish.set_content_type(answer.contentType);
        m_actions.emplace_back(std::move(action));
    }
    if (!it.callerGone)
        m_actions.emplace_back(AnswerCaller { it.submission.handle, result.attemptKey });
    ++m_stats.answered;
    drop(it);
}

void RequestHolder::onFailure(HeldRequest& it, const ExecutorResult& result, Instant now)
{
    const bool unsent = surelyDidNotRun(result.outcome);
    it.bytesSent = it.bytesSent || !unsent;
    const bool retry = (it.submission.idempotent || unsent) && mayRetry(it, now);
    endAttempt(it, &result, retry, now);
    if (retry)
        return retryLater(it, now);
    if (unsent)
        return refuseNow(it, errorOf(ErrorKind::ExecutorUnreachable, "the executor could not be reached"), now);
    if (std::holds_alternative<Overdue>(result.outcome))
        return refuseNow(it, errorOf(ErrorKind::AnswerOverdue, "no answer by the deadline"), now);
    if (std::holds_alternative<CutShort>(result.outcome))
        return refuseNow(it, errorOf(ErrorKind::AnswerLost, "the answer was cut short"), now);
    refuseNow(it, errorOf(ErrorKind::ExecutorFailed, "the executor failed after the request was sent"), now);
}

bool RequestHolder::mayRetry(const HeldRequest& it, Instant now) const
{
    return !it.callerGone && it.retries + 1 < m_options.maxAttempts && now < it.submission.deadline;
}

void RequestHolder::retryLater(HeldRequest& it, Instant now)
{
    const auto backoff = Duration(m_options.retryBackoff) * (1 << std::min<uint32_t>(it.retries, 6));
    const auto jittered = backoff / 2 + Duration(m_random.below(static_cast<uint64_t>(backoff.count())));
    ++it.retries;
    ++it.attempt;
    ++m_stats.retries;
    it.avoid.push_back(it.executor);
    it.phase = HeldPhase::BackingOff;
    wakeAt(it, std::min<Instant>(now + jittered, it.submission.deadline));
}

// Reports the end of the current attempt to the leader; without a result it was never sent.
void RequestHolder::endAttempt(HeldRequest& it, const ExecutorResult* result, bool wantsRetry, Instant now)
{
    m_link.addEnd(endOf(it, result, wantsRetry), outstandingOf(it, now), now);
}

void RequestHolder::endUnsentAttempt(HeldRequest& it, Instant now)
{
    if (it.phase == HeldPhase::Beginning)
        endAttempt(it, nullptr, false, now);
}

// ---- Refusals --------------------------------------------------------------

// Gives a request up. The id of a non-idempotent one is checked first, because
// "did not run" must hold for every arrival of that id.
void RequestHolder::giveUp(HeldRequest& it, Error error, Instant now)
{
    const bool mustCheck = !it.submission.idempotent && !it.begun && promisesDidNotRun(error.kind)
        && error.kind != ErrorKind::Unauthenticated;
    if (!mustCheck)
        return refuseNow(it, std::move(error), now);
    if (it.callerGone)
        return drop(it);
    it.refusal = std::move(error);
    it.phase = HeldPhase::Refusing;
    it.beginUntil = now + m_options.beginPatience;
    sendBegin(it, now);
}

void RequestHolder::refuseUnsent(HeldRequest& it, Error error, Instant now)
{
    endUnsentAttempt(it, now);
    refuseNow(it, std::move(error), now);
}

void RequestHolder::refuseNow(HeldRequest& it, Error error, Instant)
{
    if (it.bytesSent && promisesDidNotRun(error.kind))
        error = errorOf(ErrorKind::ExecutorFailed, "an earlier attempt may have run: " + error.message);
    finishUnsent(it);
    ++m_stats.refused;
    if (!it.callerGone)
        m_actions.emplace_back(RefuseCaller { it.submission.handle, std::move(error) });
    drop(it);
}

// The record of begun requests does not answer, so whether an earlier arrival
// of this id ran is not known.
void RequestHolder::refuseUnresolved(HeldRequest& it, Instant now)
{
    refuseUnsent(it,
        errorOf(ErrorKind::AlreadyRunning, "the record of begun requests is out of reach; ask again with this id"),
        now);
}

// Lets the id be begun again when this arrival may have recorded it and sent nothing.
void RequestHolder::finishUnsent(HeldRequest& it)
{
    if (it.beginKey.empty() || it.bytesSent || it.phase == HeldPhase::Sent)
        return;
    FinishDurably action { it.submission.handle, {}, {} };
    action.finish.set_request_id(it.submission.requestId);
    action.finish.set_team_id(it.submission.team);
    action.finish.set_attempt(it.beginKey);
    action.finish.set_did_not_run(true);
    m_actions.emplace_back(std::move(action));
}

void RequestHolder::drop(HeldRequest& it)
{
    const auto sequence = it.sequence;
    m_wakes.erase({ it.wake, sequence });
    m_byHandle.erase(it.submission.handle);
    m_requests.erase(sequence);
}

// ---- Time ------------------------------------------------------------------

void RequestHolder::wakeAt(HeldRequest& it, Instant wake)
{
    m_wakes.erase({ it.wake, it.sequence });
    it.wake = wake;
    m_wakes.insert({ wake, it.sequence });
}

void RequestHolder::onTick(Instant now)
{
    while (!m_wakes.empty() && m_wakes.begin()->first <= now) {
        const auto sequence = m_wakes.begin()->second;
        m_wakes.erase(m_wakes.begin());
        onWake(m_requests.at(sequence), now);
    }
    refuseLeaderless(now);
    m_link.onTick(!m_requests.empty(), now);
}

void RequestHolder::onWake(HeldRequest& it, Instant now)
{
    const bool overdue = now >= it.submission.deadline;
    switch (it.phase) {
    case HeldPhase::Waiting:
        m_link.addCancelled(it.sequence);
        return giveUp(it, errorOf(ErrorKind::DeadlinePassed, "the deadline passed while it waited"), now);
    case HeldPhase::BackingOff:
        if (overdue)
            return giveUp(it, errorOf(ErrorKind::DeadlinePassed, "the deadline passed before its next attempt"), now);
        return queueTicket(it, now);
    case HeldPhase::Beginning:
    case HeldPhase::Refusing:
        if (now >= it.beginUntil)
            return refuseUnresolved(it, now);
        return sendBegin(it, now);
    case HeldPhase::Sent:
        m_actions.emplace_back(AbortAttempt { toString(keyOf(it)) });
        return onFailure(it, { toString(keyOf(it)), Overdue {}, now - it.sentAt }, now);
    }
}

void RequestHolder::refuseLeaderless(Instant now)
{
    if (m_link.hasLeader() || now < m_link.leaderlessSince() + m_options.leaderlessPatience)
        return;
    std::vector<uint64_t> waiting;
    for (const auto& [sequence, it] : m_requests) {
        if (it.phase == HeldPhase::Waiting)
            waiting.push_back(sequence);
    }
    for (const auto sequence : waiting)
        giveUp(m_requests.at(sequence), errorOf(ErrorKind::NoLeader, "the data centre has no leader"), now);
}

void RequestHolder::beginShutdown(Instant) { m_shuttingDown = true; }

std::vector<HolderAction> RequestHolder::takeActions(Instant now)
{
    if (m_link.wantsToSend())
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
            if (it.phase == HeldPhase::Beginning || it.phase == HeldPhase::Sent)
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
