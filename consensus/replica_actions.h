// The actions that a replica requests from its host.
#pragma once

#include "consensus.pb.h"
#include "storage/recovered_log.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teasel {

struct SendMessage {
    std::string to;
    schema::ConsensusMessage message;
};

// Make the fields that are set durable in this order, then call Replica::onPersisted with the sequence. At most one
// Persist is outstanding; later changes are batched into the next one.
struct Persist {
    uint64_t sequence = 0;
    std::optional<schema::HardState> hardState;
    std::shared_ptr<const SnapshotImage> snapshot; // replaces the whole log
    std::vector<schema::LogRecord> records; // replace the log from the index of the first one on
};

// Apply a committed, locally durable record. Records come in log order.
struct Apply {
    schema::LogRecord record;
};

// Replace the state by that of the snapshot, which is durable locally.
struct RestoreSnapshot {
    std::shared_ptr<const SnapshotImage> image;
};

// Send at most `maxBytes` of the snapshot with `meta`, starting at `offset`. The host fills in the data and marks the
// last chunk.
struct SendSnapshotChunk {
    std::string to;
    uint64_t term = 0;
    schema::SnapshotMeta meta;
    uint64_t offset = 0;
    uint64_t sequence = 0;
    size_t maxBytes = 0;
};

// Remove the records before `firstIndex`, which are no longer needed.
struct Compact {
    uint64_t firstIndex = 0;
};

struct BecameLeader {
    uint64_t term = 0;
};

// The leader's barrier has been applied: the state includes everything that previous leaders committed.
struct StartedServing {
    uint64_t term = 0;
};

struct SteppedDown {
    uint64_t term = 0;
};

using ReplicaAction = std::variant<SendMessage, Persist, Apply, RestoreSnapshot, SendSnapshotChunk, Compact,
    BecameLeader, StartedServing, SteppedDown>;

} // namespace teasel
