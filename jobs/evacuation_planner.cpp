#include "jobs/evacuation_planner.h"

#include <absl/container/btree_map.h>

#include <algorithm>

namespace teasel {

bool EvacuationPlanner::mustMove(const EvacuationRun& it) const
{
    if (it.step->gang)
        return false;
    if (it.step->lasting)
        return true;
    return it.step->checkpoints && it.remainingMs > static_cast<double>(m_options.evacuationTime.count());
}

std::vector<size_t> EvacuationPlanner::runsToStop(
    std::span<const EvacuationRun> runs, std::span<const CandidateExecutor> candidates) const
{
    std::vector<ResourceVector> left;
    left.reserve(candidates.size());
    for (const auto& it : candidates)
        left.push_back(it.free);
    const auto takeRoom = [&](const EvacuationRun& run) {
        for (size_t n = 0; n < left.size(); ++n) {
            if (!run.need.fitsIn(left[n]) || !canEverRun(*run.step, candidates[n]))
                continue;
            left[n] -= run.need;
            return true;
        }
        return false;
    };
    size_t moves = 0;
    absl::btree_map<StepKey, uint32_t> stopping; // lasting steps only
    // Runs that are being stopped need their room soon.
    for (const auto& it : runs) {
        if (!it.isStopping)
            continue;
        ++moves;
        takeRoom(it);
        if (it.step->lasting)
            ++stopping[it.task.step];
    }
    std::vector<size_t> out;
    for (size_t n = 0; n < runs.size() && moves < m_options.maxMoves; ++n) {
        const auto& it = runs[n];
        if (it.isStopping || !mustMove(it))
            continue;
        if (it.step->lasting && (stopping.contains(it.task.step) || it.unavailableTasks >= std::max(1U, it.mayMiss)))
            continue;
        if (!takeRoom(it))
            continue;
        if (it.step->lasting)
            ++stopping[it.task.step];
        ++moves;
        out.push_back(n);
    }
    return out;
}

} // namespace teasel
