#include "jobs/job_leader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace teasel {

namespace {

    // Plan at least this often: tickets expire and quarantines end without an event.
    constexpr Milliseconds maxPlanInterval { 100 };
    constexpr Milliseconds checkInterval { 40 };
    constexpr unsigned sequenceBits = 32; // low bits of an order's number; the fence is above them
    constexpr Milliseconds retryWhenUnavailable { 1'000 };

} // namespace

JobLeader::JobLeader(JobLeaderOptions options, const JobState& state)
    : m_options(std::move(options))
    , m_state(state)
    , m_failures([this](const auto& it) { return hasSucceeded(it); },
          [this](const auto& step, const auto& failing) { return soundTasks(step, failing); })
{
    m_options.lease = std::min(m_options.lease, m_options.maxLease);
}

void JobLeader::onBecameLeader(uint64_t fence, Instant now, WallTime wall)
{
    onLostLeadership();
    m_fence = fence;
    // Order numbers carry the fence in their upper bits, so that a late result meant for a previous leader of this
    // process, or of the process before it, matches no order.
    m_lastOrder = fence << sequenceBits;
    m_lastFence = 0;
    m_leadingSince = m_now = now;
    const auto recordedLease = m_state.longestLease();
    m_inheritedLease
        = recordedLease == Milliseconds(0) ? m_options.maxLease : std::min(m_options.maxLease, recordedLease);
    m_isLeaseProposed = false;
    m_wall = wall;
    m_lastExecutor = m_state.lastExecutorNumber();
    m_proposedConfiguration = m_state.configuration();
    for (const auto& [dataCentre, it] : m_state.evacuations())
        m_proposedEvacuations[dataCentre] = it.isActive;
    restoreRunTimes();
    for (const auto& [number, it] : m_state.executors())
        addExecutor(it);
    for (const auto& [run, it] : m_state.lostRuns())
        m_lostTasks.insert(run.first);
    for (const auto& [id, job] : m_state.jobs())
        openSteps(id);
    // The previous leader may have ended before it stopped the remaining members of a broken gang.
    std::vector<StepKey> broken;
    for (const auto& [key, it] : m_readySteps) {
        if (it.gang && !it.waiting.empty())
            broken.push_back(key);
    }
    for (const auto& it : broken)
        stopGang(it);
    absl::btree_map<std::string, double> weights;
    for (const auto& it : m_state.configuration().teams())
        weights[it.name()] = it.weight();
    m_admission.setWeights(weights);
    m_forecastAdmission.setWeights(weights);
    replayRecentJobs();
    size_t inheritedRuns = 0;
    size_t confirmedRuns = 0;
    for (const auto& [number, executor] : m_executors) {
        inheritedRuns += executor.runs.size();
        confirmedRuns += static_cast<size_t>(std::count_if(
            executor.runs.begin(), executor.runs.end(), [](const auto& it) { return it.second.isConfirmed; }));
    }
    log("leadership_began",
        { { "fence", std::to_string(fence) }, { "executors", std::to_string(m_executors.size()) },
            { "jobs", std::to_string(m_state.jobs().size()) }, { "waiting_tasks", std::to_string(waitingTasks()) },
            { "runs", std::to_string(inheritedRuns) }, { "confirmed_runs", std::to_string(confirmedRuns) },
            { "configuration", std::to_string(m_proposedConfiguration.version()) } });
}

void JobLeader::onLostLeadership()
{
    if (m_fence != 0)
        log("leadership_ended", { { "fence", std::to_string(m_fence) } });
    m_fence = 0;
    m_executors.clear();
    m_directory.clear();
    m_runIndex.clear();
    m_failures.clear();
    m_loadSummaries.clear();
    m_forecastAdmission.clear();
    m_forecastBuiltAt = {};
    m_waitingOfTeam.clear();
    m_urgentOfTeam.clear();
    m_readySteps.clear();
    m_assemblingGangs.clear();
    m_teamUsage.clear();
    m_pendingSubmissions.clear();
    m_pendingCancellers.clear();
    m_resubmissions.clear();
    m_pendingCancellations.clear();
    m_lostTasks.clear();
    m_heldTasks.clear();
    m_mustReviewLostTasks = false;
    m_lateEnds.clear();
    m_newConfirmations.clear();
    for (const auto& [job, queries] : m_stateQueries) {
        for (const auto& it : queries)
            answer(
                it.handle, { CallStatus::Unavailable, "this instance is no longer the leader", retryWhenUnavailable });
    }
    m_stateQueries.clear();
    m_scheduledJobs.clear();
    m_claims.clear();
    m_pendingRegistrations.clear();
    m_proposedEvacuations.clear();
    m_runsToEvacuate.clear();
    m_advice.clear();
    m_batch = {};
    m_fullBatches.clear();
    m_fullBatchBytes = 0;
    m_proposals.clear();
    m_pendingOrders.clear();
    m_latencies.clear();
    m_unknownStartsCountedAt = {};
    m_firstStartAt = {};
    std::erase_if(m_actions, [](const auto& it) {
        return std::holds_alternative<SendOrder>(it) || std::holds_alternative<ProposeJobs>(it)
            || std::holds_alternative<AskAdvice>(it);
    });
}

void JobLeader::onTick(Instant now, WallTime wall)
{
    m_now = now;
    m_wall = wall;
    if (!isLeading() || now < m_nextCheckAt)
        return;
    m_nextCheckAt = now + checkInterval;
    m_advice.expire(now);
    expireOrders();
    answerTimedOutStateQueries();
    openDueOccurrences();
    std::vector<uint32_t> numbers;
    for (const auto& [number, it] : m_executors)
        numbers.push_back(number);
    for (const auto number : numbers) {
        if (auto* it = findExecutor(number))
            checkExecutor(*it);
    }
    limitQuarantines();
    checkClaims();
    checkGangs();
    checkEvacuations();
    reviewLostTasks();
    recordLease();
    recordConfirmations();
    recordLearnedRunTimes();
}

void JobLeader::finishBatch(Instant now, WallTime wall)
{
    if (!isLeading())
        return;
    m_now = now;
    m_wall = wall;
    if ((m_mustPlan && now >= m_nextPlanAt) || now >= m_nextPlanAt + maxPlanInterval) {
        m_mustPlan = false;
        m_nextPlanAt = now;
        planStarts();
    }
    if (m_batch.isEmpty() && !m_batch.continuations.empty()) {
        // These continuations depend on changes that are not committed; they wait for the last of them.
        auto continuations = std::exchange(m_batch.continuations, {});
        auto* last = !m_fullBatches.empty() ? &m_fullBatches.back().continuations
            : !m_proposals.empty()          ? &m_proposals.rbegin()->second
                                            : nullptr;
        if (last != nullptr) {
            std::move(continuations.begin(), continuations.end(), std::back_inserter(*last));
        } else {
            for (auto& it : continuations)
                std::visit([this](auto& c) { execute(c); }, it);
        }
    }
    while (!m_fullBatches.empty() && m_proposals.size() < m_options.maxProposalsInFlight) {
        auto batch = std::move(m_fullBatches.front());
        m_fullBatches.pop_front();
        m_fullBatchBytes -= batch.bytes;
        propose(std::move(batch), wall);
    }
    if (!m_batch.isEmpty() && m_proposals.size() < m_options.maxProposalsInFlight)
        propose(std::exchange(m_batch, {}), wall);
}

void JobLeader::propose(Batch batch, WallTime wall)
{
    batch.command.set_wall_ms(static_cast<uint64_t>(wall.time_since_epoch().count()));
    const auto ticket = ++m_lastTicket;
    m_proposals.emplace(ticket, std::move(batch.continuations));
    m_actions.emplace_back(ProposeJobs { ticket, std::move(batch.command) });
}

schema::JobChange& JobLeader::change()
{
    finishLastChange();
    if (m_batch.bytes >= m_options.maxBatchBytes) {
        m_fullBatchBytes += m_batch.bytes;
        m_fullBatches.push_back(std::exchange(m_batch, {}));
    }
    return *m_batch.command.add_changes();
}

void JobLeader::finishLastChange()
{
    if (!m_batch.isEmpty())
        m_batch.bytes += m_batch.command.changes().rbegin()->ByteSizeLong();
}

bool JobLeader::isBacklogged() const { return m_fullBatchBytes + m_batch.bytes > m_options.maxBacklogBytes; }

void JobLeader::onCommitted(uint64_t ticket, Instant now)
{
    const auto found = m_proposals.find(ticket);
    if (found == m_proposals.end())
        return;
    m_now = now;
    auto continuations = std::move(found->second);
    m_proposals.erase(found);
    for (auto& it : continuations)
        std::visit([this](auto& c) { execute(c); }, it);
    m_mustPlan = true;
}

void JobLeader::execute(AnswerWhenCommitted& it) { answer(it.handle, std::move(it.answer)); }

void JobLeader::execute(LaunchRunWhenCommitted& it) { launch(it); }

void JobLeader::execute(AcknowledgeEndsWhenCommitted& it)
{
    if (auto* executor = findExecutor(it.executor))
        executor->committedEnds = std::max(executor->committedEnds, it.ends);
}

void JobLeader::execute(JobAcceptedWhenCommitted& it)
{
    m_pendingSubmissions.erase(it.job);
    if (const auto* job = m_state.find(it.job))
        m_latencies.onAccepted(it.job, job->request.queue(), m_now);
    openSteps(it.job);
    const auto resubmissions = m_resubmissions.find(it.job);
    if (resubmissions == m_resubmissions.end())
        return;
    for (const auto handle : resubmissions->second)
        answer(handle, { CallStatus::Accepted, {} });
    m_resubmissions.erase(resubmissions);
}

void JobLeader::execute(JobEndedWhenCommitted& it)
{
    m_pendingCancellers.erase(it.job);
    onJobEnded(it.job);
}

void JobLeader::execute(CrashWhenCommitted& it)
{
    const auto* job = m_state.find(it.job);
    if (job != nullptr && job->hasEnded())
        onJobEnded(it.job);
}

void JobLeader::execute(LossesChangedWhenCommitted&) { m_mustReviewLostTasks = true; }

void JobLeader::execute(ExecutorWhenCommitted& it)
{
    const auto* state = executorState(it.number);
    if (state == nullptr) {
        dropExecutor(it.number);
        m_mustReviewLostTasks = true;
        return;
    }
    m_pendingRegistrations.erase(state->record.id());
    if (auto* known = findExecutor(it.number)) {
        known->isDraining = state->record.draining();
        if (it.hasMoved) {
            known->movedAt = m_now;
            known->fence = nextFence();
            m_directory.add(known->number, state->record.id(), state->record.address());
        }
        return;
    }
    addExecutor(*state);
    // A new incarnation has no runs, so no other leader can have placed tasks on it.
    auto& executor = m_executors[it.number];
    executor.lastAnnouncedAt = m_now;
    executor.coldUntil = it.coldUntil;
    executor.lastSequence = it.sequence;
    executor.answeredOrderSentAt = it.answeredOrderSentAt;
    sendRenewal(executor);
}

void JobLeader::execute(RunEndedWhenCommitted& it)
{
    if (auto* executor = findExecutor(it.executor)) {
        const auto run = executor->runs.find(it.task);
        if (run != executor->runs.end() && run->second.run == it.run) {
            m_latencies.record(run->second.queue, JobStage::Recorded, m_now - run->second.endedAt);
            releaseRun(*executor, run);
        }
    }
    const auto* job = m_state.find(it.task.step.job);
    if (job == nullptr)
        return;
    if (job->hasEnded()) {
        onJobEnded(it.task.step.job);
        return;
    }
    updateWaitingTask(it.task);
    if (it.outcome == schema::RUN_OUTCOME_DONE)
        openReadySteps(it.task.step.job, it.task.step.occurrence);
}

void JobLeader::execute(LateEndWhenCommitted& it)
{
    m_lateEnds.erase(it.task);
    const auto* job = m_state.find(it.task.step.job);
    if (job == nullptr)
        return;
    if (job->hasEnded())
        return onJobEnded(it.task.step.job);
    const bool isGang = job->request.steps(static_cast<int>(it.task.step.step)).gang();
    for (const auto& location : m_runIndex.ofStep(it.task.step)) {
        auto* run = isGang || location.task == it.task ? findRun(location) : nullptr;
        if (run != nullptr)
            requestStop(*findExecutor(location.executor), location.task, *run);
    }
    updateWaitingTask(it.task);
    openReadySteps(it.task.step.job, it.task.step.occurrence);
}

void JobLeader::answer(uint64_t handle, CallAnswer reply)
{
    m_actions.emplace_back(AnswerCall { handle, std::move(reply) });
}

void JobLeader::log(std::string_view event, LogFields fields)
{
    m_actions.emplace_back(JobLogLine { event, std::move(fields) });
}

size_t JobLeader::usableExecutors(Instant) const
{
    return static_cast<size_t>(
        std::count_if(m_executors.begin(), m_executors.end(), [&](const auto& it) { return isUsable(it.second); }));
}

size_t JobLeader::waitingTasks() const
{
    size_t n = 0;
    for (const auto& [key, it] : m_readySteps)
        n += it.waiting.size();
    return n;
}

size_t JobLeader::runningTasks() const
{
    size_t n = 0;
    for (const auto& [number, it] : m_executors)
        n += it.runs.size();
    return n;
}

} // namespace teasel
