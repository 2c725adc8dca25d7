// Replica: elections.
#include "consensus/replica.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    bool hasVoter(const schema::VoterSet& set, std::string_view id)
    {
        return std::find(set.voters().begin(), set.voters().end(), id) != set.voters().end();
    }

} // namespace

bool Replica::isVoter() const { return hasVoter(m_log.voters(), m_options.id); }

bool Replica::mayCampaign() const
{
    // While its removal is not committed, a replica may be the only one with that record and must still be electable.
    const bool isRemovalUncommitted
        = m_log.votersIndex() > m_committedIndex && hasVoter(m_log.previousVoters(), m_options.id);
    return m_hardState.may_vote() && (isVoter() || isRemovalUncommitted);
}

void Replica::resetElectionDeadline()
{
    const auto jitterRange = static_cast<uint64_t>(m_options.electionTimeout.count());
    m_electionDeadline = m_now + m_options.electionTimeout + Duration(m_random.below(jitterRange));
}

bool Replica::hasRecentLeaderContact() const
{
    return isLeader() || m_now < m_lastLeaderContactAt + m_options.electionTimeout;
}

bool Replica::isUpToDate(const schema::VoteRequest& request) const
{
    if (request.last_term() != m_log.lastTerm())
        return request.last_term() > m_log.lastTerm();
    return request.last_index() >= m_log.lastIndex();
}

void Replica::adoptTerm(uint64_t term)
{
    checkInvariant(term >= m_hardState.term(), "termNeverFalls",
        [&] { return fmt::format("replica {} from {} to {}", m_options.id, m_hardState.term(), term); });
    if (term == m_hardState.term())
        return;
    m_hardState.set_term(term);
    m_hardState.clear_voted_for();
    m_isHardStateDirty = true;
}

void Replica::becomeFollower(uint64_t term, std::string_view leader)
{
    if (isLeader())
        m_actions.emplace_back(SteppedDown { m_hardState.term() });
    m_role = ReplicaRole::Follower;
    adoptTerm(term);
    m_leader = leader;
    m_transferDeadline.reset();
    m_votes.clear();
    resetElectionDeadline();
}

// ---- Campaigns -----------------------------------------------------------

void Replica::startPreVote()
{
    m_role = ReplicaRole::PreCandidate;
    m_leader.clear();
    m_votes.clear();
    resetElectionDeadline();
    sendVoteRequests(true, false);
    countVotes();
}

void Replica::startCampaign(bool isTransfer)
{
    m_role = ReplicaRole::Candidate;
    m_leader.clear();
    m_votes.clear();
    adoptTerm(m_hardState.term() + 1);
    m_hardState.set_voted_for(m_options.id);
    resetElectionDeadline();
    sendVoteRequests(false, isTransfer);
}

void Replica::sendVoteRequests(bool isPreVote, bool isTransfer)
{
    for (const auto& id : m_log.voters().voters()) {
        if (id == m_options.id)
            continue;
        schema::ConsensusMessage message;
        message.set_term(isPreVote ? m_hardState.term() + 1 : m_hardState.term());
        auto& request = *message.mutable_vote_request();
        request.set_pre_vote(isPreVote);
        request.set_last_index(m_log.lastIndex());
        request.set_last_term(m_log.lastTerm());
        request.set_leadership_transfer(isTransfer);
        request.set_committed_index(m_committedIndex);
        if (isPreVote)
            send(id, std::move(message));
        else
            sendWhenDurable(id, std::move(message));
    }
}

void Replica::countVotes()
{
    // This replica's own vote counts only once it is durable.
    if (m_role == ReplicaRole::Candidate && !isHardStateDurable())
        return;
    const auto& voters = m_log.voters().voters();
    const auto granted = std::count_if(
        voters.begin(), voters.end(), [&](const auto& id) { return id == m_options.id || m_votes.contains(id); });
    if (granted <= voters.size() / 2)
        return;
    if (m_role == ReplicaRole::PreCandidate)
        startCampaign(false);
    else
        becomeLeader();
}

void Replica::becomeLeader()
{
    m_role = ReplicaRole::Leader;
    m_leader = m_options.id;
    m_votes.clear();
    m_leaderState.startTerm(m_hardState.term(), m_now);
    m_actions.emplace_back(BecameLeader { m_hardState.term() });
    // A replaced disk knows the voters only from the log. The record precedes the barrier, so that a replica that has
    // reached a barrier of this term has it.
    if (!m_log.hasVotersRecord())
        appendVoters(m_log.voters());
    m_barrierIndex = appendBarrier();
}

// ---- Votes ---------------------------------------------------------------

void Replica::detectLostDisk(uint64_t remoteCommittedIndex)
{
    if (remoteCommittedIndex == 0 || !m_log.isEmpty() || !m_hardState.may_vote())
        return;
    // The sender knows of committed records and this log is empty: this may be a voter that acknowledged them and lost
    // its disk.
    m_hardState.set_may_vote(false);
    m_hardState.set_incarnation(m_random.engine()() | 1);
    m_isHardStateDirty = true;
    if (m_role != ReplicaRole::Follower)
        becomeFollower(m_hardState.term(), {});
}

void Replica::onPreVoteRequest(std::string_view from, uint64_t term, const schema::VoteRequest& request)
{
    const bool isGranted = term > m_hardState.term() && isUpToDate(request);
    schema::ConsensusMessage message;
    message.set_term(isGranted ? term : m_hardState.term());
    auto& reply = *message.mutable_vote_reply();
    reply.set_pre_vote(true);
    reply.set_granted(isGranted);
    reply.set_committed_index(m_committedIndex);
    send(from, std::move(message));
}

void Replica::onVoteRequest(std::string_view from, uint64_t term, const schema::VoteRequest& request)
{
    detectLostDisk(request.committed_index());
    if (!m_hardState.may_vote())
        return;
    // The leader's lease relies on followers ignoring vote requests for one election timeout after a contact. A leader
    // gives up its lease before it transfers the leadership.
    if (hasRecentLeaderContact() && !request.leadership_transfer())
        return;
    if (request.pre_vote()) {
        onPreVoteRequest(from, term, request);
        return;
    }
    if (term > m_hardState.term())
        becomeFollower(term, {});
    const bool hasNoOtherVote = m_hardState.voted_for().empty() || m_hardState.voted_for() == from;
    const bool isGranted = term == m_hardState.term() && hasNoOtherVote && m_leader.empty() && isUpToDate(request);
    if (isGranted && m_hardState.voted_for() != from) {
        m_hardState.set_voted_for(std::string(from));
        m_isHardStateDirty = true;
        resetElectionDeadline();
    }
    schema::ConsensusMessage message;
    message.set_term(m_hardState.term());
    auto& reply = *message.mutable_vote_reply();
    reply.set_granted(isGranted);
    reply.set_committed_index(m_committedIndex);
    sendWhenDurable(from, std::move(message));
}

void Replica::onVoteReply(std::string_view from, uint64_t term, const schema::VoteReply& reply)
{
    detectLostDisk(reply.committed_index());
    if (!reply.granted()) {
        if (term > m_hardState.term())
            becomeFollower(term, {});
        return;
    }
    const bool isForPreVote = m_role == ReplicaRole::PreCandidate && reply.pre_vote() && term == m_hardState.term() + 1;
    const bool isForVote = m_role == ReplicaRole::Candidate && !reply.pre_vote() && term == m_hardState.term();
    if (!isForPreVote && !isForVote)
        return;
    m_votes.insert(std::string(from));
    countVotes();
}

void Replica::onCampaignNow(std::string_view from, uint64_t term)
{
    if (term == m_hardState.term() && m_leader == from && mayCampaign())
        startCampaign(true);
}

} // namespace teasel
