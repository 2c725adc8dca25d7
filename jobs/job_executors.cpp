// JobLeader: leases and their renewal, and the ends and stops of runs on executors.
#include "jobs/job_leader.h"

#include "core/invariant.h"

#include <algorithm>

namespace teasel {

namespace {

    // Time beyond an order's timeout after which its outcome is treated as unknown.
    constexpr Milliseconds resultGrace { 500 };
    // Longest time for which an executor delays an order that it has received, by the platform's contract.
    constexpr Milliseconds maxExecutorDelay { 12'000 };
    // Between two confirmations that show that the executor outlived the start of the first run, whichever leaders'
    // clocks they were recorded by.
    constexpr Milliseconds confirmationSkew { 6'000 };
    constexpr Milliseconds startAnswerWait { 100 }; // of a renewal that is to acknowledge ends
    constexpr uint64_t maxUnacknowledgedEnds = 250; // half of what executors list at once, by the platform's contract
    constexpr unsigned unansweredStopsBeforeBlocked = 3; // consecutive stops without an answer
    constexpr unsigned fenceCounterBits = 32; // low bits of a fence; the leader's term is above them
    constexpr Milliseconds listingDelay { 60 }; // between the end of a run and its listing

} // namespace

LiveExecutor* JobLeader::findExecutor(uint32_t number)
{
    const auto it = m_executors.find(number);
    return it == m_executors.end() ? nullptr : &it->second;
}

const ExecutorState* JobLeader::executorState(uint32_t number) const
{
    const auto it = m_state.executors().find(number);
    return it == m_state.executors().end() ? nullptr : &it->second;
}

void JobLeader::addExecutor(const ExecutorState& state)
{
    auto& executor = m_executors[state.record.number()];
    executor.number = state.record.number();
    executor.fence = nextFence();
    m_directory.add(executor.number, state.record.id(), state.record.address());
    executor.isDraining = state.record.draining();
    executor.capacity = state.capacity;
    if (m_options.usesLearnedSpeeds)
        executor.slowness = 1 / m_runTimeModel.speedOf(state.record.id()).factor;
    executor.addedAt = m_now;
    if (m_state.isLost(state.record.id(), state.record.born_ms()))
        executor.lostAt = m_now;
    executor.lastAnnouncedAt = m_now;
    executor.nextRenewalAt = m_now;
    for (const auto& [key, held] : state.assignments) {
        LiveRun run;
        run.run = held.run;
        run.stage = RunStage::Inherited;
        run.need = held.need;
        run.assignedAt = run.startedAt = run.startSentAt = m_now;
        const auto* moved = findRun(key, held.run);
        run.isMoved = moved != nullptr;
        run.isConfirmed = held.isConfirmed;
        run.hasWorkedBefore
            = held.isConfirmed && state.lastConfirmedAtMs > held.confirmedAtMs + confirmationSkew.count();
        run.startExpiresAt = moved != nullptr ? moved->startExpiresAt : inheritedStartExpiry(key);
        run.mayHaveCopies = moved != nullptr ? moved->mayHaveCopies : mayHaveBeenRepeated(key);
        run.isFromStart = false;
        const auto* job = m_state.find(key.step.job);
        if (job != nullptr) {
            run.team = job->request.team();
            run.queue = job->request.queue();
        }
        if (job != nullptr && !job->hasEnded()) {
            const auto& step = job->request.steps(static_cast<int>(key.step.step));
            run.mayBePreempted = step.checkpoints() && !step.gang() && !step.lasting();
        }
        run.mustStop = job == nullptr || job->hasEnded();
        reserve(executor, key, std::move(run));
    }
}

void JobLeader::dropExecutor(uint32_t number)
{
    const auto it = m_executors.find(number);
    if (it == m_executors.end())
        return;
    for (const auto& [key, run] : it->second.runs) {
        m_teamUsage[run.team] -= run.need;
        m_runIndex.remove(key, number);
        // The stop of a run that moved to the next incarnation goes on there.
        for (const auto& location : m_runIndex.ofStep(key.step)) {
            auto* moved = location.task == key ? findRun(location) : nullptr;
            if (moved != nullptr && moved->run == run.run && run.mustStop)
                requestStop(*findExecutor(location.executor), key, *moved);
        }
    }
    m_directory.remove(number);
    m_failures.forgetExecutor(number);
    m_executors.erase(it);
}

LiveRun* JobLeader::findRun(const RunIndex::Location& it)
{
    auto* executor = findExecutor(it.executor);
    if (executor == nullptr)
        return nullptr;
    const auto run = executor->runs.find(it.task);
    return run == executor->runs.end() ? nullptr : &run->second;
}

LiveRun* JobLeader::findRun(const TaskKey& key, uint32_t run)
{
    for (const auto& it : m_runIndex.ofStep(key.step)) {
        auto* known = it.task == key ? findRun(it) : nullptr;
        if (known != nullptr && known->run == run)
            return known;
    }
    return nullptr;
}

void JobLeader::reserve(LiveExecutor& executor, const TaskKey& key, LiveRun run)
{
    executor.committed += run.need;
    if (run.mustStop)
        executor.stopping += run.need;
    m_teamUsage[run.team] += run.need;
    executor.runs.insert_or_assign(key, std::move(run));
    m_runIndex.add(key, executor.number);
}

void JobLeader::releaseRun(LiveExecutor& executor, absl::btree_map<TaskKey, LiveRun>::iterator it)
{
    executor.committed -= it->second.need;
    if (it->second.mustStop)
        executor.stopping -= it->second.need;
    m_teamUsage[it->second.team] -= it->second.need;
    m_runIndex.remove(it->first, executor.number);
    executor.runs.erase(it);
    m_mustPlan = true;
}

bool JobLeader::isInService(const LiveExecutor& it) const
{
    return it.hasAcceptedFence && !it.isDraining && !it.hasLeft() && m_now - it.lastAnswerAt <= m_options.suspectAfter
        && it.isAnswering();
}

bool JobLeader::isUsable(const LiveExecutor& it) const { return isInService(it) && it.quarantinedUntil <= m_now; }

std::string_view JobLeader::regionOf(const ExecutorState& executor) const
{
    const auto it = m_options.regions.find(executor.record.zone());
    return it == m_options.regions.end() ? std::string_view() : it->second;
}

// ---- Orders --------------------------------------------------------------

uint64_t JobLeader::nextFence()
{
    checkInvariant(
        m_lastFence != UINT32_MAX, "leader_has_fences_left", [this] { return "term " + std::to_string(m_fence); });
    return m_fence << fenceCounterBits | ++m_lastFence;
}

uint64_t JobLeader::sendOrder(LiveExecutor& executor, PendingOrder order, ExecutorOrder body, Milliseconds timeout)
{
    const auto* state = executorState(executor.number);
    if (state == nullptr)
        return 0;
    order.executor = executor.number;
    order.sentAt = m_now;
    order.timeoutAt = m_now + timeout + resultGrace;
    const auto number = ++m_lastOrder;
    // A later incarnation that carries out this start late refuses the renewals that were sent before it. They would
    // make it forget the end of the run, which no listing has shown, or extend the lease of the run.
    const bool isStart = order.kind == PendingOrder::Kind::Start;
    const bool mayOvertake = isStart
        && std::any_of(executor.ordersInFlight.begin(), executor.ordersInFlight.end(),
            [&](const auto& it) { return !it.second.isStart && it.second.fence == executor.fence; });
    if (mayOvertake)
        executor.fence = nextFence();
    if (order.expiresAt == Instant())
        order.expiresAt = m_now + m_options.maxStartDelay;
    if (isStart || order.acknowledgedEnds > 0 || order.renewsLease) {
        absl::erase_if(executor.ordersInFlight, [&](const auto& it) { return m_now > it.second.expiresAt; });
        executor.ordersInFlight[number]
            = { m_now, order.expiresAt, executor.fence, isStart, isStart || order.renewsLease };
    }
    m_pendingOrders.emplace(number, order);
    m_actions.emplace_back(SendOrder { number, state->record.address(), state->record.id(), executor.fence, timeout,
        std::move(body), executor.number, state->record.zone() });
    return number;
}

void JobLeader::raiseFence(const schema::ExecutorRecord& record, uint32_t number)
{
    ++m_counters.renewals;
    // The result is not used: the number is not that of a pending order.
    m_actions.emplace_back(SendOrder { ++m_lastOrder, record.address(), record.id(), nextFence(),
        m_options.renewalSlack, RenewLease {}, number, record.zone() });
}

uint64_t JobLeader::endsToAcknowledge(const LiveExecutor& executor) const
{
    if (executor.acknowledgedEnds >= executor.committedEnds)
        return 0;
    // An acknowledgement also takes effect in a later incarnation, whose ends are numbered anew. If that one has
    // carried out a start late, it would forget the end of a run that no listing has shown.
    const bool mayStartLate = std::any_of(
        executor.runs.begin(), executor.runs.end(), [](const auto& it) { return it.second.mayStillStart(); });
    // An end list that is full shows no absent run, so that the start would never be resolved.
    const bool isListFilling = executor.committedEnds - executor.acknowledgedEnds >= maxUnacknowledgedEnds;
    return mayStartLate && !isListFilling ? 0 : executor.committedEnds;
}

bool JobLeader::isRenewalDue(const LiveExecutor& executor) const
{
    if (m_now < executor.nextRenewalAt)
        return false;
    if (executor.acknowledgedEnds >= executor.committedEnds || m_now >= executor.nextRenewalAt + startAnswerWait)
        return true;
    // Ends can be acknowledged once these starts are answered.
    return std::none_of(executor.runs.begin(), executor.runs.end(),
        [](const auto& it) { return it.second.stage == RunStage::Starting; });
}

void JobLeader::sendPoll(LiveExecutor& executor)
{
    executor.pollAt = Instant::max();
    ++m_counters.renewals;
    PendingOrder order;
    order.acknowledgedEnds = endsToAcknowledge(executor);
    RenewLease poll;
    poll.acknowledgedEnds = order.acknowledgedEnds;
    order.kind = PendingOrder::Kind::Renewal;
    order.isPoll = true;
    sendOrder(executor, order, poll, m_options.renewalSlack);
}

void JobLeader::sendRenewal(LiveExecutor& executor)
{
    PendingOrder order;
    order.acknowledgedEnds = endsToAcknowledge(executor);
    RenewLease renewal;
    renewal.acknowledgedEnds = order.acknowledgedEnds;
    const bool isNew = !executor.clock.isKnown();
    const bool isLeaving = executor.hasLeft() && executor.answeredOrderSentAt <= executor.leftAt;
    const bool isSuspect = isLeaving || m_now - executor.lastAnswerAt > m_options.suspectAfter;
    order.isRegular = !isNew && !isSuspect;
    // A suspect executor's lease is not renewed, so that it is certain when it expires. Nor is it after a start that is
    // not answered, or was by an unknown incarnation: carried out late, the renewal would extend the lease of a later
    // incarnation that has begun the run.
    if (order.isRegular && !executor.hasUnansweredStart() && !executor.hasUnconfirmedRun()) {
        renewal.leaseUntilMs = executor.clock.executorNow(m_now) + static_cast<uint64_t>(lease().count());
        executor.clock.recordLeaseSent(renewal.leaseUntilMs);
        executor.leaseExtendedAt = m_now;
    }
    // An executor that accepts no further connection receives stops over the connection used for renewals, so
    // renewals must not wait there.
    const bool isBlocked = std::any_of(executor.runs.begin(), executor.runs.end(),
        [](const auto& it) { return it.second.unansweredStops >= unansweredStopsBeforeBlocked; });
    renewal.wait = isNew || isSuspect || isBlocked ? Milliseconds(0) : m_options.renewalWait;
    ++m_counters.renewals;
    order.kind = PendingOrder::Kind::Renewal;
    order.renewsLease = renewal.leaseUntilMs != 0;
    const auto timeout = renewal.wait + m_options.renewalSlack;
    executor.renewalSentAt = m_now;
    executor.renewalOrder = sendOrder(executor, order, renewal, timeout);
}

void JobLeader::requestStop(LiveExecutor& executor, const TaskKey& key, LiveRun& run)
{
    if (run.stage == RunStage::Ending)
        return;
    if (std::exchange(run.mustStop, true) || run.stage == RunStage::AwaitingStartExpiry)
        return;
    executor.stopping += run.need;
    if (run.stage == RunStage::Committing)
        return;
    if (executor.hasAcceptedFence)
        sendStop(executor, key, run);
}

void JobLeader::sendStop(LiveExecutor& executor, const TaskKey& key, LiveRun& run)
{
    ++m_counters.stops;
    run.isStopPending = true;
    run.stopSentAt = m_now;
    PendingOrder order;
    order.kind = PendingOrder::Kind::Stop;
    order.task = key;
    order.run = run.run;
    sendOrder(executor, order, StopRun { key, run.run }, m_options.orderTimeout);
}

void JobLeader::onOrderResult(uint64_t number, OrderResult result, Instant now)
{
    if (const auto claim = m_claims.takeProbe(number)) {
        m_now = now;
        return onClaimProbed(*claim, result);
    }
    const auto found = m_pendingOrders.find(number);
    if (found == m_pendingOrders.end())
        return;
    m_now = now;
    const auto order = found->second;
    m_pendingOrders.erase(found);
    if (order.isTimedOut && result.outcome != OrderOutcome::Done)
        return;
    auto* executor = findExecutor(order.executor);
    const auto* state = executorState(order.executor);
    if (executor == nullptr || state == nullptr)
        return;
    const auto inFlight = executor->ordersInFlight.find(number);
    if (inFlight != executor->ordersInFlight.end() && result.outcome != OrderOutcome::UnknownOutcome)
        executor->ordersInFlight.erase(inFlight);
    // The sender has reported the end of its call, so that the order waits in no queue of ours any more.
    else if (inFlight != executor->ordersInFlight.end() && m_now < order.timeoutAt)
        inFlight->second.expiresAt = std::min(inFlight->second.expiresAt, m_now + maxExecutorDelay);
    if (result.outcome == OrderOutcome::OtherIncarnation && order.sentAt <= executor->movedAt) // at its earlier address
        result = {};
    if (result.outcome == OrderOutcome::OtherIncarnation) { // It has another id and refuses all orders for this one.
        recordCrash(*executor, RunEvidence::AddressTaken);
        rememberGone(order.executor);
        removeIncarnation(order.executor, "another_incarnation_answered", RunEvidence::AddressTaken);
        return;
    }
    if (result.bornMs != 0 && state->record.born_ms() != 0 && result.bornMs != state->record.born_ms()) {
        const auto claim = m_claims.find(state->record.id(), result.bornMs, state->record.address());
        awaitSuccessor(*executor);
        if (claim)
            confirmClaim(*claim, order.sentAt);
        return;
    }
    if (order.kind == PendingOrder::Kind::Renewal && result.outcome == OrderOutcome::Done && result.bornMs == 0
        && state->record.born_ms() != 0) { // It may be of another incarnation.
        log("list_without_start_time", { { "executor", state->record.id() } });
        result = {};
    }
    if (result.outcome != OrderOutcome::UnknownOutcome && result.outcome != OrderOutcome::NotSent && !order.isTimedOut)
        executor->lastHeardAt = m_now;
    if (result.clockMs != 0) {
        // A previous leader may have renewed the lease until just before.
        if (!executor->clock.isKnown())
            executor->clock.recordLeaseSent(result.clockMs + static_cast<uint64_t>(m_inheritedLease.count()));
        executor->clock.onReading(result.clockMs, now);
    }
    switch (order.kind) {
    case PendingOrder::Kind::Renewal:
        return onRenewalResult(*executor, order, result);
    case PendingOrder::Kind::Start:
        return onStartResult(*executor, order, result);
    case PendingOrder::Kind::Stop:
        return onStopResult(*executor, order, result);
    }
}

void JobLeader::onStartResult(LiveExecutor& executor, const PendingOrder& order, const OrderResult& result)
{
    const auto it = executor.runs.find(order.task);
    if (it == executor.runs.end() || it->second.run != order.run || it->second.stage != RunStage::Starting)
        return;
    auto& run = it->second;
    run.isStartAnswered = result.outcome != OrderOutcome::UnknownOutcome;
    if (result.outcome == OrderOutcome::Done) {
        run.stage = RunStage::Running;
        run.startedAt = run.lastShownAt = m_now;
        if (!run.mayHaveCopies)
            run.startExpiresAt = m_now;
        m_latencies.record(run.queue, JobStage::Answered, m_now - order.sentAt);
        if (isFromRegisteredIncarnation(executor, order, result))
            confirmRun(executor, order.task, run, order.sentAt);
        return;
    }
    const auto* state = executorState(executor.number);
    log("start_failed",
        { { "task", taskText(order.task) }, { "run", std::to_string(order.run) },
            { "executor", state == nullptr ? "" : state->record.id() },
            { "end", std::to_string(static_cast<int>(result.outcome)) },
            { "after_ms", millisText(m_now - order.sentAt) } });
    // A refusal as old also comes if the start was received twice and its run has ended. One by an unhealthy executor,
    // or for a fence, ticket or lease, says nothing about another copy of the start that arrived earlier.
    run.isRefused = result.outcome == OrderOutcome::Refused || result.outcome == OrderOutcome::StaleFence
        || result.outcome == OrderOutcome::InvalidTicket || result.outcome == OrderOutcome::LeaseExpired;
    m_counters.startsRefused += run.isRefused ? 1 : 0;
    if (result.outcome == OrderOutcome::Refused)
        recordFailure(executor, order.task, run);
    if (run.isRefused || result.outcome == OrderOutcome::UnknownOutcome || result.outcome == OrderOutcome::StaleRun) {
        m_counters.unknownStartOutcomes += run.isRefused ? 0 : 1;
        run.stage = RunStage::UnknownOutcome;
        run.unknownSince = m_now;
        executor.pollAt = m_now;
        if (m_now < order.timeoutAt && !run.mayHaveCopies) // The start waits in no queue of ours any more.
            run.startExpiresAt = std::min(run.startExpiresAt, m_now + maxExecutorDelay);
        if (result.outcome == OrderOutcome::UnknownOutcome)
            executor.unansweredSentAt = std::max(executor.unansweredSentAt, order.sentAt);
        return;
    }
    ++m_counters.startsRefused;
    if (result.outcome == OrderOutcome::NotSent && run.repeats > 0)
        return undoRepeat(executor, order.task, run);
    const bool isSent = result.outcome != OrderOutcome::NotSent;
    endRunIfCertain(executor, order.task, isSent ? RunEvidence::Refused : RunEvidence::NotSent, order.sentAt,
        schema::RUN_OUTCOME_NEVER_RAN);
}

void JobLeader::onStopResult(LiveExecutor& executor, const PendingOrder& order, const OrderResult& result)
{
    const auto it = executor.runs.find(order.task);
    if (it == executor.runs.end() || it->second.run != order.run)
        return;
    auto& run = it->second;
    run.isStopPending = false;
    run.unansweredStops = result.outcome == OrderOutcome::Done ? 0 : run.unansweredStops + 1;
    if (result.outcome == OrderOutcome::Done && !run.isStopAnswered()) {
        run.stopAnsweredAt = m_now;
        executor.pollAt = std::min(executor.pollAt, m_now + m_options.stopTime + listingDelay + listingDelay);
    }
}

// ---- Lease renewals and polls ---------------------------------------------

void JobLeader::onRenewalResult(LiveExecutor& executor, const PendingOrder& order, OrderResult& result)
{
    if (!order.isPoll)
        executor.renewalOrder = 0;
    if (result.outcome != OrderOutcome::Done) {
        executor.nextRenewalAt = m_now + m_options.renewalRetry;
        return;
    }
    const auto* state = executorState(executor.number);
    const auto silence = m_now - executor.lastAnswerAt;
    if (!std::exchange(executor.hasAcceptedFence, true)) {
        confirmEarlierLosses(state->record);
        log("executor_taken_over",
            { { "executor", state->record.id() }, { "fence", std::to_string(executor.fence) },
                { "running", std::to_string(result.running.size()) }, { "ended", std::to_string(result.ended.size()) },
                { "assigned", std::to_string(executor.runs.size()) } });
    } else if (silence > m_options.suspectAfter)
        log("executor_regained", { { "executor", state->record.id() }, { "silent_ms", millisText(silence) } });
    // It may have answered an earlier order before it crashed.
    if (executor.lostAt != Instant() && order.sentAt >= executor.lostAt)
        refuteLoss(executor, "it answers");
    executor.answeredOrderSentAt = std::max(executor.answeredOrderSentAt, order.sentAt);
    executor.acknowledgedEnds = std::max(executor.acknowledgedEnds, order.acknowledgedEnds);
    if (!order.isTimedOut) { // A late answer does not show that the executor is reachable now.
        executor.lastAnswerAt = m_now;
        if (result.bornMs != 0 && result.clockMs != 0) {
            executor.shownClockMs = result.clockMs;
            executor.shownClockAt = m_now;
        }
    }
    if (!order.isPoll)
        executor.nextRenewalAt = m_now + (order.isRegular ? m_options.renewalInterval : Milliseconds(0));
    processEndList(executor, order, result);
    processRunningList(executor, order, result);
    resolveAbsentRuns(executor, order, result);
    launchWaitingStarts(executor);
    m_mustPlan = true;
}

} // namespace teasel
