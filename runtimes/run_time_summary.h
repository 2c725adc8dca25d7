// The state of the model of run times in a form for a log record or snapshot.
#pragma once

#include "runtimes/residual_histogram.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace teasel {

// All levels are natural logarithms of ms or of factors; *Variance is the variance of their uncertainty. The sizes are
// bounded by RunTimeModel's limits. bench-runtimes prints the bytes for 3 queues, 20 teams and 1,100 executors.
struct RunTimeSummary {
    struct Team {
        std::string team;
        float level = 0; // difference from the queue's level
        float levelVariance = 0;
        float slope = 0; // difference from the queue's slope
        float slopeVariance = 0;
        float spread = 1; // factor on the queue's spread
        uint32_t runs = 0;
    };
    struct Queue {
        std::string queue;
        float reference = 0; // estimate at which `level` holds
        float level = 0;
        float levelVariance = 0;
        float slope = 0; // of the run time on the estimate
        float slopeVariance = 0;
        float variance = 0; // of one run
        float taskVariance = 0; // between the tasks of a step
        uint32_t runs = 0;
        std::array<uint8_t, ResidualHistogram::bins> residuals {};
        std::array<uint8_t, ResidualHistogram::bins> taskResiduals {};
        std::vector<Team> teams;
    };
    // 4 bytes and the id.
    struct Executor {
        std::string executor;
        int16_t logSpeed = 0; // thousandths
        uint8_t deviation = 0; // hundredths, standard deviation of the uncertainty of the logarithm
        uint8_t slowShare = 0; // probability that the executor is in a slow phase, in multiples of 1/255
    };

    float remote = 0;
    float remoteVariance = 0;
    std::vector<Queue> queues;
    std::vector<Executor> executors;

    // Returns the bytes of all values and names, without the overhead of an encoding.
    size_t bytes() const;
};

} // namespace teasel
