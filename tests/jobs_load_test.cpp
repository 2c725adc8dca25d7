#include "tests/jobs_load.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace teasel;

namespace {

JobsLoadOptions loadOf(size_t executors, std::chrono::seconds duration)
{
    constexpr double referenceExecutors = 1'100; // for which the rates of the kinds are meant
    JobsLoadOptions out;
    out.executors = executors;
    out.scale = static_cast<double>(executors) / referenceExecutors;
    out.duration = duration;
    return out;
}

double meanOf(const std::vector<uint64_t>& values, size_t from, size_t to)
{
    return std::accumulate(values.begin() + static_cast<std::ptrdiff_t>(from),
               values.begin() + static_cast<std::ptrdiff_t>(to), 0.0)
        / static_cast<double>(to - from);
}

} // namespace

TEST_CASE("a burst of twice the load on 1,100 executors does not reduce what callers get, also not after it")
{
    constexpr size_t burstFrom = 3;
    constexpr size_t burstUntil = 6;
    constexpr size_t end = 11;
    constexpr size_t recoverySeconds = 3; // after the burst, goodput is back within this time
    constexpr double allowedLoss = 0.1; // of the goodput before the burst
    auto options = loadOf(1'100, std::chrono::seconds(end));
    options.burst = 2;
    options.burstFrom = std::chrono::seconds(burstFrom);
    options.burstUntil = std::chrono::seconds(burstUntil);
    JobsLoad load(options);
    load.run();
    const auto& inTime = load.inTimePerSecond();
    const auto& submitted = load.submittedPerSecond();
    REQUIRE(inTime.size() >= end);
    const double before = meanOf(inTime, 0, burstFrom);
    for (size_t n = burstFrom; n < end; ++n) {
        CAPTURE(n);
        CHECK(
            static_cast<double>(inTime[n]) >= (1 - allowedLoss) * std::min(before, static_cast<double>(submitted[n])));
    }
    for (size_t n = burstUntil + recoverySeconds; n < end; ++n) {
        CAPTURE(n);
        CHECK(static_cast<double>(inTime[n]) >= (1 - allowedLoss) * static_cast<double>(submitted[n]));
    }
    CHECK(load.openJobs() == 0); // nothing that was accepted is left behind
}

TEST_CASE("the cost of planning for one start hardly grows with the fleet")
{
    constexpr double allowedGrowth = 1.5; // from 110 to 1,100 executors
    const auto visitsPerStart = [](size_t executors) {
        JobsLoad load(loadOf(executors, std::chrono::seconds(5)));
        load.run();
        CHECK(load.openJobs() == 0);
        return static_cast<double>(load.counters().planningVisits) / static_cast<double>(load.starts());
    };
    const double small = visitsPerStart(110);
    const double large = visitsPerStart(1'100);
    CAPTURE(small);
    CAPTURE(large);
    CHECK(large <= small * allowedGrowth);
}

TEST_CASE("wide gangs end in time on a fleet of which four fifths are in use")
{
    constexpr double requiredShare = 0.9; // of the core-seconds of each kind
    JobsLoad load(loadOf(1'100, std::chrono::seconds(30)));
    load.run();
    for (const auto& it : load.reports()) {
        CHECK(it.inTimeWork >= requiredShare * it.work);
        CHECK(it.refused == 0);
    }
}
