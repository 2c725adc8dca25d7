// The predicted run time of a task.
#pragma once

#include "runtimes/residual_histogram.h"

#include <cstdint>

namespace teasel {

// Run time of a task on a sound executor of speed 1 near its data, in ms. A value that is independent of the model.
// For an executor of speed s, or away from the data, multiply times that go out by remoteFactor / s, and divide times
// that go in by it. Shares are clamped to [0.001, 0.9999]. Does not throw.
class RunTimeDistribution {
public:
    struct Parts {
        double logMs = 0; // centre, natural logarithm of ms
        double scale = 0.6; // of residuals of one run, in logarithms
        double taskScale = 0.2; // of the differences between the tasks of a step
        double stepScale = 0.5; // standard deviation of the step's common factor
        ResidualHistogram::Cumulative residuals {};
        ResidualHistogram::Cumulative taskResiduals {};
    };

    explicit RunTimeDistribution(const Parts&);

    double median() const { return quantile(0.5); }
    // Returns the time within which a run ends with the probability `share`.
    double quantile(double share) const;
    // Returns the same for the longest of a step's `tasks`, which share the error of their estimate.
    double quantileOfLongest(double share, uint32_t tasks) const;
    // Returns the time after which a task that has already run `ranMs` ends with the probability `share`.
    double remainingQuantile(double share, double ranMs) const;
    // Returns the probability that a task that has already run `ranMs` ends within the next `ms`.
    double probabilityToEndWithin(double ms, double ranMs = 0) const;

private:
    double shareWithin(double ms) const;

    Parts m_parts;
};

} // namespace teasel
