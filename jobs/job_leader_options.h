// Times and limits of the job plane's leader.
#pragma once

#include "core/clock.h"
#include "jobs/start_planner.h"

#include <cstddef>
#include <cstdint>

namespace teasel {

struct JobLeaderOptions {
    Milliseconds maxLease { 6'000 }; // the longest lease that executors grant; from the platform's contract
    Milliseconds lease { 8'000 }; // asked for, if it may be so long: a zone that is cut off for some seconds works on
    Milliseconds stopTime { 200 }; // an executor stops a task within this time; from the platform's contract
    Milliseconds gangWait { 3'000 }; // a member waits this long for the others; from the platform's contract
    StartPlannerOptions planner;
    Milliseconds keepEnded { 150'000 }; // the outcome of a job can be asked for this long

    Milliseconds stateQueryWait {
        200
    }; // a question about a job that runs waits for its end; less than callers' pauses

    Milliseconds renewalWait { 1'000 }; // an executor delays its answer by at most this, for an end
    Milliseconds renewalInterval { 40 }; // between two holds of one executor, so that ends are listed together
    Milliseconds renewalRetry { 150 }; // after a hold that failed
    Milliseconds orderTimeout { 200 }; // of starts and stops, which executors answer at once: several round trips
    Milliseconds renewalSlack { 700 }; // a hold's timeout beyond its wait
    Milliseconds suspectAfter {
        2'200
    }; // without an answer: no new starts, no more extensions (wait + slack + a retry)
    Milliseconds stopRetryInterval { 400 }; // between two stops of one run
    Milliseconds removeExecutorAfter { 12'000 }; // silent, nothing on it: several announcements were missed

    size_t maxProposalsInFlight = 2; // further changes join the next proposal

    unsigned quarantineFailures = 3; // failed ends in a row, of different jobs
    Milliseconds quarantineTime { 4'000 }; // doubled each time up to four times

    uint64_t maxTasks = 20'000; // of one job
    size_t maxSteps = 64;
    size_t maxPayloadBytes = 4'000; // from the platform's contract
};

} // namespace teasel
