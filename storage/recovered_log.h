// What a replica finds on its disk when it starts.
#pragma once

#include "consensus.pb.h"

#include <string>
#include <vector>

namespace teasel {

// A state as of one index of the log.
struct SnapshotImage {
    schema::SnapshotMeta meta;
    std::string data;
};

struct RecoveredLog {
    schema::HardState hard;
    schema::SnapshotMeta snapshot; // index 0: none
    std::vector<schema::LogRecord> records; // contiguous
    bool isEmpty = true; // nothing was ever written to this disk
};

} // namespace teasel
