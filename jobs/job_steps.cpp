// JobLeader: jobs, their steps and their waiting tasks.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr uint32_t maxOpenOccurrences = 64; // per job; further occurrences begin when one of these has ended
    // Share of a gang's slack that planning does not count on: task estimates are off by up to a factor of two.
    constexpr double unusableGangSlack = 0.5;
    constexpr double lateFactor = 2; // A job that is late keeps its value for this many further latency objectives.
    // Assumed executors per call to the advice service when the latency objective is computed.
    constexpr double typicalAdviceExecutors = 30;

    Instant instantOf(uint64_t wallMs, Instant now, WallTime wall)
    {
        return now + (WallTime(Milliseconds(wallMs)) - wall);
    }

} // namespace

double JobLeader::criticalPathMs(const schema::JobRequest& request, uint32_t step) const
{
    // Steps depend on earlier steps only, so one pass from the last step finds the longest path.
    std::vector<double> longest(static_cast<size_t>(request.steps_size()), 0);
    const auto* queue = m_state.queueOf(request.queue());
    const double adviceMs = queue != nullptr && queue->has_advice()
        ? queue->advice().base_ms() + typicalAdviceExecutors * queue->advice().per_executor_ms()
        : 0;
    for (int n = request.steps_size() - 1; n >= static_cast<int>(step); --n) {
        longest[n] += expectedMs(request, request.steps(n)) + adviceMs;
        for (const auto before : request.steps(n).depends_on())
            longest[before] = std::max(longest[before], longest[n]);
    }
    return longest[step];
}

void JobLeader::openSteps(uint64_t id)
{
    const auto* job = m_state.find(id);
    if (job == nullptr || job->hasEnded())
        return;
    const auto all = std::max(1U, job->request.occurrences());
    if (job->occurrencesDone + job->unfinishedOccurrences() < all)
        m_scheduledJobs.insert(id);
    for (const auto& [occurrence, it] : job->open)
        openReadySteps(id, occurrence);
}

void JobLeader::openDueOccurrences()
{
    for (auto it = m_scheduledJobs.begin(); it != m_scheduledJobs.end();) {
        const auto id = *it;
        const auto* job = m_state.find(id);
        if (job == nullptr || job->hasEnded()) {
            it = m_scheduledJobs.erase(it);
            continue;
        }
        ++it;
        const auto& request = job->request;
        const auto nowMs = static_cast<uint64_t>(m_wall.time_since_epoch().count());
        const auto end = std::min<uint64_t>(request.occurrences(), uint64_t(job->occurrencesDone) + maxOpenOccurrences);
        for (uint32_t n = job->firstUnfinishedOccurrence(); n < end; ++n) {
            const auto dueMs = request.first_at_ms() + n * request.period_ms();
            if (dueMs > nowMs || job->unfinishedOccurrences() > maxOpenOccurrences)
                break;
            if (!m_readySteps.contains({ id, n, 0 }) && !job->open.contains(n))
                openReadySteps(id, n);
        }
    }
}

void JobLeader::openReadySteps(uint64_t id, uint32_t occurrence)
{
    const auto* job = m_state.find(id);
    if (job == nullptr || job->hasEnded())
        return;
    const auto* queue = m_state.queueOf(job->request.queue());
    if (queue == nullptr)
        return;
    const auto open = job->open.find(occurrence);
    if (open == job->open.end() && occurrence < job->firstUnfinishedOccurrence())
        return;
    for (int n = 0; n < job->request.steps_size(); ++n) {
        const StepKey key { id, occurrence, static_cast<uint32_t>(n) };
        if (m_readySteps.contains(key))
            continue;
        const auto& dependsOn = job->request.steps(n).depends_on();
        const bool canStart = std::all_of(dependsOn.begin(), dependsOn.end(),
            [&](uint32_t before) { return open != job->open.end() && open->second.steps[before].isDone(); });
        if (canStart && (open == job->open.end() || !open->second.steps[n].isDone()))
            addReadyStep(*job, *queue, key);
    }
}

void JobLeader::addReadyStep(const JobRecord& job, const schema::JobQueue& queue, const StepKey& key)
{
    const auto& request = job.request;
    const auto& spec = request.steps(static_cast<int>(key.step));
    ReadyStep step;
    step.key = key;
    step.count = spec.count();
    step.need = needOf(spec);
    step.queue = request.queue();
    step.team = request.team();
    step.requiredLabel = spec.required_label();
    step.dataRack = spec.data_rack();
    step.maxPerExecutor = spec.max_per_executor();
    step.gang = spec.gang();
    step.sameRack = spec.same_rack();
    step.lasting = spec.lasting();
    step.checkpoints = spec.checkpoints();
    step.taskMs = expectedMs(request, spec);
    const auto occurrenceStartMs = request.first_at_ms() == 0
        ? request.accepted_at_ms()
        : request.first_at_ms() + key.occurrence * request.period_ms();
    step.occurrenceStart = instantOf(occurrenceStartMs, m_now, m_wall);
    step.isBorrowed = request.borrowed();
    step.readySince = m_now;
    deriveFromQueue(step, request, queue);
    const auto open = job.open.find(key.occurrence);
    for (uint32_t n = 0; n < spec.count(); ++n) {
        if (open == job.open.end()) {
            step.waiting.insert(n);
            continue;
        }
        const auto& task = open->second.steps[key.step].tasks[n];
        const TaskKey taskKey { key, n };
        if (!task.done && task.executor == 0) {
            if (m_state.isStartHeld(taskKey))
                holdStart(taskKey);
            else
                step.waiting.insert(n);
        }
        if (task.crashesAtStart > 0)
            step.suspects.insert(n);
    }
    m_readySteps.emplace(key, std::move(step));
    m_mustPlan = true;
}

void JobLeader::deriveFromQueue(ReadyStep& step, const schema::JobRequest& request, const schema::JobQueue& queue) const
{
    step.service = queue.service();
    step.allowedRegions.assign(queue.allowed_regions().begin(), queue.allowed_regions().end());
    step.priority = queue.priority();
    step.needsTicket = queue.has_advice();
    const double pathMs = criticalPathMs(request, 0);
    const double objectiveMs = queue.slack_factor() * pathMs + static_cast<double>(queue.target_latency_ms());
    step.dueAt = step.occurrenceStart + Duration(static_cast<int64_t>(objectiveMs * 1'000));
    step.expiresAt = step.dueAt + Duration(static_cast<int64_t>(objectiveMs * lateFactor * 1'000));
    step.latestStart = step.dueAt - Duration(static_cast<int64_t>(criticalPathMs(request, step.key.step) * 1'000));
    step.lateFrom = step.latestStart;
    if (step.gang)
        step.latestStart -= Duration(static_cast<int64_t>((objectiveMs - pathMs) * unusableGangSlack * 1'000));
    if (step.waitingAgainSince)
        step.latestStart = step.lateFrom = *step.waitingAgainSince;
}

void JobLeader::deriveStepsFromQueues()
{
    for (auto& [key, step] : m_readySteps) {
        const auto* job = m_state.find(key.job);
        const auto* queue = m_state.queueOf(step.queue);
        if (job != nullptr && !job->hasEnded() && queue != nullptr)
            deriveFromQueue(step, job->request, *queue);
    }
    m_loadSummaries.clear();
    m_forecastBuiltAt = {};
    m_mustPlan = true;
}

void JobLeader::updateWaitingTask(const TaskKey& key)
{
    const auto* task = m_state.find(key);
    const auto step = m_readySteps.find(key.step);
    if (step == m_readySteps.end())
        return;
    if (task == nullptr || (task->done && m_state.find(key.step.job) != nullptr)) {
        step->second.waiting.erase(key.index);
        const auto* job = m_state.find(key.step.job);
        const auto open = job->open.find(key.step.occurrence);
        if (open == job->open.end() || open->second.steps[key.step.step].isDone()) {
            m_readySteps.erase(step);
            m_assemblingGangs.erase(key.step);
        }
        return;
    }
    if (task->executor == 0) {
        if (m_state.isStartHeld(key)) {
            step->second.waiting.erase(key.index);
            return holdStart(key);
        }
        step->second.waiting.insert(key.index);
        if (task->crashesAtStart > 0)
            step->second.suspects.insert(key.index);
        if (step->second.lasting) {
            step->second.waitingAgainSince = m_now;
            step->second.readySince = step->second.latestStart = step->second.lateFrom = m_now;
        }
        m_mustPlan = true;
    }
}

void JobLeader::onJobEnded(uint64_t id)
{
    m_scheduledJobs.erase(id);
    m_latencies.forget(id);
    answerStateQueries(id, true);
    m_advice.forgetJob(id);
    const StepKey first { id, 0, 0 };
    for (auto* tasks : { &m_lostTasks, &m_heldTasks }) {
        const auto begin = tasks->lower_bound({ first, 0 });
        tasks->erase(begin, std::find_if(begin, tasks->end(), [&](const auto& it) { return it.step.job != id; }));
    }
    const auto belongs = [&](const auto& it) { return it->first.job == id; };
    const bool hadReadySteps
        = m_readySteps.lower_bound(first) != m_readySteps.end() && belongs(m_readySteps.lower_bound(first));
    for (auto it = m_readySteps.lower_bound(first); it != m_readySteps.end() && belongs(it);)
        it = m_readySteps.erase(it);
    for (auto it = m_assemblingGangs.lower_bound(first); it != m_assemblingGangs.end() && belongs(it);)
        it = m_assemblingGangs.erase(it);
    for (const auto& it : m_runIndex.ofJob(id)) {
        if (auto* run = findRun(it))
            requestStop(*findExecutor(it.executor), it.task, *run);
    }
    const auto* job = m_state.find(id);
    if (hadReadySteps && job != nullptr && job->failure)
        log("job_failed",
            { { "job", jobIdText(id) }, { "reason", std::string(job->failure->reason) },
                { "task", taskText(job->failure->task) }, { "failures", std::to_string(job->failure->failures) },
                { "crashes", std::to_string(job->failure->crashes) },
                { "crashes_at_start", std::to_string(job->failure->crashesAtStart) },
                { "final_losses", std::to_string(job->failure->finalLosses) } });
    if (hadReadySteps && job != nullptr)
        log("job_ended",
            { { "job", jobIdText(id) }, { "phase", std::to_string(static_cast<int>(job->phase)) },
                { "queue", job->request.queue() }, { "team", job->request.team() },
                { "age_ms",
                    std::to_string(job->endedAtMs - std::min(job->endedAtMs, job->request.accepted_at_ms())) } });
}

} // namespace teasel
