// JobLeader: selects the tasks to start next, their executors and their tickets.
#include "jobs/job_leader.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    // Share of the time that gang members wait for each other in which all must start; the rest is for stopping them.
    constexpr double gangAssemblyShare = 0.7;
    constexpr size_t minAdviceExecutors = 8; // executors named in one call to the advice service
    constexpr size_t maxAdviceExecutors = 100; // from the platform's contract
    // Factor on the number of executors that the expected grant ratio gives, since free capacity changes meanwhile.
    constexpr double adviceMargin = 1.6;
    constexpr double gangAdviceMargin = 4.0; // a gang needs free capacity on several granted executors at the same time
    constexpr size_t minGangAdviceExecutors = 24;
    constexpr size_t smallGangTasks = 3; // gangs up to this size fit almost anywhere
    constexpr unsigned sequenceBits = 32; // low bits of a call's number; the fence is above them
    constexpr int64_t unboundedTasks = 1'000'000;
    constexpr Milliseconds planInterval { 10 }; // starts that become possible within this time are planned together
    // Pause between rounds, in microseconds per examined pair of step and executor: ten times the assumed cost of
    // 50 ns, so that planning takes about a tenth of a core however much is waiting.
    constexpr double pausePerVisitUs = 0.5;
    // A run is not preempted earlier; several times the cost of a restore.
    constexpr Milliseconds minRunBeforePreemption { 600 };
    // A run that would end sooner is not preempted: the stop and its listing take half of this.
    constexpr double minRemainingMs = 700;

} // namespace

std::vector<CandidateExecutor> JobLeader::candidateExecutors() const
{
    std::vector<CandidateExecutor> out;
    for (const auto& [number, it] : m_executors) {
        const auto* state = executorState(number);
        if (state == nullptr || !isUsable(it))
            continue;
        CandidateExecutor candidate;
        candidate.number = number;
        candidate.capacity = state->capacity;
        candidate.free = state->capacity - it.committed;
        candidate.stopping = it.stopping;
        candidate.freedSoon = it.freedSoon;
        candidate.service = state->record.service();
        candidate.rack = state->record.rack();
        candidate.labels = &state->record.labels();
        candidate.slowness = it.slowness;
        candidate.isDegraded = it.failuresInRow > 0;
        out.push_back(candidate);
    }
    return out;
}

int64_t JobLeader::tasksLeftInCap(std::string_view team, const ResourceVector& need) const
{
    const auto& teams = m_state.configuration().teams();
    const auto found = std::find_if(teams.begin(), teams.end(), [&](const auto& it) { return it.name() == team; });
    if (found == teams.end() || !found->has_cap())
        return unboundedTasks;
    const auto cap = toVector(found->cap());
    const auto use = m_teamUsage.find(std::string(team));
    int64_t left = unboundedTasks;
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        if (cap.amounts[n] <= 0 || need.amounts[n] <= 0)
            continue;
        const auto used = use == m_teamUsage.end() ? 0 : use->second.amounts[n];
        left = std::min(left, std::max<int64_t>(0, cap.amounts[n] - used) / need.amounts[n]);
    }
    return left;
}

void JobLeader::planStarts()
{
    if (m_readySteps.empty())
        return;
    auto candidates = candidateExecutors();
    std::vector<const ReadyStep*> steps;
    for (const auto& [key, it] : m_readySteps) {
        if (!it.waiting.empty())
            steps.push_back(&it);
    }
    if (candidates.empty() || steps.empty())
        return;
    sortByUrgency(steps, m_now);
    size_t adviceVisits = 0;
    for (const auto* it : steps) {
        if (it->needsTicket)
            adviceVisits += requestAdvice(*it, candidates);
    }
    StartConstraints constraints;
    using Allowed = std::optional<std::vector<uint32_t>>;
    constraints.allowedNow = [this](const ReadyStep& step) {
        return step.needsTicket ? Allowed(m_advice.executorsWithTicket(step.key, m_now)) : std::nullopt;
    };
    constraints.allowedLater = [this](const ReadyStep& step) {
        return step.needsTicket ? Allowed(m_advice.grantedExecutors(step.key)) : std::nullopt;
    };
    constraints.tasksOn = [this](const StepKey& step, uint32_t number) {
        const auto& runs = m_executors.at(number).runs;
        uint32_t n = 0;
        for (auto it = runs.lower_bound({ step, 0 }); it != runs.end() && it->first.step == step; ++it)
            n += it->second.stage != RunStage::Ending ? 1 : 0;
        return n;
    };
    constraints.tasksLeftInCap
        = [this](std::string_view team, const ResourceVector& need) { return tasksLeftInCap(team, need); };
    constraints.preemptibleRuns = [this](uint32_t number) { return preemptibleRuns(m_executors.at(number)); };
    StartPlanner planner(candidates, constraints, m_options.planner);
    const auto plan = planner.plan(steps, m_now);
    m_nextPlanAt = m_now + planInterval
        + Duration(static_cast<int64_t>(static_cast<double>(plan.visits + adviceVisits) * pausePerVisitUs));
    for (const auto& it : plan.starts)
        assign(it);
    for (const auto& it : plan.stops)
        preempt(it);
}

std::vector<PreemptibleRun> JobLeader::preemptibleRuns(const LiveExecutor& executor) const
{
    std::vector<PreemptibleRun> out;
    for (const auto& [key, run] : executor.runs) {
        if (run.stage != RunStage::Running || run.mustStop || m_now - run.startedAt < minRunBeforePreemption)
            continue;
        const auto step = m_readySteps.find(key.step);
        if (step == m_readySteps.end() || !step->second.checkpoints || step->second.gang || step->second.lasting)
            continue;
        const double ranMs = std::chrono::duration<double, std::milli>(m_now - run.startedAt).count();
        if (step->second.taskMs * executor.slowness - ranMs > minRemainingMs)
            out.push_back({ key, run.need, step->second.latestStart });
    }
    return out;
}

void JobLeader::preempt(const PlannedStop& stop)
{
    auto& executor = m_executors.at(stop.executor);
    const auto run = executor.runs.find(stop.task);
    if (run == executor.runs.end())
        return;
    ++m_counters.preemptions;
    const auto step = m_readySteps.find(stop.task.step);
    log("run_preempted",
        { { "task", taskText(stop.task) }, { "run", std::to_string(run->second.run) },
            { "executor", executorState(stop.executor) == nullptr ? "" : executorState(stop.executor)->record.id() },
            { "for_step", stepText(stop.forStep) },
            { "slack_ms",
                step == m_readySteps.end()
                    ? ""
                    : std::to_string(
                        std::chrono::duration_cast<Milliseconds>(step->second.latestStart - m_now).count()) } });
    requestStop(executor, stop.task, run->second);
}

void JobLeader::assign(const PlannedStart& start)
{
    auto& step = m_readySteps.at(start.task.step);
    auto& executor = m_executors.at(start.executor);
    const auto* job = m_state.find(start.task.step.job);
    uint32_t last = 0;
    if (const auto open = job->open.find(start.task.step.occurrence); open != job->open.end()) {
        const auto& tasks = open->second.steps[start.task.step.step].tasks;
        last = tasks[start.task.index].run;
        if (step.gang) {
            for (const auto& it : tasks)
                last = std::max(last, it.run);
        }
    }
    LiveRun run;
    run.run = last + 1;
    run.need = step.need;
    run.team = step.team;
    run.queue = step.queue;
    run.assignedAt = run.startedAt = m_now;
    step.waiting.erase(start.task.index);
    auto& assignment = *change().mutable_assigned();
    fillRef(start.task, *assignment.mutable_task());
    assignment.set_run(run.run);
    assignment.set_executor(start.executor);
    m_batchContinuations.emplace_back(LaunchRunWhenCommitted { start.executor, start.task, run.run });
    reserve(executor, start.task, std::move(run));
}

void JobLeader::launch(const LaunchRunWhenCommitted& it)
{
    auto* executor = findExecutor(it.executor);
    if (executor == nullptr)
        return;
    const auto found = executor->runs.find(it.task);
    if (found == executor->runs.end() || found->second.run != it.run || found->second.stage != RunStage::Committing)
        return;
    auto& run = found->second;
    const auto* job = m_state.find(it.task.step.job);
    const auto* task = m_state.find(it.task);
    const auto step = m_readySteps.find(it.task.step);
    const bool isStillNeeded = job != nullptr && !job->hasEnded() && task != nullptr && !task->done
        && task->run == it.run && step != m_readySteps.end() && !run.mustStop && isUsable(*executor);
    const auto ticket = m_advice.ticketFor(it.task.step, it.executor, m_now);
    if (!isStillNeeded || (step->second.needsTicket && ticket.empty())) {
        endRun(*executor, it.task, schema::RUN_OUTCOME_NEVER_RAN, {});
        return;
    }
    StartRun start;
    start.task = it.task;
    start.run = it.run;
    start.payload = job->request.payload();
    start.checkpoint = task->checkpoint;
    start.ticket = std::string(ticket);
    start.leaseUntilMs = executor->clock.executorNow(m_now) + static_cast<uint64_t>(m_options.lease.count());
    executor->clock.recordLeaseSent(start.leaseUntilMs);
    run.stage = RunStage::Starting;
    run.startedAt = m_now;
    run.isFromStart = start.checkpoint.empty();
    ++m_counters.starts;
    log("run_started",
        { { "task", taskText(it.task) }, { "run", std::to_string(it.run) },
            { "executor", executorState(it.executor)->record.id() },
            { "waited_ms",
                std::to_string(std::chrono::duration_cast<Milliseconds>(m_now - step->second.readySince).count()) },
            { "slack_ms",
                std::to_string(std::chrono::duration_cast<Milliseconds>(step->second.latestStart - m_now).count()) } });
    if (step->second.gang && !m_assemblingGangs.contains(it.task.step))
        m_assemblingGangs[it.task.step]
            = m_now + std::chrono::duration_cast<Duration>(m_options.gangTimeout * gangAssemblyShare);
    PendingOrder order;
    order.kind = PendingOrder::Kind::Start;
    order.task = it.task;
    order.run = it.run;
    sendOrder(*executor, order, std::move(start), m_options.orderTimeout);
}

std::vector<uint32_t> JobLeader::executorsToQuery(
    const ReadyStep& step, const std::vector<CandidateExecutor>& candidates) const
{
    const auto tasksThatFit = [&](const CandidateExecutor& it) {
        const auto fits = step.need.copiesThatFitIn(it.free + it.stopping, unboundedTasks);
        return step.maxPerExecutor > 0 ? std::min<int64_t>(fits, step.maxPerExecutor) : fits;
    };
    const auto candidateOf = [&](uint32_t number) {
        return std::lower_bound(candidates.begin(), candidates.end(), number,
            [](const CandidateExecutor& it, uint32_t n) { return it.number < n; });
    };
    int64_t placeable = 0;
    int64_t renewable = 0;
    std::vector<uint32_t> expired;
    for (const auto number : m_advice.grantedExecutors(step.key)) {
        const auto it = candidateOf(number);
        if (it == candidates.end() || it->number != number)
            continue;
        const auto fits = tasksThatFit(*it);
        if (!m_advice.ticketFor(step.key, number, m_now).empty()) {
            placeable += fits;
        } else if (fits > 0) {
            renewable += fits;
            expired.push_back(number);
        }
    }
    const auto missing = static_cast<int64_t>(step.waiting.size()) - placeable;
    if (missing <= 0)
        return {};
    // Renew tickets only where that lets the step start: for a gang all of its tasks, otherwise at least one.
    std::vector<uint32_t> toQuery;
    if (renewable >= missing || (!step.gang && renewable > 0))
        toQuery = std::move(expired);
    if (missing <= renewable)
        return toQuery;
    std::vector<std::pair<int64_t, uint32_t>> notQueried; // tasks that fit, and the executor
    const auto* alreadyQueried = m_advice.queriedExecutors(step.key);
    for (const auto& it : candidates) {
        if ((alreadyQueried == nullptr || !alreadyQueried->contains(it.number)) && step.need.fitsIn(it.capacity))
            notQueried.emplace_back(tasksThatFit(it), it.number);
    }
    if (notQueried.empty())
        return toQuery;
    std::sort(notQueried.rbegin(), notQueried.rend());
    const bool isWideGang = step.gang && step.waiting.size() > smallGangTasks;
    const auto tasksPerExecutor = std::max<int64_t>(1, std::min<int64_t>(notQueried.front().first, missing));
    const double wanted = static_cast<double>(missing - renewable) / static_cast<double>(tasksPerExecutor)
        / m_advice.grantRatio(step.queue) * (isWideGang ? gangAdviceMargin : adviceMargin);
    const auto minExecutors = isWideGang ? minGangAdviceExecutors : minAdviceExecutors;
    const auto n = std::min(notQueried.size(), std::max(minExecutors, static_cast<size_t>(std::ceil(wanted))));
    for (size_t k = 0; k < n; ++k)
        toQuery.push_back(notQueried[k].second);
    return toQuery;
}

size_t JobLeader::requestAdvice(const ReadyStep& step, const std::vector<CandidateExecutor>& candidates)
{
    const auto* queue = m_state.queueOf(step.queue);
    if (queue == nullptr || !queue->has_advice() || m_advice.isRequestPending(step.key, m_now))
        return 0;
    // Instances reserved for short calls are not used by long ones. Checking first avoids computing a query that
    // could not be sent.
    if (!m_advice.hasFreeInstance(Milliseconds(static_cast<int64_t>(queue->advice().base_ms())), m_now))
        return 0;
    auto toQuery = executorsToQuery(step, candidates);
    if (toQuery.size() > maxAdviceExecutors)
        toQuery.resize(maxAdviceExecutors);
    if (toQuery.empty())
        return candidates.size();
    const auto cost = Milliseconds(static_cast<int64_t>(
        queue->advice().base_ms() + queue->advice().per_executor_ms() * static_cast<double>(toQuery.size())));
    const auto request = m_advice.beginCall(step.key, toQuery, cost, m_now);
    if (!request)
        return candidates.size();
    ++m_counters.adviceCalls;
    AskAdvice action;
    action.number = (m_fence << sequenceBits) | request->number;
    action.instance = request->instance;
    action.step = step.key;
    action.timeout = request->timeout;
    for (const auto number : toQuery)
        action.executors.push_back(executorState(number)->record.id());
    m_actions.emplace_back(std::move(action));
    return candidates.size();
}

void JobLeader::onAdvice(
    uint64_t number, bool answered, const std::vector<std::pair<std::string, std::string>>& granted, Instant now)
{
    if (!isLeading() || number >> sequenceBits != m_fence) // Made by a previous leader, possibly in an earlier process.
        return;
    number &= (uint64_t(1) << sequenceBits) - 1;
    m_now = now;
    absl::flat_hash_map<std::string_view, uint32_t> byId;
    for (const auto& [executor, it] : m_executors) {
        if (const auto* state = executorState(executor))
            byId[state->record.id()] = executor;
    }
    std::vector<std::pair<uint32_t, std::string>> rows;
    for (const auto& [id, ticket] : granted) {
        if (const auto it = byId.find(id); it != byId.end())
            rows.emplace_back(it->second, ticket);
    }
    const auto queried = m_advice.queriedCount(number);
    const auto step = m_advice.stepOf(number);
    const auto ready = step ? m_readySteps.find(*step) : m_readySteps.end();
    const auto* queue = ready == m_readySteps.end() ? nullptr : m_state.queueOf(ready->second.queue);
    if (ready != m_readySteps.end())
        log("advice_answered",
            { { "step", stepText(*step) }, { "answered", answered ? "true" : "false" },
                { "asked", std::to_string(queried) }, { "granted", std::to_string(rows.size()) },
                { "listed", std::to_string(granted.size()) } });
    const Milliseconds valid(
        queue == nullptr || !queue->has_advice() ? 0 : static_cast<int64_t>(queue->advice().ticket_valid_ms()));
    m_advice.endCall(number, answered, rows, valid, now);
    if (queue != nullptr && answered)
        m_advice.recordAnswer(ready->second.queue, queried, rows.size());
    m_mustPlan = true;
}

} // namespace teasel
