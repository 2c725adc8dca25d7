#include "jobs/job_state.h"

#include "jobs/job_image_check.h"

#include <algorithm>

namespace teasel {

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
        return applyCancelled(change.cancelled());
    case schema::JobChange::kAssigned:
        return applyAssigned(change.assigned());
    case schema::JobChange::kEnded:
        return applyEnded(change.ended());
    case schema::JobChange::kExecutor:
        return applyExecutor(change.executor());
    case schema::JobChange::kCrashed:
        return applyCrashed(change.crashed());
    case schema::JobChange::kExecutorRemoved:
        m_executors.erase(change.executor_removed());
        return;
    case schema::JobChange::kEvacuation:
        return applyEvacuation(change.evacuation());
    case schema::JobChange::kRunTimes:
        m_runTimes = change.run_times();
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
    for (const auto& it : configuration.queues())
        m_queues[queueKey(it)] = it;
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

void JobState::applyCancelled(uint64_t job)
{
    const auto it = m_jobs.find(job);
    if (it != m_jobs.end() && !it->second.hasEnded())
        endJob(it->second, JobPhase::Cancelled);
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
    if (queue != nullptr && failures >= std::max(1U, queue->max_attempts()))
        endJob(job, JobPhase::Failed);
}

void JobState::applyCrashed(const schema::RunCrash& crash)
{
    const auto key = toKey(crash.task());
    const auto job = m_jobs.find(key.step.job);
    auto* task = mutableTask(key);
    if (job == m_jobs.end() || job->second.hasEnded() || task == nullptr || task->done
        || crash.run() <= task->lastCrashedRun)
        return;
    task->lastCrashedRun = crash.run();
    ++task->crashes;
    task->crashesAtStart += crash.at_start() ? 1 : 0;
    const bool isLasting = job->second.request.steps(static_cast<int>(key.step.step)).lasting();
    if (task->crashesAtStart >= maxCrashesAtStart || (!isLasting && task->crashes >= maxCrashes))
        endJob(job->second, JobPhase::Failed);
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
    return it == m_queues.end() ? nullptr : &it->second;
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

// ---- Snapshots -----------------------------------------------------------

namespace {

    void fillStep(const StepRecord& step, schema::StepImage& out)
    {
        out.set_last_failed_run(step.lastFailedRun);
        out.set_gang_failures(step.gangFailures);
        for (const auto& it : step.tasks) {
            auto& task = *out.add_tasks();
            task.set_run(it.run);
            task.set_executor(it.executor);
            task.set_failures(it.failures);
            task.set_done(it.done);
            task.set_checkpoint(it.checkpoint);
            task.set_crashes(it.crashes);
            task.set_crashes_at_start(it.crashesAtStart);
            task.set_last_crashed_run(it.lastCrashedRun);
        }
    }

    StepRecord readStep(const schema::StepImage& image)
    {
        StepRecord step;
        step.lastFailedRun = image.last_failed_run();
        step.gangFailures = image.gang_failures();
        for (const auto& it : image.tasks()) {
            step.tasks.push_back({ it.run(), it.executor(), it.failures(), it.crashes(), it.last_crashed_run(),
                it.crashes_at_start(), it.done(), it.checkpoint() });
            step.doneTasks += it.done() ? 1 : 0;
            step.assignedTasks += it.executor() != 0 ? 1 : 0;
        }
        return step;
    }

    void fillJob(const JobRecord& job, schema::JobImage& out)
    {
        *out.mutable_request() = job.request;
        out.set_phase(static_cast<schema::JobPlanePhase>(job.phase));
        out.set_ended_at_ms(job.endedAtMs);
        out.set_occurrences_done(job.occurrencesDone);
        out.set_has_begun(job.hasBegun);
        for (const auto& [number, occurrence] : job.open) {
            auto& open = *out.add_open();
            open.set_occurrence(number);
            for (const auto& it : occurrence.steps)
                fillStep(it, *open.add_steps());
        }
    }

    JobRecord readJob(const schema::JobImage& image)
    {
        JobRecord job;
        job.request = image.request();
        job.phase = static_cast<JobPhase>(image.phase());
        job.endedAtMs = image.ended_at_ms();
        job.occurrencesDone = image.occurrences_done();
        job.hasBegun = image.has_begun();
        for (const auto& open : image.open()) {
            auto& occurrence = job.open[open.occurrence()];
            for (const auto& it : open.steps()) {
                occurrence.steps.push_back(readStep(it));
                occurrence.doneSteps += occurrence.steps.back().isDone() ? 1 : 0;
            }
        }
        return job;
    }

} // namespace

std::string JobState::snapshot() const
{
    schema::JobPlaneImage image;
    *image.mutable_configuration() = m_configuration;
    for (const auto& [key, it] : m_queues)
        *image.add_known_queues() = it;
    for (const auto& [id, it] : m_jobs)
        fillJob(it, *image.add_jobs());
    for (const auto& [number, it] : m_executors) {
        auto& record = *image.add_executors();
        record = it.record;
        *record.mutable_largest_capacity() = toMessage(it.largestCapacity);
        for (const auto& [key, held] : it.assignments) {
            auto& assignment = *record.add_assignments();
            fillRef(key, *assignment.mutable_task());
            assignment.set_run(held.run);
            *assignment.mutable_need() = toMessage(held.need);
        }
    }
    for (const auto& [dataCentre, it] : m_evacuations) {
        auto& evacuation = *image.add_evacuations();
        evacuation.set_data_centre(dataCentre);
        evacuation.set_active(it.isActive);
        evacuation.set_ordered_at_ms(it.orderedAtMs);
    }
    *image.mutable_run_times() = m_runTimes;
    image.set_last_executor(m_lastExecutor);
    image.set_wall_ms(m_wallMs);
    return image.SerializeAsString();
}

Result<void> JobState::restore(std::string_view snapshot)
{
    schema::JobPlaneImage image;
    if (!image.ParseFromArray(snapshot.data(), static_cast<int>(snapshot.size())))
        return fail(ErrorKind::StateUnavailable, "cannot parse the snapshot of the job plane");
    if (!std::all_of(image.jobs().begin(), image.jobs().end(), isConsistent))
        return fail(ErrorKind::StateUnavailable, "a job in the snapshot has tasks that its request does not have");
    m_configuration = image.configuration();
    m_configurationIndex.rebuild(m_configuration);
    m_queues.clear();
    for (const auto& it : image.known_queues())
        m_queues[queueKey(it)] = it;
    m_jobs.clear();
    m_queuedJobs.clear();
    m_ended.clear();
    for (const auto& it : image.jobs()) {
        auto& job = m_jobs[it.request().id()] = readJob(it);
        if (job.hasEnded())
            m_ended.emplace_back(job.endedAtMs, it.request().id());
        else if (job.phase == JobPhase::Queued)
            ++m_queuedJobs[job.request.queue()];
    }
    std::sort(m_ended.begin(), m_ended.end());
    m_executors.clear();
    for (auto record : image.executors()) {
        auto& it = m_executors[record.number()];
        for (const auto& assignment : record.assignments())
            it.assignments[toKey(assignment.task())] = { assignment.run(), toVector(assignment.need()) };
        it.capacity = toVector(record.capacity());
        it.largestCapacity = largestOf(it.capacity, toVector(record.largest_capacity()));
        record.clear_assignments();
        record.clear_largest_capacity();
        it.record = record;
    }
    m_evacuations.clear();
    for (const auto& it : image.evacuations())
        applyEvacuation(it);
    m_runTimes = image.run_times();
    m_lastExecutor = image.last_executor();
    m_wallMs = image.wall_ms();
    return {};
}

} // namespace teasel
