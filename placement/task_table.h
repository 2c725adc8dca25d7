// The jobs of a data centre and the state of each of their tasks.
#pragma once

#include "fleet.pb.h"
#include "placement/job_policy.h"
#include "placement/placement_types.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

enum class TaskPhase : uint8_t {
    Waiting = 0, // to be placed
    Placed = 1, // on a worker, whether running yet or not
    Finished = 2,
};

struct Task {
    Attempt attempt; // the latest known
    WorkerId worker = noWorker; // of the latest attempt while Placed
    WorkerId avoid = noWorker; // where it failed last
    uint16_t live = 0; // attempts of any number that may be running anywhere
    uint16_t failures = 0;
    TaskPhase phase = TaskPhase::Waiting;
    bool running = false;
    bool moving = false; // its place or specification is no longer right
    bool checkpointed = false;
    bool lost = false; // its last worker was lost
    bool durable = false; // the record shows it as finished
};

struct Job {
    JobOrdinal ordinal = noJob;
    std::string id;
    schema::JobSpec spec;
    TeamId team = 0;
    ResourceVector need;
    ResourceVector peak; // most that a task was stopped for using
    uint64_t digest = 0; // of what a running task was started with
    uint64_t arrival = 0; // order among jobs of equal rank
    JobPolicy policy { BatchPolicy() };
    JobCounts counts;
    std::vector<Task> tasks;
    absl::btree_set<uint32_t> waiting; // indices that may be placed now
    schema::JobPhase phase = schema::JOB_PHASE_UNSPECIFIED; // by the record
    schema::JobPhase wantedPhase = schema::JOB_PHASE_UNSPECIFIED; // to be committed
    std::string reason;
    std::string waitReason;
    uint32_t openClaims = 0; // preemptions under way for it
    uint32_t failures = 0; // of a gang as a whole
    uint32_t unreported = 0; // finished tasks that the record does not show
    bool known = false; // a record has been seen
    bool closed = false; // nothing of it may run
    bool queued = false;
    bool declaredOnly = false; // a task used more than was committed: nothing is reclaimed any more
    Instant notBefore {};
    Instant firstSeen {};
    Instant stuckSince {}; // a gang without room; epoch zero: not stuck
    Instant unplaceableSince {};
    Instant surgeSince {};
    Instant reportedAt {}; // progress last handed out

    bool isGang() const { return std::holds_alternative<GangPolicy>(policy); }
    bool isService() const { return std::holds_alternative<ServicePolicy>(policy); }
    bool isBatch() const { return std::holds_alternative<BatchPolicy>(policy); }
    uint32_t wantedStarts() const;
};

// Orders the waiting jobs of a team: by rank, then by arrival.
struct QueueKey {
    uint32_t rank = 0;
    uint64_t arrival = 0;
    JobOrdinal job = noJob;
    auto operator<=>(const QueueKey&) const = default; // NOLINT(modernize-use-nullptr)
};

using JobQueue = absl::btree_set<QueueKey>;

class TaskTable {
public:
    // The job of an id, added without a record if it is new.
    JobOrdinal intern(std::string_view id, Instant now);
    JobOrdinal find(std::string_view id) const;
    Job& job(JobOrdinal ordinal) { return m_jobs[ordinal]; }
    const Job& job(JobOrdinal ordinal) const { return m_jobs[ordinal]; }
    Task& task(const TaskRef& ref) { return m_jobs[ref.job].tasks[ref.index]; }
    // Makes room for the index of a task that a worker reports.
    void reach(JobOrdinal, uint32_t index);

    // Takes a record; says whether the job's specification changed.
    bool apply(const schema::JobRecord&, JobOrdinal);
    void erase(JobOrdinal);
    void clear();

    // Puts a task that may be placed into its job's waiting set, at once or at an instant.
    void enqueue(const TaskRef&, Instant notBefore, Instant now);
    void dequeue(const TaskRef&);
    // Brings the team's queue in line with what the job wants.
    void refreshQueue(JobOrdinal);
    // Moves tasks whose delay is over into the waiting sets.
    bool moveDelayed(Instant now);

    const JobQueue* queueOf(TeamId) const;
    const absl::btree_map<TeamId, JobQueue>& queues() const { return m_queues; }
    const absl::btree_set<JobOrdinal>& ordinals() const { return m_inUse; }
    size_t size() const { return m_inUse.size(); }
    size_t bytes() const;

private:
    struct Delay {
        Instant until;
        JobOrdinal job;
        uint32_t index;
        auto operator<=>(const Delay&) const = default; // NOLINT(modernize-use-nullptr)
    };
    void leaveQueue(Job&);

    std::deque<Job> m_jobs;
    std::vector<JobOrdinal> m_free;
    absl::flat_hash_map<std::string, JobOrdinal> m_byId;
    absl::btree_set<JobOrdinal> m_inUse;
    absl::btree_map<TeamId, JobQueue> m_queues;
    absl::btree_set<Delay> m_delays;
    uint64_t m_arrivals = 0;
};

// What a running task depends on, as one number.
uint64_t specDigest(const schema::JobSpec&);

bool isTerminal(schema::JobPhase);

} // namespace teasel
