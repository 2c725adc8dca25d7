// JobLeader: selects the tasks to start next, their executors and their tickets.
#include "jobs/job_leader.h"

#include <algorithm>
#include <iterator>

namespace teasel {

namespace {

    // Share of the time that gang members wait for each other in which all must start; the rest is for stopping them.
    constexpr double gangAssemblyShare = 0.7;
    constexpr size_t maxAdviceExecutors = 100; // in one call; from the platform's contract
    constexpr size_t adviceExecutorsPerCall = 34; // a third of the maximum, where several calls are possible
    constexpr size_t instancesPerParallelCall = 8; // so that one step does not occupy all instances
    constexpr unsigned sequenceBits = 32; // low bits of a call's number; the fence is above them
    constexpr Milliseconds capacityLogInterval { 1'000 };
    // A run is not preempted earlier; several times the cost of a restore.
    constexpr Milliseconds minRunBeforePreemption { 600 };
    // A run that would end sooner is not preempted: the stop and its listing take half of this.
    constexpr double minRemainingMs = 700;

} // namespace

void JobLeader::collectCandidates()
{
    m_candidates.clear();
    // Both maps are ordered by number.
    auto state = m_state.executors().begin();
    const auto end = m_state.executors().end();
    for (const auto& [number, it] : m_executors) {
        while (state != end && state->first < number)
            ++state;
        if (state == end || state->first != number || !isUsable(it) || isEvacuated(it))
            continue;
        auto& candidate = m_candidates.emplace_back();
        candidate.number = number;
        candidate.capacity = it.capacity;
        candidate.free = leftOf(it.capacity, it.used());
        candidate.stopping = it.stopping;
        candidate.freedSoon = it.freedSoon;
        candidate.service = state->second.record.service();
        candidate.rack = state->second.record.rack();
        candidate.region = regionOf(state->second);
        candidate.labels = &state->second.record.labels();
        candidate.slowness = it.slowness;
        candidate.hasSuspect = it.suspectUntil > m_now;
        candidate.isDegraded = m_failures.hasFailed(number) || it.coldUntil > m_now;
        candidate.freedPerSecond = it.freedPerSecond;
    }
}

TeamCap JobLeader::capOf(std::string_view team) const
{
    const auto* found = m_state.configurationIndex().findTeam(team);
    if (found == nullptr || !found->has_cap())
        return {};
    return { toVector(found->cap()), m_options.capOvershootShare };
}

ResourceVector JobLeader::usageOf(std::string_view team) const
{
    const auto found = m_teamUsage.find(std::string(team));
    return found == m_teamUsage.end() ? ResourceVector() : found->second;
}

int64_t JobLeader::tasksThatMayStart(const ReadyStep& step, const ResourceVector& planned) const
{
    const auto used = usageOf(step.team) + planned;
    const auto waiting = static_cast<int64_t>(step.waiting.size());
    const auto cap = capOf(step.team);
    return step.gang ? cap.gangTasksThatMayStart(step.need, waiting, used)
                     : cap.tasksThatMayStart(step.need, waiting, used);
}

int64_t JobLeader::tasksThatFitInCap(const ReadyStep& step) const
{
    return std::min(
        static_cast<int64_t>(step.waiting.size()), capOf(step.team).tasksThatFit(step.need, usageOf(step.team)));
}

void JobLeader::requestAdviceFor(std::span<const ReadyStep* const> steps, AdvicePlanner& planner)
{
    auto& capacity = planner.capacity();
    absl::flat_hash_map<std::string_view, ResourceVector> claimedByTeam;
    // Half of a round's visits are for advice: half of these for the most urgent steps, the others go on where the last
    // round stopped.
    const auto mostUrgentUntil = planner.visits() + m_pace.maxVisits() / 4;
    const auto until = planner.visits() + m_pace.maxVisits() / 2;
    const auto resumeAt = std::exchange(m_adviceResumeAt, 0);
    const bool mayStartRelaxed = m_pace.relaxedStartsLeft(m_now) > 0;
    for (size_t n = 0; n < steps.size(); ++n) {
        const auto* it = steps[n];
        if (capacity.isEmpty() || (!mayStartRelaxed && !isMostUrgent(*it, m_now)))
            break;
        // The steps of a team share its cap.
        auto& claimed = claimedByTeam[it->team];
        const auto tasks = tasksThatMayStart(*it, claimed);
        if (tasks <= 0)
            continue;
        if (!capacity.hasRoomFor(*it))
            continue;
        if (it->needsTicket && m_adviceResumeAt == 0 && (planner.visits() < mostUrgentUntil || n >= resumeAt)) {
            if (planner.visits() < until)
                requestAdvice(*it, planner);
            else
                m_adviceResumeAt = n;
        }
        capacity.claim(*it, tasks);
        claimed += it->need * tasks;
    }
}

uint32_t JobLeader::tasksOn(const StepKey& step, uint32_t number) const
{
    const auto& runs = m_executors.at(number).runs;
    uint32_t n = 0;
    for (auto it = runs.lower_bound({ step, 0 }); it != runs.end() && it->first.step == step; ++it)
        n += it->second.stage != RunStage::Ending ? 1 : 0;
    return n;
}

StartConstraints JobLeader::startConstraints() const
{
    StartConstraints out;
    using Allowed = std::optional<std::vector<uint32_t>>;
    out.allowedNow = [this](const ReadyStep& step) {
        return step.needsTicket ? Allowed(m_advice.executorsWithTicket(step.key, m_now)) : std::nullopt;
    };
    out.allowedLater = [this](const ReadyStep& step) {
        return step.needsTicket ? Allowed(m_advice.grantedExecutors(step.key)) : std::nullopt;
    };
    out.tasksOn = [this](const StepKey& step, uint32_t number) { return tasksOn(step, number); };
    out.tasksThatMayStart
        = [this](const ReadyStep& step, const ResourceVector& planned) { return tasksThatMayStart(step, planned); };
    out.preemptibleRuns = [this](uint32_t number) { return preemptibleRuns(m_executors.at(number)); };
    return out;
}

void JobLeader::logCapacityUse(const StartPlanner& planner)
{
    if (m_now < m_nextCapacityLogAt)
        return;
    m_nextCapacityLogAt = m_now + capacityLogInterval;
    ResourceVector total;
    ResourceVector free;
    ResourceVector stopping;
    for (const auto& it : m_candidates) {
        total += it.capacity;
        free += it.free;
        stopping += it.stopping;
    }
    int64_t waiting = 0;
    int64_t waitingGangs = 0;
    int64_t late = 0;
    int64_t withTicket = 0;
    size_t steps = 0;
    for (const auto& [key, it] : m_readySteps) {
        const auto need = it.need.amounts[0] * static_cast<int64_t>(it.waiting.size());
        if (need == 0)
            continue;
        ++steps;
        waiting += need;
        waitingGangs += it.gang ? need : 0;
        late += it.latestStart < m_now ? need : 0;
        withTicket += it.needsTicket && m_advice.executorsWithTicket(key, m_now).empty() ? 0 : need;
    }
    log("capacity_use",
        { { "total_mcpu", std::to_string(total.amounts[0]) }, { "free_mcpu", std::to_string(free.amounts[0]) },
            { "free_mib", std::to_string(free.amounts[1]) }, { "total_mib", std::to_string(total.amounts[1]) },
            { "stopping_mcpu", std::to_string(stopping.amounts[0]) },
            { "reserved_free_mcpu", std::to_string(planner.reservedFree().amounts[0]) },
            { "waiting_mcpu", std::to_string(waiting) }, { "waiting_gangs_mcpu", std::to_string(waitingGangs) },
            { "waiting_late_mcpu", std::to_string(late) }, { "waiting_with_ticket_mcpu", std::to_string(withTicket) },
            { "waiting_steps", std::to_string(steps) }, { "executors", std::to_string(m_candidates.size()) } });
}

std::vector<const ReadyStep*> JobLeader::contendedSteps(
    std::span<const ReadyStep* const> steps, ExpectedCapacity& capacity) const
{
    // By the executors that the steps may use.
    absl::flat_hash_map<const ResourceVector*, ResourceVector> waitingFor;
    for (const auto* it : steps) {
        if (it->lateFrom >= m_now && !it->lasting)
            waitingFor[&capacity.freeFor(*it)] += it->need * static_cast<int64_t>(it->waiting.size());
    }
    std::vector<const ReadyStep*> out;
    std::copy_if(steps.begin(), steps.end(), std::back_inserter(out), [&](const ReadyStep* it) {
        const auto& free = capacity.freeFor(*it);
        return !waitingFor[&free].fitsIn(free);
    });
    return out;
}

void JobLeader::planStarts()
{
    if (m_readySteps.empty())
        return;
    collectCandidates();
    std::vector<const ReadyStep*> steps;
    for (const auto& [key, it] : m_readySteps) {
        if (!it.waiting.empty())
            steps.push_back(&it);
    }
    if (m_candidates.empty() || steps.empty())
        return;
    ++m_counters.planningRounds;
    const auto tasksOnExecutor = [this](const StepKey& step, uint32_t number) { return tasksOn(step, number); };
    AdvicePlanner advicePlanner(m_candidates, m_advice, tasksOnExecutor, m_now);
    const auto contended = m_options.isContentionControlled ? contendedSteps(steps, advicePlanner.capacity())
                                                            : std::vector<const ReadyStep*>();
    sortByUrgency(steps, m_now, contended);
    requestAdviceFor(steps, advicePlanner);
    auto constraints = startConstraints();
    constraints.relaxedStarts = m_pace.relaxedStartsLeft(m_now);
    StartPlanner planner(m_candidates, constraints, m_options.planner);
    // A round that reached its limit is continued by the next one, which spends half of its visits on the most urgent
    // steps again.
    const std::span<const ReadyStep* const> all(steps);
    const bool isContinued = m_resumeAt > 0;
    const auto maxVisits = m_pace.maxVisits();
    auto plan = planner.plan(all, m_now, isContinued ? maxVisits / 2 : maxVisits);
    const auto from = std::min(all.size(), std::max(m_resumeAt, plan.examinedSteps));
    m_resumeAt = plan.examinedSteps;
    if (isContinued) {
        const auto rest = planner.plan(all.subspan(from), m_now, maxVisits / 2);
        m_resumeAt = from + rest.examinedSteps;
        plan.append(rest);
    }
    if (m_resumeAt >= all.size())
        m_resumeAt = 0;
    logCapacityUse(planner);
    const auto visits = plan.visits + advicePlanner.visits();
    m_counters.planningVisits += visits;
    m_nextPlanAt = m_now + m_pace.onRound(visits);
    m_pace.onRelaxedStarts(plan.relaxedStarts, m_now);
    for (const auto& it : plan.starts)
        assign(it);
    for (const auto& it : plan.stops)
        preempt(it);
}

std::vector<PreemptibleRun> JobLeader::preemptibleRuns(const LiveExecutor& executor) const
{
    std::vector<PreemptibleRun> out;
    for (const auto& [key, run] : executor.runs) {
        if (!run.mayBePreempted || run.stage != RunStage::Running || run.mustStop
            || m_now - run.startedAt < minRunBeforePreemption)
            continue;
        const auto step = m_readySteps.find(key.step);
        if (step == m_readySteps.end())
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
            { "slack_ms", step == m_readySteps.end() ? "" : millisText(step->second.latestStart - m_now) } });
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
    run.mayBePreempted = step.checkpoints && !step.gang && !step.lasting;
    run.assignedAt = run.startedAt = m_now;
    step.waiting.erase(start.task.index);
    m_latencies.onAssigned(start.task.step.job, step.queue, m_now);
    if (step.suspects.contains(start.task.index))
        executor.suspectUntil = m_now + m_options.crashAtStartWindow;
    auto& assignment = *change().mutable_assigned();
    fillRef(start.task, *assignment.mutable_task());
    assignment.set_run(run.run);
    assignment.set_executor(start.executor);
    m_batch.continuations.emplace_back(LaunchRunWhenCommitted { start.executor, start.task, run.run });
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
    const auto* state = executorState(it.executor);
    // The configuration may have changed since the assignment.
    const bool mayRunThere = step != m_readySteps.end() && state != nullptr
        && mayRunOn(step->second, state->record.service(), regionOf(*state), state->record.labels());
    const bool isStillNeeded = job != nullptr && !job->hasEnded() && task != nullptr && !task->done
        && task->run == it.run && mayRunThere && !hasLateEnd(it.task, step->second.gang) && !run.mustStop
        && isUsable(*executor) && !isEvacuated(*executor) && executor->used().fitsIn(executor->capacity);
    const auto ticket = m_advice.ticketFor(it.task.step, it.executor, m_now);
    if (!isStillNeeded || (step->second.needsTicket && ticket.empty())) {
        endRun(*executor, it.task, RunEvidence::NotSent, schema::RUN_OUTCOME_NEVER_RAN);
        return;
    }
    if (ticket.empty() && !hasFreshContact(*executor))
        return awaitContact(*executor, it.task, it.run);
    run.startSentAt = m_now;
    run.startExpiresAt = m_now + m_options.maxStartDelay;
    if (step->second.needsTicket)
        run.startExpiresAt = std::min(run.startExpiresAt, m_advice.ticketExpiry(it.task.step, it.executor));
    if (m_firstStartAt == Instant())
        m_firstStartAt = m_now;
    m_latencies.onLaunched(it.task.step.job, step->second.queue, m_now);
    logDetail("run_started", [&] {
        return LogFields { { "task", taskText(it.task) }, { "run", std::to_string(it.run) },
            { "executor", state->record.id() }, { "waited_ms", millisText(m_now - step->second.readySince) },
            { "slack_ms", millisText(step->second.latestStart - m_now) } };
    });
    if (step->second.gang && !m_assemblingGangs.contains(it.task.step))
        m_assemblingGangs[it.task.step]
            = m_now + std::chrono::duration_cast<Duration>(m_options.gangTimeout * gangAssemblyShare);
    sendStart(*executor, it.task, run, ticket);
}

void JobLeader::sendStart(LiveExecutor& executor, const TaskKey& key, LiveRun& run, std::string_view ticket)
{
    StartRun start;
    start.task = key;
    start.run = run.run;
    start.payload = m_state.find(key.step.job)->request.payload();
    start.checkpoint = m_state.find(key)->checkpoint;
    start.ticket = std::string(ticket);
    start.leaseUntilMs = executor.clock.executorNow(m_now) + static_cast<uint64_t>(lease().count());
    executor.clock.recordLeaseSent(start.leaseUntilMs);
    executor.leaseExtendedAt = m_now;
    run.stage = RunStage::Starting;
    run.startedAt = m_now;
    run.isFromStart = start.checkpoint.empty();
    ++m_counters.starts;
    PendingOrder order;
    order.kind = PendingOrder::Kind::Start;
    order.expiresAt = run.startExpiresAt;
    order.task = key;
    order.run = run.run;
    sendOrder(executor, order, std::move(start), m_options.orderTimeout);
}

bool JobLeader::hasFreshContact(const LiveExecutor& executor) const
{
    return executor.waitingStarts.empty() && m_now - executor.lastHeardAt <= m_options.maxContactAge;
}

void JobLeader::awaitContact(LiveExecutor& executor, const TaskKey& key, uint32_t run)
{
    executor.waitingStarts.emplace_back(key, run);
    if (executor.waitingStarts.size() > 1)
        return;
    executor.waitingStartsSince = m_now;
    sendPoll(executor);
}

void JobLeader::launchWaitingStarts(LiveExecutor& executor)
{
    const auto number = executor.number;
    for (const auto& [key, run] : std::exchange(executor.waitingStarts, {}))
        launch({ number, key, run });
}

void JobLeader::expireWaitingStarts(LiveExecutor& executor)
{
    if (executor.waitingStarts.empty() || m_now - executor.waitingStartsSince < m_options.orderTimeout)
        return;
    executor.unansweredSentAt = executor.waitingStartsSince;
    const auto* state = executorState(executor.number);
    log("starts_not_sent",
        { { "executor", state == nullptr ? "" : state->record.id() },
            { "starts", std::to_string(executor.waitingStarts.size()) },
            { "reason", "the executor does not answer" } });
    for (const auto& [key, run] : std::exchange(executor.waitingStarts, {})) {
        const auto found = executor.runs.find(key);
        if (found != executor.runs.end() && found->second.run == run && found->second.stage == RunStage::Committing)
            endRun(executor, key, RunEvidence::NotSent, schema::RUN_OUTCOME_NEVER_RAN);
    }
}

void JobLeader::requestAdvice(const ReadyStep& step, AdvicePlanner& planner)
{
    const auto* queue = m_state.queueOf(step.queue);
    if (queue == nullptr || !queue->has_advice() || m_advice.isRequestPending(step.key, m_now))
        return;
    // Instances reserved for short calls are not used by long ones. Checking first avoids computing a query that
    // could not be sent.
    if (!m_advice.hasFreeInstance(Milliseconds(static_cast<int64_t>(queue->advice().base_ms())), m_now))
        return;
    const auto toQuery = planner.executorsToQuery(step);
    // A wide step divides its query, since the time of a call grows with the number of executors that it names.
    const std::span<const uint32_t> all(toQuery);
    const auto calls = std::min((all.size() + adviceExecutorsPerCall - 1) / adviceExecutorsPerCall,
        std::max<size_t>(1, m_advice.instances() / instancesPerParallelCall));
    const auto perCall = calls == 0 ? 0 : std::min(maxAdviceExecutors, (all.size() + calls - 1) / calls);
    for (size_t from = 0; from < std::min(all.size(), calls * perCall); from += perCall)
        sendAdviceCall(step, queue->advice(), all.subspan(from, std::min(perCall, all.size() - from)));
}

void JobLeader::sendAdviceCall(
    const ReadyStep& step, const schema::AdvicePolicy& policy, std::span<const uint32_t> executors)
{
    const auto cost = Milliseconds(
        static_cast<int64_t>(policy.base_ms() + policy.per_executor_ms() * static_cast<double>(executors.size())));
    const auto request = m_advice.beginCall(step.key, { executors.begin(), executors.end() }, cost, m_now);
    if (!request)
        return;
    ++m_counters.adviceCalls;
    AskAdvice action;
    action.number = (m_fence << sequenceBits) | request->number;
    action.instance = request->instance;
    action.step = step.key;
    action.timeout = request->timeout;
    for (const auto number : executors)
        action.executors.push_back(executorState(number)->record.id());
    m_actions.emplace_back(std::move(action));
}

void JobLeader::onAdvice(
    uint64_t number, bool answered, const std::vector<std::pair<std::string, std::string>>& granted, Instant now)
{
    if (!isLeading() || number >> sequenceBits != m_fence) // Made by a previous leader, possibly in an earlier process.
        return;
    number &= (uint64_t(1) << sequenceBits) - 1;
    m_now = now;
    std::vector<std::pair<uint32_t, std::string>> rows;
    for (const auto& [id, ticket] : granted) {
        for (const auto executor : m_directory.withId(id))
            rows.emplace_back(executor, ticket);
    }
    const auto queried = m_advice.queriedCount(number);
    const auto step = m_advice.stepOf(number);
    const auto ready = step ? m_readySteps.find(*step) : m_readySteps.end();
    const auto* queue = ready == m_readySteps.end() ? nullptr : m_state.queueOf(ready->second.queue);
    if (ready != m_readySteps.end()) {
        logDetail("advice_answered", [&] {
            return LogFields { { "step", stepText(*step) }, { "answered", answered ? "true" : "false" },
                { "asked", std::to_string(queried) }, { "granted", std::to_string(rows.size()) },
                { "listed", std::to_string(granted.size()) } };
        });
        if (!rows.empty())
            m_latencies.onAdvised(step->job, ready->second.queue, now);
    }
    const Milliseconds valid(
        queue == nullptr || !queue->has_advice() ? 0 : static_cast<int64_t>(queue->advice().ticket_valid_ms()));
    m_advice.endCall(number, answered, rows, valid, now);
    if (queue != nullptr && answered)
        m_advice.recordAnswer(ready->second.queue, queried, rows.size());
    m_mustPlan = true;
}

} // namespace teasel
