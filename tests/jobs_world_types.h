// What the emulator of the job plane's surroundings is asked to play, and the data of its executors and callers.
#pragma once

#include "core/clock.h"
#include "jobs/job_events.h"
#include "jobs/job_state.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teasel {

// What the executors check of a ticket.
enum class TicketCheck : uint8_t {
    None = 0,
    Incarnation = 1, // valid in the life of the executor for which it was issued
    Id = 2, // valid in each life under that id
};

constexpr Milliseconds longestSilence { 9'000 };

struct JobsWorldOptions {
    uint64_t seed = 1;
    bool trace = false; // print the leader's log
    size_t executors = 6;
    double jobsPerSecond = 6;
    double lateOrders = 0.02; // share of orders without an answer that are executed later
    Milliseconds minLateness { 2'000 };
    Milliseconds maxLateness { 12'000 };
    double lostAnswers = 0.02;
    double repeatedOrders = 0.01; // share of orders that arrive twice; the first answer is lost
    double executorCrashesPerSecond = 0.05;
    double silencesPerSecond = 0.05; // an executor is cut off for up to longestSilence
    Milliseconds shortestSilence { 1'000 };
    double leaderChangesPerSecond = 0.1;
    double cancels = 0.05;
    double failures = 0.02; // share of runs that fail
    bool needsTickets = true; // the queue has advice
    bool callersGiveUp = false; // a refused caller does not resubmit
    uint64_t teamCap = 40'000; // in thousandths of a core; 0: no cap
    Milliseconds faultDuration { 20'000 };
    Milliseconds drainDuration { 60'000 };
    Milliseconds longestRun { 1'600 };

    // Hazards. With a value of 0 they use no random number, so a seed plays the same with and without them.
    double deadlyJobs = 0; // share of jobs with a task that crashes each executor that starts it
    double crashesBeforeAnswer = 0.3; // share of these crashes that come before the start is answered
    double leaderChangesAroundCrash = 0; // share of these crashes with a change of leaders 300 ms before to after
    double leaderChangesAroundStart = 0; // share of deadly starts with a change of leaders while they are in flight
    double changedIds = 0; // share of crashed executors that come back under another id
    double capacityChangesPerSecond = 0;
    Milliseconds maxStopTime { 0 }; // a stopped run holds its capacity for up to this time
    double evacuationsPerSecond = 0; // orders and withdrawals for each data centre; drawn from a separate generator
    Milliseconds probeDuration { 0 }; // at the end: time within which each executor must run a task of its full size
    Milliseconds maxLease { 6'000 }; // that the leader assumes of executors
    Milliseconds holdMax { 0 }; // executors shorten a longer lease to this time; 0: to none
    TicketCheck ticketCheck = TicketCheck::None;
    Milliseconds ticketValidity { 15'000 }; // unchecked tickets are valid for longer than orders are late

    // Hazards that are drawn from a separate generator.
    double rebirthsPerSecond = 0; // some executors are cut off, crash and start again under their ids while cut off
    double lateAnnouncements = 0; // share that arrives 1 to 8 s later, possibly after the next life's registration
    double lostAnnouncements = 0;
    double answersWithoutBorn = 0; // share of answers to starts and stops
    double slowMessages = 0; // share of orders and answers that take up to 60 ms longer
    double unhealthyPerSecond = 0; // an executor refuses most orders for up to 3 s, without carrying them out
    Milliseconds maxGangEndDelay { 0 }; // until a member of a gang learns of the end of another one
    bool lateOrdersPassCuts = false; // late orders also reach executors that are cut off
    double clockSteps = 0; // share of next lives with an earlier start time than the life before
    double listsWithoutBorn = 0; // share of lists of runs
    double falseAnnouncementsPerSecond = 0; // by other writers; each contradicts a live executor
    double falseDeparturesPerSecond = 0; // of live executors that did not send them
    double jointLossesPerSecond = 0; // the leader is lost together with the executors of a data centre
    double departuresPerSecond = 0; // an executor drains, leaves and ends; another id follows at its address
};

constexpr size_t worldZones = 3;
inline std::string worldZone(size_t n) { return "z" + std::to_string(n); }

struct WorldRun {
    uint32_t run = 0;
    std::string payload;
    double leftMs = 0;
    bool fails = false;
    ResourceVector need;
    std::optional<double> crashesInMs {};
    bool crashesBeforeAnswer = false;
    std::optional<double> stopsInMs {};
    struct PlannedEnd {
        double inMs = 0;
        schema::RunOutcome outcome = schema::RUN_OUTCOME_UNSPECIFIED;
    };
    std::optional<PlannedEnd> gangEnd {}; // it will learn of the end of another member
    bool isByLaterLife = false; // its start was sent to an earlier life of the executor
};

// One incarnation of an executor.
struct WorldExecutor {
    size_t slot = 0; // the same for all incarnations
    std::string id;
    std::string address;
    uint64_t bornMs = 0;
    double clockRate = 1;
    Instant bornAt {};
    ResourceVector capacity;
    std::map<TaskKey, WorldRun> runs;
    std::map<TaskKey, uint32_t> barredRuns; // runs up to this number are rejected
    std::vector<EndedTask> ended;
    uint64_t lastEnd = 0;
    uint64_t expiredEnds = 0; // ends up to this number precede a lease expiry
    uint64_t fence = 0;
    uint64_t leaseUntilMs = 0;
    uint64_t sequence = 0;
    Instant silentUntil {};
    Instant unhealthyUntil {};
    Instant nextAnnouncement {};
    std::optional<Instant> leavesAt {}; // it drains until then
    struct PastCapacity {
        ResourceVector capacity;
        Instant until {};
    };
    std::vector<PastCapacity> pastCapacities;

    // Neighbouring slots share a data centre: advice excludes every third slot, so each has some that are granted.
    std::string zone() const { return worldZone(slot / 2 % worldZones); }

    ExecutorAnnouncement nextAnnouncementMessage(Instant now)
    {
        auto out = announcementMessage();
        out.sequence = ++sequence;
        if (!leavesAt)
            return out;
        out.record.set_draining(true);
        const auto left = std::chrono::duration_cast<Milliseconds>(*leavesAt - now);
        out.drainRemainingMs = static_cast<uint64_t>(std::max(left, Milliseconds(0)).count());
        return out;
    }

    // What it says of itself while it does not drain, without a sequence number.
    ExecutorAnnouncement announcementMessage() const
    {
        ExecutorAnnouncement out;
        out.record.set_id(id);
        out.record.set_born_ms(bornMs);
        out.record.set_address(address);
        out.record.set_service("filling");
        out.record.set_zone(zone());
        *out.record.mutable_capacity() = toMessage(capacity);
        return out;
    }

    void changeCapacity(const ResourceVector& next, Instant now)
    {
        pastCapacities.push_back({ capacity, now });
        capacity = next;
    }

    // The capacity that a start must not exceed: a larger one counts until the leader has been in touch with the
    // executor for the grace period since it shrank.
    ResourceVector startLimit(Instant now, Instant inTouchSince) const
    {
        constexpr Milliseconds grace { 3'000 + 1'500 }; // contactMs and an announcement interval
        auto out = capacity;
        for (const auto& it : pastCapacities) {
            if (now - std::max(it.until, inTouchSince) > grace)
                continue;
            for (size_t n = 0; n < ResourceVector::kinds; ++n)
                out.amounts[n] = std::max(out.amounts[n], it.capacity.amounts[n]);
        }
        return out;
    }
};

struct DeadlyTask {
    uint32_t step = 0;
    uint32_t index = 0;
};

struct WorldCaller {
    schema::JobRequest request;
    bool isAccepted = false;
    bool isRefused = false;
    bool isCancelled = false;
    Instant nextTry {};
    unsigned tries = 0;
    std::optional<DeadlyTask> deadly {};
    std::optional<size_t> probedSlot {}; // the only executor on which the job may run
};

using WorldCallers = std::map<uint64_t, WorldCaller>; // by job

} // namespace teasel
