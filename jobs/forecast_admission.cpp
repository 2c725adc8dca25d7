#include "jobs/forecast_admission.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    // Share of its slack that a job may wait: run times are known to a factor of two at best, and a step ends with its
    // longest task.
    constexpr double usableSlackShare = 0.6;
    // Share of its own need that counts as ahead of a job. Little, so that wide jobs are not refused more often than
    // narrow ones that wait behind the same work.
    constexpr double ownNeedShare = 0.1;
    // Share of the fleet that is not lent, for what other teams are owed within the time of a run.
    constexpr double unlentShare = 0.1;
    constexpr double msPerSecond = 1'000;
    constexpr double minRetryMs = 1'000; // Retry-After is in whole seconds
    constexpr double maxRetryMs = 30'000;

    // What is missing of each resource for the need; not positive if it fits.
    ResourceAmounts missingFor(const ResourceAmounts& available, const ResourceVector& need, double share)
    {
        ResourceAmounts out {};
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            out[n] = need.amounts[n] == 0 ? 0 : static_cast<double>(need.amounts[n]) * share - available[n];
        return out;
    }

    bool isMissing(const ResourceAmounts& it)
    {
        return std::any_of(it.begin(), it.end(), [](double amount) { return amount > 0; });
    }

} // namespace

AdmissionVerdict ForecastAdmission::decide(
    const JobDemand& demand, const CapacityForecast& forecast, double capWaitMs, Instant now)
{
    AdmissionVerdict verdict;
    const double usableSlackMs = std::max(0.0, demand.slackMs) * usableSlackShare;
    const auto latestStart = now + Duration(static_cast<int64_t>(usableSlackMs * msPerSecond));
    const auto missing
        = missingFor(forecast.headroom(latestStart, demand.isMostUrgent), demand.initialNeed, ownNeedShare);
    verdict.isBorrowed = !m_shares.isOwed(demand.team, now);
    if (isMissing(missing)) {
        verdict.reason = AdmissionReason::Capacity;
        verdict.waitMs = usableSlackMs + forecast.timeToFreeMs(missing);
    } else if (capWaitMs > usableSlackMs) {
        verdict.reason = AdmissionReason::TeamCap;
        verdict.waitMs = capWaitMs;
    } else if (verdict.isBorrowed && !demand.isMostUrgent) {
        // The most urgent work uses little of the fleet and displaces other work: the forecast alone limits it.
        auto spare = forecast.spareNow();
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            spare[n] -= unlentShare * static_cast<double>(forecast.supply().total.amounts[n]);
        if (isMissing(missingFor(spare, demand.initialNeed, 1)))
            verdict.reason = AdmissionReason::TeamWeight;
    }
    verdict.isAccepted = verdict.reason == AdmissionReason::None;
    if (!verdict.isAccepted)
        verdict.retryAfter = retryAfter(verdict.reason, demand, forecast, verdict.waitMs - usableSlackMs, now);
    return verdict;
}

Milliseconds ForecastAdmission::retryAfter(
    AdmissionReason reason, const JobDemand& demand, const CapacityForecast& forecast, double waitMs, Instant now)
{
    double retryMs = std::max(0.0, waitMs);
    if (reason == AdmissionReason::TeamWeight)
        retryMs = std::chrono::duration<double, std::milli>(m_shares.reserveReturn(demand.team, now)).count();
    if (reason == AdmissionReason::Capacity) {
        // Callers return in turn, each when the need of those before it has been met.
        ResourceAmounts need {};
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            need[n] = static_cast<double>(demand.initialNeed.amounts[n]);
        m_nextReturnAt = std::max(m_nextReturnAt, now + Duration(static_cast<int64_t>(retryMs * msPerSecond)))
            + Duration(static_cast<int64_t>(forecast.timeToUseMs(need) * msPerSecond));
        retryMs = std::chrono::duration<double, std::milli>(m_nextReturnAt - now).count();
        if (retryMs > maxRetryMs)
            m_nextReturnAt = now;
    }
    retryMs = std::clamp(retryMs, minRetryMs, maxRetryMs);
    return Milliseconds(static_cast<int64_t>(std::ceil(retryMs / msPerSecond) * msPerSecond));
}

void ForecastAdmission::recordAccepted(const JobDemand& demand, std::string_view queue, bool isBorrowed, Instant at)
{
    m_shares.recordAccepted(demand.team, isBorrowed, at);
    m_arrivals.record(queue, demand.initialNeed, demand.slackMs, demand.isMostUrgent, at);
}

void ForecastAdmission::clear()
{
    m_shares.clear();
    m_arrivals.clear();
    m_nextReturnAt = {};
}

} // namespace teasel
