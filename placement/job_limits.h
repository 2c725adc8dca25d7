// Limits of jobs.
#pragma once

#include <cstdint>

namespace teasel {

inline constexpr uint32_t maxTasksPerJob = 1'000'000;
inline constexpr uint32_t maxTaskIndices = 2 * maxTasksPerJob; // a service uses two indices for each task

} // namespace teasel
