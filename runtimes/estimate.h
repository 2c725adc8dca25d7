// A quantity that is learned from noisy observations.
#pragma once

#include <algorithm>

namespace teasel {

struct Estimate {
    double value = 0;
    double variance = 0;

    // Moves the value by its share of an innovation. `factor` is the derivative of the observation with respect to this
    // quantity, `total` the variance of the innovation, `weight` (0 to 1) the part of the observation that counts.
    void update(double innovation, double factor, double total, double weight)
    {
        const double gain = weight * variance * factor / total;
        value += gain * innovation;
        variance = std::max(variance * 1e-4, variance * (1 - gain * factor));
    }
    // Lets older observations count for less.
    void decay(double added, double limit) { variance = std::min(limit, variance + added); }
};

} // namespace teasel
