// JobState: snapshots.
#include "jobs/job_image_check.h"
#include "jobs/job_state.h"

#include <algorithm>

namespace teasel {

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
            task.set_unproven_crashes(it.unprovenCrashes);
        }
    }

    StepRecord readStep(const schema::StepImage& image)
    {
        StepRecord step;
        step.lastFailedRun = image.last_failed_run();
        step.gangFailures = image.gang_failures();
        for (const auto& it : image.tasks()) {
            // Images of earlier versions have only crashes at the start apart from expired leases.
            const auto crashes = std::max(it.crashes(), it.crashes_at_start());
            step.tasks.push_back({ it.run(), it.executor(), it.failures(), crashes, it.last_crashed_run(),
                it.crashes_at_start(), 0, 0, it.unproven_crashes(), it.done(), it.checkpoint() });
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
        if (job.phase == JobPhase::Cancelled)
            *out.mutable_cancelled_by() = job.cancelledBy;
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
        job.cancelledBy = image.cancelled_by();
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
    for (const auto& [key, it] : m_queues) {
        *image.add_known_queues() = it.queue;
        image.add_known_queue_in_force_at_ms(it.inForceAtMs);
    }
    for (const auto& [id, it] : m_jobs)
        fillJob(it, *image.add_jobs());
    for (const auto& [number, it] : m_executors) {
        auto& record = *image.add_executors();
        record = it.record;
        *record.mutable_largest_capacity() = toMessage(it.largestCapacity);
        record.set_last_confirmed_at_ms(it.lastConfirmedAtMs);
        for (const auto& [key, held] : it.assignments) {
            auto& assignment = *record.add_assignments();
            fillRef(key, *assignment.mutable_task());
            assignment.set_run(held.run);
            *assignment.mutable_need() = toMessage(held.need);
            assignment.set_confirmed(held.isConfirmed);
            assignment.set_confirmed_at_ms(held.confirmedAtMs);
        }
    }
    for (const auto& [incarnation, it] : m_losses) {
        auto& loss = *image.add_losses();
        loss.set_executor(incarnation.first);
        loss.set_born_ms(incarnation.second);
        loss.set_final(it.isFinal);
        loss.set_lost_at_ms(it.lostAtMs);
        for (const auto& run : it.runs) {
            auto& lost = *loss.add_runs();
            fillRef(run.first, *lost.mutable_task());
            lost.set_run(run.second);
            lost.set_may_be_cause(m_lostRuns.at(run).mayBeCause);
        }
    }
    for (const auto& [dataCentre, it] : m_evacuations) {
        auto& evacuation = *image.add_evacuations();
        evacuation.set_data_centre(dataCentre);
        evacuation.set_active(it.isActive);
        evacuation.set_ordered_at_ms(it.orderedAtMs);
    }
    for (const auto& [atMs, job] : m_cancelledInOrder) {
        auto& cancelled = *image.add_cancelled_unseen();
        cancelled.set_job(job);
        cancelled.set_cancelled_at_ms(atMs);
    }
    *image.mutable_run_times() = m_runTimes;
    image.set_longest_lease_ms(static_cast<uint64_t>(m_longestLease.count()));
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
    for (int n = 0; n < image.known_queues_size(); ++n) {
        const auto& queue = image.known_queues(n);
        // Images of earlier versions have no times: the queue counts as in force until now.
        const bool hasTime = n < image.known_queue_in_force_at_ms_size();
        m_queues[queueKey(queue)] = { queue, true, hasTime ? image.known_queue_in_force_at_ms(n) : image.wall_ms() };
    }
    for (const auto& it : m_configuration.queues())
        m_queues[queueKey(it)].isRemoved = false;
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
            it.assignments[toKey(assignment.task())] = { assignment.run(), toVector(assignment.need()),
                assignment.confirmed(), assignment.confirmed_at_ms() };
        it.capacity = toVector(record.capacity());
        it.largestCapacity = largestOf(it.capacity, toVector(record.largest_capacity()));
        record.clear_assignments();
        record.clear_largest_capacity();
        it.lastConfirmedAtMs = record.last_confirmed_at_ms();
        record.clear_last_confirmed_at_ms();
        it.record = record;
    }
    m_losses.clear();
    m_lostRuns.clear();
    for (const auto& it : image.losses())
        addLoss(it, it.lost_at_ms(), it.final());
    m_evacuations.clear();
    for (const auto& it : image.evacuations())
        applyEvacuation(it);
    m_cancelledUnseen.clear();
    m_cancelledInOrder.clear();
    for (const auto& it : image.cancelled_unseen())
        recordCancelledUnseen(it.job(), it.cancelled_at_ms());
    m_runTimes = image.run_times();
    m_longestLease = Milliseconds(static_cast<int64_t>(image.longest_lease_ms()));
    m_lastExecutor = image.last_executor();
    m_wallMs = image.wall_ms();
    return {};
}

} // namespace teasel
