// Which log lines are kept when a process writes more than its log accepts.
#pragma once

#include <cstdint>

namespace teasel {

enum class LinePriority : uint8_t {
    Detail = 0, // one line for each task or call; dropped first
    Essential = 1, // changes of state, summaries, warnings and errors; part of the log is reserved for them
};

} // namespace teasel
