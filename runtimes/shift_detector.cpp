#include "runtimes/shift_detector.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    constexpr uint32_t learningCount = 40; // values before anything is detected
    constexpr uint32_t supportingCount = 100;
    constexpr uint32_t maxCount = 400; // values that determine the mean
    constexpr double slack = 0.38;
    constexpr double limit = 12;
    constexpr double reportedDistance = 0.22;

} // namespace

std::optional<double> ShiftDetector::add(double value, double weight)
{
    if (m_count == 0)
        m_mean = value;
    m_count = std::min(maxCount, m_count + 1);
    const double deviation = value - m_mean;
    const double scaled = std::clamp(deviation / std::sqrt(m_variance), -2.0, 2.0);
    const double clipped = scaled * std::sqrt(m_variance);
    const double rate = weight / m_count;
    m_mean += rate * clipped;
    m_variance = std::clamp(m_variance + rate * (clipped * clipped - m_variance), 0.01, 4.0);
    if (m_count < maxCount && m_isSettled)
        m_reported = m_mean; // the first values are too few for a base
    if (m_count < learningCount)
        return std::nullopt;
    const bool isHigh = m_high.add(scaled, value, weight);
    const bool isLow = m_low.add(-scaled, value, weight);
    if (isHigh || isLow) {
        const auto& side = isHigh ? m_high : m_low;
        const double mean = side.values / side.weights;
        m_high = m_low = {};
        m_count = learningCount;
        m_isSettled = false;
        if (std::abs(mean - m_reported) > reportedDistance)
            return report(mean);
    }
    // A mean that follows a move without another alarm is reported when enough values support it.
    if (m_count >= supportingCount && std::abs(m_mean - m_reported) > reportedDistance)
        return report(m_mean);
    m_isSettled = m_isSettled || m_count == maxCount;
    return std::nullopt;
}

double ShiftDetector::report(double mean)
{
    const double moved = mean - m_reported;
    m_mean = m_reported = mean;
    m_isSettled = true;
    return moved;
}

void ShiftDetector::move(double distance)
{
    m_mean += distance;
    m_reported += distance;
    for (auto* it : { &m_high, &m_low })
        it->values += distance * it->weights;
}

bool ShiftDetector::Side::add(double scaled, double value, double weight)
{
    sum += weight * (scaled - slack);
    if (sum <= 0) {
        *this = {};
        return false;
    }
    values += weight * value;
    weights += weight;
    return sum > limit;
}

} // namespace teasel
