// Replica: following a leader and leading.
#include "consensus/replica.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace teasel {

// ---- Following -----------------------------------------------------------

bool Replica::followLeader(std::string_view from, uint64_t term)
{
    if (term < m_hard.term())
        return false;
    const bool isKnown = term == m_hard.term() && !m_leader.empty();
    checkInvariant(!isKnown || m_leader == from, "oneLeaderPerTerm",
        [&] { return fmt::format("replica {} term {} leaders {} and {}", m_options.id, term, m_leader, from); });
    if (!isKnown || m_role != ReplicaRole::Follower)
        becomeFollower(term, from);
    m_leaderContact = m_now;
    resetElectionDeadline();
    return true;
}

bool Replica::matchesPrevious(const schema::AppendRequest& request) const
{
    const auto term = m_log.termAt(request.previous_index());
    if (request.previous_index() > m_committed)
        return term && *term == request.previous_term();
    checkInvariant(!term || *term == request.previous_term(), "committedRecordsAgree", [&] {
        return fmt::format("replica {} index {} term {} leader's term {}", m_options.id, request.previous_index(),
            *term, request.previous_term());
    });
    return true;
}

uint64_t Replica::mismatchHint(const schema::AppendRequest& request) const
{
    if (request.previous_index() > m_log.lastIndex())
        return m_log.lastIndex();
    // Skips the whole term that differs.
    uint64_t index = request.previous_index();
    const auto term = m_log.termAt(index);
    while (index > m_committed && m_log.termAt(index) == term)
        --index;
    return index;
}

void Replica::takeRecord(const schema::LogRecord& record)
{
    if (record.index() <= m_committed || m_log.termAt(record.index()) == record.term())
        return;
    if (record.index() <= m_log.lastIndex()) {
        m_log.truncateFrom(record.index());
        m_durable = std::min(m_durable, record.index() - 1);
    }
    m_dirtyFrom = std::min(m_dirtyFrom, record.index());
    m_log.append(record);
}

void Replica::takeReadmission(std::string_view from, const schema::AppendRequest& request)
{
    if (m_hard.may_vote() || request.readmitted_incarnation() == 0
        || request.readmitted_incarnation() != m_hard.incarnation())
        return;
    m_hard.set_may_vote(true);
    m_hard.set_incarnation(0);
    // The lost disk may have held a vote in this term.
    m_hard.set_voted_for(std::string(from));
    m_isHardDirty = true;
}

void Replica::onAppendRequest(std::string_view from, uint64_t term, const schema::AppendRequest& request)
{
    schema::ConsensusMessage message;
    if (!followLeader(from, term)) {
        message.set_term(m_hard.term());
        message.mutable_append_reply()->set_sequence(request.sequence());
        sendWhenDurable(from, std::move(message));
        return;
    }
    noteCommittedElsewhere(request.committed_index());
    takeReadmission(from, request);
    if (!matchesPrevious(request)) {
        message.set_term(term);
        auto& reply = *message.mutable_append_reply();
        reply.set_hint_index(mismatchHint(request));
        reply.set_sequence(request.sequence());
        reply.set_catching_up_incarnation(m_hard.incarnation());
        sendWhenDurable(from, std::move(message));
        return;
    }
    for (const auto& record : request.records())
        takeRecord(record);
    const uint64_t matched = request.previous_index() + static_cast<uint64_t>(request.records_size());
    commitUpTo(std::min(request.committed_index(), matched));
    replyToAppend(from, request, matched);
}

void Replica::replyToAppend(std::string_view to, const schema::AppendRequest& request, uint64_t matched)
{
    const bool waitsForRecords = request.records_size() > 0 && matched > m_durable;
    schema::ConsensusMessage message;
    message.set_term(m_hard.term());
    auto& reply = *message.mutable_append_reply();
    reply.set_success(true);
    reply.set_match_index(waitsForRecords ? matched : std::min(matched, m_durable));
    reply.set_sequence(request.sequence());
    reply.set_catching_up_incarnation(m_hard.incarnation());
    if (waitsForRecords || !isHardStateDurable())
        sendWhenDurable(to, std::move(message));
    else
        send(to, std::move(message));
}

void Replica::onSnapshotChunk(std::string_view from, uint64_t term, const schema::SnapshotChunk& chunk)
{
    if (!followLeader(from, term)) {
        schema::ConsensusMessage message;
        message.set_term(m_hard.term());
        message.mutable_append_reply()->set_sequence(chunk.sequence());
        sendWhenDurable(from, std::move(message));
        return;
    }
    noteCommittedElsewhere(chunk.meta().index());
    // Records that agree with the snapshot stay: some after it may have been acknowledged.
    if (m_log.termAt(chunk.meta().index()) == chunk.meta().term())
        commitUpTo(chunk.meta().index());
    if (chunk.meta().index() <= m_committed) {
        const bool isInstalled = !isRestoring() && chunk.meta().index() <= m_durable;
        replyToChunk(from, chunk, chunk.offset(), isInstalled);
        return;
    }
    auto image = m_receiver.take(chunk);
    if (!image) {
        replyToChunk(from, chunk, m_receiver.nextOffset(chunk.meta()), false);
        return;
    }
    installSnapshot(*std::move(image));
    replyToChunk(from, chunk, chunk.offset(), true);
}

void Replica::installSnapshot(SnapshotImage image)
{
    m_log.resetTo(image.meta);
    m_committed = image.meta.index();
    m_durable = 0;
    m_dirtyFrom = image.meta.index() + 1;
    m_dirtySnapshot = std::make_shared<const SnapshotImage>(std::move(image));
}

void Replica::replyToChunk(
    std::string_view to, const schema::SnapshotChunk& chunk, uint64_t nextOffset, bool isInstalled)
{
    schema::ConsensusMessage message;
    message.set_term(m_hard.term());
    auto& reply = *message.mutable_snapshot_reply();
    reply.set_index(chunk.meta().index());
    reply.set_next_offset(nextOffset);
    reply.set_installed(isInstalled);
    reply.set_sequence(chunk.sequence());
    reply.set_catching_up_incarnation(m_hard.incarnation());
    if (isInstalled || !isHardStateDurable())
        sendWhenDurable(to, std::move(message));
    else
        send(to, std::move(message));
}

// ---- Leading -------------------------------------------------------------

uint64_t Replica::appendRecord(schema::LogRecord record)
{
    const uint64_t index = m_log.lastIndex() + 1;
    record.set_term(m_hard.term());
    record.set_index(index);
    m_dirtyFrom = std::min(m_dirtyFrom, index);
    m_log.append(std::move(record));
    return index;
}

uint64_t Replica::appendBarrier()
{
    schema::LogRecord record;
    record.set_barrier(true);
    return appendRecord(std::move(record));
}

void Replica::onAppendReply(std::string_view from, uint64_t term, const schema::AppendReply& reply)
{
    if (term > m_hard.term())
        becomeFollower(term, {});
    if (isLeader() && term == m_hard.term())
        m_leading.onAppendReply(from, reply, m_now);
}

void Replica::onSnapshotReply(std::string_view from, uint64_t term, const schema::SnapshotReply& reply)
{
    if (term > m_hard.term())
        becomeFollower(term, {});
    if (isLeader() && term == m_hard.term())
        m_leading.onSnapshotReply(from, reply, m_now);
}

void Replica::advanceLeader()
{
    if (m_now >= m_leading.quorumContactSinceBeginning(m_now) + m_options.electionTimeout) {
        becomeFollower(m_hard.term(), {});
        return;
    }
    if (m_leading.takeNeedsBarrier())
        m_leading.setReadmissionBarrier(appendBarrier());
    const uint64_t index = m_leading.quorumMatch(m_durable);
    // Records of earlier terms are committed by one of this term.
    if (index > m_committed && m_log.termAt(index) == m_hard.term())
        commitUpTo(index);
    leaveIfRemoved();
    advanceTransfer();
}

void Replica::leaveIfRemoved()
{
    if (!isVoter() && m_committed >= m_log.votersIndex())
        becomeFollower(m_hard.term(), {});
}

void Replica::transferLeadership(Instant now)
{
    if (!isLeader() || m_hasFailed)
        return;
    m_now = now;
    m_transfer = m_transfer.value_or(now + m_options.electionTimeout);
    advanceTransfer();
}

void Replica::advanceTransfer()
{
    if (!isLeader() || !m_transfer)
        return;
    const auto target = m_leading.mostCaughtUpVoter();
    if (!target.empty() && m_leading.matchOf(target) == m_log.lastIndex()) {
        schema::ConsensusMessage message;
        message.set_term(m_hard.term());
        message.mutable_campaign_now()->set_last_index(m_log.lastIndex());
        send(target, std::move(message));
    } else if (!target.empty() && m_now < *m_transfer) {
        return;
    }
    // Never leads in this term again: the message may arrive at any later time.
    becomeFollower(m_hard.term(), {});
}

Result<uint64_t> Replica::changeVoters(const VoterChange& change, Instant now)
{
    if (!isLeader() || m_transfer)
        return fail(ErrorKind::NoLeader, "this replica does not lead");
    m_now = now;
    if (m_committed < m_barrierIndex || m_committed < m_log.votersIndex())
        return fail(ErrorKind::RevisionConflict, "another change of the voters is not committed yet");
    BOOST_LEAF_AUTO(next, changedVoters(change));
    schema::LogRecord record;
    *record.mutable_voters() = std::move(next);
    const auto index = appendRecord(std::move(record));
    m_leading.updateMembers(now);
    return index;
}

Result<schema::VoterSet> Replica::changedVoters(const VoterChange& change) const
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
        if (m_leading.isCatchingUp(change.replica) || m_leading.matchOf(change.replica) < m_committed)
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
    if (!m_leading.reachesQuorumOf(next, m_now))
        return fail(ErrorKind::RevisionConflict, "too few of the voters after the change are within reach");
    return next;
}

} // namespace teasel
