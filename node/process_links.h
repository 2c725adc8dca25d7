// What every daemon's node is given by its main program. All of it outlives the node.
#pragma once

#include "core/clock.h"
#include "observability/log.h"
#include "observability/metrics.h"

#include <cstdint>

namespace teasel {

struct ProcessLinks {
    const Clock& clock;
    const Log& log;
    Metrics& metrics;
    uint64_t incarnation = 0; // rises with every start of the process
    uint64_t seed = 0;
};

} // namespace teasel
