// Detects that the mean of a sequence has moved.
#pragma once

#include <cstdint>
#include <optional>

namespace teasel {

// Cumulative sums of the deviations from the mean, in standard deviations. A move by 0.7 of them is found after about
// 30 values of full weight.
class ShiftDetector {
public:
    // Adds a value that counts for `weight` (0 to 1). Returns the distance by which the mean has moved since the last
    // report, if that is more than 0.22 (for logarithms: a quarter).
    std::optional<double> add(double value, double weight);
    // Moves the mean without a report.
    void move(double distance);

private:
    // One of the two sums, and the values since it was last 0.
    struct Side {
        double sum = 0;
        double values = 0;
        double weights = 0;

        bool add(double scaled, double value, double weight);
    };

    double report(double mean);

    double m_mean = 0;
    double m_variance = 0.5;
    double m_reported = 0; // mean at the last report, or since the start
    bool m_isSettled = true; // no alarm without a report since
    uint32_t m_count = 0; // of values, up to the number that determines the mean
    Side m_high;
    Side m_low;
};

} // namespace teasel
