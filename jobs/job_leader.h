// Leads the job plane: decides on callers' jobs, keeps executors' leases, and
// places tasks. A state machine without I/O, clock or thread; the host gives it
// events with a reading of the clock and carries out its actions in order.
//
// Whatever must survive the leader goes through the replicated log first:
// a job before its caller is told, an assignment before its start is sent, an
// end before the executor may forget it.
#pragma once

#include "jobs/admission.h"
#include "jobs/advice_book.h"
#include "jobs/job_events.h"
#include "jobs/job_leader_options.h"
#include "jobs/job_state.h"
#include "jobs/live_executor.h"
#include "jobs/ready_step.h"
#include "jobs/run_times.h"
#include "jobs/start_planner.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teasel {

struct JobLeaderCounters {
    uint64_t accepted = 0;
    uint64_t refused = 0;
    uint64_t starts = 0;
    uint64_t startsRefused = 0;
    uint64_t unclearStarts = 0;
    uint64_t stops = 0;
    uint64_t preemptions = 0;
    uint64_t ends = 0;
    uint64_t holds = 0;
    uint64_t adviceCalls = 0;
    uint64_t lapses = 0;
};

class JobLeader {
public:
    JobLeader(JobLeaderOptions, const JobState&);
    JobLeader(const JobLeader&) = delete;
    JobLeader& operator=(const JobLeader&) = delete;

    // Begins to lead with a fence that no other leader has and that is higher than all before.
    void begin(uint64_t fence, Instant now, WallTime wall);

    // Stops leading: forgets everything but the replicated state.
    void end();

    bool isLeading() const { return m_fence != 0; }

    // Instances that calls for advice can be spread over.
    void setAdviceInstances(std::vector<std::string> instances) { m_advice.setInstances(std::move(instances)); }

    // A call; its answer comes by an AnswerCall with the same handle.
    void onCall(uint64_t handle, JobCall, Instant now, WallTime wall);
    void onOrderResult(uint64_t number, OrderResult, Instant now);
    void onAdvice(
        uint64_t number, bool answered, const std::vector<std::pair<std::string, std::string>>& granted, Instant now);

    // A proposal was applied to the state.
    void onCommitted(uint64_t ticket, Instant now);
    void onTick(Instant now, WallTime wall);

    // Ends a batch of events: proposes changes and plans starts.
    void finishBatch(Instant now, WallTime wall);

    std::vector<JobAction> takeActions() { return std::exchange(m_actions, {}); }

    const JobLeaderCounters& counters() const { return m_counters; }
    size_t executorsUsable(Instant now) const;
    size_t waitingTasks() const;
    size_t runningTasks() const;

private:
    // What is done once the changes of a proposal are in the state.
    struct AnswerWhenCommitted {
        uint64_t handle = 0;
        CallAnswer answer;
    };
    struct LaunchWhenCommitted {
        uint32_t executor = 0;
        TaskKey task;
        uint32_t run = 0;
    };
    struct EndedWhenCommitted {
        uint32_t executor = 0;
        TaskKey task;
        uint32_t run = 0;
        schema::RunOutcome outcome = schema::RUN_OUTCOME_UNSPECIFIED;
    };
    struct SeenWhenCommitted {
        uint32_t executor = 0;
        uint64_t ends = 0;
    };
    struct AcceptedWhenCommitted {
        uint64_t job = 0;
    };
    struct JobStoppedWhenCommitted {
        uint64_t job = 0;
    };
    struct ExecutorWhenCommitted {
        uint32_t number = 0;
    };
    struct ConfigurationWhenCommitted {
        uint64_t handle = 0;
    };
    using Continuation = std::variant<ConfigurationWhenCommitted, AnswerWhenCommitted, LaunchWhenCommitted,
        EndedWhenCommitted, SeenWhenCommitted, AcceptedWhenCommitted, JobStoppedWhenCommitted, ExecutorWhenCommitted>;

    struct OrderUnderWay {
        uint32_t executor = 0;
        TaskKey task; // of a start or stop
        uint32_t run = 0;
        enum class Kind : uint8_t {
            Start = 0,
            Stop = 1,
            Hold = 2,
        } kind = Kind::Hold;
        Instant sentAt {};
        Instant overAt {};
        bool extends = false;
        bool isLook = false; // beside the hold under way
        bool isOver = false; // took too long; what it still brings is a look
    };

    // Calls (job_calls.cpp).
    void take(uint64_t handle, SubmitJob&);
    void take(uint64_t handle, QueryJob&);
    void take(uint64_t handle, CancelJob&);
    void take(uint64_t handle, QueryQueue&);
    void take(uint64_t handle, PutConfiguration&);
    void take(uint64_t handle, GetConfiguration&);
    void take(uint64_t handle, ExecutorAnnouncement&);
    void take(uint64_t handle, ExecutorLeaves&);
    const schema::JobQueue* findQueue(std::string_view host, std::string_view path) const;
    // The team that a key stands for; an answer when the call is not allowed.
    std::variant<std::string, CallAnswer> authorize(const schema::JobQueue&, std::string_view key) const;
    std::variant<const schema::JobQueue*, CallAnswer> admitCall(
        std::string_view host, std::string_view path, std::string_view key, std::string* team) const;
    std::optional<CallAnswer> checkRequest(const schema::JobRequest&) const;
    bool canEverRun(const schema::JobRequest&, const schema::JobQueue&) const;
    void answer(uint64_t handle, CallAnswer);
    void answerState(uint64_t job, bool all);
    void answerLateStateWaiters();
    FleetLoad loadBefore(Instant latestStart) const;
    JobDemand demandOf(const schema::JobRequest&, const schema::JobQueue&) const;

    // Jobs and their steps (job_steps.cpp).
    void openSteps(uint64_t job);
    void openReadySteps(uint64_t job, uint32_t occurrence);
    void addReadyStep(const JobRecord&, const schema::JobQueue&, const StepKey&);
    void openDueOccurrences();
    void onJobEnded(uint64_t job);
    void addWaiting(const TaskKey&);
    double chainFrom(const schema::JobRequest&, uint32_t step) const;
    double expectedMs(const schema::JobRequest&, const schema::JobStep&) const;

    // Executors (job_executors.cpp).
    void adoptExecutor(const ExecutorState&);
    LiveExecutor* findExecutor(uint32_t number);
    const ExecutorState* recordOf(uint32_t number) const;
    void replaceIncarnation(uint32_t number, std::string_view reason);
    void sendHold(LiveExecutor&);
    void sendLook(LiveExecutor&);
    void sendStop(LiveExecutor&, const TaskKey&, LiveRun&);
    uint64_t sendOrder(LiveExecutor&, OrderUnderWay, ExecutorOrder, Milliseconds timeout);
    void onHoldResult(LiveExecutor&, const OrderUnderWay&, OrderResult&);
    void onStartResult(LiveExecutor&, const OrderUnderWay&, const OrderResult&);
    void onStopResult(LiveExecutor&, const OrderUnderWay&, const OrderResult&);
    void takeRunning(LiveExecutor&, const OrderUnderWay&, const OrderResult&);
    void takeEnds(LiveExecutor&, const OrderResult&);
    void settleAbsent(LiveExecutor&, const OrderUnderWay&, const OrderResult&);
    void endRun(LiveExecutor&, const TaskKey&, schema::RunOutcome, std::string checkpoint);
    void requestStop(LiveExecutor&, const TaskKey&, LiveRun&);
    void stopGang(const StepKey&);
    void expireOrders();
    void watchExecutor(LiveExecutor&);
    void watchGangs();
    void evacuate(LiveExecutor&);
    void forecast(LiveExecutor&);
    void lapse(LiveExecutor&);
    bool isUsable(const LiveExecutor&) const;
    void noteRunTime(LiveExecutor&, const TaskKey&, const LiveRun&);
    void noteFailure(LiveExecutor&, const TaskKey&);

    // Starts (job_starts.cpp).
    void planStarts();
    std::vector<ExecutorRoom> rooms() const;
    std::vector<YieldingRun> yieldingRuns(const LiveExecutor&) const;
    void assign(const PlannedStart&);
    void preempt(const PlannedStop&);
    void launch(const LaunchWhenCommitted&);
    // Returns how many executors were gone through.
    size_t askForAdvice(const ReadyStep&, const std::vector<ExecutorRoom>&);
    std::vector<uint32_t> executorsToAsk(const ReadyStep&, const std::vector<ExecutorRoom>&) const;
    int64_t leftOfCap(std::string_view team, const ResourceVector& need) const;
    void reserve(LiveExecutor&, const TaskKey&, LiveRun);
    void releaseRun(LiveExecutor&, absl::btree_map<TaskKey, LiveRun>::iterator);

    // Committed (job_leader.cpp).
    void carryOut(AnswerWhenCommitted&);
    void carryOut(LaunchWhenCommitted&);
    void carryOut(EndedWhenCommitted&);
    void carryOut(SeenWhenCommitted&);
    void carryOut(AcceptedWhenCommitted&);
    void carryOut(JobStoppedWhenCommitted&);
    void carryOut(ExecutorWhenCommitted&);
    void carryOut(ConfigurationWhenCommitted&);
    schema::JobChange& change() { return *m_batch.add_changes(); }
    void log(std::string_view event, std::vector<std::pair<std::string_view, std::string>> fields);

    JobLeaderOptions m_options;
    const JobState& m_state;
    uint64_t m_fence = 0; // 0: does not lead
    Instant m_began {};
    Instant m_now {};
    WallTime m_wall {};

    absl::btree_map<uint32_t, LiveExecutor> m_executors;
    absl::btree_map<StepKey, ReadyStep> m_ready;
    absl::btree_map<StepKey, Instant> m_gangs; // assembling gangs and when they must be whole
    absl::flat_hash_map<std::string, ResourceVector> m_teamUse;
    absl::btree_set<uint64_t> m_accepting; // proposed, not committed
    absl::btree_map<uint64_t, std::vector<uint64_t>> m_acceptWaiters; // resends of those, by handle
    struct StateWaiter {
        uint64_t handle = 0;
        Instant until {};
    };
    absl::btree_map<uint64_t, std::vector<StateWaiter>> m_stateWaiters; // questions about jobs that run, by job
    absl::btree_set<uint64_t> m_timedJobs; // with occurrences still to come
    absl::btree_map<std::string, uint64_t> m_announcing; // executor ids whose registration is under way, to born
    AdviceBook m_advice;
    RunTimes m_runTimes;
    Admission m_admission;

    schema::JobCommand m_batch;
    std::vector<Continuation> m_batchContinuations;
    absl::btree_map<uint64_t, std::vector<Continuation>> m_proposed; // by ticket
    absl::btree_map<uint64_t, OrderUnderWay> m_orders;
    uint64_t m_lastTicket = 0;
    uint64_t m_lastOrder = 0;
    uint32_t m_lastExecutor = 0;
    schema::JobConfiguration m_proposedConfiguration; // the newest, committed or not
    bool m_mustPlan = false;
    Instant m_nextPlan {};
    Instant m_nextWatch {};
    std::vector<JobAction> m_actions;
    JobLeaderCounters m_counters;
};

} // namespace teasel
