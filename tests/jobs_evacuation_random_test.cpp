// Seeded runs of the job plane under faults with evacuations of data centres.
#include "jobs_seed_loop.h"

using namespace teasel;

TEST_CASE("no task starts in an evacuated data centre, and acknowledged orders survive changes of leader")
{
    const auto result = runSeeds("jobs_evacuation_random_test", 200, [](uint64_t) {
        JobsWorldOptions options;
        options.evacuationsPerSecond = 0.1;
        return options;
    });
    fmt::print("with evacuations: jobs ended: {}; orders acknowledged: {}; runs moved: {}; seeds that failed: {}\n",
        result.completed, result.acknowledgedEvacuations, result.evacuatedRuns, result.failedSeeds);
    CHECK(result.completed > result.seeds * 50);
    CHECK(result.acknowledgedEvacuations > result.seeds);
}
