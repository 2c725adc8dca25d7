#include "jobs/capacity_reserver.h"

#include <algorithm>

namespace teasel {

namespace {

    // Share of the executors that a step may use that may be reserved for waiting steps at once.
    constexpr double maxReservedShare = 0.4;
    constexpr int64_t unboundedTasks = 1'000'000;
    // With less slack than this, a step does not wait for runs to end: the time of a stop, its listing, and a
    // ticket renewal in between. Gangs never wait.
    constexpr Milliseconds urgentSlack { 600 };
    // Slack that a preempted run must have beyond its restore time: a ticket renewal and a round of waiting.
    constexpr Milliseconds preemptionSlack { 2'000 };

} // namespace

bool CapacityReserver::isReserved(size_t candidate) const { return m_reserved.contains(candidate); }

bool CapacityReserver::isUrgent(const ReadyStep& step, Instant now) const
{
    return step.gang || step.latestStart - now < urgentSlack;
}

bool CapacityReserver::mayReserveMore(const ReadyStep& step)
{
    const auto mayUse = [&](size_t n) {
        const auto& it = m_candidates[n];
        return mayRunOn(step, it.service, it.region, *it.labels);
    };
    const auto [found, isNew] = m_usableExecutors.try_emplace(constraintKeyOf(step), 0);
    if (isNew) {
        for (size_t n = 0; n < m_candidates.size(); ++n)
            found->second += mayUse(n) ? 1 : 0;
    }
    const auto usable = found->second;
    const auto reserved = usable == m_candidates.size()
        ? m_reserved.size()
        : static_cast<size_t>(std::count_if(m_reserved.begin(), m_reserved.end(), mayUse));
    return reserved < std::max<size_t>(1, static_cast<size_t>(static_cast<double>(usable) * maxReservedShare));
}

int64_t CapacityReserver::tasksThatFit(
    const ReadyStep& step, const CandidateExecutor& candidate, const ResourceVector& available) const
{
    const auto n = step.need.copiesThatFitIn(available, unboundedTasks);
    if (n == 0 || step.maxPerExecutor == 0)
        return n;
    const auto assigned = static_cast<int64_t>(m_constraints.tasksOn(step.key, candidate.number));
    return std::max<int64_t>(0, std::min<int64_t>(n, static_cast<int64_t>(step.maxPerExecutor) - assigned));
}

int64_t CapacityReserver::claimedTasks(size_t candidate, const std::vector<Claim>& claims)
{
    const auto it
        = std::find_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.candidate == candidate; });
    return it == claims.end() ? 0 : it->tasks;
}

int64_t CapacityReserver::claim(const ReadyStep& step, int64_t wanted, std::span<const size_t> candidates,
    bool includeFreedSoon, std::vector<Claim>& claims) const
{
    std::vector<Claim> found;
    for (const auto n : candidates) {
        if (isReserved(n))
            continue;
        const auto& candidate = m_candidates[n];
        auto available = candidate.free + candidate.stopping - candidate.claimed;
        if (includeFreedSoon)
            available += candidate.freedSoon;
        if (const auto tasks = tasksThatFit(step, candidate, available) - claimedTasks(n, claims); tasks > 0)
            found.push_back({ n, tasks });
    }
    // Candidates with the most tasks first, so that few executors are reserved.
    std::stable_sort(found.begin(), found.end(), [](const Claim& a, const Claim& b) { return a.tasks > b.tasks; });
    for (const auto& it : found) {
        if (wanted <= 0)
            break;
        const auto tasks = std::min(wanted, it.tasks);
        const auto known
            = std::find_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.candidate == it.candidate; });
        if (known == claims.end())
            claims.push_back({ it.candidate, tasks });
        else
            known->tasks += tasks;
        wanted -= tasks;
    }
    return wanted;
}

const std::vector<PreemptibleRun>& CapacityReserver::preemptibleRunsOf(size_t candidate)
{
    const auto [it, isNew] = m_preemptibleRuns.try_emplace(candidate);
    if (isNew)
        it->second = m_constraints.preemptibleRuns(m_candidates[candidate].number);
    return it->second;
}

std::vector<CapacityReserver::PreemptionOption> CapacityReserver::preemptionOptions(
    const ReadyStep& step, std::span<const size_t> candidates, const std::vector<Claim>& claims, Instant now)
{
    std::vector<PreemptionOption> out;
    for (const auto n : candidates) {
        if (isReserved(n))
            continue;
        const auto& candidate = m_candidates[n];
        const auto& runs = preemptibleRunsOf(n);
        if (runs.empty())
            continue;
        PreemptionOption it { n, runs, 0 };
        std::erase_if(it.runs, [&](const PreemptibleRun& run) {
            return run.latestStart - now < m_options.restoreTime + preemptionSlack
                || run.latestStart < step.latestStart;
        });
        if (it.runs.empty())
            continue;
        auto available = candidate.free + candidate.stopping - candidate.claimed;
        for (const auto& run : it.runs)
            available += run.need;
        it.tasks = tasksThatFit(step, candidate, available) - claimedTasks(n, claims);
        if (it.tasks <= 0)
            continue;
        std::stable_sort(it.runs.begin(), it.runs.end(),
            [](const PreemptibleRun& a, const PreemptibleRun& b) { return a.latestStart > b.latestStart; });
        out.push_back(std::move(it));
    }
    std::stable_sort(
        out.begin(), out.end(), [](const PreemptionOption& a, const PreemptionOption& b) { return a.tasks > b.tasks; });
    return out;
}

void CapacityReserver::preemptFor(const ReadyStep& step, int64_t wanted, const std::vector<PreemptionOption>& options,
    std::vector<Claim>& claims, std::vector<PlannedStop>& stops)
{
    for (const auto& it : options) {
        if (wanted <= 0)
            return;
        auto& candidate = m_candidates[it.candidate];
        const auto alreadyClaimed = claimedTasks(it.candidate, claims);
        const auto tasks = std::min(wanted, it.tasks);
        for (const auto& run : it.runs) {
            if (tasksThatFit(step, candidate, candidate.free + candidate.stopping - candidate.claimed)
                >= alreadyClaimed + tasks)
                break;
            candidate.stopping += run.need;
            stops.push_back({ run.task, candidate.number, step.key });
            std::erase_if(
                m_preemptibleRuns[it.candidate], [&](const PreemptibleRun& other) { return other.task == run.task; });
        }
        const auto known
            = std::find_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.candidate == it.candidate; });
        if (known == claims.end())
            claims.push_back({ it.candidate, tasks });
        else
            known->tasks += tasks;
        wanted -= tasks;
    }
}

void CapacityReserver::reserve(const ReadyStep& step, const std::vector<Claim>& claims)
{
    for (const auto& it : claims) {
        m_candidates[it.candidate].claimed += step.need * it.tasks;
        m_reserved.insert(it.candidate);
    }
}

void CapacityReserver::reserveCapacity(const ReadyStep& step, int64_t wanted, std::span<const size_t> candidates,
    Instant now, std::vector<PlannedStop>& stops)
{
    const bool mustStartSoon = isUrgent(step, now);
    if (!(step.gang || mustStartSoon) || !mayReserveMore(step))
        return;
    std::vector<Claim> claims;
    auto left = claim(step, wanted, candidates, false, claims);
    if (left > 0 && mustStartSoon) {
        const auto options = preemptionOptions(step, candidates, claims, now);
        int64_t preemptible = 0;
        for (const auto& it : options)
            preemptible += it.tasks;
        if (!step.gang || preemptible >= left) {
            preemptFor(step, left, options, claims, stops);
            left = 0;
        }
    }
    if (left > 0 && step.gang)
        claim(step, left, candidates, true, claims);
    reserve(step, claims);
}

} // namespace teasel
