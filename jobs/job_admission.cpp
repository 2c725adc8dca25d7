// JobLeader: admission by forecast.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds forecastMaxAge { 25 }; // less than the time from an accepted job to its first start
    // A new leader takes over executors within this time; what they have free counts before.
    constexpr Milliseconds takeoverTime { 2'000 };
    constexpr double initialUnusableShare = 0.08;
    constexpr double minUnusableShare = 0.04;
    constexpr double maxUnusableShare = 0.2;
    constexpr double unusableShareSeconds = 4; // of the moving average
    constexpr double contendedShare = 0.1; // of the fleet: work that waits is no longer just being placed
    constexpr Milliseconds replayedTime { 10'000 };
    constexpr double minCapTurnover = 0.1; // share of its cap that a team frees in a second, at least

} // namespace

void JobLeader::addExpectedCapacity(FleetLoad& load) const
{
    if (m_now - m_leadingSince > takeoverTime)
        return;
    for (const auto& [number, it] : m_executors) {
        if (it.hasAcceptedFence || it.isDraining || it.hasLeft() || it.isReplaced || isEvacuated(it))
            continue;
        load.total += it.capacity;
        load.free += leftOf(it.capacity, it.used());
    }
}

void JobLeader::refreshForecast()
{
    if (m_forecastBuiltAt != Instant() && m_now - m_forecastBuiltAt < forecastMaxAge)
        return;
    auto load = collectFleetLoad();
    addExpectedCapacity(load);
    std::vector<ForecastDemand> demands;
    m_waitingOfTeam.clear();
    m_urgentOfTeam.clear();
    ResourceVector waiting;
    for (const auto& [key, it] : m_readySteps) {
        if (it.lateFrom < m_now || it.lasting || it.waiting.empty())
            continue;
        const auto tasks = tasksThatFitInCap(it);
        const auto need = it.need * static_cast<int64_t>(it.waiting.size());
        m_waitingOfTeam[it.team] += need;
        if (it.priority == 0)
            m_urgentOfTeam[it.team] += need;
        if (tasks == 0)
            continue;
        demands.push_back({ std::max(m_now, it.latestStart), it.need * tasks, it.priority == 0 });
        waiting += demands.back().need;
    }
    const double total = static_cast<double>(load.total.amounts[0]);
    if (m_forecastBuiltAt == Instant()) {
        m_unusableShare = initialUnusableShare;
    } else if (total > 0 && static_cast<double>(waiting.amounts[0]) > contendedShare * total) {
        const double passed = std::chrono::duration<double>(m_now - m_forecastBuiltAt).count();
        const double free = static_cast<double>(load.free.amounts[0]) / total;
        m_unusableShare += std::min(1.0, passed / unusableShareSeconds) * (free - m_unusableShare);
        m_unusableShare = std::clamp(m_unusableShare, minUnusableShare, maxUnusableShare);
    }
    m_forecastBuiltAt = m_now;
    m_forecast.rebuild(load, m_unusableShare, std::move(demands), m_forecastAdmission.expectedArrivals(m_now), m_now);
}

double JobLeader::capWaitMs(const JobDemand& demand) const
{
    const auto* team = m_state.configurationIndex().findTeam(demand.team);
    if (team == nullptr || !team->has_cap())
        return 0;
    const auto cap = toVector(team->cap());
    const auto usage = usageOf(demand.team);
    // The most urgent work goes first.
    const auto& waitingWork = demand.isMostUrgent ? m_urgentOfTeam : m_waitingOfTeam;
    const auto waiting = waitingWork.find(demand.team);
    const auto used = m_forecast.supply().total - m_forecast.supply().free;
    double out = 0;
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        if (cap.amounts[n] <= 0)
            continue;
        auto ahead = usage.amounts[n] + std::min(demand.initialNeed.amounts[n], cap.amounts[n]);
        if (waiting != waitingWork.end())
            ahead += waiting->second.amounts[n];
        const auto missing = static_cast<double>(ahead - cap.amounts[n]);
        if (missing <= 0)
            continue;
        // The team's runs end at the rate of the fleet's.
        const double turnover
            = used.amounts[n] > 0 ? m_forecast.supply().freedPerSecond[n] / static_cast<double>(used.amounts[n]) : 0;
        out = std::max(
            out, missing / (static_cast<double>(cap.amounts[n]) * std::max(turnover, minCapTurnover)) * 1'000);
    }
    return out;
}

AdmissionVerdict JobLeader::decideByForecast(const JobDemand& demand)
{
    refreshForecast();
    const auto verdict = m_forecastAdmission.decide(demand, m_forecast, capWaitMs(demand), m_now);
    if (!verdict.isAccepted) {
        ++m_counters.refusedFor[static_cast<size_t>(verdict.reason)];
        return verdict;
    }
    m_counters.borrowed += verdict.isBorrowed ? 1 : 0;
    m_forecast.add({ m_now, demand.initialNeed, demand.isMostUrgent });
    m_waitingOfTeam[demand.team] += demand.initialNeed;
    if (demand.isMostUrgent)
        m_urgentOfTeam[demand.team] += demand.initialNeed;
    return verdict;
}

void JobLeader::replayRecentJobs()
{
    // The shares of the teams follow from the jobs that they were granted lately.
    std::vector<std::pair<Instant, const JobRecord*>> recent;
    for (const auto& [id, job] : m_state.jobs()) {
        const auto age = m_wall - WallTime(Milliseconds(static_cast<int64_t>(job.request.accepted_at_ms())));
        if (age >= Duration(0) && age < replayedTime)
            recent.emplace_back(m_now - age, &job);
    }
    std::sort(recent.begin(), recent.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [at, job] : recent) {
        JobDemand demand;
        demand.team = job->request.team();
        if (const auto* queue = m_state.queueOf(job->request.queue()); queue != nullptr && !job->hasEnded())
            demand = demandOf(job->request, *queue);
        m_forecastAdmission.recordAccepted(demand, job->request.queue(), job->request.borrowed(), at);
    }
}

} // namespace teasel
