// Applies job records of the fleet state to the task table, and reports job progress to be committed.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <absl/container/flat_hash_set.h>

#include <span>
#include <string>
#include <vector>

namespace teasel {

// Describes how a batch of records relates to all records of the data centre.
struct JobBatch {
    bool replacesAll = false; // this batch and its following parts list every record
    bool hasMoreParts = false; // further parts of the batch follow
};

class JobIntake {
public:
    JobIntake(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // Applies new and changed records.
    void handle(std::span<const schema::JobRecord>, JobBatch, Instant now);

    // Discards an incomplete full list.
    void discardFullList();

    // Appends progress that the records do not show yet.
    void reportProgress(std::vector<PlacementAction>&, Instant now);

    // Stops tasks of jobs that never got a record, and removes closed jobs after a retention time.
    void closeStaleJobs(Instant now);

    // Called when recovery is complete. Restarts gangs of which only some tasks were found running.
    void onRecovered(Instant now);

private:
    void closeMissingJobs(Instant now);
    static bool isPartialGang(const Job&);
    void applyRecord(const schema::JobRecord&, Instant now);
    void applyFinishedTasks(Job&, Instant now);
    void enqueueTasks(Job&);
    void reportJobProgress(Job&, std::vector<PlacementAction>&, Instant now);
    bool hasLiveAttempts(const Job&) const;

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    absl::flat_hash_set<std::string> m_listedIds; // job ids in the parts of a full list received so far
    bool m_receivingFullList = false;
};

} // namespace teasel
