// What callers get from the job plane's leader under a heavy load, and its processor time. Usage: bench-load
// [--executors N] [--scale X] [--burst X] [--seconds N]
#include "../tests/jobs_load.h"
#include "percentile.h"

#include <CLI/CLI.hpp>
#include <fmt/ranges.h>

#include <algorithm>

int main(int argc, char** argv)
{
    teasel::JobsLoadOptions options;
    double scale = 1;
    int64_t seconds = 12;
    CLI::App app("What callers get from the job plane's leader under load");
    app.add_option("--executors", options.executors, "size of the fleet");
    app.add_option("--scale", scale, "load relative to four fifths of the fleet");
    app.add_option("--burst", options.burst, "factor on the load from second 4 to second 8");
    app.add_option("--seconds", seconds, "duration of the load");
    app.add_option("--seed", options.seed);
    app.add_option(
        "--charge", options.costs.factor, "factor on the leader's processor time; 0: its work takes no time");
    app.add_flag(
        "--measured", options.costs.isMeasured, "charge the measured time instead of what the work amounts to");
    std::vector<int64_t> lossesMs;
    app.add_option("--lose-leader", lossesMs, "times, in milliseconds, at which the leader is lost");
    CLI11_PARSE(app, argc, argv);
    options.scale = scale * static_cast<double>(options.executors) / 1'100;
    options.duration = std::chrono::seconds(seconds);
    options.burstUntil = std::chrono::seconds(8);
    for (const auto it : lossesMs)
        options.leaderLosses.emplace_back(it);
    teasel::JobsLoad load(options);
    load.run();
    for (size_t n = 0; n < options.kinds.size(); ++n) {
        const auto& it = load.reports()[n];
        fmt::print("{:6} submitted {:6} refused {:6} in time {:6} late {:6} work in time {:.3f}\n",
            options.kinds[n].name, it.submitted, it.refused, it.inTime, it.late, it.inTimeWork / it.work);
    }
    fmt::print("starts/s {}\nsubmitted/s {}\nin time/s {}\n", load.startsPerSecond(), load.submittedPerSecond(),
        load.inTimePerSecond());
    fmt::print("starts {} advice calls {} advice s {:.0f} preemptions {} open {} drained after {} ms, leader {:.2f} "
               "s of processor time\n",
        load.starts(), load.adviceCalls(), load.adviceSeconds(), load.counters().preemptions, load.openJobs(),
        load.drained().count(), load.leaderSeconds());
    if (options.costs.factor > 0)
        fmt::print("leader's thread: busy for {} ms, longest batch {} ms\n",
            std::chrono::duration_cast<teasel::Milliseconds>(load.leaderBusy()).count(),
            std::chrono::duration_cast<teasel::Milliseconds>(load.longestBatch()).count());
    std::vector<double> firstStartMs;
    for (const auto& it : load.firstStarts())
        firstStartMs.push_back(std::chrono::duration<double, std::milli>(it).count());
    const auto perStart = [&](uint64_t it) {
        return static_cast<double>(it) / static_cast<double>(std::max<uint64_t>(1, load.starts()));
    };
    fmt::print(
        "log: {} records, {} bytes; a start: {:.3f} records, {:.1f} bytes; first start p50 {:.0f} ms, p95 {:.0f} ms\n",
        load.logRecords(), load.logBytes(), perStart(load.logRecords()), perStart(load.logBytes()),
        teasel::bench::percentile(firstStartMs, 0.50), teasel::bench::percentile(firstStartMs, 0.95));
    return load.openJobs() == 0 ? 0 : 1;
}
