// Keys of steps and tasks.
#pragma once

#include "jobs.pb.h"

#include <cstdint>
#include <string>

#include <fmt/format.h>

namespace teasel {

// A step of one occurrence of a job. Ordered by job, then occurrence, then step.
struct StepKey {
    uint64_t job = 0;
    uint32_t occurrence = 0;
    uint32_t step = 0;

    bool operator==(const StepKey&) const = default;
    bool operator<(const StepKey& other) const
    {
        if (job != other.job)
            return job < other.job;
        return occurrence != other.occurrence ? occurrence < other.occurrence : step < other.step;
    }
};

struct TaskKey {
    StepKey step;
    uint32_t index = 0;

    bool operator==(const TaskKey&) const = default;
    bool operator<(const TaskKey& other) const { return step == other.step ? index < other.index : step < other.step; }
};

// The text form of a job id: 16 hexadecimal digits.
inline std::string jobIdText(uint64_t id) { return fmt::format("{:016x}", id); }

inline std::string stepText(const StepKey& it) { return fmt::format("{:016x}.{}.{}", it.job, it.occurrence, it.step); }

inline std::string taskText(const TaskKey& it) { return fmt::format("{}.{}", stepText(it.step), it.index); }

inline TaskKey toKey(const schema::TaskRef& it) { return { { it.job(), it.occurrence(), it.step() }, it.index() }; }

inline void fillRef(const TaskKey& key, schema::TaskRef& out)
{
    out.set_job(key.step.job);
    out.set_occurrence(key.step.occurrence);
    out.set_step(key.step.step);
    out.set_index(key.index);
}

} // namespace teasel
