// What the emulator of a heavy load on the job plane's leader plays: kinds of jobs, teams, the fleet.
#pragma once

#include "core/clock.h"
#include "jobs/job_leader_options.h"
#include "tests/jobs_load_thread.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teasel {

// One kind of job. Sizes are means of exponential distributions, cut at three times the mean.
struct JobKind {
    std::string name;
    double jobsPerSecond = 0;
    double tasks = 1;
    double milliCpus = 1'000;
    double memoryMib = 1'000;
    double taskMs = 1'000;
    double gangShare = 0;
    bool checkpoints = false;
    double slackFactor = 2;
    uint64_t targetLatencyMs = 1'000;
    uint32_t priority = 0;
    double adviceMs = 0;
    double adviceMsPerExecutor = 0;
    double grantRatio = 0.5;
};

// The load of the large filling line: about 200 jobs and 1,700 starts a second on 1,100 executors, four fifths of
// the fleet.
inline std::vector<JobKind> largeSiteKinds()
{
    return {
        { "blend", 10, 26, 9'000, 17'000, 6'200, 1.0, true, 2.2, 1'000, 1, 390, 5.6, 0.35 },
        { "label", 17, 40, 5'500, 10'000, 2'700, 0.0, true, 4.0, 3'000, 2, 140, 2.0, 0.45 },
        { "weigh", 177, 4.5, 7'800, 14'000, 640, 0.3, false, 1.5, 250, 0, 8.9, 0.13, 0.7 },
    };
}

// A team that submits jobs. Its `weight` is the rate, in jobs a second, that the configuration grants it.
struct LoadTeam {
    std::string name;
    double share = 1; // of all jobs, relative to the other teams
    double weight = 1'000; // by default above the rate of each team, so that fairness refuses nothing
    double hotFactor = 1; // factor on its rate while `hotFrom` to `hotUntil` lasts
};

// The load of a site of 350 executors with 32 cores that is offered nine tenths of its capacity: about 107 jobs a
// second.
inline std::vector<JobKind> contendedSiteKinds()
{
    return {
        { "master", 5.98, 24, 9'000, 13'000, 4'000, 1.0, true, 2.2, 1'000, 1, 442, 6.37, 0.35 },
        { "cut", 12.3, 37, 3'500, 3'600, 2'200, 0.0, true, 4.0, 3'000, 2, 104, 1.43, 0.45 },
        { "preview", 88.5, 3.2, 5'000, 7'100, 1'000, 0.3, false, 1.5, 250, 0, 14.3, 0.208, 0.7 },
    };
}

struct JobsLoadOptions {
    uint64_t seed = 1;
    size_t executors = 1'100;
    size_t adviceInstances = 153;
    double scale = 1; // factor on all rates; the kinds are meant for 1,100 executors
    double burst = 1; // further factor on all rates during the burst
    Milliseconds burstFrom { 4'000 };
    Milliseconds burstUntil { 4'000 };
    Milliseconds duration { 12'000 };
    std::vector<JobKind> kinds = largeSiteKinds();
    std::vector<LoadTeam> teams { { "orchard" } };
    Milliseconds hotFrom { 0 };
    Milliseconds hotUntil { 0 };
    unsigned retries = 0; // of a refused caller, at the time that the refusal names
    std::vector<double> speeds { 1.0 }; // of the executors, in turn; a task takes its run time divided by this
    LeaderCosts costs;
    std::vector<Milliseconds> leaderLosses; // after the begin of the load
    double taskSpread = 0; // sigma of the log-normal factor by which the tasks of a step differ
    JobLeaderOptions leader = defaultLeaderOptions();

    static JobLeaderOptions defaultLeaderOptions()
    {
        JobLeaderOptions out;
        out.maxLease = Milliseconds(10'000);
        out.gangTimeout = Milliseconds(5'000);
        out.planner.capacityReserver.restoreTime = Milliseconds(600);
        return out;
    }
};

} // namespace teasel
