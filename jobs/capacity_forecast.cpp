#include "jobs/capacity_forecast.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    // Share of the predicted rate at which capacity comes free that is counted on: an end has to be listed, a start
    // committed and sent before the capacity is in use again.
    constexpr double turnoverShare = 0.9;
    constexpr double minFreedShare = 0.05; // share of the fleet per second, assumed when few runs predict the rate

    double millisOf(double seconds) { return seconds * 1'000; }

    ResourceAmounts smallestOf(ResourceAmounts a, const ResourceAmounts& b)
    {
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            a[n] = std::min(a[n], b[n]);
        return a;
    }

    ResourceAmounts withoutDemand(ResourceAmounts a, const ResourceVector& demand)
    {
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            a[n] -= static_cast<double>(demand.amounts[n]);
        return a;
    }

} // namespace

double CapacityForecast::freedPerSecond(size_t kind) const
{
    const auto total = static_cast<double>(m_supply.total.amounts[kind]);
    return std::max(m_supply.freedPerSecond[kind] * turnoverShare, total * minFreedShare);
}

ResourceAmounts CapacityForecast::supplyAt(double seconds, bool onlyMostUrgent) const
{
    ResourceAmounts out {};
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        const auto total = static_cast<double>(m_supply.total.amounts[n]);
        if (total <= 0) {
            out[n] = std::numeric_limits<double>::infinity();
            continue;
        }
        const double free = std::max(0.0, static_cast<double>(m_supply.free.amounts[n]) - m_unusableShare * total);
        out[n] = free + freedPerSecond(n) * seconds;
        for (const auto& it : m_arrivals) {
            if (it.isMostUrgent || !onlyMostUrgent)
                out[n] -= it.needPerSecond[n] * std::max(0.0, seconds - it.slackMs / 1'000);
        }
    }
    return out;
}

void CapacityForecast::build(Curve& curve, std::span<const ForecastDemand> demands, bool onlyMostUrgent) const
{
    curve = {};
    for (const auto& it : demands) {
        if (onlyMostUrgent && !it.isMostUrgent)
            continue;
        curve.total += it.need;
        auto& point = curve.points.emplace_back();
        point.seconds = std::max(0.0, std::chrono::duration<double>(it.latestStart - m_builtAt).count());
        point.demand = curve.total;
        point.headroom = withoutDemand(supplyAt(point.seconds, onlyMostUrgent), curve.total);
    }
    for (size_t n = curve.points.size(); n > 0; --n) {
        auto& it = curve.points[n - 1];
        it.smallest = n == curve.points.size() ? it.headroom : smallestOf(it.headroom, curve.points[n].smallest);
    }
}

void CapacityForecast::rebuild(const FleetLoad& supply, double unusableShare, std::vector<ForecastDemand> demands,
    std::span<const ExpectedArrivals> arrivals, Instant now)
{
    std::sort(
        demands.begin(), demands.end(), [](const auto& a, const auto& b) { return a.latestStart < b.latestStart; });
    m_builtAt = now;
    m_supply = supply;
    m_unusableShare = unusableShare;
    m_arrivals.assign(arrivals.begin(), arrivals.end());
    build(m_all, demands, false);
    build(m_mostUrgent, demands, true);
}

void CapacityForecast::add(const ForecastDemand& it)
{
    m_all.added += it.need;
    if (it.isMostUrgent)
        m_mostUrgent.added += it.need;
}

ResourceAmounts CapacityForecast::headroom(Instant latestStart, bool isMostUrgent) const
{
    const auto& curve = isMostUrgent ? m_mostUrgent : m_all;
    const double seconds = std::max(0.0, std::chrono::duration<double>(latestStart - m_builtAt).count());
    const auto after = std::partition_point(
        curve.points.begin(), curve.points.end(), [&](const Point& it) { return it.seconds <= seconds; });
    auto out = supplyAt(seconds, isMostUrgent);
    if (after != curve.points.begin())
        out = withoutDemand(out, std::prev(after)->demand);
    if (after != curve.points.end())
        out = smallestOf(out, after->smallest);
    return withoutDemand(out, curve.added);
}

ResourceAmounts CapacityForecast::spareNow() const
{
    return withoutDemand(withoutDemand(supplyAt(0, false), m_all.total), m_all.added);
}

double CapacityForecast::timeToFreeMs(const ResourceAmounts& missing) const
{
    constexpr double minNetShare = 0.1; // of the rate at which capacity comes free, beyond what arrives
    double out = 0;
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        if (m_supply.total.amounts[n] <= 0 || missing[n] <= 0)
            continue;
        const double rate = freedPerSecond(n);
        double net = rate;
        for (const auto& it : m_arrivals)
            net -= it.needPerSecond[n];
        out = std::max(out, millisOf(missing[n] / std::max(net, rate * minNetShare)));
    }
    return out;
}

double CapacityForecast::timeToUseMs(const ResourceAmounts& need) const
{
    double out = 0;
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        if (m_supply.total.amounts[n] > 0)
            out = std::max(out, millisOf(need[n] / freedPerSecond(n)));
    }
    return out;
}

} // namespace teasel
