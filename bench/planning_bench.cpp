// The cost of planning and what callers get, on the seeded emulator with the load of the large filling line. Prints one
// line for each size and load: planning EXECUTORS LOAD figures
#include "../tests/jobs_load.h"

#include <CLI/CLI.hpp>

namespace {

void measure(size_t executors, double scale, uint64_t seed)
{
    constexpr double referenceExecutors = 1'100; // for which the rates of the kinds are meant
    teasel::JobsLoadOptions options;
    options.seed = seed;
    options.executors = executors;
    options.scale = scale * static_cast<double>(executors) / referenceExecutors;
    teasel::JobsLoad load(options);
    load.run();
    double inTime = 0;
    double work = 0;
    for (const auto& it : load.reports()) {
        inTime += it.inTimeWork;
        work += it.work;
    }
    const auto starts = static_cast<double>(load.starts());
    fmt::print(
        "planning {} executors, {:.1f} times the load, seed {}: {:.1f} visits a start, {:.0f} us of the leader's "
        "processor a start, {:.2f} advice calls a start, {:.3f} of the work in time\n",
        executors, scale, seed, static_cast<double>(load.counters().planningVisits) / starts,
        load.leaderSeconds() * 1e6 / starts, static_cast<double>(load.adviceCalls()) / starts, inTime / work);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app("The cost of planning by number of executors and load");
    uint64_t seed = 1;
    app.add_option("--seed", seed);
    CLI11_PARSE(app, argc, argv);
    for (const size_t executors : { 350, 1'100 }) {
        for (const double scale : { 1.0, 1.5 })
            measure(executors, scale, seed);
    }
}
