// What teams of unequal size get from the job plane's leader on a fleet that is nine tenths full, while one team sends
// several times its usual load. Usage: bench-contention [--hot X] [--burst X] [--retries N] [--uneven] [--seconds N]
#include "../tests/jobs_load.h"

#include <CLI/CLI.hpp>

namespace {

void print(std::string_view name, const teasel::LoadReport& it)
{
    fmt::print("{:10} submitted {:6} refused {:6} in time {:6} late {:6} work in time {:.3f}\n", name, it.submitted,
        it.refused, it.inTime, it.late, it.work > 0 ? it.inTimeWork / it.work : 1);
}

} // namespace

int main(int argc, char** argv)
{
    constexpr double referenceExecutors = 350; // for which the rates of the kinds are meant
    constexpr double jobsPerSecond = 106.8; // of all kinds
    constexpr double weightPerRate = 1.5; // what a team is owed, relative to its usual rate
    constexpr size_t teams = 20;
    constexpr double skew = 1.2; // of the teams' sizes
    teasel::JobsLoadOptions options;
    options.kinds = teasel::contendedSiteKinds();
    options.executors = 350;
    options.adviceInstances = 40;
    double scale = 1;
    double hot = 1;
    size_t hotTeam = 1;
    int64_t seconds = 24;
    bool isUneven = false;
    CLI::App app("What teams get from the job plane's leader when capacity is contended");
    app.add_option("--executors", options.executors, "size of the fleet");
    app.add_option("--scale", scale, "load relative to nine tenths of the fleet");
    app.add_option("--burst", options.burst, "factor on the load from second 4 to second 8");
    app.add_option("--hot", hot, "factor on the load of one team from second 6 to second 12");
    app.add_option("--hot-team", hotTeam, "rank of that team by size, from 0");
    app.add_option("--retries", options.retries, "returns of a refused caller");
    app.add_flag("--uneven", isUneven, "executors of the speeds 0.7, 0.7 and 1.7 instead of 0.8, 1.0 and 1.25");
    app.add_option("--seconds", seconds, "duration of the load");
    app.add_option("--seed", options.seed);
    CLI11_PARSE(app, argc, argv);
    options.scale = scale * static_cast<double>(options.executors) / referenceExecutors;
    options.duration = std::chrono::seconds(seconds);
    options.burstUntil = std::chrono::seconds(8);
    options.hotFrom = std::chrono::seconds(6);
    options.hotUntil = std::chrono::seconds(12);
    options.speeds = isUneven ? std::vector<double> { 0.7, 0.7, 1.7 } : std::vector<double> { 0.8, 1.0, 1.25 };
    options.taskSpread = 0.3;
    options.teams.clear();
    double total = 0;
    for (size_t n = 0; n < teams; ++n)
        total += std::pow(static_cast<double>(n + 1), -skew);
    for (size_t n = 0; n < teams; ++n) {
        const double share = std::pow(static_cast<double>(n + 1), -skew) / total;
        options.teams.push_back({ fmt::format("team-{}", n), share,
            std::max(1.0, share * jobsPerSecond * options.scale * weightPerRate), n == hotTeam ? hot : 1 });
    }
    teasel::JobsLoad load(options);
    load.run();
    for (size_t n = 0; n < options.kinds.size(); ++n)
        print(options.kinds[n].name, load.reports()[n]);
    for (size_t n = 0; n < options.teams.size(); ++n)
        print(options.teams[n].name, load.teamReports()[n]);
    fmt::print(
        "starts {} preemptions {} advice calls {} open {} drained after {} ms, leader {:.2f} s of processor time\n",
        load.starts(), load.counters().preemptions, load.adviceCalls(), load.openJobs(), load.drained().count(),
        load.leaderSeconds());
    return load.openJobs() == 0 ? 0 : 1;
}
