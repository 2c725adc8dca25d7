// One replica of the log: election of a leader, replication and commitment of records (Raft).
#pragma once

#include "consensus/leader_state.h"
#include "consensus/memory_log.h"
#include "consensus/replica_actions.h"
#include "consensus/replica_options.h"
#include "consensus/snapshot_receiver.h"
#include "core/clock.h"
#include "core/random.h"
#include "core/result.h"

#include <absl/container/flat_hash_set.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

enum class ReplicaRole : uint8_t {
    Follower = 0,
    PreCandidate = 1,
    Candidate = 2,
    Leader = 3,
};

// One membership change. A replica is added as a learner and promoted to a voter once it has caught up.
struct VoterChange {
    enum class Kind : uint8_t {
        AddLearner = 0,
        Promote = 1,
        Remove = 2,
    };
    Kind kind = Kind::AddLearner;
    std::string replica;
};

// A state machine without I/O, clock or thread. After each call the host calls takeActions() and executes the actions
// in order.
class Replica {
public:
    Replica(ReplicaOptions, RecoveredLog, Instant now);
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    // Must be called several times per heartbeat interval.
    void onTick(Instant now);
    void onMessage(std::string_view from, const schema::ConsensusMessage&, Instant now);
    void onPersisted(uint64_t sequence, Instant now);

    // Reports that a write failed: from now on this replica neither acknowledges records, votes nor leads.
    void onStorageFailed(Instant now);

    // Reports that a snapshot of the applied state is durable on this replica.
    void onSnapshotSaved(const schema::SnapshotMeta&);

    // Appends a command and returns its index; nothing when this replica does not lead, is transferring its leadership,
    // has too many uncommitted records or too many bytes that are not applied, or the command is too large.
    std::optional<uint64_t> propose(std::string command, Instant now);

    // Adds, promotes or removes one replica and returns the index of the record. Fails with NoLeader, or with
    // RevisionConflict while another change is not committed, the replica has not caught up, or too few of the new
    // voters are reachable.
    Result<uint64_t> changeVoters(const VoterChange&, Instant now);

    // Stops accepting proposals, waits until another voter has the whole log, and makes that voter campaign.
    void transferLeadership(Instant now);

    ReplicaRole role() const { return m_role; }
    bool isLeader() const { return m_role == ReplicaRole::Leader; }

    // True if this replica leads and has applied the barrier of its term.
    bool isServing() const { return isLeader() && !m_transferDeadline && m_appliedIndex >= m_barrierIndex; }

    // True if no other replica can have been elected by now, so that a read of the state is not stale.
    bool holdsLease(Instant now) const;

    // False on a replaced disk that has not caught up yet.
    bool mayVote() const { return m_hardState.may_vote(); }
    // Last contact with another replica that led; at first the start of this process.
    Instant lastLeaderContactAt() const { return m_lastLeaderContactAt; }

    // True if a reachable replica is being sent a snapshot.
    bool isSendingSnapshot() const { return isLeader() && m_leaderState.isSendingSnapshot(m_now); }

    bool hasFailed() const { return m_hasFailed; }

    // The leader of the current term; empty if unknown.
    std::string_view leader() const { return m_leader; }
    uint64_t term() const { return m_hardState.term(); }
    uint64_t committedIndex() const { return m_committedIndex; }
    uint64_t appliedIndex() const { return m_appliedIndex; }
    uint64_t durableIndex() const { return m_durableIndex; }
    const MemoryLog& log() const { return m_log; }
    const schema::VoterSet& voters() const { return m_log.voters(); }

    // Returns the actions that the host must execute now, in order, and clears them. The host calls it until it returns
    // none: committed records come in portions of maxApplyBytes.
    std::vector<ReplicaAction> takeActions();

private:
    // A message that may be sent once the Persist with this sequence is done.
    struct DeferredMessage {
        uint64_t sequence = 0;
        SendMessage message;
    };
    struct PersistInFlight {
        uint64_t sequence = 0;
        uint64_t lastIndex = 0;
        bool hasHardState = false;
        std::shared_ptr<const SnapshotImage> snapshot;
    };

    // Election.
    void startPreVote();
    void startCampaign(bool isTransfer);
    void sendVoteRequests(bool isPreVote, bool isTransfer);
    void onVoteRequest(std::string_view from, uint64_t term, const schema::VoteRequest&);
    void onPreVoteRequest(std::string_view from, uint64_t term, const schema::VoteRequest&);
    void onVoteReply(std::string_view from, uint64_t term, const schema::VoteReply&);
    void onCampaignNow(std::string_view from, uint64_t term);
    void countVotes();
    bool isUpToDate(const schema::VoteRequest&) const;
    bool hasRecentLeaderContact() const;
    bool mayCampaign() const;
    bool isVoter() const;
    void becomeLeader();
    void becomeFollower(uint64_t term, std::string_view leader);
    void adoptTerm(uint64_t term);
    void resetElectionDeadline();
    void detectLostDisk(uint64_t remoteCommittedIndex);

    // Following.
    void onAppendRequest(std::string_view from, uint64_t term, const schema::AppendRequest&);
    void onSnapshotChunk(std::string_view from, uint64_t term, const schema::SnapshotChunk&);
    bool followLeader(std::string_view from, uint64_t term);
    bool matchesPrevious(const schema::AppendRequest&) const;
    uint64_t mismatchHintIndex(const schema::AppendRequest&) const;
    void appendFromLeader(const schema::LogRecord&);
    void handleReadmission(std::string_view from, const schema::AppendRequest&);
    void installSnapshot(SnapshotImage);
    void replyToAppend(std::string_view to, const schema::AppendRequest&, uint64_t matchedIndex);
    void replyToChunk(std::string_view to, const schema::SnapshotChunk&, uint64_t nextOffset, bool isInstalled);

    // Leading.
    void onAppendReply(std::string_view from, uint64_t term, const schema::AppendReply&);
    void onSnapshotReply(std::string_view from, uint64_t term, const schema::SnapshotReply&);
    uint64_t appendRecord(schema::LogRecord);
    uint64_t appendBarrier();
    uint64_t appendVoters(schema::VoterSet);
    Result<schema::VoterSet> votersAfter(const VoterChange&) const;
    void advanceLeader();
    void advanceTransfer();
    void stepDownIfRemoved();

    // Shared.
    void afterInput();
    void commitUpTo(uint64_t index);
    void applyCommitted();
    void send(std::string_view to, schema::ConsensusMessage);
    void sendWhenDurable(std::string_view to, schema::ConsensusMessage);
    void sendDeferred(uint64_t sequence);
    bool isDirty() const;
    bool isHardStateDurable() const;
    bool isRestoring() const;
    void buildPersist();
    void checkInvariants() const;

    ReplicaOptions m_options;
    Random m_random;
    Instant m_now; // time of the last input
    MemoryLog m_log;
    schema::HardState m_hardState;
    ReplicaRole m_role = ReplicaRole::Follower;
    std::string m_leader;
    Instant m_lastLeaderContactAt; // the start of the process counts as one, because it forgets earlier contacts
    Instant m_electionDeadline;
    absl::flat_hash_set<std::string> m_votes;
    LeaderState m_leaderState;
    SnapshotReceiver m_snapshotReceiver;
    std::optional<Instant> m_transferDeadline; // set while a transfer is under way

    uint64_t m_committedIndex = 0;
    uint64_t m_appliedIndex = 0;
    uint64_t m_untakenApplyBytes = 0; // of the records in m_actions
    uint64_t m_durableIndex = 0;
    uint64_t m_barrierIndex = 0;
    bool m_hasFailed = false;

    bool m_isHardStateDirty = false;
    uint64_t m_firstDirtyIndex; // first index not passed to the disk yet
    std::shared_ptr<const SnapshotImage> m_dirtySnapshot;
    std::optional<PersistInFlight> m_persistInFlight;
    uint64_t m_persistSequence = 0;
    std::vector<DeferredMessage> m_deferredMessages;
    std::vector<ReplicaAction> m_actions;
};

} // namespace teasel
