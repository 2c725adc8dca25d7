#include "consensus/leader_state.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr size_t maxTrackedMessages = 256; // unanswered messages tracked for each replica

    bool contains(const google::protobuf::RepeatedPtrField<std::string>& ids, std::string_view id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

} // namespace

void LeaderState::startTerm(uint64_t term, Instant now)
{
    m_term = term;
    m_termStartedAt = now;
    m_isBarrierRequested = false;
    m_progress.clear();
    updateMembers(now);
}

void LeaderState::updateMembers(Instant now)
{
    const auto& set = m_log.voters();
    absl::erase_if(m_progress,
        [&](const auto& it) { return !contains(set.voters(), it.first) && !contains(set.learners(), it.first); });
    const auto add = [&](const std::string& id) {
        if (id == m_options.id || m_progress.contains(id))
            return;
        auto& progress = m_progress[id];
        progress.nextIndex = m_log.lastIndex() + 1;
        progress.lastSentAt = now;
    };
    std::for_each(set.voters().begin(), set.voters().end(), add);
    std::for_each(set.learners().begin(), set.learners().end(), add);
}

// ---- Replies -------------------------------------------------------------

void LeaderState::recordContact(Progress& progress, uint64_t sequence)
{
    while (!progress.unanswered.empty() && progress.unanswered.front().first <= sequence) {
        if (progress.unanswered.front().first == sequence)
            progress.lastContactAt = std::max(progress.lastContactAt, progress.unanswered.front().second);
        progress.unanswered.pop_front();
    }
}

bool LeaderState::acceptReply(Progress& progress, uint64_t sequence, uint64_t catchingUpIncarnation, Instant now)
{
    if (catchingUpIncarnation != progress.catchingUpIncarnation) {
        // The lost disk can only have answered messages sent before the first reply from the new disk arrived.
        if (progress.catchingUpIncarnation != 0 && sequence <= progress.fenceSequence)
            return false;
        if (catchingUpIncarnation != 0) {
            progress = {};
            progress.nextIndex = m_log.lastIndex() + 1;
            progress.lastSentAt = now;
            progress.fenceSequence = m_sequence;
            m_isBarrierRequested = true;
        }
        progress.catchingUpIncarnation = catchingUpIncarnation;
    }
    recordContact(progress, sequence);
    return true;
}

void LeaderState::onAppendReply(std::string_view from, const schema::AppendReply& reply, Instant now)
{
    const auto it = m_progress.find(from);
    if (it == m_progress.end())
        return;
    auto& progress = it->second;
    if (!acceptReply(progress, reply.sequence(), reply.catching_up_incarnation(), now))
        return;
    if (!reply.success()) {
        // A delayed rejection must not move back past what is known to be durable.
        progress.nextIndex = std::max(progress.matchIndex, std::min(reply.hint_index(), m_log.lastIndex())) + 1;
        progress.inFlightLastIndexes.clear();
        progress.mode = progress.nextIndex < m_log.firstIndex() ? Mode::Snapshot : Mode::Probe;
        progress.isSendDue = true;
        return;
    }
    checkInvariant(reply.match_index() <= m_log.lastIndex(), "followerMatchWithinLeaderLog",
        [&] { return fmt::format("{} matches {} of {}", from, reply.match_index(), m_log.lastIndex()); });
    progress.matchIndex = std::max(progress.matchIndex, reply.match_index());
    progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
    while (!progress.inFlightLastIndexes.empty() && progress.inFlightLastIndexes.front() <= progress.matchIndex)
        progress.inFlightLastIndexes.pop_front();
    if (progress.mode != Mode::Replicate && progress.nextIndex >= m_log.firstIndex()) {
        progress.mode = Mode::Replicate;
        progress.inFlightLastIndexes.clear();
    }
}

void LeaderState::onSnapshotReply(std::string_view from, const schema::SnapshotReply& reply, Instant now)
{
    const auto it = m_progress.find(from);
    if (it == m_progress.end())
        return;
    auto& progress = it->second;
    if (!acceptReply(progress, reply.sequence(), reply.catching_up_incarnation(), now))
        return;
    if (progress.mode != Mode::Snapshot || reply.index() != progress.snapshot.index())
        return;
    if (reply.installed()) {
        progress.matchIndex = std::max(progress.matchIndex, reply.index());
        progress.nextIndex = progress.matchIndex + 1;
        progress.mode = Mode::Probe;
        progress.isSendDue = true;
    } else if (reply.next_offset() != progress.snapshotOffset) {
        progress.snapshotOffset = reply.next_offset();
        progress.isSendDue = true;
    }
}

// ---- Quorum --------------------------------------------------------------

bool LeaderState::countsTowardsQuorum(std::string_view voter) const
{
    const auto it = m_progress.find(voter);
    return it != m_progress.end() && it->second.catchingUpIncarnation == 0;
}

uint64_t LeaderState::quorumMatchIndex(uint64_t ownDurableIndex) const
{
    std::vector<uint64_t> matchIndexes;
    for (const auto& id : m_log.voters().voters()) {
        if (id == m_options.id)
            matchIndexes.push_back(ownDurableIndex);
        else
            matchIndexes.push_back(countsTowardsQuorum(id) ? m_progress.at(id).matchIndex : 0);
    }
    if (matchIndexes.empty())
        return 0;
    const auto median = matchIndexes.begin() + static_cast<std::ptrdiff_t>((matchIndexes.size() - 1) / 2);
    std::nth_element(matchIndexes.begin(), median, matchIndexes.end());
    return *median;
}

Instant LeaderState::quorumLastContactFrom(Instant now, Instant earliest) const
{
    std::vector<Instant> contacts;
    for (const auto& id : m_log.voters().voters()) {
        if (id == m_options.id)
            contacts.push_back(now);
        else
            contacts.push_back(
                std::max(earliest, countsTowardsQuorum(id) ? m_progress.at(id).lastContactAt : Instant::min()));
    }
    if (contacts.empty())
        return earliest;
    const auto median = contacts.begin() + static_cast<std::ptrdiff_t>((contacts.size() - 1) / 2);
    std::nth_element(contacts.begin(), median, contacts.end());
    return *median;
}

Instant LeaderState::quorumLastContactAt(Instant now) const { return quorumLastContactFrom(now, Instant::min()); }

Instant LeaderState::quorumLastContactOrStartAt(Instant now) const
{
    return quorumLastContactFrom(now, m_termStartedAt);
}

bool LeaderState::consumeBarrierRequest() { return std::exchange(m_isBarrierRequested, false); }

void LeaderState::setReadmissionBarrierIndex(uint64_t index)
{
    for (auto& [id, progress] : m_progress)
        if (progress.catchingUpIncarnation != 0 && progress.readmissionBarrierIndex == 0)
            progress.readmissionBarrierIndex = index;
}

uint64_t LeaderState::matchIndexOf(std::string_view replica) const
{
    const auto it = m_progress.find(replica);
    return it == m_progress.end() ? 0 : it->second.matchIndex;
}

bool LeaderState::isCatchingUp(std::string_view replica) const { return !countsTowardsQuorum(replica); }

std::string LeaderState::mostCaughtUpVoter() const
{
    std::string best;
    for (const auto& id : m_log.voters().voters())
        if (countsTowardsQuorum(id) && (best.empty() || matchIndexOf(id) > matchIndexOf(best)))
            best = id;
    return best;
}

bool LeaderState::isReachable(std::string_view voter, Instant now) const
{
    const auto it = m_progress.find(voter);
    if (it == m_progress.end() || it->second.catchingUpIncarnation != 0)
        return false;
    // A replica without any record may have lost its disk and not have reported it yet.
    return it->second.matchIndex > 0 && it->second.lastContactAt + m_options.electionTimeout > now;
}

bool LeaderState::isQuorumReachable(const schema::VoterSet& set, Instant now) const
{
    const auto& voters = set.voters();
    const auto reachable = std::count_if(
        voters.begin(), voters.end(), [&](const auto& id) { return id == m_options.id || isReachable(id, now); });
    return reachable > voters.size() / 2;
}

bool LeaderState::isSendingSnapshot(Instant now) const
{
    return std::any_of(m_progress.begin(), m_progress.end(), [&](const auto& it) {
        return it.second.mode == Mode::Snapshot && it.second.lastContactAt + m_options.electionTimeout > now;
    });
}

// ---- Sending -------------------------------------------------------------

void LeaderState::collectMessages(uint64_t committed, Instant now, std::vector<ReplicaAction>& out)
{
    for (auto& [id, progress] : m_progress)
        collectMessagesFor(id, progress, committed, now, out);
}

void LeaderState::collectMessagesFor(
    const std::string& id, Progress& progress, uint64_t committed, Instant now, std::vector<ReplicaAction>& out)
{
    const bool isHeartbeat = now >= progress.lastSentAt + m_options.heartbeat;
    if (progress.mode != Mode::Snapshot && progress.nextIndex < m_log.firstIndex())
        progress.mode = Mode::Snapshot;
    if (progress.mode == Mode::Snapshot) {
        if (progress.isSendDue || isHeartbeat)
            sendChunk(id, progress, now, out);
        return;
    }
    if (progress.mode == Mode::Probe) {
        if (progress.isSendDue || isHeartbeat)
            sendAppend(id, progress, committed, false, now, out);
        return;
    }
    bool hasSentRecords = false;
    while (progress.nextIndex <= m_log.lastIndex() && maySendRecords(progress)) {
        sendAppend(id, progress, committed, true, now, out);
        hasSentRecords = true;
    }
    if (!hasSentRecords && (isHeartbeat || progress.isSendDue))
        sendAppend(id, progress, committed, false, now, out);
}

bool LeaderState::maySendRecords(const Progress& progress) const
{
    if (progress.inFlightLastIndexes.empty())
        return true;
    return progress.inFlightLastIndexes.size() < m_options.maxMessagesInFlight
        && m_log.bytesBetween(progress.matchIndex, progress.nextIndex) <= m_options.maxBytesInFlight;
}

uint64_t LeaderState::recordSend(Progress& progress, Instant now)
{
    progress.lastSentAt = now;
    progress.isSendDue = false;
    progress.unanswered.emplace_back(++m_sequence, now);
    if (progress.unanswered.size() > maxTrackedMessages)
        progress.unanswered.pop_front();
    return m_sequence;
}

void LeaderState::sendAppend(const std::string& id, Progress& progress, uint64_t committed, bool withRecords,
    Instant now, std::vector<ReplicaAction>& out)
{
    SendMessage action { id, {} };
    action.message.set_term(m_term);
    auto& request = *action.message.mutable_append_request();
    const uint64_t previousIndex = progress.nextIndex - 1;
    request.set_previous_index(previousIndex);
    request.set_previous_term(m_log.termAt(previousIndex).value_or(0));
    request.set_committed_index(committed);
    request.set_sequence(recordSend(progress, now));
    if (progress.readmissionBarrierIndex != 0
        && std::min(committed, progress.matchIndex) >= progress.readmissionBarrierIndex)
        request.set_readmitted_incarnation(progress.catchingUpIncarnation);
    if (withRecords) {
        size_t bytes = 0;
        while (progress.nextIndex <= m_log.lastIndex()) {
            const auto& record = m_log.at(progress.nextIndex);
            bytes += record.ByteSizeLong();
            if (bytes > m_options.maxBatchBytes && !request.records().empty())
                break;
            *request.add_records() = record;
            ++progress.nextIndex;
        }
        progress.inFlightLastIndexes.push_back(progress.nextIndex - 1);
    }
    out.emplace_back(std::move(action));
}

void LeaderState::sendChunk(const std::string& id, Progress& progress, Instant now, std::vector<ReplicaAction>& out)
{
    if (progress.snapshot.index() != m_log.snapshot().index()) {
        progress.snapshot = m_log.snapshot();
        progress.snapshotOffset = 0;
    }
    out.emplace_back(SendSnapshotChunk { id, m_term, progress.snapshot, progress.snapshotOffset,
        recordSend(progress, now), m_options.snapshotChunkBytes });
}

} // namespace teasel
