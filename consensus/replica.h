// One replica of the log: who leads, what is in the log, what is committed.
#pragma once

#include "consensus/leader.h"
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

// One change of the voters. A replica is added as a learner and voted in once it has caught up.
struct VoterChange {
    enum class Kind : uint8_t {
        AddLearner = 0,
        Promote = 1,
        Remove = 2,
    };
    Kind kind = Kind::AddLearner;
    std::string replica;
};

// A state machine without I/O, clock or thread. After each call the host takes
// the actions and carries them out in order.
class Replica {
public:
    Replica(ReplicaOptions, RecoveredLog, Instant now);
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    // To be called several times in each heartbeat interval.
    void onTick(Instant now);
    void onMessage(std::string_view from, const schema::ConsensusMessage&, Instant now);
    void onPersisted(uint64_t sequence, Instant now);

    // A write failed: from now on this replica neither acknowledges, votes nor leads.
    void onStorageFailed(Instant now);

    // A snapshot of the applied state is durable here.
    void onSnapshotSaved(const schema::SnapshotMeta&);

    // Appends a command. Gives its index; nothing when this replica does not
    // lead, hands over, or has too much uncommitted.
    std::optional<uint64_t> propose(std::string command, Instant now);

    // Changes the voters by one. Fails with NoLeader, or with RevisionConflict
    // while another change is under way or the replica has not caught up.
    Result<uint64_t> changeVoters(const VoterChange&, Instant now);

    // Stops taking proposals, waits until another voter has everything, and makes it campaign.
    void transferLeadership(Instant now);

    ReplicaRole role() const { return m_role; }
    bool isLeader() const { return m_role == ReplicaRole::Leader; }

    // Leads, and the barrier of its term has been applied.
    bool isServing() const { return isLeader() && !m_transfer && m_applied >= m_barrierIndex; }

    // No other replica can have been elected by now, so a read of the state is not stale.
    bool holdsLease(Instant now) const;

    // False on a replaced disk that has not caught up yet.
    bool mayVote() const { return m_hard.may_vote(); }

    // A replica that is reachable is being sent a snapshot.
    bool isSendingSnapshot() const { return isLeader() && m_leading.isSendingSnapshot(m_now); }

    bool hasFailed() const { return m_hasFailed; }

    // The leader as far as it is known; empty if not.
    std::string_view leader() const { return m_leader; }
    uint64_t term() const { return m_hard.term(); }
    uint64_t committedIndex() const { return m_committed; }
    uint64_t appliedIndex() const { return m_applied; }
    uint64_t durableIndex() const { return m_durable; }
    const MemoryLog& log() const { return m_log; }
    const schema::VoterSet& voters() const { return m_log.voters(); }

    // What the host must do now, in order. Emptied by the call.
    std::vector<ReplicaAction> takeActions();

private:
    // A message that may leave once a Persist is done.
    struct HeldMessage {
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
    bool heardLeaderRecently() const;
    bool mayCampaign() const;
    bool isVoter() const;
    void becomeLeader();
    void becomeFollower(uint64_t term, std::string_view leader);
    void adoptTerm(uint64_t term);
    void resetElectionDeadline();
    void noteCommittedElsewhere(uint64_t committed);

    // Following.
    void onAppendRequest(std::string_view from, uint64_t term, const schema::AppendRequest&);
    void onSnapshotChunk(std::string_view from, uint64_t term, const schema::SnapshotChunk&);
    bool followLeader(std::string_view from, uint64_t term);
    bool matchesPrevious(const schema::AppendRequest&) const;
    uint64_t mismatchHint(const schema::AppendRequest&) const;
    void takeRecord(const schema::LogRecord&);
    void takeReadmission(std::string_view from, const schema::AppendRequest&);
    void installSnapshot(SnapshotImage);
    void replyToAppend(std::string_view to, const schema::AppendRequest&, uint64_t matched);
    void replyToChunk(std::string_view to, const schema::SnapshotChunk&, uint64_t nextOffset, bool isInstalled);

    // Leading.
    void onAppendReply(std::string_view from, uint64_t term, const schema::AppendReply&);
    void onSnapshotReply(std::string_view from, uint64_t term, const schema::SnapshotReply&);
    uint64_t appendRecord(schema::LogRecord);
    uint64_t appendBarrier();
    Result<schema::VoterSet> changedVoters(const VoterChange&) const;
    void advanceLeader();
    void advanceTransfer();
    void leaveIfRemoved();

    // Shared.
    void afterInput();
    void commitUpTo(uint64_t index);
    void applyCommitted();
    void send(std::string_view to, schema::ConsensusMessage);
    void sendWhenDurable(std::string_view to, schema::ConsensusMessage);
    void releaseHeld(uint64_t sequence);
    bool isDirty() const;
    bool isHardStateDurable() const;
    bool isRestoring() const;
    void buildPersist();
    void checkInvariants() const;

    ReplicaOptions m_options;
    Random m_random;
    Instant m_now; // of the last input
    MemoryLog m_log;
    schema::HardState m_hard;
    ReplicaRole m_role = ReplicaRole::Follower;
    std::string m_leader;
    Instant m_leaderContact; // a start counts as one: what was promised before is forgotten
    Instant m_electionDeadline;
    absl::flat_hash_set<std::string> m_votes;
    Leader m_leading;
    SnapshotReceiver m_receiver;
    std::optional<Instant> m_transfer; // until when a handover may take

    uint64_t m_committed = 0;
    uint64_t m_applied = 0;
    uint64_t m_durable = 0;
    uint64_t m_barrierIndex = 0;
    bool m_hasFailed = false;

    bool m_isHardDirty = false;
    uint64_t m_dirtyFrom; // first index not handed to the disk
    std::shared_ptr<const SnapshotImage> m_dirtySnapshot;
    std::optional<PersistInFlight> m_inFlight;
    uint64_t m_persistSequence = 0;
    std::vector<HeldMessage> m_held;
    std::vector<ReplicaAction> m_actions;
};

} // namespace teasel
