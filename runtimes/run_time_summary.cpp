#include "runtimes/run_time_summary.h"

namespace teasel {

size_t RunTimeSummary::bytes() const
{
    size_t sum = sizeof(remote) + sizeof(remoteVariance);
    for (const auto& it : queues) {
        sum += it.queue.size() + 7 * sizeof(float) + sizeof(uint32_t) + it.residuals.size() + it.taskResiduals.size();
        for (const auto& team : it.teams)
            sum += team.team.size() + 5 * sizeof(float) + sizeof(uint32_t);
    }
    for (const auto& it : executors)
        sum += it.executor.size() + sizeof(int16_t) + 2 * sizeof(uint8_t);
    return sum;
}

} // namespace teasel
