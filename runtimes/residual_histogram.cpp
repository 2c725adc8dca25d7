#include "runtimes/residual_histogram.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    constexpr double priorWeight = 12; // runs
    constexpr double growth = 1.0007; // of the increment for each run: half of the weight is in the last 1,000 runs
    constexpr double maxIncrement = 1e6; // counts are rescaled beyond, well within the precision of a float

    size_t binOf(double residual)
    {
        const double n = (residual - ResidualHistogram::lowest) / ResidualHistogram::binWidth;
        if (!(n > 0))
            return 0;
        return n >= ResidualHistogram::bins - 1 ? ResidualHistogram::bins - 1 : static_cast<size_t>(n);
    }

    double leftEdge(size_t bin)
    {
        return ResidualHistogram::lowest + ResidualHistogram::binWidth * static_cast<double>(bin);
    }

} // namespace

ResidualHistogram::ResidualHistogram()
{
    const auto below = [](double x) { return 0.5 * std::erfc(-x / std::sqrt(2.0)); };
    for (size_t n = 0; n < bins; ++n)
        m_counts[n] = static_cast<float>(priorWeight * (below(leftEdge(n + 1)) - below(leftEdge(n))));
    m_total = priorWeight;
    recompute();
}

ResidualHistogram::ResidualHistogram(const std::array<uint8_t, bins>& shares, double weight)
    : ResidualHistogram()
{
    double sum = 0;
    for (const auto it : shares)
        sum += it;
    if (sum <= 0 || !(weight > 0))
        return;
    weight = std::min(weight, 1 / (growth - 1));
    for (size_t n = 0; n < bins; ++n)
        m_counts[n] += static_cast<float>(weight * shares[n] / sum);
    recompute();
}

void ResidualHistogram::add(double residual)
{
    m_counts[binOf(residual)] += static_cast<float>(m_increment);
    onAdded();
}

void ResidualHistogram::addAtLeast(double bound)
{
    // The run is spread over the bins above the bound as the other runs are (as in the estimator of Kaplan and Meier).
    const size_t first = binOf(bound);
    double above = 0;
    for (size_t n = first; n < bins; ++n)
        above += m_counts[n];
    if (above <= 0) {
        m_counts[first] += static_cast<float>(m_increment);
    } else {
        const auto factor = static_cast<float>(1 + m_increment / above);
        for (size_t n = first; n < bins; ++n)
            m_counts[n] *= factor;
    }
    onAdded();
}

std::array<uint8_t, ResidualHistogram::bins> ResidualHistogram::shares() const
{
    const float largest = *std::max_element(m_counts.begin(), m_counts.end());
    std::array<uint8_t, bins> out {};
    for (size_t n = 0; n < bins; ++n)
        out[n] = static_cast<uint8_t>(std::lround(255 * m_counts[n] / largest));
    return out;
}

double ResidualHistogram::shareBelow(const Cumulative& cumulative, double residual)
{
    const size_t n = binOf(residual);
    const double before = n > 0 ? cumulative[n - 1] : 0;
    const double part = std::clamp((residual - leftEdge(n)) / binWidth, 0.0, 1.0);
    return before + part * (cumulative[n] - before);
}

double ResidualHistogram::quantile(const Cumulative& cumulative, double share)
{
    const auto it = std::lower_bound(cumulative.begin(), cumulative.end(), static_cast<float>(share));
    const auto n = std::min<size_t>(bins - 1, static_cast<size_t>(it - cumulative.begin()));
    const double before = n > 0 ? cumulative[n - 1] : 0;
    const double width = cumulative[n] - before;
    const double part = width > 0 ? std::clamp((share - before) / width, 0.0, 1.0) : 1;
    return leftEdge(n) + part * binWidth;
}

void ResidualHistogram::onAdded()
{
    m_increment *= growth;
    if (m_increment > maxIncrement) {
        for (auto& it : m_counts)
            it /= static_cast<float>(m_increment);
        m_increment = 1;
    }
    if (++m_additions % 16 == 0)
        recompute();
}

void ResidualHistogram::recompute()
{
    double sum = 0;
    for (const auto it : m_counts)
        sum += it;
    double below = 0;
    for (size_t n = 0; n < bins; ++n) {
        below += m_counts[n];
        m_cumulative[n] = static_cast<float>(below / sum);
    }
    m_cumulative[bins - 1] = 1;
    m_total = sum / m_increment;
}

} // namespace teasel
