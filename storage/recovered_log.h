// The state that a replica recovers from its disk when it starts.
#pragma once

#include "consensus.pb.h"

#include <string>
#include <vector>

namespace teasel {

// The state of the state machine after the record at `meta.index()`.
struct SnapshotImage {
    schema::SnapshotMeta meta;
    std::string data;
};

struct RecoveredLog {
    schema::HardState hardState;
    schema::SnapshotMeta snapshot; // index 0: none
    std::vector<schema::LogRecord> records; // contiguous
    bool isEmpty = true; // no hard state was ever written to this disk
};

} // namespace teasel
