#include "placement/task_lifecycle.h"

#include "core/invariant.h"

#include <algorithm>
#include <fmt/format.h>

namespace teasel {

namespace {

    constexpr uint32_t maxDoublings = 16;
    constexpr uint32_t serviceAttemptsFactor = 4; // services are retried longer than jobs that complete

    TaskOutcome outcomeOfStop(const Resident&) { return TaskOutcome::Stopped; }

} // namespace

uint32_t TaskLifecycle::maxAttempts(const PlacementOptions& options, const Job& job)
{
    if (job.spec.max_attempts() > 0)
        return job.spec.max_attempts();
    return job.isService() ? options.defaultMaxAttempts * serviceAttemptsFactor : options.defaultMaxAttempts;
}

Milliseconds TaskLifecycle::backoff(uint32_t failures) const
{
    const auto factor = int64_t { 1 } << std::min(failures > 0 ? failures - 1 : 0, maxDoublings);
    return std::min(m_state.options.initialBackoff * factor, m_state.options.maxBackoff);
}

void TaskLifecycle::place(
    const TaskRef& ref, WorkerId worker, const ResourceVector& commitment, bool backfilled, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    checkInvariant(task.liveAttempts == 0 && task.phase == TaskPhase::Waiting,
        "a task is never started while another attempt is live",
        [&] { return fmt::format("{}/{} has {} live attempts", job.id, ref.index, task.liveAttempts); });
    checkInvariant(m_state.isRecovered(now), "a leader places no task before its recovery is complete",
        [&] { return fmt::format("{}/{}", job.id, ref.index); });
    Resident resident;
    resident.task = ref;
    resident.attempt = { m_state.epoch, task.attempt.number + 1 };
    resident.team = job.team;
    resident.committed = commitment;
    resident.specDigest = job.digest;
    resident.placedAt = now;
    resident.backfilled = backfilled;
    task.attempt = resident.attempt;
    task.phase = TaskPhase::Placed;
    task.worker = worker;
    task.liveAttempts = 1;
    task.running = false;
    task.moving = false;
    ++job.counts.placed;
    m_state.workers.commit(worker, resident);
    m_state.shares.add(job.team, commitment);
    m_state.tasks.dequeue(ref);
    m_state.tasks.refreshQueue(ref.job);
    ++m_state.stats.placements;
}

void TaskLifecycle::undoPlacement(const TaskRef& ref)
{
    auto& task = m_state.tasks.task(ref);
    const WorkerId worker = task.worker;
    const auto& residents = m_state.workers.at(worker).residents;
    for (size_t i = 0; i < residents.size(); ++i) {
        if (residents[i].task != ref || residents[i].attempt != task.attempt)
            continue;
        const Resident resident = m_state.workers.release(worker, i);
        m_state.shares.subtract(resident.team, resident.committed);
        break;
    }
    detach(ref);
    task.liveAttempts = 0;
    --task.attempt.number;
    --m_state.stats.placements;
    m_state.tasks.enqueue(ref, {}, {});
}

void TaskLifecycle::detach(const TaskRef& ref)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    --job.counts.placed;
    job.counts.running -= task.running ? 1 : 0;
    job.counts.moving -= task.moving ? 1 : 0;
    task.running = false;
    task.moving = false;
    task.worker = noWorker;
    task.phase = TaskPhase::Waiting;
}

bool TaskLifecycle::mayContinue(const TaskRef& ref, const Attempt& attempt, Instant now) const
{
    const auto& job = m_state.tasks.job(ref.job);
    if (!job.hasRecord)
        return true;
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    const auto& task = job.tasks[ref.index];
    if (job.closed || ref.index >= indices || task.phase == TaskPhase::Finished || attempt < task.attempt)
        return false;
    // A gang runs completely or not at all, so a single task reported late may not continue.
    return !job.isGang() || !m_state.isRecovered(now) || task.phase == TaskPhase::Placed;
}

void TaskLifecycle::adopt(WorkerId worker, const schema::TaskReport& report, JobOrdinal ordinal, Instant now)
{
    const TaskRef ref { ordinal, report.index() };
    m_state.tasks.ensureTask(ordinal, ref.index);
    Resident resident;
    resident.task = ref;
    resident.attempt = { report.attempt_epoch(), report.attempt() };
    resident.team = report.team_id();
    resident.committed = toVector(report.committed());
    resident.specDigest = report.spec_digest();
    resident.phase = ResidentPhase::Running;
    resident.startSent = true;
    resident.placedAt = now - Milliseconds(report.ran_ms());
    const Attempt attempt = resident.attempt;
    m_state.shares.add(resident.team, resident.committed);
    m_state.workers.adopt(worker, resident);
    auto& job = m_state.tasks.job(ordinal);
    auto& task = job.tasks[ref.index];
    ++task.liveAttempts;
    m_state.tasks.dequeue(ref);
    ++m_state.stats.tasksAdopted;
    resolveConflict(ref, worker, attempt, now);
    m_state.tasks.refreshQueue(ordinal);
}

// Of two attempts at a task, the later one continues and the other is stopped.
void TaskLifecycle::resolveConflict(const TaskRef& ref, WorkerId worker, const Attempt& attempt, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    if (!mayContinue(ref, attempt, now)) {
        ++m_state.stats.conflictsResolved;
        const auto* resident = m_state.workers.findResident(worker, ref, attempt);
        const auto position = static_cast<size_t>(resident - m_state.workers.at(worker).residents.data());
        stop(worker, position, schema::STOP_MANNER_STOP, now);
        return;
    }
    if (task.phase == TaskPhase::Placed) {
        ++m_state.stats.conflictsResolved;
        stopTask(ref, now);
    }
    task.attempt = attempt;
    task.phase = TaskPhase::Placed;
    task.worker = worker;
    task.running = true;
    task.moving = false;
    ++job.counts.placed;
    ++job.counts.running;
}

void TaskLifecycle::stop(WorkerId worker, size_t position, schema::StopManner manner, Instant now)
{
    auto& resident = m_state.workers.mutableAt(worker).residents[position];
    if (resident.phase == ResidentPhase::Stopping)
        return;
    const TaskRef ref = resident.task;
    auto& task = m_state.tasks.task(ref);
    const bool isCurrent = task.phase == TaskPhase::Placed && task.worker == worker && task.attempt == resident.attempt;
    if (isCurrent)
        detach(ref);
    // The incarnation that runs it gets no more orders; the attempt ends when its lease expires.
    if (resident.phase == ResidentPhase::Orphaned)
        return m_state.tasks.refreshQueue(ref.job);
    resident.phase = ResidentPhase::Stopping;
    resident.shareReleased = true;
    m_state.shares.addExpected(resident.team, ResourceVector {} - resident.committed);
    resident.stopManner = manner;
    resident.orderSequence = 0;
    resident.deadline = now + m_state.options.checkpointTimeout;
    m_state.tasks.refreshQueue(ref.job);
    // The start order was never sent, so the attempt cannot be running.
    if (!resident.startSent)
        onAttemptEnded(worker, position, outcomeOfStop(resident), {}, now);
}

void TaskLifecycle::abandon(WorkerId worker, size_t position, Instant now)
{
    const auto& resident = m_state.workers.at(worker).residents[position];
    const auto& job = m_state.tasks.job(resident.task.job);
    const auto& task = job.tasks[resident.task.index];
    const bool isCurrent = task.phase == TaskPhase::Placed && task.worker == worker && task.attempt == resident.attempt;
    if (isCurrent && job.isGang() && job.hasRecord && !job.closed)
        restartGang(job.ordinal, false, now);
    else
        stop(worker, position, schema::STOP_MANNER_STOP, now);
}

void TaskLifecycle::stopTask(const TaskRef& ref, Instant now)
{
    const auto& job = m_state.tasks.job(ref.job);
    const auto& task = job.tasks[ref.index];
    if (task.phase != TaskPhase::Placed)
        return;
    const bool checkpoint = job.spec.can_checkpoint() && !job.closed;
    const auto& residents = m_state.workers.at(task.worker).residents;
    for (size_t i = 0; i < residents.size(); ++i) {
        if (residents[i].task == ref && residents[i].attempt == task.attempt)
            return stop(task.worker, i, checkpoint ? schema::STOP_MANNER_CHECKPOINT : schema::STOP_MANNER_STOP, now);
    }
    checkInvariant(false, "the current attempt of a placed task is listed on its worker",
        [&] { return fmt::format("{}/{} on {}", job.id, ref.index, m_state.workers.at(task.worker).name); });
}

void TaskLifecycle::onAttemptEnded(
    WorkerId worker, size_t position, TaskOutcome outcome, std::string_view message, Instant now)
{
    const Resident resident = m_state.workers.release(worker, position);
    m_state.shares.subtract(resident.team, resident.committed);
    if (resident.shareReleased)
        m_state.shares.addExpected(resident.team, resident.committed);
    m_state.workPending = true;
    const TaskRef ref = resident.task;
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    --task.liveAttempts;
    if (job.hasRecord && outcome == TaskOutcome::Succeeded)
        m_state.usage.observe(job.team, job.spec.name(), resident.peak, resident.ranMs);
    if (outcome == TaskOutcome::Checkpointed)
        task.checkpointed = true;
    if (outcome == TaskOutcome::Lost) {
        ++m_state.stats.tasksLost;
        task.lost = true;
    }
    const bool isCurrent = task.phase == TaskPhase::Placed && task.worker == worker && task.attempt == resident.attempt;
    if (isCurrent)
        handleCurrentEnd(ref, outcome, worker, message, now);
    else
        handleDetachedEnd(ref, resident, outcome, now);
    m_state.tasks.refreshQueue(ref.job);
}

void TaskLifecycle::handleCurrentEnd(
    const TaskRef& ref, TaskOutcome outcome, WorkerId worker, std::string_view message, Instant now)
{
    detach(ref);
    auto& job = m_state.tasks.job(ref.job);
    if (!job.hasRecord || job.closed)
        return;
    if (outcome == TaskOutcome::Failed)
        ++m_state.stats.tasksFailed;
    switch (std::visit([&](const auto& it) { return it.onEnd(outcome); }, job.policy)) {
    case EndAction::Finish:
        ++m_state.stats.tasksSucceeded;
        return markFinished(ref, now);
    case EndAction::Retry:
        return requeue(ref, now, now);
    case EndAction::RetryWithBackoff:
        return retryWithBackoff(ref, worker, message, now);
    case EndAction::RestartGang:
        return restartGang(ref.job, false, now);
    case EndAction::RestartGangWithBackoff:
        job.tasks[ref.index].avoidWorker = worker;
        if (m_state.quarantine.status(worker) == Quarantine::Status::Healthy)
            ++job.failures;
        if (job.failures >= maxAttempts(m_state.options, job)) {
            const auto reason
                = fmt::format("task {} failed last, after {} failures: {}", ref.index, job.failures, message);
            return closeJob(ref.job, schema::JOB_PHASE_FAILED, reason, now);
        }
        return restartGang(ref.job, true, now);
    }
}

// Handles the end of an attempt that is no longer the current one of its task.
void TaskLifecycle::handleDetachedEnd(const TaskRef& ref, const Resident& resident, TaskOutcome outcome, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    const bool succeeded = outcome == TaskOutcome::Succeeded && job.isBatch();
    if (succeeded && task.phase == TaskPhase::Waiting && resident.attempt == task.attempt && job.hasRecord
        && !job.closed)
        return markFinished(ref, now);
    if (task.phase == TaskPhase::Waiting && job.hasRecord && !job.closed)
        requeue(ref, now, now);
}

void TaskLifecycle::markFinished(const TaskRef& ref, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    m_state.tasks.dequeue(ref);
    task.phase = TaskPhase::Finished;
    ++job.counts.finished;
    if (!task.durable)
        ++job.unreported;
    const bool complete = std::visit([&](const auto& it) { return it.isComplete(job.counts); }, job.policy);
    if (complete)
        closeJob(ref.job, schema::JOB_PHASE_SUCCEEDED, {}, now);
}

void TaskLifecycle::onUntrackedSuccess(const TaskRef& ref, const Attempt& attempt, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    m_state.tasks.ensureTask(ref.job, ref.index);
    auto& task = job.tasks[ref.index];
    if (!job.hasRecord || job.closed || job.isService() || task.phase == TaskPhase::Finished)
        return;
    if (job.isGang() && attempt < task.attempt)
        return;
    if (task.phase == TaskPhase::Placed)
        stopTask(ref, now);
    task.attempt = std::max(task.attempt, attempt);
    markFinished(ref, now);
    m_state.tasks.refreshQueue(ref.job);
}

void TaskLifecycle::retryWithBackoff(const TaskRef& ref, WorkerId worker, std::string_view message, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    task.avoidWorker = worker;
    // Failures on a quarantined or probed worker do not count against the job.
    if (m_state.quarantine.status(worker) == Quarantine::Status::Healthy)
        ++task.failures;
    if (task.failures >= maxAttempts(m_state.options, job)) {
        const auto reason = fmt::format("task {} failed {} times, last: {}", ref.index, task.failures, message);
        return closeJob(ref.job, schema::JOB_PHASE_FAILED, reason, now);
    }
    requeue(ref, now + backoff(task.failures), now);
}

void TaskLifecycle::requeue(const TaskRef& ref, Instant notBefore, Instant now)
{
    const auto& job = m_state.tasks.job(ref.job);
    const auto& task = job.tasks[ref.index];
    if (task.liveAttempts > 0 || task.phase != TaskPhase::Waiting || !job.hasRecord || job.closed)
        return;
    m_state.tasks.enqueue(ref, notBefore, now);
    m_state.workPending = true;
}

void TaskLifecycle::restartGang(JobOrdinal ordinal, bool failed, Instant now)
{
    auto& job = m_state.tasks.job(ordinal);
    ++m_state.stats.gangRestarts;
    job.counts.finished = 0;
    if (failed)
        job.notBefore = now + backoff(job.failures);
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto& task = job.tasks[i];
        if (task.phase == TaskPhase::Finished)
            task.phase = TaskPhase::Waiting;
        stopTask({ ordinal, i }, now);
        requeue({ ordinal, i }, now, now);
    }
    m_state.tasks.refreshQueue(ordinal);
}

void TaskLifecycle::closeJob(JobOrdinal ordinal, schema::JobPhase phase, std::string_view reason, Instant now)
{
    auto& job = m_state.tasks.job(ordinal);
    if (job.closed)
        return;
    job.pendingPhase = phase;
    job.reason = reason;
    job.reportedAt = {};
    m_state.stats.jobsFailed += phase == schema::JOB_PHASE_FAILED ? 1 : 0;
    job.closed = true;
    stopAllTasks(ordinal, now);
}

void TaskLifecycle::stopAllTasks(JobOrdinal ordinal, Instant now)
{
    auto& job = m_state.tasks.job(ordinal);
    job.waiting.clear();
    m_state.tasks.refreshQueue(ordinal);
    for (uint32_t i = 0; i < job.tasks.size(); ++i)
        stopTask({ ordinal, i }, now);
    m_state.workPending = true;
}

} // namespace teasel
