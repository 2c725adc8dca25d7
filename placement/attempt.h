// Which attempt at a task is meant.
#pragma once

#include "core/ids.h"

#include <compare>
#include <cstdint>
#include <string>

namespace teasel {

// The number of an attempt at one task. Attempts of a later leader come after
// all of an earlier one, though the later leader may not have seen them.
struct Attempt {
    Epoch epoch = 0;
    uint32_t number = 0;
    auto operator<=>(const Attempt&) const = default; // NOLINT(modernize-use-nullptr)
};

// An attempt at a task of a job, as workers and leaders name it to one another.
struct AttemptKey {
    std::string job;
    uint32_t index = 0;
    Attempt attempt;
    auto operator<=>(const AttemptKey&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace teasel
