// One pass over the waiting jobs: which task goes where.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace teasel {

// Tasks go to the team with the smallest weighted share first, within a team
// by rank and arrival.
class PlacementPass {
public:
    PlacementPass(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // Places what fits, looking at `jobBudget` jobs that do not. Jobs without
    // room are added to `stuck`, the team with the smallest share first.
    void run(Instant now, size_t jobBudget, std::vector<JobOrdinal>& stuck);

    // Places all waiting tasks of a gang, or none.
    bool placeGang(JobOrdinal, Instant now);

    // A worker for a task of the job, within what is not claimed; noWorker if none has room.
    WorkerId findWorker(const Job&, uint32_t index, const ResourceVector& commitment);

    // What is committed for the next task of the job.
    ResourceVector commitmentFor(const Job&) const;

private:
    enum class Step : uint8_t { Placed, Stuck };
    struct Cursor {
        TeamId team;
        QueueKey key;
    };
    struct Shape {
        std::string selector;
        ResourceVector need;
        bool operator==(const Shape&) const = default;
        template <class H> friend H AbslHashValue(H h, const Shape& it) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), it.selector, it.need);
        }
    };

    Step placeNext(Job&, Instant now);
    bool isPaced(const Job&, const Task&, Instant now);
    bool advance(Cursor&) const;
    Cursor* next();
    bool missedBefore(const Job&, const ResourceVector&) const;
    void noteMiss(const Job&, const ResourceVector&);
    WorkerId findAmong(const WorkerSet&, const ResourceVector&, WorkerId avoid) const;
    WorkerId findSpread(const Job&, const ResourceVector&, PlacementIndex::Allowed);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    std::vector<Cursor> m_cursors;
    absl::flat_hash_map<Shape, uint64_t> m_misses; // room version at which a shape did not fit
    double m_replacementTokens = 0;
    Instant m_tokensAt {};
};

} // namespace teasel
