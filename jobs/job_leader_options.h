// Timing and limits of the job plane's leader.
#pragma once

#include "core/clock.h"
#include "jobs/start_planner.h"

#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace teasel {

constexpr size_t defaultMaxBatchBytes = 1 << 20;
constexpr size_t defaultMaxChangeBytes = 5 << 20;

struct JobLeaderOptions {
    Milliseconds maxLease { 6'000 }; // longest lease that executors grant; from the platform's contract
    // Requested lease, capped at maxLease: a zone that is cut off for some seconds keeps working.
    Milliseconds lease { 8'000 };
    Milliseconds stopTime { 200 }; // upper bound for an executor to stop a task; from the platform's contract
    Milliseconds gangTimeout { 3'000 }; // how long a gang member waits for the others; from the platform's contract
    // Share of its cap by which a gang may exceed it, besides one task; from the platform's contract.
    double capOvershootShare = 0;
    StartPlannerOptions planner;
    Milliseconds endedJobRetention { 150'000 }; // how long the outcome of an ended job can be queried

    // How long a query about a running job waits for its end; less than the callers' polling interval.
    Milliseconds stateQueryWait { 200 };

    Milliseconds renewalWait { 1'000 }; // how long an executor may delay its answer to a renewal until a run ends
    // Between two renewals of one executor, so that several ends are listed together.
    Milliseconds renewalInterval { 40 };
    Milliseconds renewalRetry { 150 }; // after a failed renewal
    Milliseconds orderTimeout { 200 }; // of starts and stops, which executors answer at once; several round trips
    Milliseconds renewalSlack { 700 }; // added to a renewal's wait to give its timeout
    // Silence after which an executor gets no starts and no lease renewals (wait + slack + a retry).
    Milliseconds suspectAfter { 2'200 };
    // Longest time from sending a start to its effect: relayed for up to 1.5 s, applied up to 12 s late.
    Milliseconds maxStartDelay { 14'000 };
    // A start without a ticket, which nothing but maxStartDelay bounds, is sent to an executor that has answered within
    // this time; otherwise it waits for the answer to a poll.
    Milliseconds maxContactAge { 10 };
    Milliseconds stopRetryInterval { 400 }; // between two stop orders for one run
    // Silence after which an executor without runs is removed: several announcements were missed.
    Milliseconds removeExecutorAfter { 12'000 };

    // Region by data centre; empty if the settings do not name the data centres.
    absl::btree_map<std::string, std::string, std::less<>> regions {};
    // Runs of an evacuated data centre that are expected to end within this time are left there.
    Milliseconds evacuationTime { 5'000 };

    // Whether admission forecasts all accepted work and keeps the teams' shares, and late work waits for work that can
    // be in time while the fleet is full.
    bool isContentionControlled = false;

    // Whether learned run times give the expected times of steps, and learned speeds the slowness of executors.
    bool usesLearnedRunTimes = false;
    bool usesLearnedSpeeds = false;
    Milliseconds runTimeRecordInterval { 5'000 }; // between two records of what was learned

    // Between two records of the runs that executors have shown since. A loss of the leader within this time costs the
    // evidence.
    Milliseconds confirmationRecordInterval { 100 };

    size_t maxProposalsInFlight = 2; // further changes wait for the next proposal
    // A batch that has reached this size is complete; it has at most this and one change.
    size_t maxBatchBytes = defaultMaxBatchBytes;
    size_t maxChangeBytes = defaultMaxChangeBytes; // larger changes are refused
    // With more than this waiting to be proposed, calls that add changes of callers and operators are refused.
    size_t maxBacklogBytes = 24 << 20;

    // A run during which an executor crashes this soon after its start may be the cause.
    Milliseconds crashAtStartWindow { 500 };

    unsigned quarantineFailures = 3; // consecutive failed runs of different jobs that put an executor in quarantine
    Milliseconds quarantineTime { 4'000 }; // doubled with each quarantine, at most to four times

    // Jobs that were cancelled before their submission arrived; beyond this, cancellations of unknown jobs are refused.
    size_t maxCancelledUnseen = 100'000;

    uint64_t maxTasks = 20'000; // per job
    size_t maxSteps = 64;
    size_t maxPayloadBytes = 4'000; // from the platform's contract
};

} // namespace teasel
