// Seeded runs of the job plane with tasks that crash their executors and with executors whose capacity shrinks. One
// seed in three plays deadly tasks, one shrinking capacity, one both.
#include "jobs_seed_loop.h"

using namespace teasel;

namespace {

JobsWorldOptions hazards(uint64_t seed)
{
    JobsWorldOptions options;
    options.maxStopTime = Milliseconds(195); // the contract's 200 ms, less the emulator's step
    options.probeDuration = Milliseconds(30'000);
    if (seed % 3 != 1) {
        options.deadlyJobs = 0.03;
        options.leaderChangesAroundCrash = 0.2;
        options.leaderChangesAroundStart = 0.1;
        options.lateOrders = 0.04;
        options.minLateness = Milliseconds(20);
        options.maxLateness = Milliseconds(4'000);
        options.ticketValidity = Milliseconds(4'200); // longer than orders are late
        options.changedIds = 0.4;
    }
    if (seed % 3 != 2)
        options.capacityChangesPerSecond = 0.6;
    return options;
}

} // namespace

TEST_CASE("deadly tasks are given up, innocent jobs end, and starts respect capacity that shrank")
{
    const auto result = runSeeds("jobs_hazards_random_test", 200, hazards);
    const auto& crashes = result.crashes;
    fmt::print(
        "jobs ended: {}; executors crashed by tasks: {}, {} before the start was answered, {} up to 300 ms after a "
        "change of leaders, {} by late starts; starts after two of these crashes: {}, after three: {}\n",
        result.completed, crashes.all, crashes.beforeAnswer, crashes.afterTakeover, crashes.byLateStarts,
        crashes.startsAfterTwo, crashes.startsAfterThree);
    CHECK(result.completed > result.seeds * 50);
}
