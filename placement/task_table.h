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
    Waiting = 0, // not placed
    Placed = 1, // assigned to a worker, running or not yet started
    Finished = 2,
};

struct Task {
    Attempt attempt; // latest known attempt
    WorkerId worker = noWorker; // worker of the latest attempt while Placed
    WorkerId avoidWorker = noWorker; // worker on which it failed last
    uint16_t liveAttempts = 0; // number of attempts that may still be running on any worker
    uint16_t failures = 0;
    TaskPhase phase = TaskPhase::Waiting;
    bool running = false;
    bool moving = false; // to be replaced: its worker is draining or its specification has changed
    bool checkpointed = false;
    bool lost = false; // an attempt was lost with its worker
    bool durable = false; // the record shows it as finished
};

struct Job {
    JobOrdinal ordinal = noJob;
    std::string id;
    schema::JobSpec spec;
    TeamId team = 0;
    ResourceVector need;
    ResourceVector peak; // highest usage for which a task of this job was stopped
    uint64_t digest = 0; // digest of the current specification, see specDigest()
    uint64_t arrival = 0; // order among jobs of equal rank
    JobPolicy policy { BatchPolicy() };
    JobCounts counts;
    std::vector<Task> tasks;
    absl::btree_set<uint32_t> waiting; // indices of tasks that may be placed now
    schema::JobPhase phase = schema::JOB_PHASE_UNSPECIFIED; // phase in the record
    schema::JobPhase pendingPhase = schema::JOB_PHASE_UNSPECIFIED; // phase to be committed; unspecified if none
    std::string reason;
    std::string waitReason;
    uint32_t openClaims = 0; // claims of preemptions that are still freeing capacity for it
    uint32_t failures = 0; // failures of a gang as a whole
    uint32_t unreported = 0; // finished tasks that the record does not show yet
    bool hasRecord = false; // a record has been received
    bool closed = false; // none of its tasks may run
    bool queued = false;
    bool reclaimDisabled = false; // a task exceeded its commitment; the full declared need is committed
    Instant notBefore {};
    Instant firstSeen {};
    Instant blockedSince {}; // time since which a gang lacks capacity; zero if it does not
    Instant unplaceableSince {};
    Instant surgeSince {};
    Instant reportedAt {}; // last time progress was reported

    bool isGang() const { return std::holds_alternative<GangPolicy>(policy); }
    bool isService() const { return std::holds_alternative<ServicePolicy>(policy); }
    bool isBatch() const { return std::holds_alternative<BatchPolicy>(policy); }
    uint32_t tasksToStart() const;
};

// Sort key of a team's queued jobs: by rank, then by arrival.
struct QueueKey {
    uint32_t rank = 0;
    uint64_t arrival = 0;
    JobOrdinal job = noJob;
    auto operator<=>(const QueueKey&) const = default; // NOLINT(modernize-use-nullptr)
};

using JobQueue = absl::btree_set<QueueKey>;

class TaskTable {
public:
    // Returns the job with this id, adding one without a record if it is new.
    JobOrdinal intern(std::string_view id, Instant now);
    JobOrdinal find(std::string_view id) const;
    Job& job(JobOrdinal ordinal) { return m_jobs[ordinal]; }
    const Job& job(JobOrdinal ordinal) const { return m_jobs[ordinal]; }
    Task& task(const TaskRef& ref) { return m_jobs[ref.job].tasks[ref.index]; }
    // Extends the job's tasks to include an index that a worker reports.
    void ensureTask(JobOrdinal, uint32_t index);

    // Applies a record. Returns whether the specification changed.
    bool apply(const schema::JobRecord&, JobOrdinal);
    void erase(JobOrdinal);
    void clear();

    // Adds a task to its job's waiting set, either now or once `notBefore` has passed.
    void enqueue(const TaskRef&, Instant notBefore, Instant now);
    void dequeue(const TaskRef&);
    // Adds the job to its team's queue or removes it, depending on whether it has tasks to start.
    void refreshQueue(JobOrdinal);
    // Moves tasks whose delay has passed into the waiting sets. Returns whether there were any.
    bool enqueueDelayed(Instant now);

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
    void removeFromQueue(Job&);

    std::deque<Job> m_jobs;
    std::vector<JobOrdinal> m_free;
    absl::flat_hash_map<std::string, JobOrdinal> m_byId;
    absl::btree_set<JobOrdinal> m_inUse;
    absl::btree_map<TeamId, JobQueue> m_queues;
    absl::btree_set<Delay> m_delays;
    uint64_t m_arrivals = 0;
};

// Digest of the parts of a specification that a running task depends on.
uint64_t specDigest(const schema::JobSpec&);

bool isTerminal(schema::JobPhase);

} // namespace teasel
