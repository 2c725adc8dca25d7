#include "runtimes/executor_speeds.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    // The density of a normal distribution up to a constant factor.
    double density(double x, double variance) { return std::exp(-0.5 * x * x / variance) / std::sqrt(variance); }

    // The probability that a normally distributed value exceeds `x`.
    double survival(double x, double variance) { return 0.5 * std::erfc(x / std::sqrt(2 * variance)); }

} // namespace

double ExecutorSpeeds::Entry::variance() const
{
    constexpr double slowdownVariance = 0.1;
    const double p = slowProbability;
    return usual.variance + p * (1 - p) * slowdown * slowdown + p * slowdownVariance;
}

ExecutorSpeeds::Entry& ExecutorSpeeds::at(std::string_view executor, uint64_t record)
{
    auto it = m_entries.find(executor);
    if (it == m_entries.end()) {
        if (m_entries.size() >= m_limit)
            evict();
        it = m_entries.try_emplace(std::string(executor)).first;
    }
    it->second.lastRunAt = record;
    return it->second;
}

ExecutorSpeed ExecutorSpeeds::speedOf(std::string_view executor) const
{
    const auto it = m_entries.find(executor);
    if (it == m_entries.end())
        return {};
    const auto& entry = it->second;
    return { std::exp(entry.effective()), std::sqrt(entry.variance()), entry.slowProbability, entry.runs };
}

void ExecutorSpeeds::erase(std::string_view executor)
{
    if (const auto it = m_entries.find(executor); it != m_entries.end())
        m_entries.erase(it);
}

double ExecutorSpeeds::normalize(uint64_t record)
{
    double sum = 0;
    double weights = 0;
    for (const auto& [id, it] : m_entries) {
        if (it.lastRunAt + recentRecords < record)
            continue;
        const double weight = std::max(0.0, 1 - it.usual.variance / usualVariance);
        sum += weight * it.usual.value;
        weights += weight;
    }
    if (weights <= 0)
        return 0;
    const double mean = sum / weights;
    for (auto& [id, it] : m_entries) {
        if (it.runs > 0)
            it.usual.value -= mean;
    }
    return mean;
}

void ExecutorSpeeds::updatePhase(Entry& it, double residual, double variance, bool isComplete)
{
    // A few runs in a hundred take about seven times as long on a sound executor too.
    constexpr double longRunShare = 0.04;
    constexpr double longRunResidual = 1.9;
    constexpr double extraVariance = 0.15;
    constexpr double floor = 1e-6; // no single run is proof
    const auto likelihood = isComplete ? density : survival;
    const double sound = (1 - longRunShare) * likelihood(residual, variance)
        + longRunShare * likelihood(residual - longRunResidual, variance + extraVariance) + floor;
    const double slow = likelihood(residual - it.slowdown, variance + extraVariance) + floor;
    const double before = it.slowProbability;
    const double after = before * slow / (before * slow + (1 - before) * sound);
    if (isComplete && after > 0.5)
        it.slowdown = static_cast<float>(
            std::clamp(it.slowdown + 0.2 * after * (residual - it.slowdown), 0.7, 2.5)); // factors of 2 to 12
    // The end of a run is also a chance that the phase has changed since.
    it.slowProbability = static_cast<float>(after * (1 - endOfSlowPhase) + (1 - after) * startOfSlowPhase);
}

void ExecutorSpeeds::appendTo(std::vector<RunTimeSummary::Executor>& out) const
{
    out.reserve(out.size() + m_entries.size());
    for (const auto& [id, it] : m_entries) {
        RunTimeSummary::Executor entry;
        entry.executor = id;
        entry.logSpeed = static_cast<int16_t>(std::lround(std::clamp(it.usual.value, -30.0, 30.0) * 1'000));
        entry.deviation = static_cast<uint8_t>(std::lround(std::min(2.5, std::sqrt(it.usual.variance)) * 100));
        entry.slowShare = static_cast<uint8_t>(std::lround(it.slowProbability * 255));
        out.push_back(std::move(entry));
    }
    // The order must not depend on the hash table, so that equal states give equal records.
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.executor < b.executor; });
}

void ExecutorSpeeds::restore(const std::vector<RunTimeSummary::Executor>& executors)
{
    m_entries.clear();
    for (const auto& it : executors) {
        if (m_entries.size() >= m_limit)
            return;
        auto& entry = m_entries[it.executor];
        const double deviation = it.deviation / 100.0;
        entry.usual.value = std::clamp(it.logSpeed / 1'000.0, -3.0, 3.0);
        entry.usual.variance = std::clamp(deviation * deviation, 1e-4, usualVariance);
        entry.slowProbability = std::clamp(static_cast<float>(it.slowShare) / 255, startOfSlowPhase, 1.0F);
        entry.runs = 1;
    }
}

void ExecutorSpeeds::evict()
{
    std::vector<uint64_t> ages;
    ages.reserve(m_entries.size());
    for (const auto& [id, it] : m_entries)
        ages.push_back(it.lastRunAt);
    // One eighth at a time, so that the cost of the pass is spread over many new executors.
    const auto middle = ages.begin() + static_cast<ptrdiff_t>(ages.size() / 8);
    std::nth_element(ages.begin(), middle, ages.end());
    const auto limit = *middle;
    absl::erase_if(m_entries, [&](const auto& it) { return it.second.lastRunAt <= limit; });
}

} // namespace teasel
