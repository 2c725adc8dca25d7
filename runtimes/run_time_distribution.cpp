#include "runtimes/run_time_distribution.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    constexpr double minShare = 0.001;
    constexpr double maxShare = 0.9999;
    // A task that ran longer than nearly all others: the rest of its run time is in proportion to the time run, with
    // a Pareto distribution of this exponent. The histogram has no runs to say more.
    constexpr double tailShare = 0.002;
    constexpr double tailExponent = 2;

    double clampShare(double share) { return share > minShare ? std::min(share, maxShare) : minShare; }

    // std::pow() would take most of the time of quantileOfLongest().
    double power(double base, uint32_t exponent)
    {
        double out = 1;
        for (; exponent > 0; exponent /= 2, base *= base)
            out *= exponent % 2 != 0 ? base : 1;
        return out;
    }

} // namespace

RunTimeDistribution::RunTimeDistribution(const Parts& parts)
    : m_parts(parts)
{
}

double RunTimeDistribution::quantile(double share) const
{
    return std::exp(m_parts.logMs + m_parts.scale * ResidualHistogram::quantile(m_parts.residuals, clampShare(share)));
}

double RunTimeDistribution::quantileOfLongest(double share, uint32_t tasks) const
{
    if (tasks <= 1)
        return quantile(share);
    share = clampShare(share);
    // The common factor of the step is integrated by Gauss-Hermite quadrature of five points.
    struct Node {
        double at;
        double weight;
    };
    constexpr Node nodes[]
        = { { -2.857, 0.01126 }, { -1.3556, 0.22208 }, { 0, 0.53333 }, { 1.3556, 0.22208 }, { 2.857, 0.01126 } };
    const auto shareOfStep = [&](double log) {
        double sum = 0;
        for (const auto& it : nodes) {
            const double below = ResidualHistogram::shareBelow(
                m_parts.taskResiduals, (log - m_parts.stepScale * it.at) / m_parts.taskScale);
            sum += it.weight * power(below, tasks);
        }
        return sum;
    };
    // All points are below the share at one end, and above it at the other.
    const double ofOne
        = m_parts.taskScale * ResidualHistogram::quantile(m_parts.taskResiduals, std::pow(share, 1.0 / tasks));
    double low = ofOne + m_parts.stepScale * nodes[0].at;
    double high = ofOne + m_parts.stepScale * nodes[4].at;
    for (int n = 0; n < 10; ++n) { // to within about 0.003 in the logarithm
        const double middle = (low + high) / 2;
        (shareOfStep(middle) < share ? low : high) = middle;
    }
    return std::max(quantile(share), std::exp(m_parts.logMs + high));
}

double RunTimeDistribution::remainingQuantile(double share, double ranMs) const
{
    share = clampShare(share);
    if (!(ranMs > 0))
        return quantile(share);
    const double before = shareWithin(ranMs);
    if (before > 1 - tailShare)
        return ranMs * (std::pow(1 - share, -1 / tailExponent) - 1);
    return std::max(0.0, quantile(before + share * (1 - before)) - ranMs);
}

double RunTimeDistribution::probabilityToEndWithin(double ms, double ranMs) const
{
    if (!(ms > 0))
        return 0;
    if (!(ranMs > 0))
        return shareWithin(ms);
    const double before = shareWithin(ranMs);
    if (before > 1 - tailShare)
        return 1 - std::pow(ranMs / (ranMs + ms), tailExponent);
    return std::max(0.0, (shareWithin(ranMs + ms) - before) / (1 - before));
}

double RunTimeDistribution::shareWithin(double ms) const
{
    return ResidualHistogram::shareBelow(m_parts.residuals, (std::log(ms) - m_parts.logMs) / m_parts.scale);
}

} // namespace teasel
