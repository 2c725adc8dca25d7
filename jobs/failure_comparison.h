// Tells a faulty executor from faulty tasks by comparing the failed runs of a step between executors.
#pragma once

#include "core/clock.h"
#include "jobs/task_key.h"

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace teasel {

class FailureComparison {
public:
    using Executors = absl::btree_set<uint32_t>; // by number

    // Failures are forgotten when no further one has been noticed for this time, several quarantines long.
    static constexpr Milliseconds memory { 30'000 };

    // `isDone`: whether a run of the task has succeeded. `soundTasks`: how many tasks of the step have succeeded or are
    // in progress on executors other than the given ones.
    FailureComparison(
        std::function<bool(const TaskKey&)> isDone, std::function<size_t(const StepKey&, const Executors&)> soundTasks);

    void recordFailure(uint32_t executor, const TaskKey&, Instant now);
    void recordSuccess(uint32_t executor) { m_failuresSinceSuccess.erase(executor); }
    void forgetExecutor(uint32_t executor) { m_failuresSinceSuccess.erase(executor); }
    void clear();

    // Whether a run has failed there since the last one that succeeded.
    bool hasFailed(uint32_t executor) const { return m_failuresSinceSuccess.contains(executor); }

    // Failures there since the last success that are not the task's own fault. Consecutive ones of a job count once.
    size_t failuresInRow(uint32_t executor, Instant now) const;

    // A task is at fault if it has failed on several executors, and so are the tasks of a step that has failed on
    // several executors, and on more than it does well on.
    bool isTaskAtFault(const TaskKey&) const;

    // The executors on which tasks of the step have failed.
    Executors executorsOf(const StepKey&) const;

private:
    struct StepFailures {
        absl::btree_map<uint32_t, Executors> byTask; // by index of the task
        Executors executors;
        Instant lastAt {};
    };
    struct Failure {
        TaskKey task;
        Instant at {};
    };

    void forgetOld(Instant now);

    std::function<bool(const TaskKey&)> m_isDone;
    std::function<size_t(const StepKey&, const Executors&)> m_soundTasks;
    absl::btree_map<StepKey, StepFailures> m_steps;
    absl::btree_map<uint32_t, std::deque<Failure>> m_failuresSinceSuccess; // by executor, oldest first
    Instant m_forgetAt {};
};

} // namespace teasel
