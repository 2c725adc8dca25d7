// Learned speeds of executors.
#pragma once

#include "runtimes/estimate.h"
#include "runtimes/executor_speed.h"
#include "runtimes/name_map.h"
#include "runtimes/run_time_summary.h"

#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// For each executor: its usual speed, and the probability that it is in a slow phase (two hidden states with fixed
// transition probabilities). A slow phase of a factor of 5 is too short for a moving average: the average would reach
// it only when it ends, and would then take as long to recover. All speeds are natural logarithms.
class ExecutorSpeeds {
public:
    struct Entry {
        Estimate usual { 0, usualVariance };
        float slowdown = defaultSlowdown; // logarithm of the factor in a slow phase
        float slowProbability = startOfSlowPhase;
        uint32_t runs = 0;
        uint64_t lastRunAt = 0; // number of the record

        double effective() const { return usual.value - slowProbability * slowdown; }
        double variance() const;
    };

    explicit ExecutorSpeeds(size_t limit)
        : m_limit(limit)
    {
    }

    // Returns the entry of an executor, which is created if necessary. Valid until the next call.
    Entry& at(std::string_view executor, uint64_t record);
    ExecutorSpeed speedOf(std::string_view executor) const;
    void erase(std::string_view executor);
    // Shifts the speeds so that their geometric mean over the executors that ran something lately is 1, and returns the
    // logarithm by which they were divided.
    double normalize(uint64_t record);

    // Updates the probability of a slow phase. `residual` is the logarithm of the run time over the one expected at the
    // usual speed, and `variance` its variance. Unless `isComplete`, the residual is a lower bound.
    static void updatePhase(Entry&, double residual, double variance, bool isComplete);

    void appendTo(std::vector<RunTimeSummary::Executor>&) const;
    void restore(const std::vector<RunTimeSummary::Executor>&);

private:
    // Speeds of 0.7 to 1.7 have a standard deviation of about 0.4.
    static constexpr double usualVariance = 0.16;
    // Slow phases of 5 to 7.5 times have been seen.
    static constexpr float defaultSlowdown = 1.8F;
    static constexpr float startOfSlowPhase = 0.004F; // probability for each run
    static constexpr float endOfSlowPhase = 0.1F;
    static constexpr uint64_t recentRecords = 20'000;

    void evict();

    size_t m_limit;
    NameMap<Entry> m_entries;
};

} // namespace teasel
