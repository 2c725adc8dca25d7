// JobLeader: what proves that a run has ended, and its end.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds listingDelay { 60 }; // between the end of a run and its listing
    constexpr uint64_t maxEndsBetweenListings = 100'000;
    // Callers ask many times a second, and the count examines all runs.
    constexpr Milliseconds unknownStartsMaxAge { 100 };

} // namespace

void JobLeader::processEndList(LiveExecutor& executor, const PendingOrder& order, const OrderResult& result)
{
    uint64_t newest = executor.processedEnds;
    for (const auto& it : result.ended) {
        if (it.number <= executor.processedEnds)
            continue;
        // A number far ahead of the others is not acknowledged: the executor would forget the ends up to it.
        if (newest == 0 || it.number <= newest + maxEndsBetweenListings)
            newest = std::max(newest, it.number);
        const auto run = executor.runs.find(it.task);
        if (run == executor.runs.end() || run->second.run != it.run || run->second.stage == RunStage::Ending) {
            if (it.outcome == schema::RUN_OUTCOME_DONE)
                processLateEnd(executor, it);
            continue;
        }
        if (it.outcome == schema::RUN_OUTCOME_DONE)
            recordRunTime(executor, it.task, run->second);
        else if (it.outcome == schema::RUN_OUTCOME_FAILED)
            recordFailure(executor, it.task, run->second);
        if (!it.checkpoint.empty())
            run->second.checkpoint = it.checkpoint;
        if (it.outcome == schema::RUN_OUTCOME_DONE)
            endRun(executor, it.task, RunEvidence::EndListed, it.outcome, it.checkpoint);
        else
            endRunIfCertain(executor, it.task, RunEvidence::EndListed, order.sentAt, it.outcome);
    }
    if (newest == executor.processedEnds)
        return;
    executor.processedEnds = newest;
    m_batch.continuations.emplace_back(AcknowledgeEndsWhenCommitted { executor.number, newest });
}

bool JobLeader::hasLateEnd(const TaskKey& key, bool isGang) const
{
    const auto it = m_lateEnds.lower_bound(isGang ? TaskKey { key.step, 0 } : key);
    return it != m_lateEnds.end() && (isGang ? it->step == key.step : *it == key);
}

void JobLeader::processLateEnd(const LiveExecutor& executor, const EndedTask& it)
{
    const auto* job = m_state.find(it.task.step.job);
    const auto* task = m_state.find(it.task);
    // Without a task, its occurrence has not begun or has ended. Runs are assigned before they start.
    const bool isCounted = job != nullptr && !job->hasEnded() && task != nullptr && !task->done && it.run > 0
        && it.run <= task->run && !job->request.steps(static_cast<int>(it.task.step.step)).lasting();
    const auto assigned = executor.runs.find(it.task);
    log(isCounted ? "late_end_counted" : "end_ignored",
        { { "task", taskText(it.task) }, { "run", std::to_string(it.run) },
            { "executor", executorState(executor.number)->record.id() }, { "number", std::to_string(it.number) },
            { "assigned_run", assigned == executor.runs.end() ? "none" : std::to_string(assigned->second.run) } });
    if (!isCounted)
        return;
    m_lateEnds.insert(it.task);
    auto& end = *change().mutable_ended();
    fillRef(it.task, *end.mutable_task());
    end.set_run(it.run);
    end.set_executor(executor.number);
    end.set_outcome(it.outcome);
    end.set_late(true);
    m_batch.continuations.emplace_back(LateEndWhenCommitted { it.task });
}

Instant JobLeader::lateLeaseExpiry(const LiveExecutor& executor, const LiveRun& run) const
{
    auto lastOrderAt = run.startExpiresAt;
    // A renewal or another start that is carried out after this one extends the lease. Renewals that were sent before
    // this one have a lower fence.
    for (const auto& [number, it] : executor.ordersInFlight) {
        if (it.extendsLease && it.sentAt >= run.startSentAt)
            lastOrderAt = std::max(lastOrderAt, it.expiresAt);
    }
    return lastOrderAt + longestValidity(m_options.maxLease);
}

bool JobLeader::hasCertainlyEnded(
    const LiveExecutor& executor, const LiveRun& run, RunEvidence evidence, Instant shownAt) const
{
    if (run.stage == RunStage::Committing) // Its start was not sent.
        return true;
    if (run.mayHaveCopies && !run.isConfirmed && evidence != RunEvidence::AddressTaken) {
        const bool isOfThisIncarnation
            = evidence != RunEvidence::LeaseExpired && evidence != RunEvidence::IncarnationEnded;
        return shownAt >= (isOfThisIncarnation ? run.startExpiresAt : lateLeaseExpiry(executor, run));
    }
    switch (evidence) {
    case RunEvidence::NotSent:
    case RunEvidence::Refused:
    case RunEvidence::EndListed:
    case RunEvidence::AbsentWhileRunning:
    case RunEvidence::AddressTaken:
    case RunEvidence::AbsentAfterRefusal:
        return true;
    // A stop and a fence bind this incarnation only: if it restarts, the next one carries out the start.
    case RunEvidence::AbsentAfterStop:
    case RunEvidence::AbsentAtTakeover:
    case RunEvidence::AbsentAfterStartExpired:
        return run.isConfirmed || shownAt >= run.startExpiresAt;
    // A later incarnation may have carried out the start just before its expiry and grants a lease of its own.
    case RunEvidence::LeaseExpired:
    case RunEvidence::IncarnationEnded:
        return run.isConfirmed || run.isRefused || shownAt >= lateLeaseExpiry(executor, run);
    }
    return false;
}

void JobLeader::endRunIfCertain(
    LiveExecutor& executor, const TaskKey& key, RunEvidence evidence, Instant shownAt, schema::RunOutcome outcome)
{
    auto& run = executor.runs.at(key);
    const auto* job = m_state.find(key.step.job);
    const bool isNeeded = job != nullptr && !job->hasEnded(); // otherwise its task is not started again
    if (!isNeeded || hasCertainlyEnded(executor, run, evidence, shownAt))
        return endRun(executor, key, evidence, outcome);
    if (run.stage == RunStage::AwaitingStartExpiry)
        return;
    log("run_awaits_start_expiry",
        { { "task", taskText(key) }, { "run", std::to_string(run.run) },
            { "executor", executorState(executor.number)->record.id() }, { "evidence", std::string(toText(evidence)) },
            { "expires_in_ms", millisText(run.startExpiresAt - m_now) } });
    run.stage = RunStage::AwaitingStartExpiry;
    executor.committed -= run.need;
    if (run.mustStop)
        executor.stopping -= run.need;
    m_mustPlan = true;
}

void JobLeader::resumeRun(LiveExecutor& executor, LiveRun& run)
{
    run.stage = RunStage::Running;
    executor.committed += run.need;
    if (run.mustStop)
        executor.stopping += run.need;
}

Instant JobLeader::inheritedStartExpiry(const TaskKey& key) const
{
    const auto* job = m_state.find(key.step.job);
    const auto* queue = job == nullptr ? nullptr : m_state.queueOf(job->request.queue());
    auto delay = Duration(m_options.maxStartDelay);
    if (queue != nullptr && queue->has_advice())
        delay = std::min(delay, longestValidity(Milliseconds(static_cast<int64_t>(queue->advice().ticket_valid_ms()))));
    return m_leadingSince + delay;
}

uint64_t JobLeader::jobsWithoutKnownStart(const std::string& queue)
{
    if (m_now >= m_unknownStartsCountedAt + unknownStartsMaxAge)
        countUnknownStarts();
    const auto found = m_jobsWithoutKnownStart.find(queue);
    return found == m_jobsWithoutKnownStart.end() ? 0 : found->second;
}

void JobLeader::countUnknownStarts()
{
    m_unknownStartsCountedAt = m_now;
    m_jobsWithoutKnownStart.clear();
    absl::flat_hash_map<uint64_t, uint32_t> waitingRuns; // by job
    for (const auto& [number, executor] : m_executors) {
        for (const auto& [key, run] : executor.runs) {
            if (run.stage == RunStage::AwaitingStartExpiry || run.stage == RunStage::UnknownOutcome)
                ++waitingRuns[key.step.job];
        }
    }
    for (const auto& [id, runs] : waitingRuns) {
        const auto* job = m_state.find(id);
        if (job != nullptr && job->phase == JobPhase::Running && !job->hasBegun && job->assignedTasks() == runs)
            ++m_jobsWithoutKnownStart[job->request.queue()];
    }
}

void JobLeader::pollForExpiredStarts(LiveExecutor& executor)
{
    for (auto& [key, run] : executor.runs) {
        if (run.stage == RunStage::AwaitingStartExpiry && m_now >= run.startExpiresAt
            && !std::exchange(run.isPolledAfterExpiry, true))
            executor.pollAt = m_now;
    }
}

void JobLeader::resolveAbsentRuns(LiveExecutor& executor, const PendingOrder& order, const OrderResult& result)
{
    if (!result.isEndListComplete)
        return;
    absl::btree_set<std::pair<TaskKey, uint32_t>> running;
    for (const auto& it : result.running)
        running.emplace(it.task, it.run);
    std::vector<std::pair<TaskKey, RunEvidence>> neverRan;
    std::vector<TaskKey> lost;
    std::vector<TaskKey> repeated;
    for (auto& [key, run] : executor.runs) {
        if (running.contains({ key, run.run }) || run.stage == RunStage::Ending || run.stage == RunStage::Committing)
            continue;
        if (mayRepeatStart(executor, key, run, order)) {
            repeated.push_back(key);
            continue;
        }
        // After an acknowledged stop the executor rejects the run, and a run in progress has had time to end.
        const bool isStopped
            = run.isStopAnswered() && order.sentAt > run.stopAnsweredAt + m_options.stopTime + listingDelay;
        if (run.stage == RunStage::AwaitingStartExpiry)
            neverRan.emplace_back(key, RunEvidence::AbsentAfterStartExpired);
        else if (isStopped || run.stage == RunStage::Inherited)
            neverRan.emplace_back(key, isStopped ? RunEvidence::AbsentAfterStop : RunEvidence::AbsentAtTakeover);
        else if (run.stage == RunStage::UnknownOutcome && order.sentAt > run.unknownSince && run.isRefused)
            neverRan.emplace_back(key, RunEvidence::AbsentAfterRefusal);
        else if (run.stage == RunStage::UnknownOutcome && order.sentAt > run.unknownSince)
            requestStop(executor, key, run);
        else if (run.stage == RunStage::Running && order.sentAt > run.lastShownAt) // Listings may arrive out of order.
            lost.push_back(key);
    }
    for (const auto& [key, evidence] : neverRan)
        endRunIfCertain(executor, key, evidence, order.sentAt, schema::RUN_OUTCOME_NEVER_RAN);
    for (const auto& it : lost)
        endRunIfCertain(executor, it, RunEvidence::AbsentWhileRunning, order.sentAt, schema::RUN_OUTCOME_LOST);
    for (const auto& it : repeated)
        repeatStart(executor, it);
}

void JobLeader::expireLease(LiveExecutor& executor)
{
    const auto open
        = std::count_if(executor.runs.begin(), executor.runs.end(), [](const auto& it) { return it.second.isOpen(); });
    if (open > 0) {
        ++executor.leaseExpiries;
        ++m_counters.leaseExpiries;
        const auto* state = executorState(executor.number);
        log("executor_lapsed",
            { { "executor", state == nullptr ? "" : state->record.id() },
                { "silent_ms", millisText(m_now - std::max(executor.lastAnswerAt, executor.addedAt)) },
                { "lease_extended_ms", millisText(m_now - std::max(executor.leaseExtendedAt, executor.addedAt)) },
                { "runs", std::to_string(open) } });
        recordLapse(executor);
    }
    std::vector<TaskKey> keys;
    for (const auto& [key, run] : executor.runs) {
        if (run.isOpen() || run.stage == RunStage::AwaitingStartExpiry)
            keys.push_back(key);
    }
    for (const auto& it : keys)
        endRunIfCertain(executor, it, RunEvidence::LeaseExpired, m_now, schema::RUN_OUTCOME_LAPSED);
}

void JobLeader::endRunsInProgress(LiveExecutor& executor, RunEvidence evidence)
{
    std::vector<TaskKey> keys;
    for (const auto& [key, run] : executor.runs) {
        if (run.stage != RunStage::Ending && !run.mayStillStart())
            keys.push_back(key);
    }
    for (const auto& it : keys)
        endRunIfCertain(executor, it, evidence, m_now, schema::RUN_OUTCOME_LOST);
}

void JobLeader::endRun(LiveExecutor& executor, const TaskKey& key, RunEvidence evidence, schema::RunOutcome outcome,
    std::string checkpoint)
{
    auto& run = executor.runs.at(key);
    if (checkpoint.empty() && outcome != schema::RUN_OUTCOME_DONE)
        checkpoint = run.checkpoint;
    ++m_counters.ends;
    const auto makeFields = [&] {
        const auto* state = executorState(executor.number);
        return LogFields { { "task", taskText(key) }, { "run", std::to_string(run.run) },
            { "executor", state == nullptr ? "" : state->record.id() }, { "outcome", schema::RunOutcome_Name(outcome) },
            { "evidence", std::string(toText(evidence)) }, { "start_answered", run.isStartAnswered ? "true" : "false" },
            { "ran_ms", millisText(m_now - run.startedAt) },
            { "lease_extended_ms", millisText(m_now - std::max(executor.leaseExtendedAt, executor.addedAt)) } };
    };
    // A lease that expired on an executor that answers was not renewed in time.
    if (evidence == RunEvidence::EndListed && outcome != schema::RUN_OUTCOME_LAPSED)
        logDetail("run_ended", makeFields);
    else
        log("run_ended", makeFields());
    const bool isCensored = outcome == schema::RUN_OUTCOME_STOPPED || outcome == schema::RUN_OUTCOME_LAPSED
        || outcome == schema::RUN_OUTCOME_LOST;
    if (isCensored && run.stage == RunStage::Running)
        learnRunTime(executor, key, run, false);
    if (run.stage != RunStage::AwaitingStartExpiry) {
        executor.committed -= run.need;
        if (run.mustStop)
            executor.stopping -= run.need;
    }
    run.stage = RunStage::Ending;
    run.endedAt = m_now;
    m_teamUsage[run.team] -= run.need;
    run.need = {};
    auto& end = *change().mutable_ended();
    fillRef(key, *end.mutable_task());
    end.set_run(run.run);
    end.set_executor(executor.number);
    end.set_outcome(outcome);
    end.set_checkpoint(std::move(checkpoint));
    m_batch.continuations.emplace_back(RunEndedWhenCommitted { executor.number, key, run.run, outcome });
    if (outcome == schema::RUN_OUTCOME_DONE)
        return;
    const auto* job = m_state.find(key.step.job);
    if (job != nullptr && !job->hasEnded() && job->request.steps(static_cast<int>(key.step.step)).gang())
        stopGang(key.step);
}

void JobLeader::stopGang(const StepKey& key)
{
    m_assemblingGangs.erase(key);
    for (const auto& it : m_runIndex.ofStep(key)) {
        if (auto* run = findRun(it))
            requestStop(*findExecutor(it.executor), it.task, *run);
    }
}

} // namespace teasel
