// Settings of one replica.
#pragma once

#include "consensus.pb.h"
#include "core/clock.h"

#include <cstdint>
#include <string>

namespace teasel {

constexpr size_t defaultMaxCommandBytes = 7 << 20;

// Bytes of a message beyond its records.
constexpr size_t messageOverheadBytes = 4 << 10;

struct ReplicaOptions {
    std::string id;
    schema::VoterSet bootstrap; // the voters before the first record; must be the same on all replicas
    Duration electionTimeout = std::chrono::milliseconds(500); // each timeout is drawn at random from 1x to 2x this
    Duration heartbeat = std::chrono::milliseconds(100);
    uint64_t seed = 0; // must differ each time the process starts
    size_t maxBatchBytes = 256 << 10; // size of the records in one message
    // Of a command; larger ones are rejected, because no message could hold them. The host's transport must take
    // messages of this size and messageOverheadBytes, and queue maxBytesInFlight of them.
    size_t maxCommandBytes = defaultMaxCommandBytes;
    size_t maxBytesInFlight = 8 << 20; // size of the records not acknowledged yet, for each replica
    size_t maxMessagesInFlight = 8; // messages with records not acknowledged yet, for each replica
    size_t snapshotChunkBytes = 256 << 10;
    uint64_t maxUncommittedRecords = 100'000; // proposals beyond this are rejected
    // Bytes of the records that are not applied yet; proposals beyond this are rejected.
    uint64_t maxUnappliedBytes = 16 << 20;
    // Records kept before the snapshot for slow replicas: at most this many, and at most this many bytes.
    uint64_t retainedRecords = 10'000;
    uint64_t retainedBytes = 8 << 20;
    // Bytes of the records that one takeActions() returns for execution, or a single larger record.
    uint64_t maxApplyBytes = 1 << 20;
    bool isReplacement = false; // an empty disk replaces a lost one: no vote before it has caught up
};

// The lease of a leader as a fraction of the election timeout; the rest allows for differences in clock rate.
constexpr double leaseFraction = 0.9;

} // namespace teasel
