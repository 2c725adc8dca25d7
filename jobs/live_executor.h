// What the leader knows of one incarnation of an executor beyond the replicated state.
#pragma once

#include "core/clock.h"
#include "jobs/admission.h"
#include "jobs/lease_clock.h"
#include "jobs/task_key.h"
#include "placement/resource_vector.h"

#include <absl/container/btree_map.h>

#include <string>

namespace teasel {

enum class RunStage : uint8_t {
    Committing = 0, // the assignment is not in the log yet
    Starting = 1, // the start is under way
    UnknownOutcome = 2, // the start got no clear answer: it may be carried out, also much later
    Running = 3,
    Inherited = 4, // assigned by an earlier leader; not looked at yet
    Ending = 5, // its end is not in the log yet
};

struct LiveRun {
    uint32_t run = 0;
    RunStage stage = RunStage::Committing;
    ResourceVector need; // kept until its end is listed
    std::string team;
    std::string queue;
    Instant assignedAt {};
    Instant startedAt {};
    Instant lastSeenAt {}; // when it was last known to be there: a start that was answered, or a listing
    Instant unknownSince {};
    bool isFromStart = true; // started from the beginning, not from a checkpoint
    std::string checkpoint; // the latest that was listed
    uint32_t percent = 0; // of its work, as listed

    // Stopping goes on beside the stage until the end is listed.
    bool mustStop = false;
    bool isStopPending = false;
    unsigned unansweredStops = 0; // in a row
    Instant stopSentAt {};
    Instant stopAnsweredAt {}; // Instant() until a stop was answered

    bool isStopAnswered() const { return stopAnsweredAt != Instant(); }
};

struct LiveExecutor {
    uint32_t number = 0;
    bool hasAcceptedFence = false; // has answered to this leader's fence
    bool isDraining = false;
    Instant drainedBy {}; // while draining: it may be gone from then on
    uint64_t lastSequence = 0; // of its announcements
    Instant lastAnnouncedAt {};
    Instant lastAnswerAt {}; // to a hold
    LeaseClock clock;
    ResourceVector committed;
    ResourceVector stopping; // the part of it that runs hold which must stop
    absl::btree_map<TaskKey, LiveRun> runs;

    uint64_t renewalOrder = 0; // of the hold under way; 0: none
    Instant renewalSentAt {};
    Instant nextRenewalAt {};
    Instant pollAt = Instant::max(); // for a hold beside the one under way, that does not wait
    uint64_t committedEnds = 0; // ends up to this number are in the log
    uint64_t processedEnds = 0; // ends up to this number were taken
    uint64_t lapses = 0; // times that its leases lapsed

    // What its runs are expected to free, renewed now and then.
    Instant forecastUpdatedAt {};
    ResourceVector freedSoon;
    ResourceRate freedPerSecond {};

    unsigned failuresInRow = 0;
    uint64_t lastFailedJob = 0;
    unsigned quarantineCount = 0;
    Instant quarantinedUntil {};
    double slowness = 1; // mean of run times over what was expected
};

} // namespace teasel
