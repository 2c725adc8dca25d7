// Replica: replication, as a follower and as the leader.
#include "consensus/replica.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace teasel {

// ---- Following -----------------------------------------------------------

bool Replica::followLeader(std::string_view from, uint64_t term)
{
    if (term < m_hardState.term())
        return false;
    const bool isLeaderKnown = term == m_hardState.term() && !m_leader.empty();
    checkInvariant(!isLeaderKnown || m_leader == from, "oneLeaderPerTerm",
        [&] { return fmt::format("replica {} term {} leaders {} and {}", m_options.id, term, m_leader, from); });
    if (!isLeaderKnown || m_role != ReplicaRole::Follower)
        becomeFollower(term, from);
    m_lastLeaderContactAt = m_now;
    resetElectionDeadline();
    return true;
}

bool Replica::matchesPrevious(const schema::AppendRequest& request) const
{
    const auto term = m_log.termAt(request.previous_index());
    if (request.previous_index() > m_committedIndex)
        return term && *term == request.previous_term();
    checkInvariant(!term || *term == request.previous_term(), "committedRecordsAgree", [&] {
        return fmt::format("replica {} index {} term {} leader's term {}", m_options.id, request.previous_index(),
            *term, request.previous_term());
    });
    return true;
}

uint64_t Replica::mismatchHintIndex(const schema::AppendRequest& request) const
{
    if (request.previous_index() > m_log.lastIndex())
        return m_log.lastIndex();
    // Skips all records of the conflicting term at once.
    uint64_t index = request.previous_index();
    const auto term = m_log.termAt(index);
    while (index > m_committedIndex && m_log.termAt(index) == term)
        --index;
    return index;
}

void Replica::appendFromLeader(const schema::LogRecord& record)
{
    if (record.index() <= m_committedIndex || m_log.termAt(record.index()) == record.term())
        return;
    if (record.index() <= m_log.lastIndex()) {
        m_log.truncateFrom(record.index());
        m_durableIndex = std::min(m_durableIndex, record.index() - 1);
    }
    m_firstDirtyIndex = std::min(m_firstDirtyIndex, record.index());
    m_log.append(record);
}

void Replica::handleReadmission(std::string_view from, const schema::AppendRequest& request)
{
    if (m_hardState.may_vote() || request.readmitted_incarnation() == 0
        || request.readmitted_incarnation() != m_hardState.incarnation())
        return;
    m_hardState.set_may_vote(true);
    m_hardState.set_incarnation(0);
    // The lost disk may have recorded a vote in this term: recording one for the leader rules out a second vote.
    m_hardState.set_voted_for(std::string(from));
    m_isHardStateDirty = true;
}

void Replica::onAppendRequest(std::string_view from, uint64_t term, const schema::AppendRequest& request)
{
    schema::ConsensusMessage message;
    if (!followLeader(from, term)) {
        message.set_term(m_hardState.term());
        message.mutable_append_reply()->set_sequence(request.sequence());
        sendWhenDurable(from, std::move(message));
        return;
    }
    detectLostDisk(request.committed_index());
    handleReadmission(from, request);
    if (!matchesPrevious(request)) {
        message.set_term(term);
        auto& reply = *message.mutable_append_reply();
        reply.set_hint_index(mismatchHintIndex(request));
        reply.set_sequence(request.sequence());
        reply.set_catching_up_incarnation(m_hardState.incarnation());
        sendWhenDurable(from, std::move(message));
        return;
    }
    for (const auto& record : request.records())
        appendFromLeader(record);
    const uint64_t matchedIndex = request.previous_index() + static_cast<uint64_t>(request.records_size());
    commitUpTo(std::min(request.committed_index(), matchedIndex));
    replyToAppend(from, request, matchedIndex);
}

void Replica::replyToAppend(std::string_view to, const schema::AppendRequest& request, uint64_t matchedIndex)
{
    const bool waitsForRecords = request.records_size() > 0 && matchedIndex > m_durableIndex;
    schema::ConsensusMessage message;
    message.set_term(m_hardState.term());
    auto& reply = *message.mutable_append_reply();
    reply.set_success(true);
    reply.set_match_index(waitsForRecords ? matchedIndex : std::min(matchedIndex, m_durableIndex));
    reply.set_sequence(request.sequence());
    reply.set_catching_up_incarnation(m_hardState.incarnation());
    if (waitsForRecords || !isHardStateDurable())
        sendWhenDurable(to, std::move(message));
    else
        send(to, std::move(message));
}

void Replica::onSnapshotChunk(std::string_view from, uint64_t term, const schema::SnapshotChunk& chunk)
{
    if (!followLeader(from, term)) {
        schema::ConsensusMessage message;
        message.set_term(m_hardState.term());
        message.mutable_append_reply()->set_sequence(chunk.sequence());
        sendWhenDurable(from, std::move(message));
        return;
    }
    detectLostDisk(chunk.meta().index());
    // A log that agrees with the snapshot is kept: records after the snapshot may have been acknowledged.
    if (m_log.termAt(chunk.meta().index()) == chunk.meta().term())
        commitUpTo(chunk.meta().index());
    if (chunk.meta().index() <= m_committedIndex) {
        const bool isInstalled = !isRestoring() && chunk.meta().index() <= m_durableIndex;
        replyToChunk(from, chunk, chunk.offset(), isInstalled);
        return;
    }
    auto image = m_snapshotReceiver.addChunk(chunk);
    if (!image) {
        replyToChunk(from, chunk, m_snapshotReceiver.nextOffset(chunk.meta()), false);
        return;
    }
    installSnapshot(*std::move(image));
    replyToChunk(from, chunk, chunk.offset(), true);
}

void Replica::installSnapshot(SnapshotImage image)
{
    m_log.resetTo(image.meta);
    m_committedIndex = image.meta.index();
    m_durableIndex = 0;
    m_firstDirtyIndex = image.meta.index() + 1;
    m_dirtySnapshot = std::make_shared<const SnapshotImage>(std::move(image));
}

void Replica::replyToChunk(
    std::string_view to, const schema::SnapshotChunk& chunk, uint64_t nextOffset, bool isInstalled)
{
    schema::ConsensusMessage message;
    message.set_term(m_hardState.term());
    auto& reply = *message.mutable_snapshot_reply();
    reply.set_index(chunk.meta().index());
    reply.set_next_offset(nextOffset);
    reply.set_installed(isInstalled);
    reply.set_sequence(chunk.sequence());
    reply.set_catching_up_incarnation(m_hardState.incarnation());
    if (isInstalled || !isHardStateDurable())
        sendWhenDurable(to, std::move(message));
    else
        send(to, std::move(message));
}

// ---- Leading -------------------------------------------------------------

uint64_t Replica::appendRecord(schema::LogRecord record)
{
    const uint64_t index = m_log.lastIndex() + 1;
    record.set_term(m_hardState.term());
    record.set_index(index);
    m_firstDirtyIndex = std::min(m_firstDirtyIndex, index);
    m_log.append(std::move(record));
    return index;
}

uint64_t Replica::appendBarrier()
{
    schema::LogRecord record;
    record.set_barrier(true);
    return appendRecord(std::move(record));
}

uint64_t Replica::appendVoters(schema::VoterSet voters)
{
    schema::LogRecord record;
    *record.mutable_voters() = std::move(voters);
    return appendRecord(std::move(record));
}

void Replica::onAppendReply(std::string_view from, uint64_t term, const schema::AppendReply& reply)
{
    if (term > m_hardState.term())
        becomeFollower(term, {});
    if (isLeader() && term == m_hardState.term())
        m_leaderState.onAppendReply(from, reply, m_now);
}

void Replica::onSnapshotReply(std::string_view from, uint64_t term, const schema::SnapshotReply& reply)
{
    if (term > m_hardState.term())
        becomeFollower(term, {});
    if (isLeader() && term == m_hardState.term())
        m_leaderState.onSnapshotReply(from, reply, m_now);
}

void Replica::advanceLeader()
{
    if (m_now >= m_leaderState.quorumLastContactOrStartAt(m_now) + m_options.electionTimeout) {
        becomeFollower(m_hardState.term(), {});
        return;
    }
    if (m_leaderState.consumeBarrierRequest())
        m_leaderState.setReadmissionBarrierIndex(appendBarrier());
    const uint64_t index = m_leaderState.quorumMatchIndex(m_durableIndex);
    // Only records of the current term are committed by counting replicas; they commit those of earlier terms.
    if (index > m_committedIndex && m_log.termAt(index) == m_hardState.term())
        commitUpTo(index);
    stepDownIfRemoved();
    advanceTransfer();
}

void Replica::stepDownIfRemoved()
{
    if (!isVoter() && m_committedIndex >= m_log.votersIndex())
        becomeFollower(m_hardState.term(), {});
}

void Replica::transferLeadership(Instant now)
{
    if (!isLeader() || m_hasFailed)
        return;
    m_now = now;
    m_transferDeadline = m_transferDeadline.value_or(now + m_options.electionTimeout);
    advanceTransfer();
}

void Replica::advanceTransfer()
{
    if (!isLeader() || !m_transferDeadline)
        return;
    const auto target = m_leaderState.mostCaughtUpVoter();
    if (!target.empty() && m_leaderState.matchIndexOf(target) == m_log.lastIndex()) {
        schema::ConsensusMessage message;
        message.set_term(m_hardState.term());
        message.mutable_campaign_now()->set_last_index(m_log.lastIndex());
        send(target, std::move(message));
    } else if (!target.empty() && m_now < *m_transferDeadline) {
        return;
    }
    // Steps down for the rest of the term: the target may receive the message at any later time.
    becomeFollower(m_hardState.term(), {});
}

Result<uint64_t> Replica::changeVoters(const VoterChange& change, Instant now)
{
    if (!isLeader() || m_transferDeadline)
        return fail(ErrorKind::NoLeader, "this replica does not lead");
    m_now = now;
    if (m_committedIndex < m_barrierIndex || m_committedIndex < m_log.votersIndex())
        return fail(ErrorKind::RevisionConflict, "another change of the voters is not committed yet");
    BOOST_LEAF_AUTO(next, votersAfter(change));
    const auto index = appendVoters(std::move(next));
    m_leaderState.updateMembers(now);
    return index;
}

Result<schema::VoterSet> Replica::votersAfter(const VoterChange& change) const
{
    const auto& current = m_log.voters();
    schema::VoterSet next;
    const auto keepOthers = [&](const auto& from, auto* to) {
        std::copy_if(from.begin(), from.end(), google::protobuf::RepeatedFieldBackInserter(to),
            [&](const auto& id) { return id != change.replica; });
    };
    keepOthers(current.voters(), next.mutable_voters());
    keepOthers(current.learners(), next.mutable_learners());
    const bool isVoter = next.voters_size() != current.voters_size();
    const bool isLearner = next.learners_size() != current.learners_size();
    switch (change.kind) {
    case VoterChange::Kind::AddLearner:
        if (isVoter || isLearner)
            return fail(ErrorKind::BadRequest, change.replica + " is a member already");
        next.add_learners(change.replica);
        break;
    case VoterChange::Kind::Promote:
        if (!isLearner)
            return fail(ErrorKind::BadRequest, change.replica + " is not a learner");
        if (m_leaderState.isCatchingUp(change.replica) || m_leaderState.matchIndexOf(change.replica) < m_committedIndex)
            return fail(ErrorKind::RevisionConflict, change.replica + " has not caught up");
        next.add_voters(change.replica);
        break;
    case VoterChange::Kind::Remove:
        if (!isVoter && !isLearner)
            return fail(ErrorKind::BadRequest, change.replica + " is not a member");
        if (next.voters().empty())
            return fail(ErrorKind::BadRequest, change.replica + " is the last voter");
        break;
    }
    if (!m_leaderState.isQuorumReachable(next, m_now))
        return fail(ErrorKind::RevisionConflict, "too few of the voters after the change are reachable");
    return next;
}

} // namespace teasel
