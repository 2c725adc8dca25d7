// Identifiers of task attempts.
#pragma once

#include "core/ids.h"

#include <compare>
#include <cstdint>
#include <string>

namespace teasel {

// Orders the attempts at one task. The epoch compares first, so every attempt of
// a later leader sorts after all attempts of earlier leaders, including those
// that the later leader has not seen.
struct Attempt {
    Epoch epoch = 0;
    uint32_t number = 0;
    auto operator<=>(const Attempt&) const = default; // NOLINT(modernize-use-nullptr)
};

// Identifies an attempt at a task in messages between workers and leaders.
struct AttemptKey {
    std::string job;
    uint32_t index = 0;
    Attempt attempt;
    auto operator<=>(const AttemptKey&) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace teasel
