// JobLeader: periodic checks of executors and gangs.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    // How long the late result of an order that timed out is still accepted.
    constexpr Milliseconds lateResultWindow { 8'000 };
    // How long before a draining executor leaves its runs are stopped; enough for the stop, its listing and the new
    // start.
    constexpr Milliseconds departureLead { 700 };
    // Between a departure and the removal of the executor; covers the way of a listing over another core instance.
    constexpr Milliseconds departureDelay { 100 };
    // An announcement of an incarnation that ended longer ago is not doubted.
    constexpr size_t maxGoneIncarnations = 10'000;
    constexpr Milliseconds forecastInterval { 150 };
    // Horizon within which a gang may wait for capacity; half the run time of a large task.
    constexpr double freedSoonMs = 1'500;
    // Lower bound for estimates: shorter tasks do not predict how soon capacity comes free.
    constexpr double minTaskMs = 100;

} // namespace

void JobLeader::expireOrders()
{
    std::vector<uint64_t> timedOut;
    for (auto it = m_pendingOrders.begin(); it != m_pendingOrders.end();) {
        if (it->second.isTimedOut && m_now >= it->second.timeoutAt + lateResultWindow) {
            it = m_pendingOrders.erase(it);
            continue;
        }
        if (!it->second.isTimedOut && m_now >= it->second.timeoutAt)
            timedOut.push_back(it->first);
        ++it;
    }
    for (const auto number : timedOut) {
        auto order = m_pendingOrders.at(number);
        order.isTimedOut = order.isPoll = true;
        onOrderResult(number, {}, m_now);
        if (findExecutor(order.executor) != nullptr)
            m_pendingOrders.emplace(number, order);
    }
}

void JobLeader::checkExecutor(LiveExecutor& executor)
{
    expireWaitingStarts(executor);
    if (executor.isReplaced) {
        // After this time no run that the other incarnation was given has a lease.
        if (m_now - executor.replacedAt > longestValidity(m_options.maxLease))
            removeIncarnation(executor.number, "no successor announced itself", RunEvidence::IncarnationEnded);
        return;
    }
    const bool isSilent = m_now - std::max(executor.lastAnswerAt, executor.addedAt) > m_options.suspectAfter;
    if (isSilent && !executor.runs.empty()) {
        const auto earliestExpiry = executor.addedAt + longestValidity(m_inheritedLease);
        if (m_now >= (executor.hasAcceptedFence ? executor.clock.expiresAt() : earliestExpiry))
            expireLease(executor);
    }
    const auto hasOpenRuns = [&] {
        return std::any_of(executor.runs.begin(), executor.runs.end(),
            [](const auto& it) { return it.second.stage != RunStage::Ending; });
    };
    if (executor.hasLeft() && m_now - executor.leftAt >= departureDelay && !hasOpenRuns()) {
        rememberGone(executor.number);
        removeIncarnation(executor.number, "left", RunEvidence::IncarnationEnded);
        return;
    }
    const auto lastContactAt = std::max({ executor.lastAnnouncedAt, executor.lastAnswerAt, m_leadingSince });
    if (executor.runs.empty() && m_now - lastContactAt > m_options.removeExecutorAfter) {
        removeIncarnation(executor.number, "silent", RunEvidence::IncarnationEnded);
        return;
    }
    if (executor.renewalOrder == 0 && isRenewalDue(executor))
        sendRenewal(executor);
    pollForExpiredStarts(executor);
    if (m_now >= executor.pollAt)
        sendPoll(executor);
    if (!executor.hasAcceptedFence)
        return;
    for (auto& [key, run] : executor.runs) {
        const bool isStopDue = run.mustStop && !run.isStopPending && !run.isStopAnswered()
            && run.stage != RunStage::Ending && run.stage != RunStage::Committing
            && m_now - run.stopSentAt > m_options.stopRetryInterval;
        if (isStopDue)
            sendStop(executor, key, run);
    }
    if (executor.isDraining)
        stopRunsBeforeDeparture(executor);
    if (m_now - executor.forecastUpdatedAt >= forecastInterval)
        forecastReleases(executor);
}

void JobLeader::forecastReleases(LiveExecutor& executor)
{
    executor.forecastUpdatedAt = m_now;
    executor.freedSoon = {};
    executor.freedPerSecond = {};
    for (const auto& [key, run] : executor.runs) {
        const auto step = m_readySteps.find(key.step);
        if (step == m_readySteps.end() || !run.isOpen() || run.mustStop)
            continue;
        const double taskMs = std::max(minTaskMs, step->second.taskMs * executor.slowness);
        const double ranMs = std::chrono::duration<double, std::milli>(m_now - run.startedAt).count();
        if (taskMs - ranMs < freedSoonMs)
            executor.freedSoon += run.need;
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            executor.freedPerSecond[n] += static_cast<double>(run.need.amounts[n]) * 1'000 / taskMs;
    }
}

void JobLeader::stopRunsBeforeDeparture(LiveExecutor& executor)
{
    if (executor.drainedBy == Instant() || m_now + departureLead < executor.drainedBy)
        return;
    for (auto& [key, run] : executor.runs) {
        const auto* job = m_state.find(key.step.job);
        if (job == nullptr || job->hasEnded())
            continue;
        const auto& step = job->request.steps(static_cast<int>(key.step.step));
        if (step.checkpoints() || step.lasting())
            requestStop(executor, key, run);
    }
}

void JobLeader::checkGangs()
{
    std::vector<StepKey> broken;
    for (auto it = m_assemblingGangs.begin(); it != m_assemblingGangs.end();) {
        size_t present = 0;
        for (const auto& location : m_runIndex.ofStep(it->first)) {
            const auto* run = findRun(location);
            present += run != nullptr && run->stage == RunStage::Running ? 1 : 0;
        }
        const auto step = m_readySteps.find(it->first);
        if (step == m_readySteps.end() || present >= step->second.count) {
            it = m_assemblingGangs.erase(it);
            continue;
        }
        if (m_now >= it->second)
            broken.push_back(it->first);
        ++it;
    }
    for (const auto& it : broken) {
        log("gang_stopped", { { "step", stepText(it) }, { "reason", "not assembled in time" } });
        stopGang(it);
    }
}

void JobLeader::rememberGone(uint32_t number)
{
    const auto* state = executorState(number);
    if (state == nullptr || !m_goneIncarnations.emplace(state->record.id(), state->record.born_ms()).second)
        return;
    m_goneInOrder.emplace_back(state->record.id(), state->record.born_ms());
    if (m_goneInOrder.size() > maxGoneIncarnations) {
        m_goneIncarnations.erase(m_goneInOrder.front());
        m_goneInOrder.pop_front();
    }
}

void JobLeader::awaitSuccessor(LiveExecutor& executor)
{
    if (std::exchange(executor.isReplaced, true))
        return;
    executor.replacedAt = m_now;
    executor.hasAcceptedFence = false;
    const auto* state = executorState(executor.number);
    log("executor_replaced",
        { { "executor", state->record.id() }, { "born", std::to_string(state->record.born_ms()) },
            { "runs", std::to_string(executor.runs.size()) } });
    rememberGone(executor.number);
    raiseFence(state->record, ++m_lastExecutor);
    recordCrash(executor, RunEvidence::IncarnationEnded);
    endRunsInProgress(executor, RunEvidence::IncarnationEnded);
    absl::erase_if(m_pendingOrders, [&](const auto& it) { return it.second.executor == executor.number; });
}

void JobLeader::removeIncarnation(uint32_t number, std::string_view reason, RunEvidence evidence, uint32_t successor)
{
    auto* executor = findExecutor(number);
    const auto* state = executorState(number);
    if (executor == nullptr || state == nullptr || executor->isRemovalProposed)
        return;
    if (!std::exchange(executor->isRemovalDue, true)) {
        const auto pending = std::count_if(m_pendingOrders.begin(), m_pendingOrders.end(),
            [&](const auto& it) { return it.second.executor == number && !it.second.isTimedOut; });
        log("executor_gone",
            { { "executor", state->record.id() }, { "born", std::to_string(state->record.born_ms()) },
                { "reason", std::string(reason) }, { "runs", std::to_string(executor->runs.size()) },
                { "pending_orders", std::to_string(pending) } });
    }
    executor->hasAcceptedFence = false;
    if (!std::exchange(executor->isReplaced, true))
        executor->replacedAt = m_now;
    executor->nextRenewalAt = Instant::max();
    endRunsInProgress(*executor, evidence);
    std::vector<TaskKey> inFlight;
    for (const auto& [key, run] : executor->runs) {
        if (run.mayStillStart())
            inFlight.push_back(key);
    }
    for (const auto& it : inFlight) {
        if (successor == 0) {
            endRunIfCertain(*executor, it, evidence, m_now, schema::RUN_OUTCOME_LOST);
            continue;
        }
        auto& assignment = *change().mutable_assigned();
        fillRef(it, *assignment.mutable_task());
        assignment.set_run(executor->runs.at(it).run);
        assignment.set_executor(successor);
    }
    absl::erase_if(m_pendingOrders, [&](const auto& it) { return it.second.executor == number; });
    const bool mustWait = successor == 0
        && std::any_of(executor->runs.begin(), executor->runs.end(),
            [](const auto& it) { return it.second.stage == RunStage::AwaitingStartExpiry; });
    if (mustWait)
        return;
    executor->isRemovalProposed = true;
    change().set_executor_removed(number);
    m_batch.continuations.emplace_back(ExecutorWhenCommitted { number, {} });
}

} // namespace teasel
