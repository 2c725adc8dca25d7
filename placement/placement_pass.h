// Assigns waiting tasks to workers.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace teasel {

// A pass over the queued jobs. Serves the team with urgent work first, then the
// team with the smallest weighted share; within a team by rank and arrival.
class PlacementPass {
public:
    PlacementPass(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // Places every task that fits and stops after `jobBudget` jobs that do not fit.
    // Appends those jobs to `blocked` in the order in which they were tried.
    void run(Instant now, size_t jobBudget, std::vector<JobOrdinal>& blocked);

    // Places all waiting tasks of a gang, or none of them.
    bool placeGang(JobOrdinal, Instant now);

    // Finds a worker with enough unclaimed capacity for a task of the job; noWorker if there is none.
    WorkerId findWorker(const Job&, uint32_t index, const ResourceVector& commitment);

    // Resources to commit to the next task of the job.
    ResourceVector commitmentFor(const Job&) const;

private:
    enum class PlacementResult : uint8_t { Placed, Blocked };
    struct Cursor {
        TeamId team;
        QueueKey key;
    };
    struct RequestShape {
        std::string selector;
        ResourceVector need;
        bool operator==(const RequestShape&) const = default;
        template <class H> friend H AbslHashValue(H h, const RequestShape& it) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), it.selector, it.need);
        }
    };

    PlacementResult placeNext(Job&, Instant now);
    bool isRateLimited(const Job&, const Task&, Instant now);
    bool advanceCursor(Cursor&) const;
    Cursor* selectCursor();
    bool isKnownMiss(const Job&, const ResourceVector&) const;
    void recordMiss(const Job&, const ResourceVector&);
    WorkerId findFullest(const WorkerSet&, const ResourceVector&, WorkerId avoid) const;
    WorkerId findSpread(const Job&, const ResourceVector&, PlacementIndex::Allowed);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    std::vector<Cursor> m_cursors;
    absl::flat_hash_map<RequestShape, uint64_t> m_misses; // capacity version at which a request shape did not fit
    double m_replacementTokens = 0;
    Instant m_tokensUpdatedAt {};
};

} // namespace teasel
