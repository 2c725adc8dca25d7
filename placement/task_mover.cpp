#include "placement/task_mover.h"

#include <vector>

namespace teasel {

void TaskMover::moveTasks(Instant now)
{
    const std::vector<JobOrdinal> ordinals(m_state.tasks.ordinals().begin(), m_state.tasks.ordinals().end());
    for (const auto ordinal : ordinals) {
        auto& job = m_state.tasks.job(ordinal);
        if (!job.hasRecord || job.closed || job.counts.placed == 0)
            continue;
        if (job.isService())
            moveServiceReplicas(job, now);
        else if (job.isBatch() && job.spec.can_checkpoint())
            moveBatchTasks(job, now);
    }
}

bool TaskMover::mustMove(const Job& job, const TaskRef& ref) const
{
    const auto& task = job.tasks[ref.index];
    const auto& worker = m_state.workers.at(task.worker);
    if (worker.drained || worker.leaving)
        return true;
    const auto* resident = m_state.workers.findResident(task.worker, ref, task.attempt);
    return job.isService() && resident && resident->specDigest != job.digest;
}

void TaskMover::markMoving(Job& job)
{
    job.counts.moving = 0;
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        auto& task = job.tasks[i];
        task.moving = task.phase == TaskPhase::Placed && mustMove(job, { job.ordinal, i });
        job.counts.moving += task.moving ? 1 : 0;
    }
    m_state.tasks.refreshQueue(job.ordinal);
}

void TaskMover::moveServiceReplicas(Job& job, Instant now)
{
    const uint32_t before = job.counts.moving;
    markMoving(job);
    if (job.counts.moving > before)
        m_state.workPending = true;
    stopSurplus(job, now);
    if (job.counts.moving == 0) {
        job.surgeSince = {};
        return;
    }
    while (stopOneMovingReplica(job, true, now))
        continue;
    const auto& policy = std::get<ServicePolicy>(job.policy);
    while (policy.stoppableReplicas(job.counts, false) > 0 && stopOneMovingReplica(job, false, now))
        job.surgeSince = {};
    if (job.surgeSince == Instant {})
        job.surgeSince = now;
    const bool surgeTimedOut = now >= job.surgeSince + m_state.options.surgeTimeout && job.tasksToStart() > 0;
    if (!surgeTimedOut || policy.stoppableReplicas(job.counts, true) == 0)
        return;
    stopOneMovingReplica(job, false, now);
    job.surgeSince = now;
}

// Stops surplus replicas after the replica count was reduced or a move has finished.
void TaskMover::stopSurplus(Job& job, Instant now)
{
    for (uint32_t i = static_cast<uint32_t>(job.tasks.size()); i-- > 0;) {
        if (job.counts.placed - job.counts.moving <= job.counts.wanted)
            return;
        const auto& task = job.tasks[i];
        if (task.phase == TaskPhase::Placed && !task.moving)
            m_lifecycle.stopTask({ job.ordinal, i }, now);
    }
}

bool TaskMover::stopOneMovingReplica(Job& job, bool onlyUnstarted, Instant now)
{
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        const auto& task = job.tasks[i];
        if (task.phase != TaskPhase::Placed || !task.moving || task.running == onlyUnstarted)
            continue;
        m_lifecycle.stopTask({ job.ordinal, i }, now);
        ++m_state.stats.moves;
        return true;
    }
    return false;
}

void TaskMover::moveBatchTasks(const Job& job, Instant now)
{
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        const TaskRef ref { job.ordinal, i };
        if (job.tasks[i].phase != TaskPhase::Placed || !mustMove(job, ref))
            continue;
        m_lifecycle.stopTask(ref, now);
        ++m_state.stats.moves;
    }
}

} // namespace teasel
