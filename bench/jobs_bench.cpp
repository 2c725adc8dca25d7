// CPU time of the job plane's leader by number of executors and load, on the seeded emulator. Usage: bench-jobs
// [--executors N] [--jobs-per-second N]
#include "../tests/jobs_world.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <ctime>

namespace {

double processCpuSeconds()
{
    timespec it {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
    return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_nsec) / 1e9;
}

} // namespace

int main(int argc, char** argv)
{
    teasel::JobsWorldOptions options;
    options.executors = 350;
    options.jobsPerSecond = 120;
    options.lateOrders = options.lostAnswers = options.executorCrashesPerSecond = options.silencesPerSecond
        = options.leaderChangesPerSecond = options.cancels = 0;
    options.faultDuration = teasel::Milliseconds(10'000);
    options.callersGiveUp = true;
    options.teamCap = 0;
    CLI::App app("CPU time of the job plane's leader");
    app.add_option("--executors", options.executors);
    app.add_option("--jobs-per-second", options.jobsPerSecond);
    CLI11_PARSE(app, argc, argv);
    teasel::JobsWorld world(options);
    const double before = processCpuSeconds();
    const auto violations = world.run();
    fmt::print("executors {} jobs/s {}: {} jobs ended, {:.2f} s of CPU time with the emulator, {:.2f} s in the "
               "leader, violations {}\n",
        options.executors, options.jobsPerSecond, world.completed(), processCpuSeconds() - before,
        world.leaderSeconds(), violations.size());
    for (size_t n = 0; n < violations.size() && n < 3; ++n)
        fmt::print("{}\n", violations[n]);
    return violations.empty() ? 0 : 1;
}
