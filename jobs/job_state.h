// The replicated state of the job plane: configuration, jobs with the outcome of their tasks, and the assignments
// of tasks to executors. An assignment is committed before its start is sent, so a new leader knows every run that
// an executor may hold.
#pragma once

#include "consensus/state_machine.h"
#include "core/clock.h"
#include "jobs.pb.h"
#include "jobs/configuration_index.h"
#include "jobs/task_key.h"
#include "placement/resource_vector.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

enum class JobPhase : uint8_t {
    Queued = 1,
    Running = 2,
    Completed = 3,
    Failed = 4,
    Cancelled = 5,
};

struct TaskRecord {
    uint32_t run = 0; // run number of the last assignment
    uint32_t executor = 0; // 0: not assigned
    uint32_t failures = 0;
    uint32_t crashes = 0; // executors that crashed under it
    uint32_t lastCrashedRun = 0; // each leader that sees a run whose executor crashed reports it
    uint32_t crashesAtStart = 0; // those that crashed shortly after its start, so that it may be the cause
    // Lost executors that it may have crashed: nothing shows that they outlived its start.
    uint32_t losses = 0;
    uint32_t finalLosses = 0; // those of them that have ended or are not registered any more
    uint32_t unprovenCrashes = 0; // as counted by earlier versions: crashes and expired leases
    bool done = false;
    std::string checkpoint;
};

struct StepRecord {
    std::vector<TaskRecord> tasks;
    uint32_t doneTasks = 0;
    uint32_t assignedTasks = 0;
    uint32_t gangFailures = 0;
    uint32_t lastFailedRun = 0; // latest run of the gang that counted as a failure

    bool isDone() const { return doneTasks == tasks.size(); }
};

struct OccurrenceRecord {
    std::vector<StepRecord> steps;
    uint32_t doneSteps = 0;

    bool isDone() const { return doneSteps == steps.size(); }
};

// What made a job fail.
struct JobFailure {
    TaskKey task;
    std::string_view reason;
    uint32_t failures = 0; // of the task, or of the gang
    uint32_t crashes = 0;
    uint32_t crashesAtStart = 0;
    uint32_t finalLosses = 0;
};

struct JobRecord {
    schema::JobRequest request; // steps and payload are cleared when the job ends
    JobPhase phase = JobPhase::Queued;
    bool hasBegun = false; // a run has certainly taken place
    uint64_t endedAtMs = 0;
    schema::CallOrigin cancelledBy;
    std::optional<JobFailure> failure; // for the log; not in snapshots
    uint32_t occurrencesDone = 0;
    // Occurrences that have begun and not ended, and those that have ended before an earlier one, so that they do not
    // begin again.
    absl::btree_map<uint32_t, OccurrenceRecord> open;

    bool hasEnded() const { return phase >= JobPhase::Completed; }
    uint32_t assignedTasks() const;
    // Number of occurrences that have begun and not ended.
    uint32_t unfinishedOccurrences() const;
    // All earlier occurrences have ended.
    uint32_t firstUnfinishedOccurrence() const
    {
        return occurrencesDone - (static_cast<uint32_t>(open.size()) - unfinishedOccurrences());
    }
};

struct AssignmentState {
    uint32_t run = 0;
    ResourceVector need; // kept here because an ended job no longer has its steps
    bool isConfirmed = false; // a leader has recorded that the incarnation has begun the run
    uint64_t confirmedAtMs = 0; // when it did so; Unix time
};

struct ExecutorState {
    schema::ExecutorRecord record; // without assignments
    ResourceVector capacity;
    ResourceVector largestCapacity; // that the incarnation announced; it may have shrunk and grow again
    absl::btree_map<TaskKey, AssignmentState> assignments;
    uint64_t lastConfirmedAtMs = 0; // when a run was confirmed last
};

// By id and start time.
using IncarnationKey = std::pair<std::string, uint64_t>;
// Task and run number.
using RunKey = std::pair<TaskKey, uint32_t>;

// An incarnation of an executor that may have crashed under these runs.
struct ExecutorLossRecord {
    uint64_t lostAtMs = 0; // Unix time
    bool isFinal = false; // it has ended or is not registered any more
    absl::btree_set<RunKey> runs;
};

struct LostRunRecord {
    IncarnationKey incarnation;
    bool mayBeCause = false; // nothing shows that the executor outlived the start of the run
};

// The last order of an operator on the evacuation of a data centre.
struct EvacuationRecord {
    bool isActive = false;
    uint64_t orderedAtMs = 0; // Unix time
};

// A task is given up, and its job fails, after this many crashes.
constexpr uint32_t maxCrashesAtStart = 3;
constexpr uint32_t maxCrashes = 4; // at any time of its runs, but for lasting tasks; final losses count as well

// Whether both are copies of one call. False if the origin is unknown.
bool isSameCall(const schema::CallOrigin&, const schema::CallOrigin&);

// The part of an executor's capacity that one task of a step uses.
ResourceVector needOf(const schema::JobStep&);

class JobState final : public StateMachine {
public:
    // `endedJobRetention`: how long the outcome of an ended job is kept.
    explicit JobState(Milliseconds endedJobRetention)
        : m_retention(endedJobRetention)
    {
    }
    JobState(const JobState&) = delete;
    JobState& operator=(const JobState&) = delete;

    std::string apply(uint64_t index, std::string_view command) override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view) override;

    const schema::JobConfiguration& configuration() const { return m_configuration; }
    const ConfigurationIndex& configurationIndex() const { return m_configurationIndex; }

    // Finds a queue by its key, including queues that were removed from the configuration in force lately or have jobs
    // that have not ended; nullptr if there is none.
    const schema::JobQueue* queueOf(std::string_view key) const;

    size_t knownQueues() const { return m_queues.size(); }

    const absl::btree_map<uint64_t, JobRecord>& jobs() const { return m_jobs; }
    const JobRecord* find(uint64_t job) const;
    const TaskRecord* find(const TaskKey&) const;
    // Whether the task must not be started before its losses are refuted or final.
    bool isStartHeld(const TaskKey&) const;
    // Whether a loss of this incarnation is recorded and neither refuted nor forgotten.
    bool isLost(const std::string& executor, uint64_t bornMs) const { return m_losses.contains({ executor, bornMs }); }
    // The start times of the executor's incarnations that have losses.
    std::vector<uint64_t> lostIncarnations(const std::string& executor) const;
    const absl::btree_map<RunKey, LostRunRecord>& lostRuns() const { return m_lostRuns; }
    // Whether the job was cancelled while it was not known. Kept as long as the outcome of an ended job, so that a
    // submission that was delayed on its way does not run.
    bool wasCancelledUnseen(uint64_t job) const { return m_cancelledUnseen.contains(job); }
    size_t cancelledUnseen() const { return m_cancelledUnseen.size(); }
    // Number of accepted jobs of a queue of which no task has been assigned yet.
    uint64_t queuedJobs(std::string_view queueKey) const;
    const absl::btree_map<uint32_t, ExecutorState>& executors() const { return m_executors; }
    uint32_t lastExecutorNumber() const { return m_lastExecutor; }
    // The longest lease that a leader may have asked executors for; 0: not known.
    Milliseconds longestLease() const { return m_longestLease; }
    // What a leader recorded last about run times.
    const schema::RunTimeImage& runTimes() const { return m_runTimes; }

    // By name of the data centre; includes evacuations that were withdrawn.
    const absl::btree_map<std::string, EvacuationRecord, std::less<>>& evacuations() const { return m_evacuations; }
    // Whether no task may be started in the data centre.
    bool isEvacuated(std::string_view dataCentre) const;

    // The key that identifies a queue in jobs and tables.
    static std::string queueKey(const schema::JobQueue& it) { return it.host() + it.path_prefix(); }

private:
    void applyChange(const schema::JobChange&);
    void applyConfiguration(const schema::JobConfiguration&);
    void forgetRemovedQueues();
    void applyAccepted(const schema::JobRequest&);
    void applyCancelled(uint64_t job, const schema::CallOrigin&);
    void applyAssigned(const schema::TaskAssignment&);
    void applyConfirmed(const schema::ConfirmedRuns&);
    void applyLateEnd(const TaskKey&);
    void applyEnded(const schema::RunEnd&);
    // Crashes and losses of executors (job_state_losses.cpp).
    void applyCrashed(const schema::RunCrash&);
    void applyExecutorLost(const schema::ExecutorLoss&);
    void applyExecutorReturned(uint32_t number);
    void applyExecutorCrashed(const schema::ExecutorLoss&);
    void applyExecutorRemoved(uint32_t number);
    // `hasSuccessor`: another incarnation has answered. Otherwise it is not known whether this one has crashed.
    void endIncarnation(const IncarnationKey&, bool hasSuccessor);
    void addLoss(const schema::ExecutorLoss&, uint64_t lostAtMs, bool isFinal);
    // Forgets that the run may have crashed an executor.
    void dropLostRun(const RunKey&);
    void dropLoss(const IncarnationKey&);
    void dropLossesOf(uint64_t job);
    void dropOldLosses();
    void giveUpIfDeadly(const TaskKey&);
    void applyExecutor(const schema::ExecutorRecord&);
    void applyEvacuation(const schema::Evacuation&);
    void markDone(JobRecord&, const TaskKey&);
    void countFailure(JobRecord&, const TaskKey&, uint32_t run);
    void finishStep(JobRecord&, const StepKey&);
    void endJob(JobRecord&, JobPhase);
    void leaveQueue(const JobRecord&);
    void noteBegin(JobRecord&, schema::RunOutcome);
    void recordCancelledUnseen(uint64_t job, uint64_t atMs);
    void removeExpiredJobs();
    TaskRecord* mutableTask(const TaskKey&);
    static OccurrenceRecord& openOccurrence(JobRecord&, uint32_t occurrence);

    Milliseconds m_retention;
    schema::JobConfiguration m_configuration;
    ConfigurationIndex m_configurationIndex;
    struct KnownQueue {
        schema::JobQueue queue; // as the last configuration had it
        bool isRemoved = false;
        uint64_t inForceAtMs = 0; // when it was in force last, once it is removed
    };
    // By key. Removed ones are kept as long as the outcome of an ended job, and while jobs that have not ended need
    // them.
    absl::btree_map<std::string, KnownQueue> m_queues;
    absl::btree_map<uint64_t, JobRecord> m_jobs;
    absl::btree_map<std::string, uint64_t, std::less<>> m_queuedJobs; // jobs in phase Queued, by queue key
    absl::btree_map<uint32_t, ExecutorState> m_executors;
    absl::btree_map<IncarnationKey, ExecutorLossRecord> m_losses;
    absl::btree_map<RunKey, LostRunRecord> m_lostRuns; // those of m_losses
    absl::btree_map<std::string, EvacuationRecord, std::less<>> m_evacuations;
    std::deque<std::pair<uint64_t, uint64_t>> m_ended; // end time in ms and job, in order of time
    absl::btree_map<uint64_t, uint64_t> m_cancelledUnseen; // time of the cancellation in ms, by job
    std::deque<std::pair<uint64_t, uint64_t>> m_cancelledInOrder; // the same, oldest first
    schema::RunTimeImage m_runTimes;
    Milliseconds m_longestLease { 0 };
    uint32_t m_lastExecutor = 0;
    uint64_t m_wallMs = 0;
};

} // namespace teasel
