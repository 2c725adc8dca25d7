#include "jobs/admission.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    constexpr double packedShare = 0.88; // of the cores that can be in use at once with tasks of unlike sizes
    constexpr double burstSeconds = 4; // of its fair rate that a team may save up
    constexpr double beyondShareFactor = 0.6; // of the slack that a job beyond its team's fair rate may wait
    constexpr double leastRetryMs = 1'000; // Retry-After counts in whole seconds

} // namespace

void Admission::setWeights(absl::btree_map<std::string, double> weights)
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

bool Admission::takeToken(const std::string& team, Instant now)
{
    const auto found = m_buckets.find(team);
    if (found == m_buckets.end())
        return true;
    auto& it = found->second;
    if (it.filledAt != Instant()) {
        const auto passed = std::chrono::duration<double>(now - it.filledAt).count();
        it.tokens = std::min(it.weight * burstSeconds, it.tokens + passed * it.weight);
    }
    it.filledAt = now;
    if (it.tokens < 1)
        return false;
    it.tokens -= 1;
    return true;
}

AdmissionVerdict Admission::decide(const JobDemand& demand, const FleetLoad& load, Instant now)
{
    AdmissionVerdict verdict;
    const double usable = load.cores * packedShare;
    if (usable <= 0) // Executors announce themselves within moments of a start; until then there is nothing to go by.
        return verdict;
    // What runs frees cores evenly over its remaining time; what waits takes them in turn.
    const double freeCores = std::max(0.0, usable - load.runningCoreMs / 2'000);
    verdict.waitMs = std::max(0.0, load.waitingCoreMs - freeCores * 1'000) / usable;
    const bool withinShare = takeToken(demand.team, now);
    const double bearable = demand.slackMs * (withinShare ? 1.0 : beyondShareFactor);
    if (verdict.waitMs <= std::max(0.0, bearable))
        return verdict;
    verdict.isAccepted = false;
    verdict.retryAfter = Milliseconds(
        static_cast<int64_t>(std::ceil(std::max(leastRetryMs, verdict.waitMs - bearable) / 1'000) * 1'000));
    return verdict;
}

} // namespace teasel
