#include "consensus/replica.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace teasel {

namespace {

    constexpr uint64_t nothingDirty = std::numeric_limits<uint64_t>::max();

} // namespace

Replica::Replica(ReplicaOptions options, RecoveredLog recovered, Instant now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_now(now)
    , m_log(recovered.hard.has_bootstrap() ? recovered.hard.bootstrap() : m_options.bootstrap, recovered.snapshot,
          std::move(recovered.records))
    , m_hard(std::move(recovered.hard))
    , m_leaderContact(now)
    , m_leading(m_options, m_log)
    , m_committed(m_log.snapshot().index())
    , m_applied(m_committed)
    , m_durable(m_log.lastIndex())
    , m_dirtyFrom(nothingDirty)
{
    if (recovered.isEmpty) {
        m_hard.set_replica(m_options.id);
        *m_hard.mutable_bootstrap() = m_options.bootstrap;
        m_hard.set_may_vote(!m_options.replacement);
        if (m_options.replacement)
            m_hard.set_incarnation(m_random.engine()() | 1);
        m_isHardDirty = true;
    }
    resetElectionDeadline();
}

// ---- Inputs --------------------------------------------------------------

void Replica::onTick(Instant now)
{
    if (m_hasFailed)
        return;
    m_now = now;
    if (!isLeader() && now >= m_electionDeadline && mayCampaign())
        startPreVote();
    afterInput();
}

void Replica::onMessage(std::string_view from, const schema::ConsensusMessage& message, Instant now)
{
    if (m_hasFailed)
        return;
    m_now = now;
    const auto term = message.term();
    switch (message.body_case()) {
    case schema::ConsensusMessage::kVoteRequest:
        onVoteRequest(from, term, message.vote_request());
        break;
    case schema::ConsensusMessage::kVoteReply:
        onVoteReply(from, term, message.vote_reply());
        break;
    case schema::ConsensusMessage::kAppendRequest:
        onAppendRequest(from, term, message.append_request());
        break;
    case schema::ConsensusMessage::kAppendReply:
        onAppendReply(from, term, message.append_reply());
        break;
    case schema::ConsensusMessage::kSnapshotChunk:
        onSnapshotChunk(from, term, message.snapshot_chunk());
        break;
    case schema::ConsensusMessage::kSnapshotReply:
        onSnapshotReply(from, term, message.snapshot_reply());
        break;
    case schema::ConsensusMessage::kCampaignNow:
        onCampaignNow(from, term);
        break;
    case schema::ConsensusMessage::BODY_NOT_SET:
        break;
    }
    afterInput();
}

void Replica::onPersisted(uint64_t sequence, Instant now)
{
    if (m_hasFailed || !m_inFlight || m_inFlight->sequence != sequence)
        return;
    m_now = now;
    const auto done = *std::exchange(m_inFlight, std::nullopt);
    if (m_dirtySnapshot)
        m_durable = 0;
    else
        m_durable = std::min({ done.lastIndex, m_log.lastIndex(), m_dirtyFrom - 1 });
    if (done.snapshot && !m_dirtySnapshot) {
        m_applied = done.snapshot->meta.index();
        m_actions.emplace_back(RestoreSnapshot { done.snapshot });
    }
    releaseHeld(sequence);
    if (m_role == ReplicaRole::Candidate)
        countVotes();
    afterInput();
}

void Replica::onStorageFailed(Instant now)
{
    if (m_hasFailed)
        return;
    m_now = now;
    becomeFollower(m_hard.term(), {});
    m_hasFailed = true;
    m_held.clear();
    std::erase_if(m_actions, [](const auto& it) { return !std::holds_alternative<SteppedDown>(it); });
}

void Replica::onSnapshotSaved(const schema::SnapshotMeta& meta)
{
    if (m_hasFailed || meta.index() <= m_log.snapshot().index())
        return;
    const uint64_t wanted = meta.index() > m_options.keepRecords ? meta.index() - m_options.keepRecords + 1 : 1;
    const uint64_t firstIndex = std::max(wanted, m_log.firstIndex());
    m_log.compact(meta, firstIndex);
    m_actions.emplace_back(Compact { firstIndex });
    checkInvariants();
}

std::optional<uint64_t> Replica::propose(std::string command, Instant now)
{
    if (!isLeader() || m_transfer || m_log.lastIndex() - m_committed >= m_options.maxUncommittedRecords)
        return std::nullopt;
    m_now = now;
    schema::LogRecord record;
    record.set_command(std::move(command));
    return appendRecord(std::move(record));
}

std::vector<ReplicaAction> Replica::takeActions()
{
    if (isLeader())
        m_leading.collect(m_committed, m_now, m_actions);
    if (!m_hasFailed && !m_inFlight && isDirty())
        buildPersist();
    return std::exchange(m_actions, {});
}

bool Replica::holdsLease(Instant now) const
{
    if (!isLeader() || m_transfer)
        return false;
    const auto length = std::chrono::duration_cast<Duration>(m_options.electionTimeout * leaseFraction);
    return now < m_leading.quorumContact(now) + length;
}

// ---- Shared --------------------------------------------------------------

void Replica::afterInput()
{
    if (isLeader())
        advanceLeader();
    applyCommitted();
    checkInvariants();
}

void Replica::commitUpTo(uint64_t index) { m_committed = std::max(m_committed, std::min(index, m_log.lastIndex())); }

void Replica::applyCommitted()
{
    // Only what is durable here is applied, so that a snapshot never runs ahead of the log on disk.
    const uint64_t end = std::min(m_committed, m_durable);
    if (isRestoring())
        return;
    while (m_applied < end) {
        m_actions.emplace_back(Apply { m_log.at(++m_applied) });
        if (isLeader() && m_applied == m_barrierIndex)
            m_actions.emplace_back(StartedServing { m_hard.term() });
    }
}

void Replica::send(std::string_view to, schema::ConsensusMessage message)
{
    m_actions.emplace_back(SendMessage { std::string(to), std::move(message) });
}

void Replica::sendWhenDurable(std::string_view to, schema::ConsensusMessage message)
{
    if (!isDirty() && !m_inFlight) {
        send(to, std::move(message));
        return;
    }
    const uint64_t sequence = isDirty() ? m_persistSequence + 1 : m_inFlight->sequence;
    m_held.push_back({ sequence, { std::string(to), std::move(message) } });
}

void Replica::releaseHeld(uint64_t sequence)
{
    std::vector<HeldMessage> held;
    held.swap(m_held);
    for (auto& it : held) {
        if (it.sequence > sequence)
            m_held.push_back(std::move(it));
        else if (it.message.message.term() == m_hard.term())
            m_actions.emplace_back(std::move(it.message));
    }
}

bool Replica::isRestoring() const { return m_dirtySnapshot || (m_inFlight && m_inFlight->snapshot); }

bool Replica::isHardStateDurable() const { return !m_isHardDirty && !(m_inFlight && m_inFlight->hasHardState); }

bool Replica::isDirty() const { return m_isHardDirty || m_dirtySnapshot || m_dirtyFrom <= m_log.lastIndex(); }

void Replica::buildPersist()
{
    Persist persist;
    persist.sequence = ++m_persistSequence;
    if (std::exchange(m_isHardDirty, false))
        persist.hard = m_hard;
    persist.snapshot = std::exchange(m_dirtySnapshot, nullptr);
    for (uint64_t index = m_dirtyFrom; index <= m_log.lastIndex(); ++index)
        persist.records.push_back(m_log.at(index));
    m_dirtyFrom = nothingDirty;
    m_inFlight = PersistInFlight { persist.sequence, m_log.lastIndex(), persist.hard.has_value(), persist.snapshot };
    m_actions.emplace_back(std::move(persist));
}

void Replica::checkInvariants() const
{
    const auto seen = [&] {
        return fmt::format("replica {} term {} snapshot {} applied {} committed {} durable {} last {}", m_options.id,
            m_hard.term(), m_log.snapshot().index(), m_applied, m_committed, m_durable, m_log.lastIndex());
    };
    checkInvariant(m_committed <= m_log.lastIndex(), "committedWithinLog", seen);
    checkInvariant(m_durable <= m_log.lastIndex(), "durableWithinLog", seen);
    checkInvariant(m_applied <= m_committed, "appliedIsCommitted", seen);
    checkInvariant(isRestoring() || m_applied <= m_durable, "appliedIsDurable", seen);
    checkInvariant(isRestoring() || m_log.snapshot().index() <= m_applied, "snapshotIsApplied", seen);
    checkInvariant(!isLeader() || m_hard.may_vote(), "leaderMayVote", seen);
    checkInvariant(!isLeader() || m_leader == m_options.id, "leaderKnowsItself", seen);
}

} // namespace teasel
