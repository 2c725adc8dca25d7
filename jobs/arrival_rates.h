// Rates at which work of each queue is accepted, as moving averages. Tells admission control how much
// capacity the more urgent queues will need while a job waits.
#pragma once

#include "core/clock.h"
#include "jobs/capacity_forecast.h"

#include <absl/container/btree_map.h>

#include <cmath>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class ArrivalRates {
public:
    void record(std::string_view queue, const ResourceVector& need, double slackMs, bool isMostUrgent, Instant now)
    {
        if (need == ResourceVector())
            return;
        auto& it = m_queues[std::string(queue)];
        decay(it, now);
        it.arrivals.isMostUrgent = isMostUrgent;
        it.arrivals.slackMs
            = it.arrivals.slackMs == 0 ? slackMs : it.arrivals.slackMs + slackWeight * (slackMs - it.arrivals.slackMs);
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            it.arrivals.needPerSecond[n] += static_cast<double>(need.amounts[n]) / windowSeconds;
    }

    std::vector<ExpectedArrivals> at(Instant now)
    {
        std::vector<ExpectedArrivals> out;
        for (auto& [queue, it] : m_queues) {
            decay(it, now);
            out.push_back(it.arrivals);
        }
        return out;
    }

    void clear() { m_queues.clear(); }

private:
    static constexpr double windowSeconds = 3; // of the moving average; shorter than a burst
    static constexpr double slackWeight = 0.05; // of the newest job

    struct Queue {
        ExpectedArrivals arrivals;
        Instant updatedAt {};
    };

    static void decay(Queue& it, Instant now)
    {
        const double factor
            = std::exp(-std::max(0.0, std::chrono::duration<double>(now - it.updatedAt).count()) / windowSeconds);
        for (auto& rate : it.arrivals.needPerSecond)
            rate *= factor;
        it.updatedAt = now;
    }

    absl::btree_map<std::string, Queue, std::less<>> m_queues;
};

} // namespace teasel
