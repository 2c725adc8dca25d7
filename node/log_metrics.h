// Reports the size of a replicated log, and what it did to keep within its limits.
#pragma once

#include "consensus/replicated_log.h"
#include "node/process_context.h"

#include <cstdint>

namespace teasel {

class LogMetrics {
public:
    explicit LogMetrics(ProcessContext context)
        : m_context(context)
    {
    }

    void update(const ReplicatedLog&);

private:
    ProcessContext m_context;
    uint64_t m_reportedSnapshots = 0;
    uint64_t m_reportedSegments = 0;
};

} // namespace teasel
