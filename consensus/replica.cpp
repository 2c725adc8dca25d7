#include "consensus/replica.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace teasel {

namespace {

    constexpr uint64_t noDirtyIndex = std::numeric_limits<uint64_t>::max();
    constexpr uint64_t maxTerm = std::numeric_limits<uint32_t>::max(); // fences hold a term in 32 bits
    constexpr uint64_t maxIndex = uint64_t(1) << 62;

    // Whether the numbers of a message can be true; others would end up in the log or in the hard state.
    bool isPlausible(const schema::ConsensusMessage& message)
    {
        const auto& request = message.append_request();
        if (message.term() > maxTerm || request.previous_index() > maxIndex
            || message.snapshot_chunk().meta().index() > maxIndex)
            return false;
        auto index = request.previous_index();
        return std::all_of(request.records().begin(), request.records().end(),
            [&](const auto& it) { return it.index() == ++index && it.term() <= message.term(); });
    }

} // namespace

Replica::Replica(ReplicaOptions options, RecoveredLog recovered, Instant now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_now(now)
    , m_log(recovered.hardState.has_bootstrap() ? recovered.hardState.bootstrap() : m_options.bootstrap,
          recovered.snapshot, std::move(recovered.records))
    , m_hardState(std::move(recovered.hardState))
    , m_lastLeaderContactAt(now)
    , m_leaderState(m_options, m_log)
    , m_committedIndex(m_log.snapshot().index())
    , m_appliedIndex(m_committedIndex)
    , m_durableIndex(m_log.lastIndex())
    , m_firstDirtyIndex(noDirtyIndex)
{
    if (recovered.isEmpty) {
        m_hardState.set_replica(m_options.id);
        *m_hardState.mutable_bootstrap() = m_options.bootstrap;
        m_hardState.set_may_vote(!m_options.isReplacement);
        if (m_options.isReplacement)
            m_hardState.set_incarnation(m_random.engine()() | 1);
        m_isHardStateDirty = true;
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
    if (m_hasFailed || !isPlausible(message))
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
    if (m_hasFailed || !m_persistInFlight || m_persistInFlight->sequence != sequence)
        return;
    m_now = now;
    const auto done = *std::exchange(m_persistInFlight, std::nullopt);
    if (m_dirtySnapshot)
        m_durableIndex = 0;
    else
        m_durableIndex = std::min({ done.lastIndex, m_log.lastIndex(), m_firstDirtyIndex - 1 });
    if (done.snapshot && !m_dirtySnapshot) {
        m_appliedIndex = done.snapshot->meta.index();
        m_actions.emplace_back(RestoreSnapshot { done.snapshot });
    }
    sendDeferred(sequence);
    if (m_role == ReplicaRole::Candidate)
        countVotes();
    afterInput();
}

void Replica::onStorageFailed(Instant now)
{
    if (m_hasFailed)
        return;
    m_now = now;
    becomeFollower(m_hardState.term(), {});
    m_hasFailed = true;
    m_deferredMessages.clear();
    std::erase_if(m_actions, [](const auto& it) { return !std::holds_alternative<SteppedDown>(it); });
}

void Replica::onSnapshotSaved(const schema::SnapshotMeta& meta)
{
    if (m_hasFailed || meta.index() <= m_log.snapshot().index())
        return;
    const uint64_t firstKeptIndex
        = meta.index() > m_options.retainedRecords ? meta.index() - m_options.retainedRecords + 1 : 1;
    const uint64_t firstIndex = std::max(
        { firstKeptIndex, m_log.firstIndexWithin(m_options.retainedBytes, meta.index()), m_log.firstIndex() });
    m_log.compact(meta, firstIndex);
    m_actions.emplace_back(Compact { firstIndex });
    checkInvariants();
}

std::optional<uint64_t> Replica::propose(std::string command, Instant now)
{
    if (!isLeader() || m_transferDeadline || m_log.lastIndex() - m_committedIndex >= m_options.maxUncommittedRecords)
        return std::nullopt;
    if (command.size() > m_options.maxCommandBytes)
        return std::nullopt;
    if (m_log.bytesBetween(m_appliedIndex, m_log.lastIndex()) + command.size() > m_options.maxUnappliedBytes)
        return std::nullopt;
    m_now = now;
    schema::LogRecord record;
    record.set_command(std::move(command));
    return appendRecord(std::move(record));
}

std::vector<ReplicaAction> Replica::takeActions()
{
    if (!m_hasFailed)
        applyCommitted();
    if (isLeader())
        m_leaderState.collectMessages(m_committedIndex, m_now, m_actions);
    if (!m_hasFailed && !m_persistInFlight && isDirty())
        buildPersist();
    m_untakenApplyBytes = 0;
    return std::exchange(m_actions, {});
}

bool Replica::holdsLease(Instant now) const
{
    if (!isLeader() || m_transferDeadline)
        return false;
    const auto length = std::chrono::duration_cast<Duration>(m_options.electionTimeout * leaseFraction);
    return now < m_leaderState.quorumLastContactAt(now) + length;
}

// ---- Shared --------------------------------------------------------------

void Replica::afterInput()
{
    if (isLeader())
        advanceLeader();
    applyCommitted();
    checkInvariants();
}

void Replica::commitUpTo(uint64_t index)
{
    m_committedIndex = std::max(m_committedIndex, std::min(index, m_log.lastIndex()));
}

void Replica::applyCommitted()
{
    // Only locally durable records are applied, so that a snapshot never includes records that the log on disk lacks.
    const uint64_t end = std::min(m_committedIndex, m_durableIndex);
    if (isRestoring())
        return;
    while (m_appliedIndex < end && m_untakenApplyBytes < m_options.maxApplyBytes) {
        const auto& record = m_log.at(++m_appliedIndex);
        m_untakenApplyBytes += record.ByteSizeLong() + recordOverheadBytes;
        m_actions.emplace_back(Apply { record });
        if (isLeader() && m_appliedIndex == m_barrierIndex)
            m_actions.emplace_back(StartedServing { m_hardState.term() });
    }
}

void Replica::send(std::string_view to, schema::ConsensusMessage message)
{
    m_actions.emplace_back(SendMessage { std::string(to), std::move(message) });
}

void Replica::sendWhenDurable(std::string_view to, schema::ConsensusMessage message)
{
    if (!isDirty() && !m_persistInFlight) {
        send(to, std::move(message));
        return;
    }
    const uint64_t sequence = isDirty() ? m_persistSequence + 1 : m_persistInFlight->sequence;
    m_deferredMessages.push_back({ sequence, { std::string(to), std::move(message) } });
}

void Replica::sendDeferred(uint64_t sequence)
{
    std::vector<DeferredMessage> deferred;
    deferred.swap(m_deferredMessages);
    for (auto& it : deferred) {
        if (it.sequence > sequence)
            m_deferredMessages.push_back(std::move(it));
        else if (it.message.message.term() == m_hardState.term())
            m_actions.emplace_back(std::move(it.message));
    }
}

bool Replica::isRestoring() const { return m_dirtySnapshot || (m_persistInFlight && m_persistInFlight->snapshot); }

bool Replica::isHardStateDurable() const
{
    return !m_isHardStateDirty && !(m_persistInFlight && m_persistInFlight->hasHardState);
}

bool Replica::isDirty() const
{
    return m_isHardStateDirty || m_dirtySnapshot || m_firstDirtyIndex <= m_log.lastIndex();
}

void Replica::buildPersist()
{
    Persist persist;
    persist.sequence = ++m_persistSequence;
    if (std::exchange(m_isHardStateDirty, false))
        persist.hardState = m_hardState;
    persist.snapshot = std::exchange(m_dirtySnapshot, nullptr);
    for (uint64_t index = m_firstDirtyIndex; index <= m_log.lastIndex(); ++index)
        persist.records.push_back(m_log.at(index));
    m_firstDirtyIndex = noDirtyIndex;
    m_persistInFlight
        = PersistInFlight { persist.sequence, m_log.lastIndex(), persist.hardState.has_value(), persist.snapshot };
    m_actions.emplace_back(std::move(persist));
}

void Replica::checkInvariants() const
{
    const auto describeState = [&] {
        return fmt::format("replica {} term {} snapshot {} applied {} committed {} durable {} last {}", m_options.id,
            m_hardState.term(), m_log.snapshot().index(), m_appliedIndex, m_committedIndex, m_durableIndex,
            m_log.lastIndex());
    };
    checkInvariant(m_committedIndex <= m_log.lastIndex(), "committedWithinLog", describeState);
    checkInvariant(m_durableIndex <= m_log.lastIndex(), "durableWithinLog", describeState);
    checkInvariant(m_appliedIndex <= m_committedIndex, "appliedIsCommitted", describeState);
    checkInvariant(isRestoring() || m_appliedIndex <= m_durableIndex, "appliedIsDurable", describeState);
    checkInvariant(isRestoring() || m_log.snapshot().index() <= m_appliedIndex, "snapshotIsApplied", describeState);
    checkInvariant(!isLeader() || m_hardState.may_vote(), "leaderMayVote", describeState);
    checkInvariant(!isLeader() || m_leader == m_options.id, "leaderKnowsItself", describeState);
}

} // namespace teasel
