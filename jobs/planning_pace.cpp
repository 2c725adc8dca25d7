#include "jobs/planning_pace.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds planInterval { 10 }; // starts that become possible within this time are planned together
    constexpr Milliseconds maxRoundTime { 5 };
    constexpr uint64_t maxVisitsPerRound = 60'000;
    constexpr uint64_t minVisitsPerRound = 6'000; // some for each executor of a large fleet
    // Pause after a round, in microseconds per visit, so that planning takes about a tenth of a fast core, and as a
    // factor on the time of the round.
    constexpr double pausePerVisitUs = 0.5;
    constexpr double pauseFactor = 2;
    constexpr double newestWeight = 0.1; // of one round in the moving average
    constexpr uint64_t minMeasuredVisits = 1'000; // shorter rounds show the cost of their other work

    // A start passes the queue about four times; the most urgent jobs have a few hundred milliseconds.
    constexpr Milliseconds targetLag { 50 };
    constexpr Milliseconds lagInterval { 100 }; // between two changes of the limit
    constexpr double decrease = 0.8; // of the limit, while the lag is above its target
    constexpr double increase = 1.2;
    constexpr double minStartsPerSecond = 25;
    constexpr double budgetSeconds = 0.1; // unused budget that is kept
    constexpr double averageSeconds = 0.5;

    double secondsBetween(Instant from, Instant to)
    {
        return std::min(1.0, std::chrono::duration<double>(to - from).count());
    }

} // namespace

uint64_t PlanningPace::maxVisits() const
{
    const double us = std::chrono::duration<double, std::micro>(maxRoundTime).count();
    return std::clamp(static_cast<uint64_t>(us / m_visitUs), minVisitsPerRound, maxVisitsPerRound);
}

Duration PlanningPace::onRound(uint64_t visits)
{
    m_lastVisits = visits;
    const double pauseUs = static_cast<double>(visits) * std::max(pausePerVisitUs, pauseFactor * m_visitUs);
    return planInterval + Duration(static_cast<int64_t>(pauseUs));
}

void PlanningPace::onRoundMeasured(Duration took)
{
    if (m_lastVisits < minMeasuredVisits)
        return;
    const double us = static_cast<double>(took.count()) / static_cast<double>(m_lastVisits);
    m_visitUs += newestWeight * (us - m_visitUs);
}

void PlanningPace::onLag(Duration lag, Instant now)
{
    m_worstLag = std::max(m_worstLag, lag);
    if (now - m_lagCheckedAt < lagInterval)
        return;
    m_lagCheckedAt = now;
    if (std::exchange(m_worstLag, Duration(0)) <= targetLag) {
        m_startsPerSecond = std::min(maxStartsPerSecond, m_startsPerSecond * increase);
        return;
    }
    // A limit far above the starts that are made would take long to have an effect.
    const double current = std::min(m_startsPerSecond, m_usualStartsPerSecond);
    m_startsPerSecond = std::max(minStartsPerSecond, current * decrease);
    m_budget = std::min(m_budget, m_startsPerSecond * budgetSeconds);
}

int64_t PlanningPace::relaxedStartsLeft(Instant now) const
{
    return static_cast<int64_t>(
        std::min(m_startsPerSecond * budgetSeconds, m_budget + m_startsPerSecond * secondsBetween(m_budgetAt, now)));
}

void PlanningPace::onRelaxedStarts(int64_t starts, Instant now)
{
    const double passed = secondsBetween(m_budgetAt, now);
    if (passed <= 0) {
        m_budget -= static_cast<double>(starts);
        return;
    }
    m_usualStartsPerSecond
        += std::min(1.0, passed / averageSeconds) * (static_cast<double>(starts) / passed - m_usualStartsPerSecond);
    m_budget = std::min(m_startsPerSecond * budgetSeconds, m_budget + m_startsPerSecond * passed)
        - static_cast<double>(starts);
    m_budgetAt = now;
}

} // namespace teasel
