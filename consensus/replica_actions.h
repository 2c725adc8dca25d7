// What a replica asks its host to do.
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

// Make durable, in this order, what is set; then call Replica::onPersisted with
// the sequence. At most one is outstanding, so what comes meanwhile is grouped.
struct Persist {
    uint64_t sequence = 0;
    std::optional<schema::HardState> hard;
    std::shared_ptr<const SnapshotImage> snapshot; // replaces the whole log
    std::vector<schema::LogRecord> records; // replace those from the same index on
};

// A committed record that is durable here, in order of the log.
struct Apply {
    schema::LogRecord record;
};

// The state becomes that of the snapshot, which is durable here.
struct RestoreSnapshot {
    std::shared_ptr<const SnapshotImage> image;
};

// Send the bytes from `offset` of the snapshot with `meta`, at most `maxBytes`.
// The host adds data and the mark of the last chunk.
struct SendSnapshotChunk {
    std::string to;
    uint64_t term = 0;
    schema::SnapshotMeta meta;
    uint64_t offset = 0;
    uint64_t sequence = 0;
    size_t maxBytes = 0;
};

// Records before `firstIndex` are no longer needed.
struct Compact {
    uint64_t firstIndex = 0;
};

struct BecameLeader {
    uint64_t term = 0;
};

// The leader's barrier has been applied: all that earlier leaders committed is in the state.
struct StartedServing {
    uint64_t term = 0;
};

struct SteppedDown {
    uint64_t term = 0;
};

using ReplicaAction = std::variant<SendMessage, Persist, Apply, RestoreSnapshot, SendSnapshotChunk, Compact,
    BecameLeader, StartedServing, SteppedDown>;

} // namespace teasel
