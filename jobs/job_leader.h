// The job plane's leader: admits jobs, renews the leases of executors and places tasks. A state machine without
// I/O, clock or threads: the host passes it events together with the current time and performs its actions in
// order.
//
// Everything that must outlive the leader is committed to the replicated log first: a job before its submission is
// answered, an assignment before its start is sent, and the end of a run before the executor may drop it.
#pragma once

#include "jobs/admission.h"
#include "jobs/advice_planner.h"
#include "jobs/advice_tracker.h"
#include "jobs/evacuation_planner.h"
#include "jobs/executor_claims.h"
#include "jobs/executor_directory.h"
#include "jobs/failure_comparison.h"
#include "jobs/forecast_admission.h"
#include "jobs/job_events.h"
#include "jobs/job_leader_counters.h"
#include "jobs/job_leader_options.h"
#include "jobs/job_state.h"
#include "jobs/live_executor.h"
#include "jobs/load_summary.h"
#include "jobs/planning_pace.h"
#include "jobs/ready_step.h"
#include "jobs/run_evidence.h"
#include "jobs/run_index.h"
#include "jobs/run_times.h"
#include "jobs/stage_latencies.h"
#include "jobs/start_planner.h"
#include "jobs/team_cap.h"
#include "runtimes/run_time_model.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasel {

class JobLeader {
public:
    JobLeader(JobLeaderOptions, const JobState&);
    JobLeader(const JobLeader&) = delete;
    JobLeader& operator=(const JobLeader&) = delete;

    // Starts leading. The fence must be unique to this leader and higher than those of all previous leaders.
    void onBecameLeader(uint64_t fence, Instant now, WallTime wall);

    // Stops leading and drops all state that is not replicated.
    void onLostLeadership();

    bool isLeading() const { return m_fence != 0; }

    // Sets the instances over which calls to the advice service are spread.
    void setAdviceInstances(std::vector<std::string> instances) { m_advice.setInstances(std::move(instances)); }

    // Handles a call; the answer is an AnswerCall action with the same handle.
    void onCall(uint64_t handle, JobCall, Instant now, WallTime wall);
    void onOrderResult(uint64_t number, OrderResult, Instant now);
    void onAdvice(
        uint64_t number, bool answered, const std::vector<std::pair<std::string, std::string>>& granted, Instant now);

    // Must be called after the proposal with this ticket was applied to the state.
    void onCommitted(uint64_t ticket, Instant now);
    void onTick(Instant now, WallTime wall);

    // Ends a batch of events: proposes the changes collected and plans starts.
    void finishBatch(Instant now, WallTime wall);

    // The last call of finishBatch(), which planned a round, took this long. Called after it if the host has a clock.
    void onRoundMeasured(Duration took) { m_pace.onRoundMeasured(took); }

    // How long an event takes now, from its arrival at the host until what follows from it has been sent.
    void onLag(Duration lag, Instant now) { m_pace.onLag(lag, now); }

    std::vector<JobAction> takeActions() { return std::exchange(m_actions, {}); }

    const JobLeaderCounters& counters() const { return m_counters; }
    size_t usableExecutors(Instant now) const;
    size_t waitingTasks() const;
    size_t runningTasks() const;
    // Runs that are still in evacuated data centres.
    size_t runsToEvacuate() const;
    // When this leader sent its first start; Instant() before.
    Instant firstStartAt() const { return m_firstStartAt; }
    const PlanningPace& pace() const { return m_pace; }
    // How long jobs and runs spent in each stage, by queue, since the last call.
    auto takeStageLatencies() { return m_latencies.take(); }

    // Whether lines about single tasks are produced; otherwise they are counted as omitted.
    void setDetailLogged(bool isLogged) { m_isDetailLogged = isLogged; }

private:
    // Continuations: executed once the changes of a proposal have been applied to the state.
    struct AnswerWhenCommitted {
        uint64_t handle = 0;
        CallAnswer answer;
    };
    struct LaunchRunWhenCommitted {
        uint32_t executor = 0;
        TaskKey task;
        uint32_t run = 0;
    };
    struct RunEndedWhenCommitted {
        uint32_t executor = 0;
        TaskKey task;
        uint32_t run = 0;
        schema::RunOutcome outcome = schema::RUN_OUTCOME_UNSPECIFIED;
    };
    struct LateEndWhenCommitted {
        TaskKey task;
    };
    struct AcknowledgeEndsWhenCommitted {
        uint32_t executor = 0;
        uint64_t ends = 0;
    };
    struct JobAcceptedWhenCommitted {
        uint64_t job = 0;
    };
    struct JobEndedWhenCommitted {
        uint64_t job = 0;
    };
    struct UnseenJobCancelledWhenCommitted {
        uint64_t handle = 0;
        uint64_t job = 0;
    };
    struct CrashWhenCommitted {
        uint64_t job = 0;
    };
    struct LossesChangedWhenCommitted { };
    struct ExecutorWhenCommitted {
        uint32_t number = 0;
        // As announced with the registration.
        Instant coldUntil {};
        uint64_t sequence = 0;
        Instant answeredOrderSentAt {}; // when the order was sent whose answer confirmed it
        bool hasMoved = false; // to another address
    };
    struct ConfigurationWhenCommitted {
        uint64_t handle = 0;
    };
    struct EvacuationWhenCommitted {
        uint64_t handle = 0;
        std::string dataCentre;
        bool isActive = false;
    };
    using Continuation = std::variant<ConfigurationWhenCommitted, AnswerWhenCommitted, LaunchRunWhenCommitted,
        RunEndedWhenCommitted, LateEndWhenCommitted, AcknowledgeEndsWhenCommitted, JobAcceptedWhenCommitted,
        JobEndedWhenCommitted, UnseenJobCancelledWhenCommitted, CrashWhenCommitted, LossesChangedWhenCommitted,
        ExecutorWhenCommitted, EvacuationWhenCommitted>;

    // Changes that are proposed as one record, and what follows once they are committed.
    struct Batch {
        schema::JobCommand command;
        size_t bytes = 0; // of all changes but the last one, which may not be complete
        std::vector<Continuation> continuations;

        bool isEmpty() const { return command.changes().empty(); }
    };

    struct PendingOrder {
        uint32_t executor = 0;
        TaskKey task; // for Start and Stop only
        uint32_t run = 0;
        enum class Kind : uint8_t {
            Start = 0,
            Stop = 1,
            Renewal = 2,
        } kind = Kind::Renewal;
        Instant sentAt {};
        Instant timeoutAt {};
        Instant expiresAt {}; // takes effect before this time or never
        bool renewsLease = false;
        bool isRegular = false; // a renewal of an executor that is neither new nor suspect
        uint64_t acknowledgedEnds = 0;
        bool isPoll = false; // sent in addition to the pending renewal
        bool isTimedOut = false; // its timeout has passed; a late result is processed like that of a poll
    };

    // Who has submitted a job.
    struct Submission {
        std::string team;
        schema::CallOrigin origin;
    };

    // Calls (job_calls.cpp; those of executors: job_announcements.cpp).
    void handleCall(uint64_t handle, SubmitJob&);
    void handleCall(uint64_t handle, QueryJob&);
    void handleCall(uint64_t handle, CancelJob&);
    void cancelUnseenJob(uint64_t handle, uint64_t job);
    void handleCall(uint64_t handle, QueryQueue&);
    void handleCall(uint64_t handle, PutConfiguration&);
    void handleCall(uint64_t handle, GetConfiguration&);
    void handleCall(uint64_t handle, ExecutorAnnouncement&);
    void handleCall(uint64_t handle, ExecutorDeparture&);
    void handleCall(uint64_t handle, OrderEvacuation&);
    void handleCall(uint64_t handle, ListEvacuations&);
    // Returns the team that owns a key, or the answer to a call that is not authorized.
    std::variant<std::string, CallAnswer> teamForKey(const schema::JobQueue&, std::string_view key) const;
    std::variant<const schema::JobQueue*, CallAnswer> authorizeCall(
        std::string_view host, std::string_view path, std::string_view key, std::string* team) const;
    // The accepted submission of a job, also before it is committed; nullopt if there is none.
    std::optional<Submission> acceptedSubmission(uint64_t job) const;
    // Answers a call for a job that has been accepted, once the job is committed.
    void answerAccepted(uint64_t handle, uint64_t job);
    // Whether this very call has cancelled the job.
    bool hasCancelled(const CancelJob&) const;
    std::optional<CallAnswer> checkRequest(const schema::JobRequest&) const;
    bool isFeasible(const schema::JobRequest&, const schema::JobQueue&) const;
    // Whether the team's cap never lets a gang of the job start.
    bool hasGangBeyondCap(const schema::JobRequest&, std::string_view team) const;
    void answer(uint64_t handle, CallAnswer);
    void answerStateQueries(uint64_t job, bool all);
    void answerTimedOutStateQueries();
    // The load of a service (job_load.cpp). What waits for some of its executors counts as far as these can hold it.
    LoadSummary& summaryFor(const std::string& service);
    FleetLoad collectFleetLoad() const;
    // Contention control (job_admission.cpp).
    void refreshForecast();
    void addExpectedCapacity(FleetLoad&) const;
    AdmissionVerdict decideByForecast(const JobDemand&);
    // How long the tasks of a job wait until its team is below its cap.
    double capWaitMs(const JobDemand&) const;
    void replayRecentJobs();
    JobDemand demandOf(const schema::JobRequest&, const schema::JobQueue&) const;

    // Jobs and their steps (job_steps.cpp).
    void openSteps(uint64_t job);
    void openReadySteps(uint64_t job, uint32_t occurrence);
    void addReadyStep(const JobRecord&, const schema::JobQueue&, const StepKey&);
    // Sets all that a step takes from the configuration.
    void deriveFromQueue(ReadyStep&, const schema::JobRequest&, const schema::JobQueue&) const;
    // The same for all steps that have not ended, also those whose tasks all run and may wait again.
    void deriveStepsFromQueues();
    void openDueOccurrences();
    void onJobEnded(uint64_t job);
    void updateWaitingTask(const TaskKey&);
    double criticalPathMs(const schema::JobRequest&, uint32_t step) const;
    double expectedMs(const schema::JobRequest&, const schema::JobStep&) const;

    // Registration (job_announcements.cpp).
    void updateExecutor(uint64_t handle, LiveExecutor&, ExecutorAnnouncement&);
    // Returns the number of the new incarnation.
    uint32_t registerExecutor(schema::ExecutorRecord, ExecutorWhenCommitted announced);
    // Changes the address of an incarnation.
    void moveExecutor(uint32_t number, const std::string& address);
    void checkClaims();
    // Asks the executor of a claim for its list of runs.
    void probeClaim(uint32_t claim);
    void onClaimProbed(uint32_t claim, const OrderResult&);
    void refuteClaim(uint32_t claim, std::string_view reason);
    // Registers the incarnation, which has answered an order sent at `askedAt`, in place of those that it contradicts.
    void confirmClaim(uint32_t claim, Instant askedAt);
    void logClaim(std::string_view event, const ExecutorClaim&, std::string_view reason);

    // Executors (job_executors.cpp; periodic checks: job_checks.cpp).
    void addExecutor(const ExecutorState&);
    LiveExecutor* findExecutor(uint32_t number);
    const ExecutorState* executorState(uint32_t number) const;
    void dropExecutor(uint32_t number);
    // Removes an incarnation and ends its runs. Runs whose start may still be executed move to its successor, if there
    // is one (0: none), until that one's first listing; otherwise the removal waits until all have certainly ended.
    void removeIncarnation(uint32_t number, std::string_view reason, RunEvidence, uint32_t successor = 0);
    void awaitSuccessor(LiveExecutor&);
    // An incarnation that has ended is registered again only if it answers.
    void rememberGone(uint32_t number);
    // Records that an executor crashed under its runs, and which of these may be the cause.
    void recordCrash(LiveExecutor&, RunEvidence);
    void recordCrash(const LiveExecutor&, const CrashedRun&, RunEvidence);
    // Records that the lease of an executor expired, and under which runs.
    void recordLapse(LiveExecutor&);
    // Records runs that may have crashed the executor; returns whether there are any.
    bool recordLosses(const LiveExecutor&, std::span<const CrashedRun>, RunEvidence);
    // A later incarnation has answered.
    void confirmLoss(const std::string& executor, uint64_t bornMs);
    void confirmEarlierLosses(const schema::ExecutorRecord&);
    // The executor has outlived its lease.
    void refuteLoss(LiveExecutor&, std::string_view reason);
    // The task waits until its losses are refuted or final.
    void holdStart(const TaskKey&);
    // Drops jobs that were given up, and lets held tasks start, once losses are resolved.
    void reviewLostTasks();
    std::vector<CrashedRun> runsInCrash(const LiveExecutor&) const;
    bool isSuspect(const TaskKey&) const;
    // A fence higher than that of previous leaders, and than that of all orders that this leader has sent.
    uint64_t nextFence();
    // Makes a new incarnation refuse orders to previous ones, before its registration is committed.
    void raiseFence(const schema::ExecutorRecord&, uint32_t number);
    // The number of ends that an order may acknowledge now; 0: none.
    uint64_t endsToAcknowledge(const LiveExecutor&) const;
    bool isRenewalDue(const LiveExecutor&) const;
    void sendRenewal(LiveExecutor&);
    void sendPoll(LiveExecutor&);
    void sendStop(LiveExecutor&, const TaskKey&, LiveRun&);
    uint64_t sendOrder(LiveExecutor&, PendingOrder, ExecutorOrder, Milliseconds timeout);
    void onRenewalResult(LiveExecutor&, const PendingOrder&, OrderResult&);
    void onStartResult(LiveExecutor&, const PendingOrder&, const OrderResult&);
    void onStopResult(LiveExecutor&, const PendingOrder&, const OrderResult&);
    LiveRun* findRun(const RunIndex::Location&);
    // The run at another incarnation, from which it moves.
    LiveRun* findRun(const TaskKey&, uint32_t run);
    void requestStop(LiveExecutor&, const TaskKey&, LiveRun&);
    void stopGang(const StepKey&);
    void expireOrders();
    void checkExecutor(LiveExecutor&);
    void checkGangs();
    void stopRunsBeforeDeparture(LiveExecutor&);
    void forecastReleases(LiveExecutor&);
    // Whether it answers and takes starts, unless it is in quarantine.
    bool isInService(const LiveExecutor&) const;
    bool isUsable(const LiveExecutor&) const;
    std::string_view regionOf(const ExecutorState&) const;

    // Ends of runs (job_run_ends.cpp).
    // The only place that decides whether a run has certainly ended: neither in progress in any incarnation of its
    // executor, nor about to begin because its start is still on its way. `shownAt`: when the evidence was requested.
    bool hasCertainlyEnded(const LiveExecutor&, const LiveRun&, RunEvidence, Instant shownAt) const;
    // From this time on, no incarnation of the executor has a lease for a run whose start it may have carried out late.
    Instant lateLeaseExpiry(const LiveExecutor&, const LiveRun&) const;
    // Ends the run, or lets it wait for the expiry of its start if it may still begin.
    void endRunIfCertain(LiveExecutor&, const TaskKey&, RunEvidence, Instant shownAt, schema::RunOutcome);
    // When a start that an earlier leader sent has expired.
    Instant inheritedStartExpiry(const TaskKey&) const;
    void pollForExpiredStarts(LiveExecutor&);
    // Jobs of the queue that have not begun as far as is known: they have only runs whose start was not answered.
    uint64_t jobsWithoutKnownStart(const std::string& queue);
    void countUnknownStarts();
    // A run that was waiting for the expiry of its start is listed: it has begun.
    void resumeRun(LiveExecutor&, LiveRun&);
    void processEndList(LiveExecutor&, const PendingOrder&, const OrderResult&);
    // Counts a task as done whose run had been given up, and stops the run that has taken its place.
    void processLateEnd(const LiveExecutor&, const EndedTask&);
    // Whether the task has ended by an end that is not committed yet; the members of a gang end together.
    bool hasLateEnd(const TaskKey&, bool isGang) const;
    void resolveAbsentRuns(LiveExecutor&, const PendingOrder&, const OrderResult&);
    void expireLease(LiveExecutor&);
    void endRunsInProgress(LiveExecutor&, RunEvidence);
    void endRun(LiveExecutor&, const TaskKey&, RunEvidence, schema::RunOutcome, std::string checkpoint = {});

    // Runs in progress and their confirmations (job_confirmations.cpp).
    void processRunningList(LiveExecutor&, const PendingOrder&, const OrderResult&);
    // The executor has shown, in the answer to an order that was sent at that time, that its incarnation has begun the
    // run.
    void confirmRun(const LiveExecutor&, const TaskKey&, LiveRun&, Instant shownAt);
    // Whether the clock in an answer goes on from the last one that the registered incarnation has shown. Each
    // incarnation has a clock of its own; answers to starts do not have its start time.
    bool isFromRegisteredIncarnation(const LiveExecutor&, const PendingOrder&, const OrderResult&) const;
    // Records the new confirmations, so that they hold under later leaders.
    void recordConfirmations();

    // Leases (job_leases.cpp).
    // The lease that orders ask for now.
    Milliseconds lease() const;
    // Records the longest lease that leaders ask for, so that later leaders need not assume the longest possible.
    void recordLease();

    // Run times (job_run_times.cpp).
    void recordRunTime(LiveExecutor&, const TaskKey&, const LiveRun&);
    void learnRunTime(const LiveExecutor&, const TaskKey&, const LiveRun&, bool isComplete);
    void restoreRunTimes();
    void recordLearnedRunTimes();

    // Quarantine (job_quarantine.cpp).
    // How many tasks of the step are done or in progress on executors other than the given ones.
    size_t soundTasks(const StepKey&, const FailureComparison::Executors& failing) const;
    bool hasSucceeded(const TaskKey&) const;
    void recordFailure(LiveExecutor&, const TaskKey&, const LiveRun&);
    void endQuarantine(LiveExecutor&, std::string_view reason);
    // Ends quarantines where too few of the executors that may run a waiting task are left.
    void limitQuarantines();

    // Evacuation of data centres (job_evacuation.cpp).
    bool isEvacuated(const LiveExecutor&) const;
    void checkEvacuations();
    // Appends the runs of one executor. `unavailable` holds the results of unavailableTasks() for lasting steps.
    void collectRunsToEvacuate(
        const LiveExecutor&, std::vector<EvacuationRun>&, absl::btree_map<StepKey, uint32_t>& unavailable) const;
    // Counts the runs left in each evacuated data centre and logs those that have none any more.
    void countRunsToEvacuate();
    bool isKnownDataCentre(const std::string&) const;
    uint32_t unavailableTasks(const ReadyStep&) const;
    double remainingMs(const LiveExecutor&, const TaskKey&, const LiveRun&) const;

    // Starts (job_starts.cpp).
    void planStarts();
    void collectCandidates();
    // Logs once a second how the capacity is used and what waits for it.
    void logCapacityUse(const StartPlanner&);
    // The steps for whose executors more work that can be in time waits than these have room for.
    std::vector<const ReadyStep*> contendedSteps(std::span<const ReadyStep* const>, ExpectedCapacity&) const;
    StartConstraints startConstraints() const;
    // Number of tasks of the step on the executor.
    uint32_t tasksOn(const StepKey&, uint32_t number) const;
    std::vector<PreemptibleRun> preemptibleRuns(const LiveExecutor&) const;
    void assign(const PlannedStart&);
    void preempt(const PlannedStop&);
    void launch(const LaunchRunWhenCommitted&);
    void sendStart(LiveExecutor&, const TaskKey&, LiveRun&, std::string_view ticket);
    // Whether the start of a run that the listing lacks may be sent to the same executor again.
    bool mayRepeatStart(const LiveExecutor&, const TaskKey&, const LiveRun&, const PendingOrder& listing) const;
    // Whether an earlier leader may have sent a start of this task again.
    bool mayHaveBeenRepeated(const TaskKey&) const;
    void repeatStart(LiveExecutor&, const TaskKey&);
    void undoRepeat(LiveExecutor&, const TaskKey&, LiveRun&); // it was not sent
    // Whether a start without a ticket may be sent now.
    bool hasFreshContact(const LiveExecutor&) const;
    // Lets a committed start wait until the executor answers.
    void awaitContact(LiveExecutor&, const TaskKey&, uint32_t run);
    void launchWaitingStarts(LiveExecutor&);
    // Gives up the starts that wait for an executor that does not answer; their tasks are placed again.
    void expireWaitingStarts(LiveExecutor&);
    void requestAdviceFor(std::span<const ReadyStep* const>, AdvicePlanner&);
    void requestAdvice(const ReadyStep&, AdvicePlanner&);
    void sendAdviceCall(const ReadyStep&, const schema::AdvicePolicy&, std::span<const uint32_t> executors);
    TeamCap capOf(std::string_view team) const;
    // What the team's runs use; those that are being stopped or may have begun count.
    ResourceVector usageOf(std::string_view team) const;
    // How many waiting tasks of the step its team's cap lets start, beside the starts `planned` for this team.
    int64_t tasksThatMayStart(const ReadyStep&, const ResourceVector& planned) const;
    // How many of them the cap has room for, for estimates of load.
    int64_t tasksThatFitInCap(const ReadyStep&) const;
    void reserve(LiveExecutor&, const TaskKey&, LiveRun);
    void releaseRun(LiveExecutor&, absl::btree_map<TaskKey, LiveRun>::iterator);

    // Continuations (job_leader.cpp).
    void execute(AnswerWhenCommitted&);
    void execute(LaunchRunWhenCommitted&);
    void execute(RunEndedWhenCommitted&);
    void execute(LateEndWhenCommitted&);
    void execute(AcknowledgeEndsWhenCommitted&);
    void execute(JobAcceptedWhenCommitted&);
    void execute(JobEndedWhenCommitted&);
    void execute(UnseenJobCancelledWhenCommitted&);
    void execute(CrashWhenCommitted&);
    void execute(LossesChangedWhenCommitted&);
    void execute(ExecutorWhenCommitted&);
    void execute(ConfigurationWhenCommitted&);
    void execute(EvacuationWhenCommitted&);
    // Adds a change, which the caller fills before it adds the next one. What depends on it follows as continuations:
    // the change may begin a further batch.
    schema::JobChange& change();
    void finishLastChange();
    void propose(Batch, WallTime);
    // Whether so much waits to be proposed that calls which add more are refused.
    bool isBacklogged() const;
    void log(std::string_view event, LogFields fields);
    // A line about a single task or call. `makeFields` is called only if such lines are produced.
    template <class MakeFields> void logDetail(std::string_view event, MakeFields makeFields)
    {
        if (m_isDetailLogged)
            m_actions.emplace_back(JobLogLine { event, makeFields(), LinePriority::Detail });
        else
            ++m_counters.omittedLines;
    }

    JobLeaderOptions m_options;
    const JobState& m_state;
    uint64_t m_fence = 0; // 0 when not leading
    uint32_t m_lastFence = 0; // low bits of the last fence that this leader has used
    Instant m_leadingSince {};
    Instant m_now {};
    WallTime m_wall {};

    absl::btree_map<uint32_t, LiveExecutor> m_executors;
    ExecutorDirectory m_directory; // of m_executors
    RunIndex m_runIndex; // of the runs of m_executors
    absl::btree_map<StepKey, ReadyStep> m_readySteps;
    // Gangs whose members are starting, with the deadline by which all must run.
    absl::btree_map<StepKey, Instant> m_assemblingGangs;
    absl::flat_hash_map<std::string, ResourceVector> m_teamUsage;
    absl::btree_map<uint64_t, Submission> m_pendingSubmissions; // accepted by a proposal that is not committed yet
    absl::btree_map<uint64_t, schema::CallOrigin> m_pendingCancellers; // of known jobs; the same
    absl::btree_set<uint64_t> m_pendingCancellations; // of unknown jobs, by a proposal that is not committed yet
    // Handles of repeated submissions of these jobs, by job.
    absl::btree_map<uint64_t, std::vector<uint64_t>> m_resubmissions;
    struct StateQuery {
        uint64_t handle = 0;
        Instant answerBy {};
    };
    // Delayed answers to queries about running jobs, by job.
    absl::btree_map<uint64_t, std::vector<StateQuery>> m_stateQueries;
    absl::flat_hash_map<std::string, uint64_t> m_jobsWithoutKnownStart; // by queue, as counted last
    Instant m_unknownStartsCountedAt {};
    absl::btree_set<uint64_t> m_scheduledJobs; // jobs with occurrences that have not begun
    struct Confirmation {
        uint32_t executor = 0;
        TaskKey task;
        uint32_t run = 0;
    };
    std::vector<Confirmation> m_newConfirmations; // not recorded yet
    Instant m_nextConfirmationRecordAt {};
    // The longest lease, of orders to the same incarnation, that an earlier leader may have asked for.
    Milliseconds m_inheritedLease { 0 };
    bool m_isLeaseProposed = false;
    absl::btree_set<TaskKey> m_lostTasks; // that have runs among the lost ones of the state, or will have
    absl::btree_set<TaskKey> m_heldTasks; // those of them that wait for the resolution of their losses
    bool m_mustReviewLostTasks = false;
    absl::btree_set<TaskKey> m_lateEnds; // tasks whose late end is counted by a proposal that is not committed yet
    ExecutorClaims m_claims;
    // Start times (born_ms) of executors whose registration is not committed, by executor id.
    absl::btree_map<std::string, uint64_t> m_pendingRegistrations;
    absl::btree_set<std::pair<std::string, uint64_t>> m_goneIncarnations; // id and start time (born_ms)
    std::deque<std::pair<std::string, uint64_t>> m_goneInOrder; // of m_goneIncarnations, oldest first
    AdviceTracker m_advice;
    FailureComparison m_failures;
    RunTimes m_runTimes;
    RunTimeModel m_runTimeModel;
    bool m_hasNewRunTimes = false;
    Instant m_nextRunTimeRecordAt {};
    Admission m_admission;
    ForecastAdmission m_forecastAdmission;
    CapacityForecast m_forecast;
    Instant m_forecastBuiltAt {};
    double m_unusableShare = 0; // share of the fleet that stays free although work waits; a moving average
    // Waiting work that can be in time, by team, and by team for the most urgent queues alone.
    absl::flat_hash_map<std::string, ResourceVector> m_waitingOfTeam;
    absl::flat_hash_map<std::string, ResourceVector> m_urgentOfTeam;
    absl::flat_hash_map<std::string, LoadSummary> m_loadSummaries; // by service

    std::vector<CandidateExecutor> m_candidates; // of the current round of planning
    size_t m_resumeAt = 0; // step at which the last round stopped; 0: it examined all
    size_t m_adviceResumeAt = 0; // the same for advice
    PlanningPace m_pace;

    Batch m_batch; // the newest changes
    std::deque<Batch> m_fullBatches; // earlier ones that are not proposed yet
    size_t m_fullBatchBytes = 0;
    absl::btree_map<uint64_t, std::vector<Continuation>> m_proposals; // by proposal ticket
    absl::btree_map<uint64_t, PendingOrder> m_pendingOrders;
    uint64_t m_lastTicket = 0;
    uint64_t m_lastOrder = 0;
    uint32_t m_lastExecutor = 0;
    schema::JobConfiguration m_proposedConfiguration; // the newest one, whether committed or not
    // The newest order for each data centre, whether committed or not; true: evacuated.
    absl::btree_map<std::string, bool> m_proposedEvacuations;
    // Runs in each evacuated data centre at the last check; absent until the first check of the evacuation.
    absl::btree_map<std::string, size_t, std::less<>> m_runsToEvacuate;
    Instant m_nextEvacuationCheckAt {};
    bool m_mustPlan = false;
    Instant m_nextPlanAt {};
    Instant m_nextCapacityLogAt {};
    Instant m_nextCheckAt {};
    std::vector<JobAction> m_actions;
    JobLeaderCounters m_counters;
    StageLatencies m_latencies;
    Instant m_firstStartAt {};
    bool m_isDetailLogged = true;
};

} // namespace teasel
