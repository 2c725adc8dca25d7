#include "runtimes/run_time_model.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace teasel {

namespace {

    constexpr double defaultRemote = 0.7; // logarithm of 2; factors of 1.5 and 3 have been seen
    constexpr double remoteVariance = 0.16;
    constexpr double remoteDecay = 1e-6;
    constexpr double speedDecay = 2e-4;
    constexpr double maxSpeedVariance = 0.16;

    // Whether the speeds are normalised after this record: often at first, since the level of a queue is not known
    // apart from the speeds of its executors until then.
    bool isNormalizationDue(uint64_t records)
    {
        constexpr uint64_t period = 512;
        constexpr uint64_t first = 8;
        return records % period == 0 || (records >= first && records < period && std::has_single_bit(records));
    }

    constexpr double clipDeviations = 2.5;

    // The mean of a standard normal distribution above `a`.
    double meanAbove(double a)
    {
        if (a > 5)
            return a + 1 / a;
        const double above = 0.5 * std::erfc(a / std::sqrt(2.0));
        return std::exp(-0.5 * a * a) / std::sqrt(2 * 3.14159265358979) / above;
    }

    double shareBelow(double a) { return 0.5 * std::erfc(-a / std::sqrt(2.0)); }

} // namespace

RunTimeModel::RunTimeModel()
    : m_executors(maxExecutors)
    , m_remote { defaultRemote, remoteVariance }
{
}

void RunTimeModel::record(const RunObservation& it)
{
    if (it.isFromCheckpoint || !std::isfinite(it.tookMs) || it.tookMs < 0)
        return;
    m_records += 1;
    auto& queue = queueAt(it.queue);
    queue.setLastRunAt(m_records);
    auto* executor = it.executor.empty() ? nullptr : &m_executors.at(it.executor, m_records);

    QueueRunTimes::Place place;
    place.log = (executor ? -executor->effective() : 0) + (it.isRemote ? m_remote.value : 0);
    place.variance = (executor ? executor->variance() : maxSpeedVariance) + (it.isRemote ? m_remote.variance : 0);
    const auto reading = queue.read(it, place);

    // From here on relative to the usual speed of the executor.
    double innovation = reading.residual;
    double variance = reading.variance() + (it.isRemote ? m_remote.variance : 0);
    variance += executor ? executor->usual.variance : maxSpeedVariance;
    double weight = 1;
    if (executor) {
        const double fromUsual = reading.residual - executor->effective() + executor->usual.value;
        ExecutorSpeeds::updatePhase(*executor, fromUsual, variance, it.isComplete);
        innovation = fromUsual - executor->slowProbability * executor->slowdown;
        // The run of an executor that is slow for the moment says little on anything else, but not nothing: otherwise
        // a queue that becomes several times longer would be taken for slow executors for ever.
        weight = std::max(0.1, 1.0 - executor->slowProbability);
    }
    if (!it.isComplete) {
        // The mean of the run times that remain possible counts, as far as the run would have ended by now.
        const double deviation = std::sqrt(variance);
        const double bound = innovation / deviation;
        weight *= shareBelow(bound);
        innovation = deviation * meanAbove(bound);
    }
    queue.learn(it, reading, innovation, variance, weight);
    const double limit = clipDeviations * std::sqrt(variance);
    const double clipped = std::clamp(innovation, -limit, limit);
    if (executor) {
        executor->usual.update(clipped, -1, variance, weight);
        executor->usual.value = std::clamp(executor->usual.value, -3.0, 3.0);
        executor->usual.decay(speedDecay, maxSpeedVariance);
        executor->runs += 1;
    }
    if (it.isRemote) {
        m_remote.update(clipped, 1, variance, weight);
        m_remote.value = std::clamp(m_remote.value, 0.0, 2.5);
    }
    m_remote.decay(remoteDecay, remoteVariance);
    if (const auto factor = queue.takeShift()) {
        constexpr size_t maxShifts = 64; // the oldest are dropped if nobody takes them
        if (m_shifts.size() >= maxShifts)
            m_shifts.erase(m_shifts.begin());
        m_shifts.push_back({ std::string(it.queue), *factor, queue.runs() });
    }
    if (isNormalizationDue(m_records))
        normalize();
}

RunTimeDistribution RunTimeModel::predict(
    std::string_view queue, std::string_view team, uint64_t estimateMs, uint64_t step) const
{
    const auto it = m_queues.find(queue);
    return it == m_queues.end() ? QueueRunTimes::predictUnknown(estimateMs)
                                : it->second.predict(team, estimateMs, step);
}

double RunTimeModel::remoteFactor() const { return std::exp(m_remote.value); }

std::vector<RunTimeShift> RunTimeModel::takeShifts() { return std::exchange(m_shifts, {}); }

std::vector<RunTimeCalibration> RunTimeModel::calibration() const
{
    std::vector<RunTimeCalibration> out;
    out.reserve(m_queues.size());
    for (const auto& [name, it] : m_queues)
        out.push_back({ name, it.completeRuns(), it.runsWithinMedian(), it.runsWithin90() });
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.queue < b.queue; });
    return out;
}

RunTimeSummary RunTimeModel::summarize() const
{
    RunTimeSummary out;
    out.remote = static_cast<float>(m_remote.value);
    out.remoteVariance = static_cast<float>(m_remote.variance);
    for (const auto& [name, it] : m_queues) {
        out.queues.push_back(it.summarize());
        out.queues.back().queue = name;
    }
    std::sort(out.queues.begin(), out.queues.end(), [](const auto& a, const auto& b) { return a.queue < b.queue; });
    m_executors.appendTo(out.executors);
    return out;
}

void RunTimeModel::restore(const RunTimeSummary& from)
{
    m_queues.clear();
    for (const auto& it : from.queues) {
        if (m_queues.size() >= maxQueues)
            break;
        m_queues.try_emplace(it.queue, maxTeams).first->second.restore(it);
    }
    m_executors.restore(from.executors);
    m_remote = { defaultRemote, remoteVariance };
    if (std::isfinite(from.remote) && std::isfinite(from.remoteVariance) && from.remoteVariance > 0)
        m_remote = { std::clamp<double>(from.remote, 0.0, 2.5),
            std::clamp<double>(from.remoteVariance, 1e-6, remoteVariance) };
    m_shifts.clear();
    m_records = 0;
}

QueueRunTimes& RunTimeModel::queueAt(std::string_view name)
{
    auto it = m_queues.find(name);
    if (it != m_queues.end())
        return it->second;
    if (m_queues.size() >= maxQueues)
        m_queues.erase(std::min_element(m_queues.begin(), m_queues.end(),
            [](const auto& a, const auto& b) { return a.second.lastRunAt() < b.second.lastRunAt(); }));
    return m_queues.try_emplace(std::string(name), maxTeams).first->second;
}

void RunTimeModel::normalize()
{
    const double mean = m_executors.normalize(m_records);
    for (auto& [name, it] : m_queues)
        it.onSpeedsNormalized(mean);
}

} // namespace teasel
