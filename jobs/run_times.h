// Predicts run times. Estimates by callers are off by up to a factor of three, so they are combined with the
// observed run times of the same queue.
#pragma once

#include "core/clock.h"

#include <absl/container/btree_map.h>

#include <cmath>
#include <string>
#include <string_view>
#include <utility>

namespace teasel {

class RunTimes {
public:
    // Records the time that a complete run took, including the slowness of its executor.
    void onDone(std::string_view queue, uint64_t estimateMs, double tookMs)
    {
        auto& it = m_queues[std::string(queue)];
        it.count += it.count < maxCount ? 1 : 0;
        const double part = 1 / it.count;
        const double logTook = std::log(std::max(1.0, tookMs));
        const double logEstimate = std::log(std::max<double>(1.0, static_cast<double>(estimateMs)));
        it.meanLog += part * (logTook - it.meanLog);
        it.meanLogEstimate += part * (logEstimate - it.meanLogEstimate);
        const double dx = logEstimate - it.meanLogEstimate;
        const double dy = logTook - it.meanLog;
        it.covariance += part * (dx * dy - it.covariance);
        it.variance += part * (dx * dx - it.variance);
    }

    // The expected run time of one task, by regression of observed run times on estimates.
    double expectedMs(std::string_view queue, uint64_t estimateMs) const
    {
        const auto found = m_queues.find(std::string(queue));
        const auto estimate = std::max<double>(1.0, static_cast<double>(estimateMs));
        if (found == m_queues.end() || found->second.count < minCount)
            return estimate;
        const auto& it = found->second;
        const double slope = it.variance > 0.01 ? std::min(1.0, std::max(0.0, it.covariance / it.variance)) : 0.5;
        return std::exp(it.meanLog + slope * (std::log(estimate) - it.meanLogEstimate));
    }

private:
    static constexpr double maxCount = 400; // runs; the weight of older ones decays
    static constexpr double minCount = 20; // runs before estimates are corrected

    struct Queue {
        double count = 0;
        double meanLog = 0;
        double meanLogEstimate = 0;
        double covariance = 0;
        double variance = 0;
    };
    absl::btree_map<std::string, Queue> m_queues;
};

} // namespace teasel
