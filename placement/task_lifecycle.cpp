#include "placement/task_lifecycle.h"

#include "core/invariant.h"

#include <algorithm>
#include <fmt/format.h>

namespace teasel {

namespace {

    constexpr uint32_t mostDoublings = 16;
    constexpr uint32_t serviceAttemptsFactor = 4; // services fail for longer than tasks that end

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
    const auto factor = int64_t { 1 } << std::min(failures > 0 ? failures - 1 : 0, mostDoublings);
    return std::min(m_state.options.firstBackoff * factor, m_state.options.mostBackoff);
}

void TaskLifecycle::place(
    const TaskRef& ref, WorkerId worker, const ResourceVector& commitment, bool backfilled, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    checkInvariant(task.live == 0 && task.phase == TaskPhase::Waiting, "no task is started in two places",
        [&] { return fmt::format("{}/{} has {} attempts", job.id, ref.index, task.live); });
    checkInvariant(m_state.settled(now), "a leader places nothing before it knows what runs",
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
    task.live = 1;
    task.running = false;
    task.moving = false;
    ++job.counts.placed;
    m_state.workers.commit(worker, resident);
    m_state.shares.add(job.team, commitment);
    m_state.tasks.dequeue(ref);
    m_state.tasks.refreshQueue(ref.job);
    ++m_state.stats.placements;
}

void TaskLifecycle::takeBack(const TaskRef& ref)
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
    task.live = 0;
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

bool TaskLifecycle::mayGoOn(const TaskRef& ref, const Attempt& attempt, Instant now) const
{
    const auto& job = m_state.tasks.job(ref.job);
    if (!job.known)
        return true;
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    const auto& task = job.tasks[ref.index];
    if (job.closed || ref.index >= indices || task.phase == TaskPhase::Finished || attempt < task.attempt)
        return false;
    // A gang runs whole: a single task that turns up late does not.
    return !job.isGang() || !m_state.settled(now) || task.phase == TaskPhase::Placed;
}

void TaskLifecycle::adopt(WorkerId worker, const schema::TaskReport& report, JobOrdinal ordinal, Instant now)
{
    const TaskRef ref { ordinal, report.index() };
    m_state.tasks.reach(ordinal, ref.index);
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
    ++task.live;
    m_state.tasks.dequeue(ref);
    ++m_state.stats.tasksAdopted;
    settle(ref, worker, attempt, now);
    m_state.tasks.refreshQueue(ordinal);
}

// Of two attempts at a task the later one goes on.
void TaskLifecycle::settle(const TaskRef& ref, WorkerId worker, const Attempt& attempt, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    if (!mayGoOn(ref, attempt, now)) {
        ++m_state.stats.conflictsSettled;
        const auto* resident = m_state.workers.resident(worker, ref, attempt);
        const auto position = static_cast<size_t>(resident - m_state.workers.at(worker).residents.data());
        stop(worker, position, schema::STOP_MANNER_STOP, now);
        return;
    }
    if (task.phase == TaskPhase::Placed) {
        ++m_state.stats.conflictsSettled;
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
    auto& resident = m_state.workers.edit(worker).residents[position];
    if (resident.phase == ResidentPhase::Stopping)
        return;
    const TaskRef ref = resident.task;
    auto& task = m_state.tasks.task(ref);
    const bool counts = task.phase == TaskPhase::Placed && task.worker == worker && task.attempt == resident.attempt;
    if (counts)
        detach(ref);
    // Nobody is left to take the order; the lease ends it.
    if (resident.phase == ResidentPhase::Orphaned)
        return m_state.tasks.refreshQueue(ref.job);
    resident.phase = ResidentPhase::Stopping;
    resident.leaving = true;
    m_state.shares.expect(resident.team, ResourceVector {} - resident.committed);
    resident.manner = manner;
    resident.orderSequence = 0;
    resident.deadline = now + m_state.options.checkpointGrace;
    m_state.tasks.refreshQueue(ref.job);
    // The worker never heard of it.
    if (!resident.startSent)
        ended(worker, position, outcomeOfStop(resident), {}, now);
}

void TaskLifecycle::giveUp(WorkerId worker, size_t position, Instant now)
{
    const auto& resident = m_state.workers.at(worker).residents[position];
    const auto& job = m_state.tasks.job(resident.task.job);
    const auto& task = job.tasks[resident.task.index];
    const bool counts = task.phase == TaskPhase::Placed && task.worker == worker && task.attempt == resident.attempt;
    if (counts && job.isGang() && job.known && !job.closed)
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
    checkInvariant(false, "a placed task has its attempt on its worker",
        [&] { return fmt::format("{}/{} on {}", job.id, ref.index, m_state.workers.at(task.worker).name); });
}

void TaskLifecycle::ended(WorkerId worker, size_t position, TaskOutcome outcome, std::string_view message, Instant now)
{
    const Resident resident = m_state.workers.release(worker, position);
    m_state.shares.subtract(resident.team, resident.committed);
    if (resident.leaving)
        m_state.shares.expect(resident.team, resident.committed);
    m_state.workPending = true;
    const TaskRef ref = resident.task;
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    --task.live;
    if (job.known && outcome == TaskOutcome::Succeeded)
        m_state.usage.observe(job.team, job.spec.name(), resident.peak, resident.ranMs);
    if (outcome == TaskOutcome::Checkpointed)
        task.checkpointed = true;
    if (outcome == TaskOutcome::Lost) {
        ++m_state.stats.tasksLost;
        task.lost = true;
    }
    const bool counts = task.phase == TaskPhase::Placed && task.worker == worker && task.attempt == resident.attempt;
    if (counts)
        concludeCurrent(ref, outcome, worker, message, now);
    else
        concludeDetached(ref, resident, outcome, now);
    m_state.tasks.refreshQueue(ref.job);
}

void TaskLifecycle::concludeCurrent(
    const TaskRef& ref, TaskOutcome outcome, WorkerId worker, std::string_view message, Instant now)
{
    detach(ref);
    auto& job = m_state.tasks.job(ref.job);
    if (!job.known || job.closed)
        return;
    if (outcome == TaskOutcome::Failed)
        ++m_state.stats.tasksFailed;
    switch (std::visit([&](const auto& it) { return it.onEnd(outcome); }, job.policy)) {
    case EndVerdict::Finish:
        ++m_state.stats.tasksSucceeded;
        return finish(ref, now);
    case EndVerdict::Again:
        return requeue(ref, now, now);
    case EndVerdict::AgainLater:
        return retryLater(ref, worker, message, now);
    case EndVerdict::AllAgain:
        return restartGang(ref.job, false, now);
    case EndVerdict::AllAgainLater:
        job.tasks[ref.index].avoid = worker;
        if (m_state.quarantine.standing(worker) == Quarantine::Standing::Trusted)
            ++job.failures;
        if (job.failures >= maxAttempts(m_state.options, job)) {
            const auto reason
                = fmt::format("task {} failed last, after {} failures: {}", ref.index, job.failures, message);
            return closeJob(ref.job, schema::JOB_PHASE_FAILED, reason, now);
        }
        return restartGang(ref.job, true, now);
    }
}

// The end of an attempt that was already given up.
void TaskLifecycle::concludeDetached(const TaskRef& ref, const Resident& resident, TaskOutcome outcome, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    const bool succeeded = outcome == TaskOutcome::Succeeded && job.isBatch();
    if (succeeded && task.phase == TaskPhase::Waiting && resident.attempt == task.attempt && job.known && !job.closed)
        return finish(ref, now);
    if (task.phase == TaskPhase::Waiting && job.known && !job.closed)
        requeue(ref, now, now);
}

void TaskLifecycle::finish(const TaskRef& ref, Instant now)
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

void TaskLifecycle::succeededElsewhere(const TaskRef& ref, const Attempt& attempt, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    m_state.tasks.reach(ref.job, ref.index);
    auto& task = job.tasks[ref.index];
    if (!job.known || job.closed || job.isService() || task.phase == TaskPhase::Finished)
        return;
    if (job.isGang() && attempt < task.attempt)
        return;
    if (task.phase == TaskPhase::Placed)
        stopTask(ref, now);
    task.attempt = std::max(task.attempt, attempt);
    finish(ref, now);
    m_state.tasks.refreshQueue(ref.job);
}

void TaskLifecycle::retryLater(const TaskRef& ref, WorkerId worker, std::string_view message, Instant now)
{
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    task.avoid = worker;
    // A worker that fails everything does not count against the job.
    if (m_state.quarantine.standing(worker) == Quarantine::Standing::Trusted)
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
    if (task.live > 0 || task.phase != TaskPhase::Waiting || !job.known || job.closed)
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
    job.wantedPhase = phase;
    job.reason = reason;
    job.reportedAt = {};
    m_state.stats.jobsFailed += phase == schema::JOB_PHASE_FAILED ? 1 : 0;
    job.closed = true;
    stopAll(ordinal, now);
}

void TaskLifecycle::stopAll(JobOrdinal ordinal, Instant now)
{
    auto& job = m_state.tasks.job(ordinal);
    job.waiting.clear();
    m_state.tasks.refreshQueue(ordinal);
    for (uint32_t i = 0; i < job.tasks.size(); ++i)
        stopTask({ ordinal, i }, now);
    m_state.workPending = true;
}

} // namespace teasel
