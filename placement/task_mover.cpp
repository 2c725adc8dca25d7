#include "placement/task_mover.h"

#include <vector>

namespace teasel {

void TaskMover::review(Instant now)
{
    const std::vector<JobOrdinal> ordinals(m_state.tasks.ordinals().begin(), m_state.tasks.ordinals().end());
    for (const auto ordinal : ordinals) {
        auto& job = m_state.tasks.job(ordinal);
        if (!job.known || job.closed || job.counts.placed == 0)
            continue;
        if (job.isService())
            reviewService(job, now);
        else if (job.isBatch() && job.spec.can_checkpoint())
            reviewBatch(job, now);
    }
}

bool TaskMover::mustMove(const Job& job, const TaskRef& ref) const
{
    const auto& task = job.tasks[ref.index];
    const auto& worker = m_state.workers.at(task.worker);
    if (worker.drained || worker.leaving)
        return true;
    const auto* resident = m_state.workers.resident(task.worker, ref, task.attempt);
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

void TaskMover::reviewService(Job& job, Instant now)
{
    const uint32_t before = job.counts.moving;
    markMoving(job);
    if (job.counts.moving > before)
        m_state.workPending = true;
    dropExtra(job, now);
    if (job.counts.moving == 0) {
        job.surgeSince = {};
        return;
    }
    while (stopOneMoving(job, true, now))
        continue;
    const auto& policy = std::get<ServicePolicy>(job.policy);
    while (policy.mayStop(job.counts, false) > 0 && stopOneMoving(job, false, now))
        job.surgeSince = {};
    if (job.surgeSince == Instant {})
        job.surgeSince = now;
    const bool waitedForRoom = now >= job.surgeSince + m_state.options.surgeWait && job.wantedStarts() > 0;
    if (!waitedForRoom || policy.mayStop(job.counts, true) == 0)
        return;
    stopOneMoving(job, false, now);
    job.surgeSince = now;
}

// After a change of the number of replicas, or when a move left one too many.
void TaskMover::dropExtra(Job& job, Instant now)
{
    for (uint32_t i = static_cast<uint32_t>(job.tasks.size()); i-- > 0;) {
        if (job.counts.placed - job.counts.moving <= job.counts.wanted)
            return;
        const auto& task = job.tasks[i];
        if (task.phase == TaskPhase::Placed && !task.moving)
            m_lifecycle.stopTask({ job.ordinal, i }, now);
    }
}

bool TaskMover::stopOneMoving(Job& job, bool onlyUnstarted, Instant now)
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

void TaskMover::reviewBatch(const Job& job, Instant now)
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
