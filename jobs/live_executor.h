// What the leader knows about one incarnation of an executor beyond the replicated state.
#pragma once

#include "core/clock.h"
#include "jobs/admission.h"
#include "jobs/lease_clock.h"
#include "jobs/task_key.h"
#include "placement/resource_vector.h"

#include <absl/container/btree_map.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

enum class RunStage : uint8_t {
    Committing = 0, // the assignment is not committed yet
    Starting = 1, // the start was sent and not answered yet
    UnknownOutcome = 2, // the start got no clear answer: it may be executed, possibly much later
    Running = 3,
    Inherited = 4, // assigned by a previous leader; not confirmed by a listing yet
    Ending = 5, // its end is not committed yet
    // Not in progress as far as is known, but its start may still take effect in a later incarnation.
    AwaitingStartExpiry = 6,
};

struct LiveRun {
    uint32_t run = 0;
    RunStage stage = RunStage::Committing;
    ResourceVector need; // counted until the end of the run is known
    std::string team;
    std::string queue;
    Instant assignedAt {};
    Instant startedAt {};
    Instant startSentAt {};
    Instant endedAt {}; // when its end was noticed
    Instant lastShownAt {}; // last time an answered start or a listing showed the run
    Instant unknownSince {};
    Instant startExpiresAt {}; // its start takes effect before this time or never
    bool isPolledAfterExpiry = false; // a poll was sent because its start had expired
    bool isStartAnswered = false;
    bool isRefused = false; // its start was refused; a listing has to show that no other copy of it took effect
    bool isListed = false; // a listing has shown it to this leader
    // Its executor has shown to this leader or an earlier one that this incarnation has begun it: its start is used up.
    bool isConfirmed = false;
    bool hasWorkedBefore = false; // its executor outlived its start under an earlier leader
    bool isMoved = false; // its start was sent to an earlier incarnation
    // Whether its start may have been sent more than once, by this leader or earlier ones. One incarnation carries out
    // one copy at most; the others may be carried out by a later one until startExpiresAt.
    bool mayHaveCopies = false;
    unsigned repeats = 0; // how often this leader has sent its start again
    bool isShown = false; // its executor has shown to this leader that this incarnation has begun it
    bool isFromStart = true; // started from the beginning, not from a checkpoint
    bool mayBePreempted = false; // can be stopped at any time and resume from its checkpoint
    std::string checkpoint; // latest checkpoint that a listing showed
    uint32_t percent = 0; // progress of the work, as listed

    // A stop proceeds independently of the stage until the end of the run is listed.
    bool mustStop = false;
    bool isStopPending = false;
    unsigned unansweredStops = 0; // consecutive stop orders without an answer
    Instant stopSentAt {};
    Instant stopAnsweredAt {}; // Instant() until a stop was answered

    // Whether it is or may be in progress.
    bool isOpen() const
    {
        return stage != RunStage::Committing && stage != RunStage::Ending && stage != RunStage::AwaitingStartExpiry;
    }

    bool isStopAnswered() const { return stopAnsweredAt != Instant(); }

    // Whether its start got no answer and may still be executed.
    bool mayStartInLaterIncarnation() const
    {
        return stage == RunStage::Starting || (stage == RunStage::UnknownOutcome && (!isRefused || mayHaveCopies))
            || (stage == RunStage::Inherited && !isConfirmed) || stage == RunStage::AwaitingStartExpiry;
    }

    // Whether its start may still be executed, by this incarnation of the executor or the next.
    // An answer to a start does not tell which incarnation gave it; a listing does.
    bool mayStillStart() const { return mayStartInLaterIncarnation() || (stage == RunStage::Running && !isConfirmed); }
};

// A run during which its executor crashed or was lost.
struct CrashedRun {
    TaskKey task;
    uint32_t run = 0;
    bool isShown = false; // the executor has shown it in progress
    bool isAtStart = false; // it had just started
    bool mayBeCause = false; // nothing shows that the executor outlived its start
};

struct LiveExecutor {
    uint32_t number = 0;
    Instant addedAt {}; // when this leader learned of it
    uint64_t fence = 0; // of orders to it
    bool hasAcceptedFence = false; // has answered a renewal or poll under this leader's fence
    bool isDraining = false;
    // Another incarnation answers under its id; its runs in flight wait for the announcement of that incarnation.
    bool isReplaced = false;
    Instant replacedAt {};
    bool isRemovalDue = false; // has ended; it is removed when all of its runs have ended
    bool isRemovalProposed = false;
    Instant leftAt {}; // when it announced its departure; Instant() before
    Instant movedAt {}; // when its address changed
    Instant drainedBy {}; // while draining: the executor may leave from this time on
    Instant coldUntil {}; // slow after its start until then, as announced
    uint64_t lastSequence = 0; // sequence number of the last announcement
    Instant lastAnnouncedAt {};
    Instant lastAnswerAt {}; // last answer to a renewal or poll that was in time
    // When the last start or poll before a start was sent that got no answer. Until a later answer it gets no starts.
    Instant unansweredSentAt {};
    Instant lastHeardAt {}; // last answer to any order that was in time
    Instant answeredOrderSentAt {}; // when the newest renewal or poll was sent that it has answered
    LeaseClock clock;
    Instant leaseExtendedAt {}; // when the last order was sent that extends its lease
    uint64_t shownClockMs = 0; // its clock in the last list of runs with its start time
    Instant shownClockAt {}; // when that list arrived; Instant() before
    ResourceVector capacity; // as announced last; also before it is committed
    ResourceVector committed; // may exceed a capacity that has shrunk
    ResourceVector strays; // used by runs in the last listing that are not assigned to it; they are being stopped
    Instant straysListedAt {}; // when that listing was requested
    ResourceVector stopping; // the part of `committed` used by runs that are being stopped
    absl::btree_map<TaskKey, LiveRun> runs;

    uint64_t renewalOrder = 0; // number of the pending renewal; 0: none
    Instant renewalSentAt {};
    Instant nextRenewalAt {};
    // When to send a poll, which does not wait for an end and is independent of the pending renewal.
    Instant pollAt = Instant::max();
    uint64_t committedEnds = 0; // ends up to this number are committed
    uint64_t acknowledgedEnds = 0; // ends up to this number were acknowledged in an order that was answered
    struct OrderInFlight {
        Instant sentAt {};
        Instant expiresAt {}; // takes effect before this time or never
        uint64_t fence = 0;
        bool isStart = false;
        bool extendsLease = false;
    };
    // Orders, by number, that acknowledge ends or extend the lease and may still be carried out, possibly by a later
    // incarnation.
    absl::btree_map<uint64_t, OrderInFlight> ordersInFlight;
    uint64_t processedEnds = 0; // ends up to this number have been processed
    // Its lease expired under runs that may have crashed it, at this time; Instant() if it has answered since.
    Instant lostAt {};
    uint64_t leaseExpiries = 0; // number of times its lease expired

    // Capacity that its runs are expected to release; updated periodically.
    Instant forecastUpdatedAt {};
    ResourceVector freedSoon;
    ResourceRate freedPerSecond {};

    // Runs whose starts wait for an answer of the executor, and when the first of them began to wait.
    std::vector<std::pair<TaskKey, uint32_t>> waitingStarts;
    Instant waitingStartsSince {};

    Instant suspectUntil {}; // until then a suspect task that was started here is under observation

    unsigned quarantineCount = 0; // since a run succeeded
    Instant quarantinedUntil {};
    ResourceVector used() const { return committed + strays; }

    // Whether a start may still be on its way to it, or in progress there without an answer.
    bool hasUnansweredStart() const
    {
        return std::any_of(runs.begin(), runs.end(), [this](const auto& it) {
            const auto& run = it.second;
            return run.stage == RunStage::Starting
                || (run.stage == RunStage::UnknownOutcome && !run.isRefused && run.startSentAt >= lastAnswerAt);
        });
    }

    // Whether an unknown incarnation has answered a start.
    bool hasUnconfirmedRun() const
    {
        return std::any_of(runs.begin(), runs.end(), [](const auto& it) {
            return it.second.stage == RunStage::Running && !it.second.isShown && !it.second.isConfirmed;
        });
    }

    // Whether it has answered since its last unanswered start.
    bool isAnswering() const { return unansweredSentAt < lastAnswerAt || unansweredSentAt == Instant(); }
    bool hasLeft() const { return leftAt != Instant(); }

    double slowness = 1; // moving average of actual over expected run time
};

} // namespace teasel
