// Seeded runs of the job plane under faults.
#include "jobs_seed_loop.h"

using namespace teasel;

TEST_CASE("no seed violates a rule of the platform, and every accepted job ends")
{
    const auto result = runSeeds("jobs_random_test", 200, [](uint64_t) { return JobsWorldOptions(); });
    fmt::print("jobs ended: {}\n", result.completed);
    CHECK(result.completed > result.seeds * 50);
}
