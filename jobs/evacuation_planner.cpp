#include "jobs/evacuation_planner.h"

#include <absl/container/btree_map.h>

#include <algorithm>

namespace teasel {

bool EvacuationPlanner::mustMove(const EvacuationRun& it) const
{
    if (it.isLasting)
        return true;
    return it.hasCheckpoint && !it.isGang && it.remainingMs > static_cast<double>(m_options.evacuationTime.count());
}

std::vector<size_t> EvacuationPlanner::runsToStop(
    std::span<const EvacuationRun> runs, std::span<const ResourceVector> free) const
{
    std::vector<ResourceVector> left(free.begin(), free.end());
    const auto takeRoom = [&](const ResourceVector& need) {
        const auto it = std::find_if(left.begin(), left.end(), [&](const auto& room) { return need.fitsIn(room); });
        if (it == left.end())
            return false;
        *it -= need;
        return true;
    };
    size_t moves = 0;
    // Runs that are being stopped need their room soon.
    for (const auto& it : runs) {
        if (it.isStopping) {
            ++moves;
            takeRoom(it.need);
        }
    }
    absl::btree_map<StepKey, uint32_t> stoppedOfStep; // lasting steps only
    std::vector<size_t> out;
    for (size_t n = 0; n < runs.size() && moves < m_options.maxMoves; ++n) {
        const auto& it = runs[n];
        if (it.isStopping || !mustMove(it))
            continue;
        auto& stopped = stoppedOfStep[it.task.step];
        if (it.isLasting && it.unavailableTasks + stopped >= std::max(1U, it.mayMiss))
            continue;
        if (!takeRoom(it.need))
            continue;
        ++stopped;
        ++moves;
        out.push_back(n);
    }
    return out;
}

} // namespace teasel
