// Takes job records from the fleet state and hands back progress for them.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <absl/container/flat_hash_set.h>

#include <span>
#include <string>
#include <vector>

namespace teasel {

// How a batch of records stands to all records of the data centre.
struct JobBatch {
    bool whole = false; // these and the parts that follow are all there are
    bool more = false; // another part follows
};

class JobIntake {
public:
    JobIntake(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // Takes new and changed records.
    void take(std::span<const schema::JobRecord>, JobBatch, Instant now);

    // Forgets an unfinished whole batch.
    void restart();

    // Progress that the records do not show yet.
    void report(std::vector<PlacementAction>&, Instant now);

    // Gives up tasks of jobs that never got a record, and forgets jobs that are over.
    void review(Instant now);

    // Stops gangs that a new leader found only in part.
    void onSettled(Instant now);

private:
    void dropMissing(Instant now);
    static bool isPartialGang(const Job&);
    void takeOne(const schema::JobRecord&, Instant now);
    void markDurable(Job&, Instant now);
    void enqueueTasks(Job&);
    void reportOne(Job&, std::vector<PlacementAction>&, Instant now);
    bool holdsAnything(const Job&) const;

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    absl::flat_hash_set<std::string> m_listed; // ids in the parts of a whole batch so far
    bool m_listing = false;
};

} // namespace teasel
