#include "placement/usage_estimator.h"

#include <cmath>

namespace teasel {

namespace {

    constexpr double scaleStep = 1.05;
    constexpr uint64_t maxSamples = 2'000; // counts are halved beyond this, so that older samples lose weight
    constexpr uint64_t minSamples = 20;
    constexpr size_t maxHistories = 20'000;

} // namespace

void QuantileSketch::add(int64_t value)
{
    const auto level
        = value < 1 ? 0 : 1 + static_cast<int32_t>(std::log(static_cast<double>(value)) / std::log(scaleStep));
    ++m_counts[level];
    if (++m_samples <= maxSamples)
        return;
    m_samples = 0;
    for (auto& [key, count] : m_counts) {
        count = (count + 1) / 2;
        m_samples += count;
    }
}

int64_t QuantileSketch::quantile(double fraction) const
{
    const double wanted = fraction * static_cast<double>(m_samples);
    uint64_t sum = 0;
    for (const auto& [level, count] : m_counts) {
        sum += count;
        if (static_cast<double>(sum) >= wanted)
            return level == 0 ? 0 : static_cast<int64_t>(std::ceil(std::pow(scaleStep, level)));
    }
    return 0;
}

const UsageEstimator::History* UsageEstimator::find(TeamId team, std::string_view jobName) const
{
    auto found = m_histories.find(Key { team, std::string(jobName) });
    return found == m_histories.end() ? nullptr : &found->second;
}

void UsageEstimator::observe(TeamId team, std::string_view jobName, const ResourceVector& peak, uint64_t ranMs)
{
    if (m_histories.size() >= maxHistories)
        m_histories.clear();
    auto& history = m_histories[Key { team, std::string(jobName) }];
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        history.usage[i].add(peak.amounts[i]);
    history.runMs.add(static_cast<int64_t>(ranMs));
}

std::optional<ResourceVector> UsageEstimator::usageQuantile(
    TeamId team, std::string_view jobName, double fraction) const
{
    const auto* history = find(team, jobName);
    if (!history || history->runMs.samples() < minSamples)
        return std::nullopt;
    ResourceVector result;
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        result.amounts[i] = history->usage[i].quantile(fraction);
    return result;
}

std::optional<uint64_t> UsageEstimator::runMsQuantile(TeamId team, std::string_view jobName, double fraction) const
{
    const auto* history = find(team, jobName);
    if (!history || history->runMs.samples() < minSamples)
        return std::nullopt;
    return static_cast<uint64_t>(history->runMs.quantile(fraction));
}

} // namespace teasel
