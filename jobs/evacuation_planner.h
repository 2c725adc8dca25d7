// Chooses the runs of an evacuated data centre that are stopped, so that their tasks resume elsewhere.
//
// Most runs end by themselves sooner than they could be moved. Moving a gang costs the work of all of its members, and
// a run without a checkpoint loses its own. So only runs that can resume and would stay for long are moved, and tasks
// that last; a few at a time, and only where the other data centres have room for them.
#pragma once

#include "core/clock.h"
#include "jobs/candidate_executor.h"
#include "jobs/task_key.h"
#include "placement/resource_vector.h"

#include <cstdint>
#include <span>
#include <vector>

namespace teasel {

// A run in an evacuated data centre.
struct EvacuationRun {
    TaskKey task;
    const ReadyStep* step = nullptr; // never null; must outlive the call of the planner
    uint32_t executor = 0;
    ResourceVector need;
    double remainingMs = 0; // expected; has no meaning for lasting tasks
    bool isStopping = false;
    uint32_t unavailableTasks = 0; // of its step: tasks without a run that is listed and not being stopped
    uint32_t mayMiss = 0; // tasks of its step that may be unavailable at once; 0: not given
};

struct EvacuationPlannerOptions {
    Milliseconds evacuationTime { 5'000 }; // runs that are expected to end within this time are left
    // Stops in progress at once: a burst of restores would delay the work of the other data centres.
    size_t maxMoves = 16;
};

class EvacuationPlanner {
public:
    explicit EvacuationPlanner(EvacuationPlannerOptions options)
        : m_options(options)
    {
    }

    // The runs to stop now, as indices into `runs`. `candidates`: the usable executors outside the evacuated data
    // centres.
    std::vector<size_t> runsToStop(
        std::span<const EvacuationRun> runs, std::span<const CandidateExecutor> candidates) const;

private:
    bool mustMove(const EvacuationRun&) const;

    EvacuationPlannerOptions m_options;
};

} // namespace teasel
