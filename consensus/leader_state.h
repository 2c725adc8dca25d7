// The state that a leader keeps about the other replicas: their replication progress and the time of the last contact.
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

class LeaderState {
public:
    LeaderState(const ReplicaOptions& options, const MemoryLog& log)
        : m_options(options)
        , m_log(log)
    {
    }

    // Starts a term as leader and resets the progress of all other replicas.
    void startTerm(uint64_t term, Instant now);

    // Adds and removes progress entries after a change of the voters or learners.
    void updateMembers(Instant now);

    void onAppendReply(std::string_view from, const schema::AppendReply&, Instant now);
    void onSnapshotReply(std::string_view from, const schema::SnapshotReply&, Instant now);

    // The highest log index that is durable on a quorum of the voters.
    uint64_t quorumMatchIndex(uint64_t ownDurableIndex) const;

    // The latest time at which a quorum of the voters still followed this leader: a quorum has answered messages sent
    // at or after it. The leader's lease is counted from here.
    Instant quorumLastContactAt(Instant now) const;

    // Like quorumLastContactAt, but the start of the term counts as a contact with every voter.
    Instant quorumLastContactOrStartAt(Instant now) const;

    // Returns true once after a replica reported a replaced disk: the caller then appends a barrier, which the replica
    // must reach before it may vote again.
    bool consumeBarrierRequest();
    void setReadmissionBarrierIndex(uint64_t index);

    // The last log index known to be durable on a replica; 0 if the replica is unknown.
    uint64_t matchIndexOf(std::string_view replica) const;
    // True for a replica that is unknown or whose replaced disk may not vote yet.
    bool isCatchingUp(std::string_view replica) const;

    // The voter, other than this one, with the highest durable index; empty if there is none.
    std::string mostCaughtUpVoter() const;

    // True if a quorum of these voters has records and was in contact within the last election timeout.
    bool isQuorumReachable(const schema::VoterSet&, Instant now) const;

    // True if a replica that was in contact within the last election timeout is being sent a snapshot.
    bool isSendingSnapshot(Instant now) const;

    // Appends the messages and snapshot chunks that are due to `out`.
    void collectMessages(uint64_t committed, Instant now, std::vector<ReplicaAction>& out);

private:
    enum class Mode : uint8_t {
        Probe = 0, // searches for the last index at which the two logs agree
        Replicate = 1,
        Snapshot = 2, // needs records that this log no longer holds
    };
    struct Progress {
        Mode mode = Mode::Probe;
        uint64_t matchIndex = 0; // last index durable on the replica
        uint64_t nextIndex = 1; // first index not sent yet
        std::deque<uint64_t> inFlightLastIndexes; // last index of each message with records
        std::deque<std::pair<uint64_t, Instant>> unanswered; // sequence and sending time of unanswered messages
        Instant lastContactAt = Instant::min(); // sending time of the latest message that was answered
        Instant lastSentAt {};
        bool isSendDue = true; // a probe or a chunk may be sent before the next heartbeat
        schema::SnapshotMeta snapshot;
        uint64_t snapshotOffset = 0;
        uint64_t catchingUpIncarnation = 0; // incarnation of a replaced disk that may not vote yet; 0: none
        uint64_t fenceSequence = 0; // replies to messages up to this sequence may come from the lost disk
        uint64_t readmissionBarrierIndex = 0; // barrier to reach before it may vote again; 0: not appended yet
    };

    bool acceptReply(Progress&, uint64_t sequence, uint64_t catchingUpIncarnation, Instant now);
    void recordContact(Progress&, uint64_t sequence);
    void collectMessagesFor(
        const std::string& id, Progress&, uint64_t committed, Instant now, std::vector<ReplicaAction>& out);
    void sendAppend(const std::string& id, Progress&, uint64_t committed, bool withRecords, Instant now,
        std::vector<ReplicaAction>& out);
    void sendChunk(const std::string& id, Progress&, Instant now, std::vector<ReplicaAction>& out);
    // Whether a further message with records is within the limits of what is not acknowledged.
    bool maySendRecords(const Progress&) const;
    uint64_t recordSend(Progress&, Instant now);
    Instant quorumLastContactFrom(Instant now, Instant earliest) const;
    bool countsTowardsQuorum(std::string_view voter) const;
    bool isReachable(std::string_view voter, Instant now) const;

    const ReplicaOptions& m_options;
    const MemoryLog& m_log;
    uint64_t m_term = 0;
    Instant m_termStartedAt {};
    uint64_t m_sequence = 0;
    bool m_isBarrierRequested = false;
    absl::btree_map<std::string, Progress, std::less<>> m_progress;
};

} // namespace teasel
