#include "jobs/job_state.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace teasel {

bool isSameCall(const schema::CallOrigin& a, const schema::CallOrigin& b)
{
    return !a.instance().empty() && a.instance() == b.instance() && a.incarnation() == b.incarnation()
        && a.number() == b.number();
}

ResourceVector needOf(const schema::JobStep& step)
{
    auto need = toVector(step.need());
    if (step.fills())
        need.amounts[0] = 0;
    return need;
}

std::string JobState::apply(uint64_t, std::string_view command)
{
    schema::JobCommand parsed;
    if (!parsed.ParseFromArray(command.data(), static_cast<int>(command.size())))
        return {};
    m_wallMs = std::max(m_wallMs, parsed.wall_ms());
    for (const auto& it : parsed.changes())
        applyChange(it);
    removeExpiredJobs();
    return {};
}

void JobState::applyChange(const schema::JobChange& change)
{
    switch (change.body_case()) {
    case schema::JobChange::kConfiguration:
        return applyConfiguration(change.configuration());
    case schema::JobChange::kAccepted:
        return applyAccepted(change.accepted());
    case schema::JobChange::kCancelled:
        return applyCancelled(change.cancelled(), change.cancelled_by());
    case schema::JobChange::kAssigned:
        return applyAssigned(change.assigned());
    case schema::JobChange::kEnded:
        return applyEnded(change.ended());
    case schema::JobChange::kExecutor:
        return applyExecutor(change.executor());
    case schema::JobChange::kCrashed:
        return applyCrashed(change.crashed());
    case schema::JobChange::kExecutorRemoved:
        return applyExecutorRemoved(change.executor_removed());
    case schema::JobChange::kExecutorLost:
        return applyExecutorLost(change.executor_lost());
    case schema::JobChange::kExecutorReturned:
        return applyExecutorReturned(change.executor_returned());
    case schema::JobChange::kExecutorCrashed:
        return applyExecutorCrashed(change.executor_crashed());
    case schema::JobChange::kEvacuation:
        return applyEvacuation(change.evacuation());
    case schema::JobChange::kRunTimes:
        m_runTimes = change.run_times();
        return;
    case schema::JobChange::kConfirmed:
        return applyConfirmed(change.confirmed());
    case schema::JobChange::kLongestLeaseMs:
        m_longestLease = std::max(m_longestLease, Milliseconds(static_cast<int64_t>(change.longest_lease_ms())));
        return;
    case schema::JobChange::BODY_NOT_SET:
        return;
    }
}

void JobState::applyConfiguration(const schema::JobConfiguration& configuration)
{
    if (configuration.version() <= m_configuration.version())
        return;
    m_configuration = configuration;
    m_configurationIndex.rebuild(m_configuration);
    // A job may be accepted after the removal of the queue that it was submitted to: the time counts from here.
    for (auto& [key, it] : m_queues) {
        if (!std::exchange(it.isRemoved, true))
            it.inForceAtMs = m_wallMs;
    }
    for (const auto& it : configuration.queues())
        m_queues[queueKey(it)] = { it, false, m_wallMs };
    forgetRemovedQueues();
}

void JobState::forgetRemovedQueues()
{
    absl::flat_hash_set<std::string_view> needed;
    for (const auto& [id, job] : m_jobs) {
        if (!job.hasEnded())
            needed.insert(job.request.queue());
    }
    const auto kept = static_cast<uint64_t>(m_retention.count());
    absl::erase_if(m_queues, [&](const auto& it) {
        return it.second.isRemoved && it.second.inForceAtMs + kept < m_wallMs && !needed.contains(it.first);
    });
}

void JobState::applyAccepted(const schema::JobRequest& request)
{
    const auto [it, isNew] = m_jobs.try_emplace(request.id());
    if (!isNew)
        return;
    it->second.request = request;
    ++m_queuedJobs[request.queue()];
    if (request.first_at_ms() == 0)
        openOccurrence(it->second, 0);
}

void JobState::applyCancelled(uint64_t job, const schema::CallOrigin& origin)
{
    const auto it = m_jobs.find(job);
    if (it == m_jobs.end())
        return recordCancelledUnseen(job, m_wallMs);
    if (it->second.hasEnded())
        return;
    it->second.cancelledBy = origin;
    endJob(it->second, JobPhase::Cancelled);
}

void JobState::recordCancelledUnseen(uint64_t job, uint64_t atMs)
{
    if (m_cancelledUnseen.emplace(job, atMs).second)
        m_cancelledInOrder.emplace_back(atMs, job);
}

void JobState::applyAssigned(const schema::TaskAssignment& assignment)
{
    const auto key = toKey(assignment.task());
    const auto job = m_jobs.find(key.step.job);
    const auto executor = m_executors.find(assignment.executor());
    if (job == m_jobs.end() || job->second.hasEnded() || executor == m_executors.end())
        return;
    if (!job->second.open.contains(key.step.occurrence)
        && key.step.occurrence < job->second.firstUnfinishedOccurrence())
        return;
    openOccurrence(job->second, key.step.occurrence);
    auto* task = mutableTask(key);
    if (task == nullptr || task->done || assignment.run() < task->run)
        return;
    auto& step = job->second.open[key.step.occurrence].steps[key.step.step];
    if (task->executor == 0)
        ++step.assignedTasks;
    task->run = assignment.run();
    task->executor = assignment.executor();
    executor->second.assignments[key]
        = { assignment.run(), needOf(job->second.request.steps(static_cast<int>(key.step.step))) };
    leaveQueue(job->second);
    job->second.phase = JobPhase::Running;
}

void JobState::applyConfirmed(const schema::ConfirmedRuns& confirmed)
{
    for (const auto& it : confirmed.runs()) {
        const auto executor = m_executors.find(it.executor());
        if (executor == m_executors.end())
            continue;
        const auto assignment = executor->second.assignments.find(toKey(it.task()));
        if (assignment == executor->second.assignments.end() || assignment->second.run != it.run())
            continue;
        if (!std::exchange(assignment->second.isConfirmed, true))
            assignment->second.confirmedAtMs = executor->second.lastConfirmedAtMs = m_wallMs;
        // Its start had not reached an earlier incarnation.
        const RunKey run { toKey(it.task()), it.run() };
        const auto lost = m_lostRuns.find(run);
        const auto& record = executor->second.record;
        if (lost != m_lostRuns.end() && lost->second.incarnation != IncarnationKey { record.id(), record.born_ms() })
            dropLostRun(run);
    }
}

void JobState::applyEnded(const schema::RunEnd& end)
{
    if (end.late())
        return applyLateEnd(toKey(end.task()));
    const auto key = toKey(end.task());
    const auto executor = m_executors.find(end.executor());
    if (executor == m_executors.end())
        return;
    // Ignore the end of a run that is no longer assigned.
    const auto assignment = executor->second.assignments.find(key);
    if (assignment == executor->second.assignments.end() || assignment->second.run != end.run())
        return;
    executor->second.assignments.erase(assignment);
    const auto job = m_jobs.find(key.step.job);
    if (job == m_jobs.end() || job->second.hasEnded())
        return;
    auto* task = mutableTask(key);
    if (task == nullptr)
        return;
    if (task->executor == end.executor() && task->run == end.run()) {
        task->executor = 0;
        --job->second.open[key.step.occurrence].steps[key.step.step].assignedTasks;
        if (!end.checkpoint().empty())
            task->checkpoint = end.checkpoint();
    }
    noteBegin(job->second, end.outcome());
    if (end.outcome() == schema::RUN_OUTCOME_DONE)
        markDone(job->second, key);
    else if (end.outcome() == schema::RUN_OUTCOME_FAILED)
        countFailure(job->second, key, end.run());
}

void JobState::applyLateEnd(const TaskKey& key)
{
    const auto job = m_jobs.find(key.step.job);
    const auto* task = mutableTask(key);
    if (job == m_jobs.end() || job->second.hasEnded() || task == nullptr || task->done)
        return;
    leaveQueue(job->second);
    job->second.phase = JobPhase::Running;
    job->second.hasBegun = true;
    markDone(job->second, key);
}

uint32_t JobRecord::assignedTasks() const
{
    uint32_t n = 0;
    for (const auto& [number, occurrence] : open) {
        for (const auto& step : occurrence.steps)
            n += step.assignedTasks;
    }
    return n;
}

uint32_t JobRecord::unfinishedOccurrences() const
{
    return static_cast<uint32_t>(
        std::count_if(open.begin(), open.end(), [](const auto& it) { return !it.second.isDone(); }));
}

void JobState::noteBegin(JobRecord& job, schema::RunOutcome outcome)
{
    const bool isDoubtful = outcome == schema::RUN_OUTCOME_NEVER_RAN || outcome == schema::RUN_OUTCOME_LOST
        || outcome == schema::RUN_OUTCOME_LAPSED;
    job.hasBegun = job.hasBegun || !isDoubtful;
    if (job.hasBegun || job.phase != JobPhase::Running)
        return;
    if (job.assignedTasks() > 0)
        return;
    job.phase = JobPhase::Queued;
    ++m_queuedJobs[job.request.queue()];
}

void JobState::markDone(JobRecord& job, const TaskKey& key)
{
    const auto& spec = job.request.steps(static_cast<int>(key.step.step));
    if (spec.lasting())
        return;
    auto& step = job.open[key.step.occurrence].steps[key.step.step];
    // The members of a gang end together, so the end of one member marks all as done.
    const uint32_t first = spec.gang() ? 0 : key.index;
    const uint32_t last = spec.gang() ? static_cast<uint32_t>(step.tasks.size()) - 1 : key.index;
    for (uint32_t n = first; n <= last; ++n) {
        if (!std::exchange(step.tasks[n].done, true))
            ++step.doneTasks;
        step.tasks[n].checkpoint.clear();
    }
    if (step.isDone())
        finishStep(job, key.step);
}

void JobState::finishStep(JobRecord& job, const StepKey& key)
{
    auto& occurrence = job.open[key.occurrence];
    occurrence.doneSteps = static_cast<uint32_t>(
        std::count_if(occurrence.steps.begin(), occurrence.steps.end(), [](const auto& it) { return it.isDone(); }));
    if (occurrence.doneSteps < occurrence.steps.size())
        return;
    ++job.occurrencesDone;
    auto first = job.firstUnfinishedOccurrence();
    for (auto it = job.open.find(first); it != job.open.end() && it->second.isDone(); it = job.open.find(++first))
        job.open.erase(it);
    if (job.occurrencesDone >= std::max(1U, job.request.occurrences()))
        endJob(job, JobPhase::Completed);
}

void JobState::countFailure(JobRecord& job, const TaskKey& key, uint32_t run)
{
    const auto& spec = job.request.steps(static_cast<int>(key.step.step));
    if (spec.lasting())
        return;
    auto& step = job.open[key.step.occurrence].steps[key.step.step];
    auto& task = step.tasks[key.index];
    uint32_t failures = ++task.failures;
    if (spec.gang()) {
        if (run <= step.lastFailedRun)
            return;
        step.lastFailedRun = run;
        failures = ++step.gangFailures;
    }
    const auto* queue = queueOf(job.request.queue());
    if (queue == nullptr || failures < std::max(1U, queue->max_attempts()))
        return;
    job.failure = { key, "attempts", failures, task.crashes, task.crashesAtStart, task.finalLosses };
    endJob(job, JobPhase::Failed);
}

void JobState::endJob(JobRecord& job, JobPhase phase)
{
    leaveQueue(job);
    job.phase = phase;
    job.endedAtMs = m_wallMs;
    job.open.clear();
    job.request.clear_payload();
    job.request.clear_steps();
    m_ended.emplace_back(m_wallMs, job.request.id());
    dropLossesOf(job.request.id());
}

// Must be called before a job's phase changes.
void JobState::leaveQueue(const JobRecord& job)
{
    if (job.phase != JobPhase::Queued)
        return;
    const auto it = m_queuedJobs.find(job.request.queue());
    if (it != m_queuedJobs.end() && --it->second == 0)
        m_queuedJobs.erase(it);
}

void JobState::removeExpiredJobs()
{
    const auto kept = static_cast<uint64_t>(m_retention.count());
    while (!m_ended.empty() && m_ended.front().first + kept < m_wallMs) {
        m_jobs.erase(m_ended.front().second);
        m_ended.pop_front();
    }
    while (!m_cancelledInOrder.empty() && m_cancelledInOrder.front().first + kept < m_wallMs) {
        m_cancelledUnseen.erase(m_cancelledInOrder.front().second);
        m_cancelledInOrder.pop_front();
    }
}

void JobState::applyExecutor(const schema::ExecutorRecord& record)
{
    auto& it = m_executors[record.number()];
    it.record = record;
    it.capacity = toVector(record.capacity());
    it.largestCapacity = largestOf(it.largestCapacity, it.capacity);
    m_lastExecutor = std::max(m_lastExecutor, record.number());
}

void JobState::applyEvacuation(const schema::Evacuation& evacuation)
{
    m_evacuations[evacuation.data_centre()] = { evacuation.active(), evacuation.ordered_at_ms() };
}

OccurrenceRecord& JobState::openOccurrence(JobRecord& job, uint32_t occurrence)
{
    auto [it, isNew] = job.open.try_emplace(occurrence);
    if (isNew) {
        for (const auto& step : job.request.steps()) {
            it->second.steps.emplace_back();
            it->second.steps.back().tasks.resize(step.count());
        }
    }
    return it->second;
}

// ---- Queries -------------------------------------------------------------

const schema::JobQueue* JobState::queueOf(std::string_view key) const
{
    const auto it = m_queues.find(std::string(key));
    return it == m_queues.end() ? nullptr : &it->second.queue;
}

bool JobState::isEvacuated(std::string_view dataCentre) const
{
    if (m_evacuations.empty())
        return false;
    const auto it = m_evacuations.find(dataCentre);
    return it != m_evacuations.end() && it->second.isActive;
}

const JobRecord* JobState::find(uint64_t job) const
{
    const auto it = m_jobs.find(job);
    return it == m_jobs.end() ? nullptr : &it->second;
}

uint64_t JobState::queuedJobs(std::string_view queueKey) const
{
    const auto it = m_queuedJobs.find(queueKey);
    return it == m_queuedJobs.end() ? 0 : it->second;
}

const TaskRecord* JobState::find(const TaskKey& key) const { return const_cast<JobState*>(this)->mutableTask(key); }

TaskRecord* JobState::mutableTask(const TaskKey& key)
{
    const auto job = m_jobs.find(key.step.job);
    if (job == m_jobs.end())
        return nullptr;
    const auto occurrence = job->second.open.find(key.step.occurrence);
    if (occurrence == job->second.open.end() || key.step.step >= occurrence->second.steps.size())
        return nullptr;
    auto& tasks = occurrence->second.steps[key.step.step].tasks;
    return key.index < tasks.size() ? &tasks[key.index] : nullptr;
}

} // namespace teasel
