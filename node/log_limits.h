// The limits in bytes of a replicated log, derived from one setting.
#pragma once

#include "consensus/replicated_log.h"

#include <cstdint>

namespace teasel {

// The share of snapshotEveryBytes that is kept before a snapshot, for replicas that were away for seconds.
constexpr uint64_t retainedBytesDivisor = 2;

inline void setByteLimits(ReplicatedLogOptions& options, uint64_t snapshotEveryBytes)
{
    options.snapshotEveryBytes = snapshotEveryBytes;
    options.replica.retainedBytes = snapshotEveryBytes / retainedBytesDivisor;
}

} // namespace teasel
