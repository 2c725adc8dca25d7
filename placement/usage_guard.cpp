#include "placement/usage_guard.h"

#include <algorithm>
#include <vector>

namespace teasel {

namespace {

    constexpr int64_t tolerancePercent = 105; // percentage of the commitment; allows for noise in measurements
    constexpr int64_t percent = 100;

} // namespace

bool UsageGuard::exceedsCommitment(const Resident& resident) const
{
    for (size_t i = 0; i < ResourceVector::kinds; ++i) {
        if (resident.used.amounts[i] * percent > resident.committed.amounts[i] * tolerancePercent)
            return true;
    }
    return false;
}

// Whether the larger of usage and commitment, summed over all tasks, exceeds the worker's capacity.
bool UsageGuard::isOvercommitted(const Worker& worker) const
{
    ResourceVector sum;
    for (const auto& it : worker.residents) {
        for (size_t i = 0; i < ResourceVector::kinds; ++i)
            sum.amounts[i] += std::max(it.used.amounts[i], it.committed.amounts[i]);
    }
    return !sum.fitsIn(worker.capacity);
}

void UsageGuard::recordPeakUsage(const Resident& resident)
{
    auto& job = m_state.tasks.job(resident.task.job);
    job.reclaimDisabled = true;
    const ResourceVector limit = m_state.workers.largestCapacity();
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        job.peak.amounts[i] = std::min(limit.amounts[i], std::max(job.peak.amounts[i], resident.peak.amounts[i]));
}

void UsageGuard::enforce(WorkerId id, Instant now)
{
    std::vector<TaskRef> toStop;
    auto& worker = m_state.workers.mutableAt(id);
    for (auto& it : worker.residents) {
        if (it.phase != ResidentPhase::Running)
            continue;
        if (!exceedsCommitment(it)) {
            it.throttledTo.reset();
            continue;
        }
        if (!it.throttledTo) {
            it.throttledTo = it.committed;
            it.deadline = now + m_state.options.throttleGrace;
            ++m_state.stats.throttles;
            continue;
        }
        if (now >= it.deadline && isOvercommitted(worker))
            toStop.push_back(it.task);
    }
    for (const auto& it : toStop) {
        if (!isOvercommitted(worker) || m_state.tasks.task(it).worker != id)
            continue;
        const auto* resident = m_state.workers.findResident(id, it, m_state.tasks.task(it).attempt);
        if (!resident)
            continue;
        recordPeakUsage(*resident);
        ++m_state.stats.overuseStops;
        m_lifecycle.stopTask(it, now);
        // Stop one task per report, because that may already free enough capacity.
        return;
    }
}

} // namespace teasel
