// The clock, log, metrics, incarnation and seed that a daemon passes to its node. The references outlive the node.
#pragma once

#include "core/clock.h"
#include "observability/log.h"
#include "observability/metrics.h"

#include <cstdint>

namespace teasel {

struct ProcessContext {
    const Clock& clock;
    const Log& log;
    Metrics& metrics;
    uint64_t incarnation = 0; // increases with every start of the process
    uint64_t seed = 0;
};

} // namespace teasel
