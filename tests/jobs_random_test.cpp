// Seeded runs of the job plane under faults. TEASEL_SEEDS and TEASEL_FIRST_SEED select the number of seeds and the
// first one; TEASEL_TRACE prints the leader's log.
#include "jobs_world.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace teasel;

namespace {

uint64_t fromEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

TEST_CASE("no seed violates a rule of the platform, and every accepted job ends")
{
    const uint64_t first = fromEnvironment("TEASEL_FIRST_SEED", 1);
    const uint64_t seeds = fromEnvironment("TEASEL_SEEDS", 200);
    size_t completed = 0;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        JobsWorldOptions options;
        options.seed = seed;
        options.trace = std::getenv("TEASEL_TRACE") != nullptr;
        JobsWorld world(options);
        for (const auto& it : world.run())
            FAIL_CHECK(fmt::format("TEASEL_FIRST_SEED={} TEASEL_SEEDS=1 build/jobs_random_test\n{}", seed, it));
        completed += world.completed();
    }
    fmt::print("jobs ended: {}\n", completed);
    CHECK(completed > seeds * 50);
}

TEST_CASE("no task starts in an evacuated data centre, and acknowledged orders survive changes of leader")
{
    const uint64_t first = fromEnvironment("TEASEL_FIRST_SEED", 1);
    const uint64_t seeds = fromEnvironment("TEASEL_SEEDS", 200);
    size_t completed = 0;
    size_t acknowledged = 0;
    uint64_t moved = 0;
    size_t failedSeeds = 0;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        JobsWorldOptions options;
        options.seed = seed;
        options.trace = std::getenv("TEASEL_TRACE") != nullptr;
        options.evacuationsPerSecond = 0.1;
        JobsWorld world(options);
        const auto violations = world.run();
        for (const auto& it : violations)
            FAIL_CHECK(fmt::format("TEASEL_FIRST_SEED={} TEASEL_SEEDS=1 build/jobs_random_test\n{}", seed, it));
        failedSeeds += violations.empty() ? 0 : 1;
        completed += world.completed();
        acknowledged += world.acknowledgedEvacuations();
        moved += world.evacuatedRuns();
    }
    fmt::print("with evacuations: jobs ended: {}; orders acknowledged: {}; runs moved: {}; seeds that failed: {}\n",
        completed, acknowledged, moved, failedSeeds);
    CHECK(completed > seeds * 50);
    CHECK(acknowledged > seeds);
}
