// Distribution of the scaled differences between the logarithms of observed and predicted run times.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace teasel {

// A histogram whose old entries decay. Starts as a normal distribution with a small weight.
class ResidualHistogram {
public:
    static constexpr size_t bins = 56;
    static constexpr double lowest = -4.0; // left edge of the first bin
    static constexpr double binWidth
        = 0.35; // up to 15.6: tasks of a step differ by 0.18, and some take 7 times as long (1.95)
    // The share of residuals below the right edge of each bin; the last is 1.
    using Cumulative = std::array<float, bins>;

    ResidualHistogram();
    // Restores a histogram from the shares of its bins, in any unit.
    ResidualHistogram(const std::array<uint8_t, bins>& shares, double weight);

    // Adds a residual.
    void add(double residual);
    // Adds a residual of which only a lower bound is known.
    void addAtLeast(double bound);
    // Returns the cumulative distribution, which is recomputed once in 16 additions.
    const Cumulative& cumulative() const { return m_cumulative; }
    // Returns the weight of the entries, in runs.
    double weight() const { return m_total; }
    // Returns the shares of the bins as multiples of 1/255 of the largest one.
    std::array<uint8_t, bins> shares() const;

    // Returns the share of residuals of up to `residual`.
    static double shareBelow(const Cumulative&, double residual);
    // Returns the residual below which `share` (0 to 1) of all residuals are.
    static double quantile(const Cumulative&, double share);

private:
    void onAdded();
    void recompute();

    std::array<float, bins> m_counts {};
    Cumulative m_cumulative {};
    double m_increment = 1; // grows instead of decaying all counts
    double m_total = 0; // in increments of the present size
    uint32_t m_additions = 0;
};

} // namespace teasel
