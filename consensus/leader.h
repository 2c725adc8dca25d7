// What a leader knows of the other replicas: how far each has the log, and when it last heard of each.
#pragma once

#include "consensus/memory_log.h"
#include "consensus/replica_actions.h"
#include "consensus/replica_options.h"
#include "core/clock.h"

#include <absl/container/btree_map.h>

#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class Leader {
public:
    Leader(const ReplicaOptions& options, const MemoryLog& log)
        : m_options(options)
        , m_log(log)
    {
    }

    // Begins to lead in a term with nothing known of the others.
    void begin(uint64_t term, Instant now);

    // Follows a change of the voters.
    void updateMembers(Instant now);

    void onAppendReply(std::string_view from, const schema::AppendReply&, Instant now);
    void onSnapshotReply(std::string_view from, const schema::SnapshotReply&, Instant now);

    // The highest index that a quorum has on disk.
    uint64_t quorumMatch(uint64_t ownDurable) const;

    // The latest time at which a quorum had certainly not yet heard of another leader.
    Instant quorumContact(Instant now) const;

    // Like quorumContact, but the beginning counts as a contact.
    Instant quorumContactSinceBeginning(Instant now) const;

    // True once when a replaced disk needs a fresh barrier to be readmitted against.
    bool takeNeedsBarrier();
    void setReadmissionBarrier(uint64_t index);

    // The index up to which a replica has the log on disk and how it counts.
    uint64_t matchOf(std::string_view replica) const;
    bool isCatchingUp(std::string_view replica) const;

    // The voter other than this one that has the most; empty if there is none.
    std::string mostCaughtUpVoter() const;

    // A quorum of these voters has records and was heard of within an election timeout.
    bool reachesQuorumOf(const schema::VoterSet&, Instant now) const;

    bool isSendingSnapshot(Instant now) const;

    // Messages and chunks that are due.
    void collect(uint64_t committed, Instant now, std::vector<ReplicaAction>& out);

private:
    enum class Mode : uint8_t {
        Probe = 0, // looks for the place from which on the logs differ
        Replicate = 1,
        Snapshot = 2,
    };
    struct Progress {
        Mode mode = Mode::Probe;
        uint64_t match = 0; // on the replica's disk
        uint64_t next = 1; // to be sent
        std::deque<uint64_t> inFlight; // last index of each message with records
        std::deque<std::pair<uint64_t, Instant>> sent; // sequence and time of messages not answered yet
        Instant contact = Instant::min(); // sending time of the last message that was answered
        Instant lastSent {};
        bool isDue = true; // a probe or a chunk may go out before the next heartbeat
        schema::SnapshotMeta snapshot;
        uint64_t snapshotOffset = 0;
        uint64_t catchingUp = 0; // incarnation of a replaced disk that may not vote yet
        uint64_t fence = 0; // replies to messages up to this one may be of a lost disk
        uint64_t readmitIndex = 0; // 0: its barrier is not appended yet
    };

    bool acceptReply(Progress&, uint64_t sequence, uint64_t catchingUp, Instant now);
    void noteContact(Progress&, uint64_t sequence);
    void collectFor(const std::string& id, Progress&, uint64_t committed, Instant now, std::vector<ReplicaAction>& out);
    void sendAppend(const std::string& id, Progress&, uint64_t committed, bool withRecords, Instant now,
        std::vector<ReplicaAction>& out);
    void sendChunk(const std::string& id, Progress&, Instant now, std::vector<ReplicaAction>& out);
    uint64_t noteSent(Progress&, Instant now);
    Instant quorumContactFrom(Instant now, Instant atLeast) const;
    bool counts(std::string_view voter) const;
    bool isWithinReach(std::string_view voter, Instant now) const;

    const ReplicaOptions& m_options;
    const MemoryLog& m_log;
    uint64_t m_term = 0;
    Instant m_began {};
    uint64_t m_sequence = 0;
    bool m_needsBarrier = false;
    absl::btree_map<std::string, Progress, std::less<>> m_progress;
};

} // namespace teasel
