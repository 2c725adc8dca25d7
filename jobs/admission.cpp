#include "jobs/admission.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    constexpr double maxUtilization = 0.92; // share of the fleet that can be in use at once by tasks of different sizes
    constexpr double minFreedShare = 0.05; // share of the fleet per second, assumed when few runs predict the rate
    constexpr double burstSeconds = 4; // seconds of its fair rate that a team may accumulate
    constexpr double overRateSlackFactor = 0.6; // share of its slack that a job above its team's fair rate may wait
    constexpr double minRetryMs = 1'000; // Retry-After is in whole seconds

} // namespace

std::string_view nameOf(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::None:
        return "none";
    case AdmissionReason::Capacity:
        return "capacity";
    case AdmissionReason::TeamCap:
        return "team_cap";
    case AdmissionReason::TeamWeight:
        return "team_weight";
    case AdmissionReason::Count:
        break;
    }
    return "unknown";
}

void Admission::setWeights(const absl::btree_map<std::string, double>& weights)
{
    absl::btree_map<std::string, Bucket> next;
    for (const auto& [team, weight] : weights) {
        const auto known = m_buckets.find(team);
        auto& bucket = next[team];
        bucket = known == m_buckets.end() ? Bucket { weight, weight * burstSeconds, {} } : known->second;
        bucket.weight = weight;
    }
    m_buckets = std::move(next);
}

bool Admission::consumeToken(const std::string& team, Instant now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return true;
    auto& it = found->second;
    if (it.refilledAt != Instant()) {
        const auto passed = std::chrono::duration<double>(now - it.refilledAt).count();
        it.tokens = std::min(it.weight * burstSeconds, it.tokens + passed * it.weight);
    }
    it.refilledAt = now;
    if (it.tokens < 1)
        return false;
    it.tokens -= 1;
    return true;
}

double Admission::expectedWaitMs(const JobDemand& demand, const FleetLoad& load)
{
    double waitMs = 0;
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        const auto total = static_cast<double>(load.total.amounts[n]);
        if (total <= 0 || demand.initialNeed.amounts[n] <= 0)
            continue;
        const double unusable = total * (1 - maxUtilization);
        const double free = std::max(0.0, static_cast<double>(load.free.amounts[n]) - unusable);
        const double missing = static_cast<double>(load.ahead.amounts[n] + demand.initialNeed.amounts[n]) - free;
        const double rate = std::max(load.freedPerSecond[n], total * minFreedShare);
        waitMs = std::max(waitMs, missing / rate * 1'000);
    }
    return waitMs;
}

AdmissionVerdict Admission::decide(const JobDemand& demand, const FleetLoad& load, Instant now)
{
    AdmissionVerdict verdict;
    verdict.waitMs = expectedWaitMs(demand, load);
    const bool isWithinRate = consumeToken(demand.team, now);
    const double maxWaitMs = std::max(0.0, demand.slackMs * (isWithinRate ? 1.0 : overRateSlackFactor));
    if (verdict.waitMs <= maxWaitMs)
        return verdict;
    verdict.isAccepted = false;
    verdict.reason = AdmissionReason::Capacity;
    verdict.retryAfter = Milliseconds(
        static_cast<int64_t>(std::ceil(std::max(minRetryMs, verdict.waitMs - maxWaitMs) / 1'000) * 1'000));
    return verdict;
}

} // namespace teasel
