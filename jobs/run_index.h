// Finds the executors that hold runs of a step or a job, without visiting all executors.
#pragma once

#include "jobs/task_key.h"

#include <absl/container/btree_set.h>

#include <cstdint>
#include <utility>
#include <vector>

namespace teasel {

class RunIndex {
public:
    struct Location {
        TaskKey task;
        uint32_t executor = 0;
    };

    void add(const TaskKey& task, uint32_t executor) { m_runs.emplace(task, executor); }
    void remove(const TaskKey& task, uint32_t executor) { m_runs.erase({ task, executor }); }
    void clear() { m_runs.clear(); }

    std::vector<Location> ofStep(const StepKey& step) const
    {
        return collect({ step, 0 }, [&](const TaskKey& it) { return it.step == step; });
    }

    std::vector<Location> ofJob(uint64_t job) const
    {
        return collect({ { job, 0, 0 }, 0 }, [&](const TaskKey& it) { return it.step.job == job; });
    }

private:
    template <class Belongs> std::vector<Location> collect(const TaskKey& first, Belongs belongs) const
    {
        std::vector<Location> out;
        for (auto it = m_runs.lower_bound({ first, 0 }); it != m_runs.end() && belongs(it->first); ++it)
            out.push_back({ it->first, it->second });
        return out;
    }

    absl::btree_set<std::pair<TaskKey, uint32_t>> m_runs;
};

} // namespace teasel
