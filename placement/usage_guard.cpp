#include "placement/usage_guard.h"

#include <algorithm>
#include <vector>

namespace teasel {

namespace {

    constexpr int64_t tolerancePercent = 105; // of the commitment; measurements waver
    constexpr int64_t percent = 100;

} // namespace

bool UsageGuard::exceeds(const Resident& resident) const
{
    for (size_t i = 0; i < ResourceVector::kinds; ++i) {
        if (resident.used.amounts[i] * percent > resident.committed.amounts[i] * tolerancePercent)
            return true;
    }
    return false;
}

// Whether the tasks use and are promised more than the worker has.
bool UsageGuard::isShort(const Worker& worker) const
{
    ResourceVector sum;
    for (const auto& it : worker.residents) {
        for (size_t i = 0; i < ResourceVector::kinds; ++i)
            sum.amounts[i] += std::max(it.used.amounts[i], it.committed.amounts[i]);
    }
    return !sum.fitsIn(worker.capacity);
}

void UsageGuard::learnFrom(const Resident& resident)
{
    auto& job = m_state.tasks.job(resident.task.job);
    job.declaredOnly = true;
    const ResourceVector most = m_state.workers.largest();
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        job.peak.amounts[i] = std::min(most.amounts[i], std::max(job.peak.amounts[i], resident.peak.amounts[i]));
}

void UsageGuard::review(WorkerId id, Instant now)
{
    std::vector<TaskRef> toStop;
    auto& worker = m_state.workers.edit(id);
    for (auto& it : worker.residents) {
        if (it.phase != ResidentPhase::Running)
            continue;
        if (!exceeds(it)) {
            it.throttledTo.reset();
            continue;
        }
        if (!it.throttledTo) {
            it.throttledTo = it.committed;
            it.deadline = now + m_state.options.throttleGrace;
            ++m_state.stats.throttles;
            continue;
        }
        if (now >= it.deadline && isShort(worker))
            toStop.push_back(it.task);
    }
    for (const auto& it : toStop) {
        if (!isShort(worker) || m_state.tasks.task(it).worker != id)
            continue;
        const auto* resident = m_state.workers.resident(id, it, m_state.tasks.task(it).attempt);
        if (!resident)
            continue;
        learnFrom(*resident);
        ++m_state.stats.usageStops;
        m_lifecycle.stopTask(it, now);
        // One at a time: what is left may be enough.
        return;
    }
}

} // namespace teasel
