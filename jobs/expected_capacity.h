// The capacity that steps can expect soon, executor by executor, for one round of planning. A step claims only what it
// can use: capacity of executors on which it may run and has room. Need that no executor can take is not counted, so it
// does not keep other steps from what is free.
//
// The cost of a claim follows the tasks that find room, not the size of the fleet: executors are kept in a heap by what
// they have left, and a need that found no room anywhere is not searched for again in the round.
#pragma once

#include "jobs/candidate_executor.h"
#include "jobs/ready_step.h"
#include "placement/resource_vector.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

// Comparisons with what an executor has left are cheap beside the visits of StartPlanner.
constexpr uint64_t comparisonsPerVisit = 8;

class ExpectedCapacity {
public:
    // Number of tasks of a step on an executor.
    using TasksOn = std::function<uint32_t(const StepKey&, uint32_t executor)>;

    // Counts what ending runs are expected to free within `horizonSeconds`. Gangs may claim `maxGangShare` of what the
    // executors that they may use have.
    ExpectedCapacity(std::span<const CandidateExecutor>, TasksOn, double horizonSeconds, double maxGangShare);

    // Whether anything is left for any step.
    bool isEmpty() const;

    // Whether an executor that the step may use has room for one of its tasks, or may have it soon.
    bool hasRoomFor(const ReadyStep&);

    // Claims capacity for this many tasks, as far as the step can use it.
    void claim(const ReadyStep&, int64_t tasks);

    // Free capacity, without what is being stopped, of the executors that the step may use. The same object for all
    // steps with the same constraints.
    const ResourceVector& freeFor(const ReadyStep& step) { return groupOf(step).free; }

    // The cost so far, in pairs of step and executor that StartPlanner examines.
    uint64_t visits() const { return m_comparisons / comparisonsPerVisit; }

private:
    // The executors that steps with the same constraints may use.
    struct Group {
        std::vector<size_t> executors;
        std::vector<bool> contains; // by executor
        std::vector<std::pair<double, size_t>> heap; // share left when it was pushed, and executor
        std::vector<ResourceVector> unplaceable; // needs that found no room
        size_t firstWithRest = 0; // in `executors`; the rest of earlier ones is claimed
        ResourceVector free;
        ResourceVector gangLimit;
        ResourceVector claimedByGangs;
    };
    struct Left {
        ResourceVector now; // free or being freed by stops
        ResourceVector soon; // expected to come free
    };

    Group& groupOf(const ReadyStep&);
    // Whether it is known that no executor of the group has room for a task.
    static bool isUnplaceable(const Group&, const ResourceVector& need);
    bool isGangLimitReached(const Group&) const;
    double shareLeft(size_t executor) const;
    // Brings the executor with the largest share left to the top of the heap.
    void settleTop(Group&);
    int64_t fitting(const ReadyStep&, size_t executor) const;
    // Both return the number of tasks left without room. The first is for steps that have no limit for one executor.
    int64_t claimNow(const ReadyStep&, Group&, int64_t tasks);
    int64_t claimEverywhere(const ReadyStep&, Group&, int64_t tasks);
    // Claims for tasks that find no room yet.
    void claimRest(const ReadyStep&, Group&, int64_t tasks);
    void take(const ReadyStep&, size_t executor, const ResourceVector& amount, bool isSoon);
    // What may become room for tasks that find none yet.
    ResourceVector restOf(size_t executor) const;
    bool hasRestFor(const ReadyStep&, Group&);

    std::span<const CandidateExecutor> m_candidates;
    TasksOn m_tasksOn;
    double m_maxGangShare;
    std::vector<Left> m_left; // by executor
    std::vector<ResourceVector> m_claimedByGangs; // by executor
    std::vector<bool> m_hasNoRest; // by executor: its rest is claimed
    ResourceVector m_totalLeft;
    std::deque<Group> m_groups; // references stay valid
    absl::flat_hash_map<std::string, size_t> m_groupByKey;
    uint64_t m_comparisons = 0; // of a need with what an executor has left
};

} // namespace teasel
