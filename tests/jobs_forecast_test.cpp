#include "jobs/forecast_admission.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

constexpr Instant now { std::chrono::seconds(100) };

struct ForecastFixture {
    FleetLoad supply;
    std::vector<ForecastDemand> waiting;
    std::vector<ExpectedArrivals> arrivals;
    CapacityForecast forecast;
    ForecastAdmission admission;

    ForecastFixture()
    {
        supply.total = { { 100'000, 100'000, 0 } };
        supply.freedPerSecond = { 40'000, 40'000, 0 };
        admission.setWeights({ { "orchard", 1'000.0 }, { "hot", 1.0 } });
    }

    AdmissionVerdict decide(const JobDemand& demand, double capWaitMs = 0)
    {
        forecast.rebuild(supply, 0, waiting, arrivals, now);
        return admission.decide(demand, forecast, capWaitMs, now);
    }

    static JobDemand demand(double slackMs, bool isMostUrgent = false, std::string team = "orchard")
    {
        JobDemand it;
        it.initialNeed = { { 4'000, 0, 0 } };
        it.slackMs = slackMs;
        it.team = std::move(team);
        it.isMostUrgent = isMostUrgent;
        return it;
    }
};

} // namespace

TEST_CASE("a job waits for what starts before it, and is refused if that takes too much of its slack")
{
    ForecastFixture it;
    it.waiting.push_back({ now + Milliseconds(500), { { 70'000, 0, 0 } } });
    CHECK(it.decide(ForecastFixture::demand(5'000)).isAccepted);
    const auto refused = it.decide(ForecastFixture::demand(1'500));
    CHECK(!refused.isAccepted);
    CHECK(refused.reason == AdmissionReason::Capacity);
    CHECK(refused.retryAfter >= Milliseconds(1'000));
}

// Guards against a burst of urgent jobs that makes accepted jobs late although each of them would be in time itself.
TEST_CASE("a job is refused if accepted work with a later start would become late by it")
{
    ForecastFixture it;
    it.waiting.push_back({ now + Milliseconds(3'000), { { 107'900, 0, 0 } } });
    CHECK(!it.decide(ForecastFixture::demand(1'500)).isAccepted);
    // The most urgent queues are not delayed by others.
    CHECK(it.decide(ForecastFixture::demand(1'500, true)).isAccepted);
    it.waiting.front().need = { { 60'000, 0, 0 } };
    CHECK(it.decide(ForecastFixture::demand(1'500)).isAccepted);
}

// Guards against relaxed jobs that are accepted for capacity which more urgent arrivals will use.
TEST_CASE("expected arrivals that start earlier count as demand")
{
    ForecastFixture it;
    it.waiting.push_back({ now + Milliseconds(100), { { 40'000, 0, 0 } } });
    CHECK(it.decide(ForecastFixture::demand(4'000)).isAccepted);
    it.arrivals.push_back({ 200, { 30'000, 0, 0 }, true });
    CHECK(!it.decide(ForecastFixture::demand(4'000)).isAccepted);
}

TEST_CASE("a team beyond its weight is served only while the fleet has room to lend, and others are not refused")
{
    ForecastFixture it;
    it.supply.free = { { 50'000, 100'000, 0 } };
    for (int n = 0; n < 4; ++n)
        it.admission.recordAccepted(ForecastFixture::demand(5'000, false, "hot"), "queue", false, now);
    auto verdict = it.decide(ForecastFixture::demand(5'000, false, "hot"));
    CHECK(verdict.isAccepted);
    CHECK(verdict.isBorrowed);
    it.supply.free = { { 12'000, 100'000, 0 } };
    verdict = it.decide(ForecastFixture::demand(5'000, false, "hot"));
    CHECK(!verdict.isAccepted);
    CHECK(verdict.reason == AdmissionReason::TeamWeight);
    CHECK(it.decide(ForecastFixture::demand(5'000)).isAccepted);
}

TEST_CASE("a job that its team's cap holds back for too long is refused at once")
{
    ForecastFixture it;
    CHECK(it.decide(ForecastFixture::demand(5'000), 2'000).isAccepted);
    const auto refused = it.decide(ForecastFixture::demand(5'000), 4'000);
    CHECK(!refused.isAccepted);
    CHECK(refused.reason == AdmissionReason::TeamCap);
}

// Guards against refused callers that come back in one wave.
TEST_CASE("callers that are refused together are told different times")
{
    ForecastFixture it;
    it.waiting.push_back({ now, { { 200'000, 0, 0 } } });
    auto large = ForecastFixture::demand(1'000);
    large.initialNeed = { { 40'000, 0, 0 } };
    const auto first = it.decide(large).retryAfter;
    it.decide(large);
    CHECK(it.decide(large).retryAfter >= first + Milliseconds(1'000));
}
