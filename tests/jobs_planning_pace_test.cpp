#include "jobs/planning_pace.h"

#include <doctest/doctest.h>

namespace teasel {

namespace {

    const Instant begin { std::chrono::seconds(1'000) };
    constexpr Milliseconds step { 10 };
    constexpr Milliseconds shortLag { 5 };
    constexpr Milliseconds longLag { 200 };

    // Rounds that use all visits that they may, at this cost.
    void planRounds(PlanningPace& pace, double visitUs)
    {
        for (int n = 0; n < 200; ++n) {
            const auto visits = pace.maxVisits();
            pace.onRound(visits);
            pace.onRoundMeasured(Duration(static_cast<int64_t>(static_cast<double>(visits) * visitUs)));
        }
    }

    // Starts as many tasks as may start, at most `wanted` every 10 ms, for a second. Returns their number.
    int64_t startForSecond(PlanningPace& pace, Instant& now, int64_t wanted, Duration lag)
    {
        int64_t out = 0;
        for (int n = 0; n < 100; ++n) {
            now += step;
            pace.onLag(lag, now);
            const auto starts = std::max<int64_t>(0, std::min(wanted, pace.relaxedStartsLeft(now)));
            pace.onRelaxedStarts(starts, now);
            out += starts;
        }
        return out;
    }

} // namespace

TEST_CASE("a round takes about as long on a slow processor as on a fast one")
{
    for (const double visitUs : { 0.1, 0.3, 0.6 }) {
        PlanningPace pace;
        planRounds(pace, visitUs);
        const double roundMs = static_cast<double>(pace.maxVisits()) * visitUs / 1'000;
        CAPTURE(visitUs);
        CHECK(roundMs >= 3);
        CHECK(roundMs <= 6.1);
    }
}

TEST_CASE("planning leaves two thirds of the time to everything else, however slow the processor is")
{
    for (const double visitUs : { 0.05, 0.5, 5.0, 50.0 }) {
        PlanningPace pace;
        planRounds(pace, visitUs);
        const auto visits = pace.maxVisits();
        const auto pause = pace.onRound(visits);
        CAPTURE(visitUs);
        CHECK(std::chrono::duration<double, std::micro>(pause).count() >= 1.9 * static_cast<double>(visits) * visitUs);
    }
}

TEST_CASE("starts that can wait are not limited while the leader keeps up")
{
    PlanningPace pace;
    auto now = begin;
    CHECK(startForSecond(pace, now, 20, shortLag) == 2'000);
    CHECK_FALSE(pace.isLagging());
}

TEST_CASE("starts that can wait fall while the leader lags, do not end, and come back")
{
    constexpr int64_t wanted = 20; // every 10 ms
    PlanningPace pace;
    auto now = begin;
    startForSecond(pace, now, wanted, shortLag);
    startForSecond(pace, now, wanted, longLag);
    CHECK(pace.isLagging());
    const auto limited = startForSecond(pace, now, wanted, longLag);
    CHECK(limited > 0);
    CHECK(limited < 400);
    for (int n = 0; n < 4; ++n)
        startForSecond(pace, now, wanted, shortLag);
    CHECK(startForSecond(pace, now, wanted, shortLag) == 2'000);
    CHECK_FALSE(pace.isLagging());
}

TEST_CASE("a wide gang uses the budget of later rounds")
{
    PlanningPace pace;
    auto now = begin;
    startForSecond(pace, now, 20, shortLag);
    startForSecond(pace, now, 20, longLag);
    pace.onRelaxedStarts(200, now);
    CHECK(pace.relaxedStartsLeft(now) < 0);
}

} // namespace teasel
