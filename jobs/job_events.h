// Events and actions of the job plane's leader. All are plain data, so that daemons, tests and seeded simulations
// drive the same leader.
#pragma once

#include "core/clock.h"
#include "core/result.h"
#include "jobs.pb.h"
#include "jobs/job_state.h"
#include "jobs/task_key.h"
#include "observability/line_priority.h"

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
    // Only id, payload, steps and occurrences are set; or the parse error.
    std::variant<schema::JobRequest, Error> request;
    schema::CallOrigin origin {};
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
    schema::CallOrigin origin {};
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

// Periodic announcement by which an executor registers and shows that it is alive.
struct ExecutorAnnouncement {
    schema::ExecutorRecord record; // without the number, which the leader assigns
    uint64_t sequence = 0; // increases with each announcement of an incarnation
    uint64_t clockMs = 0;
    uint64_t drainRemainingMs = 0; // while draining: minimum time until the executor leaves
    uint64_t coldRemainingMs = 0; // how much longer the executor is slow after its start
};

struct ExecutorDeparture {
    std::string id;
    uint64_t bornMs = 0; // start time of the incarnation; 0: not given
};

// An operator's order that a data centre gets no further work, or that it gets work again.
struct OrderEvacuation {
    std::string dataCentre;
    bool isActive = false;
};

struct ListEvacuations { };

using JobCall = std::variant<SubmitJob, QueryJob, CancelJob, QueryQueue, PutConfiguration, GetConfiguration,
    ExecutorAnnouncement, ExecutorDeparture, OrderEvacuation, ListEvacuations>;

// ---- Answers ----------------------------------------------------------------

enum class CallStatus : uint8_t {
    Ok = 0,
    Accepted = 1,
    Refused = 2, // the job did not and will not run; retryAfter tells when to resubmit
    BadRequest = 3,
    TooLarge = 4,
    Unauthenticated = 5,
    Forbidden = 6,
    NoQueue = 7, // no queue has this host and path
    NoJob = 8, // unknown job, or its outcome is no longer kept
    Conflict = 9,
    Unavailable = 10, // this instance can't answer; nothing was done
    OutcomeUnknown = 11,
    Unprocessable = 12, // names something that does not exist; nothing was done
};

// Progress of an evacuation, in the answer to ListEvacuations.
struct EvacuationStatus {
    std::string dataCentre;
    bool isActive = false;
    uint64_t orderedAtMs = 0; // Unix time
    uint64_t runs = 0; // runs that are still there
    uint64_t oldestRunMs = 0; // time since the start of the oldest of them
    uint64_t expectedEndMs = 0; // expected time until the last of them has ended; lasting tasks do not count
};

struct CallAnswer {
    CallStatus status = CallStatus::Ok;
    std::string reason {}; // human-readable
    Milliseconds retryAfter { 0 };
    JobPhase phase = JobPhase::Queued; // answer to QueryJob
    uint64_t pending = 0; // answer to QueryQueue
    std::string document {}; // answer to GetConfiguration
    std::vector<EvacuationStatus> evacuations {}; // answer to ListEvacuations
};

// ---- Orders to executors ----------------------------------------------------

struct StartRun {
    TaskKey task;
    uint32_t run = 0;
    std::string payload;
    std::string checkpoint; // empty: start from the beginning
    std::string ticket; // empty: the queue requires none
    uint64_t leaseUntilMs = 0; // on the executor's clock
};

struct StopRun {
    TaskKey task;
    uint32_t run = 0;
};

// Renews the lease that covers all runs of an executor, and lists them. With leaseUntilMs 0 it is a poll.
struct RenewLease {
    uint64_t leaseUntilMs = 0; // on the executor's clock; 0: lists without renewing
    uint64_t acknowledgedEnds = 0; // the executor may drop ends up to this number
    Milliseconds wait { 0 }; // how long the executor may delay its answer until a run ends
};

// Throttles a run to a share of its full speed.
struct ThrottleRun {
    TaskKey task;
    uint32_t run = 0;
    uint32_t percent = 100;
};

using ExecutorOrder = std::variant<StartRun, StopRun, RenewLease, ThrottleRun>;

enum class OrderOutcome : uint8_t {
    Done = 0,
    StaleFence = 1, // the executor has seen a higher fence
    StaleRun = 2,
    LeaseExpired = 3, // the lease had expired when the order arrived
    InsufficientCapacity = 4,
    InvalidTicket = 5,
    OtherIncarnation = 6, // the address belongs to another incarnation of the executor
    Refused = 7, // not executed for any other reason
    NotSent = 8, // no connection could be made
    UnknownOutcome = 9, // may be executed, possibly much later
};

struct RunningTask {
    TaskKey task;
    uint32_t run = 0;
    std::string checkpoint;
    uint32_t percent = 0;
    int64_t metric = -1; // tail latency in ms of a serving task, otherwise milli-CPUs in use; -1: not reported
};

struct EndedTask {
    uint64_t number = 0; // increases within each incarnation
    TaskKey task;
    uint32_t run = 0;
    schema::RunOutcome outcome = schema::RUN_OUTCOME_UNSPECIFIED;
    std::string checkpoint;
};

struct OrderResult {
    OrderOutcome outcome = OrderOutcome::UnknownOutcome;
    uint64_t clockMs = 0; // executor's clock; 0: not reported
    uint64_t bornMs = 0; // start time of the incarnation that answered; 0: not reported
    std::vector<RunningTask> running {}; // result of a renewal or poll
    std::vector<EndedTask> ended {}; // result of a renewal or poll
    bool isEndListComplete = true; // false if the list of ends was truncated
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
    std::string executorId; // addressee; other executors at this address reject the order
    uint64_t fence = 0;
    Milliseconds timeout { 0 };
    ExecutorOrder order;
    uint32_t executorNumber = 0;
    std::string dataCentre {}; // where the executor runs
};

// Asks the advice service on which executors a step may run. The service processes one call at a time per calling
// instance, so `instance` names the one that makes the call.
struct AskAdvice {
    uint64_t number = 0;
    std::string instance;
    StepKey step;
    std::vector<std::string> executors;
    Milliseconds timeout { 0 };
};

using LogFields = std::vector<std::pair<std::string_view, std::string>>;

// A duration in whole milliseconds, as the value of a field.
inline std::string millisText(Duration it)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(it).count());
}

// A log line about a decision on a request or a change in what the leader knows.
struct JobLogLine {
    std::string_view event;
    LogFields fields;
    LinePriority priority = LinePriority::Essential;
};

using JobAction = std::variant<ProposeJobs, AnswerCall, SendOrder, AskAdvice, JobLogLine>;

} // namespace teasel
