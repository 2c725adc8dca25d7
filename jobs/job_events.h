// What the job plane's leader is told and what it wants done. All of it is
// plain data, so that daemons, tests and seeded runs drive the same leader.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "jobs.pb.h"
#include "jobs/job_state.h"
#include "jobs/task_key.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace teasel {

// ---- Calls of callers, operators and executors ------------------------------

struct SubmitJob {
    std::string host;
    std::string path;
    std::string key;
    std::variant<schema::JobRequest, Error> request; // id, payload, steps, occurrences; or why it can't be read
};

struct QueryJob {
    std::string host;
    std::string path;
    std::string key;
    uint64_t job = 0;
};

struct CancelJob {
    std::string host;
    std::string path;
    std::string key;
    uint64_t job = 0;
};

struct QueryQueue {
    std::string host;
    std::string path;
    std::string key;
};

struct PutConfiguration {
    schema::JobConfiguration configuration;
};

struct GetConfiguration { };

// An executor says that it lives.
struct ExecutorAnnouncement {
    schema::ExecutorRecord record; // all but the number
    uint64_t sequence = 0; // rises with each announcement of an incarnation
    uint64_t clockMs = 0;
    uint64_t leavesInMs = 0; // while draining: at least this much is left
};

struct ExecutorLeaves {
    std::string id;
    uint64_t bornMs = 0; // 0: not said
};

using JobCall = std::variant<SubmitJob, QueryJob, CancelJob, QueryQueue, PutConfiguration, GetConfiguration,
    ExecutorAnnouncement, ExecutorLeaves>;

// ---- Answers ----------------------------------------------------------------

enum class CallStatus : uint8_t {
    Ok = 0,
    Accepted = 1,
    Refused = 2, // did not and will not run; retryAfter says when to come back
    BadRequest = 3,
    TooLarge = 4,
    Unauthenticated = 5,
    Forbidden = 6,
    NoQueue = 7, // no queue has this host and path
    NoJob = 8, // no such job, or it was forgotten
    Conflict = 9,
    Unavailable = 10, // this instance can't tell; nothing was done
    OutcomeUnknown = 11,
};

struct CallAnswer {
    CallStatus status = CallStatus::Ok;
    std::string reason {}; // for people
    Milliseconds retryAfter { 0 };
    JobPhase phase = JobPhase::Queued; // of QueryJob
    uint64_t pending = 0; // of QueryQueue
    std::string document {}; // of GetConfiguration
};

// ---- Orders to executors ----------------------------------------------------

struct StartRun {
    TaskKey task;
    uint32_t run = 0;
    std::string payload;
    std::string checkpoint; // empty: from the beginning
    std::string ticket; // empty: the queue needs none
    uint64_t leaseUntilMs = 0; // on the executor's clock
};

struct StopRun {
    TaskKey task;
    uint32_t run = 0;
};

// Extends the lease of all that runs and lists it.
struct HoldRuns {
    uint64_t leaseUntilMs = 0; // 0: does not extend
    uint64_t seenEnds = 0; // ends up to this number may be forgotten
    Milliseconds wait { 0 }; // for an end
};

// Slows a run down to a share of its speed.
struct PaceRun {
    TaskKey task;
    uint32_t run = 0;
    uint32_t percent = 100;
};

using ExecutorOrder = std::variant<StartRun, StopRun, HoldRuns, PaceRun>;

enum class OrderEnd : uint8_t {
    Done = 0,
    StaleFence = 1, // the executor has seen a higher fence
    RunTooOld = 2,
    TooLate = 3, // the lease had ended when it arrived
    NoRoom = 4,
    NoTicket = 5,
    OtherIncarnation = 6, // another incarnation of the executor lives there
    Refused = 7, // not done for any other reason
    NotSent = 8, // no connection
    Unclear = 9, // may be carried out, also much later
};

struct RunningTask {
    TaskKey task;
    uint32_t run = 0;
    std::string checkpoint;
    uint32_t percent = 0;
    int64_t figure = -1; // tail latency in ms of a serving task, otherwise milli-CPUs in use; -1: not said
};

struct EndedTask {
    uint64_t number = 0; // rises in each incarnation
    TaskKey task;
    uint32_t run = 0;
    schema::RunOutcome outcome = schema::RUN_OUTCOME_UNSPECIFIED;
    std::string checkpoint;
};

struct OrderResult {
    OrderEnd end = OrderEnd::Unclear;
    uint64_t clockMs = 0; // 0: no reading
    uint64_t bornMs = 0; // of the incarnation that answered; 0: not said
    std::vector<RunningTask> running {}; // of HoldRuns
    std::vector<EndedTask> ended {}; // of HoldRuns
    bool hasAllEnds = true; // the list of ends was not cut
};

// ---- Actions ----------------------------------------------------------------

struct ProposeJobs {
    uint64_t ticket = 0;
    schema::JobCommand command;
};

struct AnswerCall {
    uint64_t handle = 0;
    CallAnswer answer;
};

struct SendOrder {
    uint64_t number = 0;
    std::string address;
    std::string executorId; // meant
    uint64_t fence = 0;
    Milliseconds timeout { 0 };
    ExecutorOrder order;
    uint32_t executorNumber = 0;
    std::string dataCentre {}; // of the executor
};

// Asks on which executors a step may run, by way of one instance: the advising
// service takes one call at a time from each.
struct AskAdvice {
    uint64_t number = 0;
    std::string instance;
    StepKey step;
    std::vector<std::string> executors;
    Milliseconds timeout { 0 };
};

// One line of the log: a decision on a request or a change of belief.
struct JobLogLine {
    std::string_view event;
    std::vector<std::pair<std::string_view, std::string>> fields;
};

using JobAction = std::variant<ProposeJobs, AnswerCall, SendOrder, AskAdvice, JobLogLine>;

} // namespace teasel
