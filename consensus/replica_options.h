// Settings of one replica.
#pragma once

#include "consensus.pb.h"
#include "core/clock.h"

#include <cstdint>
#include <string>

namespace teasel {

struct ReplicaOptions {
    std::string id;
    schema::VoterSet bootstrap; // the voters before the first record; the same at all of them
    Duration electionTimeout = std::chrono::milliseconds(500); // a random one of 1x to 2x is drawn each time
    Duration heartbeat = std::chrono::milliseconds(100);
    uint64_t seed = 0; // must differ in each life of the process
    size_t maxBatchBytes = 256 << 10; // of records in one message
    size_t maxMessagesInFlight = 8; // with records, to one replica
    size_t snapshotChunkBytes = 256 << 10;
    uint64_t maxUncommittedRecords = 100'000; // proposals beyond are turned away
    uint64_t keepRecords = 10'000; // behind the snapshot, for slow replicas
    bool replacement = false; // an empty disk replaces a lost one and does not vote before it has caught up
};

// The part of an election timeout that a leader counts on: what is left covers unequal clock rates.
constexpr double leaseFraction = 0.9;

} // namespace teasel
