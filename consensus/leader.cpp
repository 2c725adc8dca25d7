#include "consensus/leader.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr size_t maxSentRemembered = 256; // messages to one replica without an answer

    bool contains(const google::protobuf::RepeatedPtrField<std::string>& ids, std::string_view id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

} // namespace

void Leader::begin(uint64_t term, Instant now)
{
    m_term = term;
    m_began = now;
    m_needsBarrier = false;
    m_progress.clear();
    updateMembers(now);
}

void Leader::updateMembers(Instant now)
{
    const auto& set = m_log.voters();
    absl::erase_if(m_progress,
        [&](const auto& it) { return !contains(set.voters(), it.first) && !contains(set.learners(), it.first); });
    const auto add = [&](const std::string& id) {
        if (id == m_options.id || m_progress.contains(id))
            return;
        auto& progress = m_progress[id];
        progress.next = m_log.lastIndex() + 1;
        progress.lastSent = now;
    };
    std::for_each(set.voters().begin(), set.voters().end(), add);
    std::for_each(set.learners().begin(), set.learners().end(), add);
}

// ---- Replies -------------------------------------------------------------

void Leader::noteContact(Progress& progress, uint64_t sequence)
{
    while (!progress.sent.empty() && progress.sent.front().first <= sequence) {
        if (progress.sent.front().first == sequence)
            progress.contact = std::max(progress.contact, progress.sent.front().second);
        progress.sent.pop_front();
    }
}

bool Leader::acceptReply(Progress& progress, uint64_t sequence, uint64_t catchingUp, Instant now)
{
    if (catchingUp != progress.catchingUp) {
        // Every message that the lost disk answered was sent before its successor spoke up.
        if (progress.catchingUp != 0 && sequence <= progress.fence)
            return false;
        if (catchingUp != 0) {
            progress = {};
            progress.next = m_log.lastIndex() + 1;
            progress.lastSent = now;
            progress.fence = m_sequence;
            m_needsBarrier = true;
        }
        progress.catchingUp = catchingUp;
    }
    noteContact(progress, sequence);
    return true;
}

void Leader::onAppendReply(std::string_view from, const schema::AppendReply& reply, Instant now)
{
    const auto it = m_progress.find(from);
    if (it == m_progress.end())
        return;
    auto& progress = it->second;
    if (!acceptReply(progress, reply.sequence(), reply.catching_up_incarnation(), now))
        return;
    if (!reply.success()) {
        // A late refusal never undoes what is known to be durable.
        progress.next = std::max(progress.match, std::min(reply.hint_index(), m_log.lastIndex())) + 1;
        progress.inFlight.clear();
        progress.mode = progress.next < m_log.firstIndex() ? Mode::Snapshot : Mode::Probe;
        progress.isDue = true;
        return;
    }
    checkInvariant(reply.match_index() <= m_log.lastIndex(), "followerMatchWithinLeaderLog",
        [&] { return fmt::format("{} matches {} of {}", from, reply.match_index(), m_log.lastIndex()); });
    progress.match = std::max(progress.match, reply.match_index());
    progress.next = std::max(progress.next, progress.match + 1);
    while (!progress.inFlight.empty() && progress.inFlight.front() <= progress.match)
        progress.inFlight.pop_front();
    if (progress.mode != Mode::Replicate && progress.next >= m_log.firstIndex()) {
        progress.mode = Mode::Replicate;
        progress.inFlight.clear();
    }
}

void Leader::onSnapshotReply(std::string_view from, const schema::SnapshotReply& reply, Instant now)
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
        progress.match = std::max(progress.match, reply.index());
        progress.next = progress.match + 1;
        progress.mode = Mode::Probe;
        progress.isDue = true;
    } else if (reply.next_offset() != progress.snapshotOffset) {
        progress.snapshotOffset = reply.next_offset();
        progress.isDue = true;
    }
}

// ---- Quorum --------------------------------------------------------------

bool Leader::counts(std::string_view voter) const
{
    const auto it = m_progress.find(voter);
    return it != m_progress.end() && it->second.catchingUp == 0;
}

uint64_t Leader::quorumMatch(uint64_t ownDurable) const
{
    std::vector<uint64_t> matches;
    for (const auto& id : m_log.voters().voters()) {
        if (id == m_options.id)
            matches.push_back(ownDurable);
        else
            matches.push_back(counts(id) ? m_progress.at(id).match : 0);
    }
    if (matches.empty())
        return 0;
    const auto middle = matches.begin() + static_cast<std::ptrdiff_t>((matches.size() - 1) / 2);
    std::nth_element(matches.begin(), middle, matches.end());
    return *middle;
}

Instant Leader::quorumContactFrom(Instant now, Instant atLeast) const
{
    std::vector<Instant> contacts;
    for (const auto& id : m_log.voters().voters()) {
        if (id == m_options.id)
            contacts.push_back(now);
        else
            contacts.push_back(std::max(atLeast, counts(id) ? m_progress.at(id).contact : Instant::min()));
    }
    if (contacts.empty())
        return atLeast;
    const auto middle = contacts.begin() + static_cast<std::ptrdiff_t>((contacts.size() - 1) / 2);
    std::nth_element(contacts.begin(), middle, contacts.end());
    return *middle;
}

Instant Leader::quorumContact(Instant now) const { return quorumContactFrom(now, Instant::min()); }

Instant Leader::quorumContactSinceBeginning(Instant now) const { return quorumContactFrom(now, m_began); }

bool Leader::takeNeedsBarrier() { return std::exchange(m_needsBarrier, false); }

void Leader::setReadmissionBarrier(uint64_t index)
{
    for (auto& [id, progress] : m_progress)
        if (progress.catchingUp != 0 && progress.readmitIndex == 0)
            progress.readmitIndex = index;
}

uint64_t Leader::matchOf(std::string_view replica) const
{
    const auto it = m_progress.find(replica);
    return it == m_progress.end() ? 0 : it->second.match;
}

bool Leader::isCatchingUp(std::string_view replica) const { return !counts(replica); }

std::string Leader::mostCaughtUpVoter() const
{
    std::string best;
    for (const auto& id : m_log.voters().voters())
        if (counts(id) && (best.empty() || matchOf(id) > matchOf(best)))
            best = id;
    return best;
}

bool Leader::isWithinReach(std::string_view voter, Instant now) const
{
    const auto it = m_progress.find(voter);
    if (it == m_progress.end() || it->second.catchingUp != 0)
        return false;
    // One without any record may still turn out to be a lost disk.
    return it->second.match > 0 && it->second.contact + m_options.electionTimeout > now;
}

bool Leader::reachesQuorumOf(const schema::VoterSet& set, Instant now) const
{
    const auto& voters = set.voters();
    const auto reached = std::count_if(
        voters.begin(), voters.end(), [&](const auto& id) { return id == m_options.id || isWithinReach(id, now); });
    return reached > voters.size() / 2;
}

bool Leader::isSendingSnapshot(Instant now) const
{
    return std::any_of(m_progress.begin(), m_progress.end(), [&](const auto& it) {
        return it.second.mode == Mode::Snapshot && it.second.contact + m_options.electionTimeout > now;
    });
}

// ---- Sending -------------------------------------------------------------

void Leader::collect(uint64_t committed, Instant now, std::vector<ReplicaAction>& out)
{
    for (auto& [id, progress] : m_progress)
        collectFor(id, progress, committed, now, out);
}

void Leader::collectFor(
    const std::string& id, Progress& progress, uint64_t committed, Instant now, std::vector<ReplicaAction>& out)
{
    const bool isHeartbeat = now >= progress.lastSent + m_options.heartbeat;
    if (progress.mode != Mode::Snapshot && progress.next < m_log.firstIndex())
        progress.mode = Mode::Snapshot;
    if (progress.mode == Mode::Snapshot) {
        if (progress.isDue || isHeartbeat)
            sendChunk(id, progress, now, out);
        return;
    }
    if (progress.mode == Mode::Probe) {
        if (progress.isDue || isHeartbeat)
            sendAppend(id, progress, committed, false, now, out);
        return;
    }
    bool hasSent = false;
    while (progress.next <= m_log.lastIndex() && progress.inFlight.size() < m_options.maxMessagesInFlight) {
        sendAppend(id, progress, committed, true, now, out);
        hasSent = true;
    }
    if (!hasSent && (isHeartbeat || progress.isDue))
        sendAppend(id, progress, committed, false, now, out);
}

uint64_t Leader::noteSent(Progress& progress, Instant now)
{
    progress.lastSent = now;
    progress.isDue = false;
    progress.sent.emplace_back(++m_sequence, now);
    if (progress.sent.size() > maxSentRemembered)
        progress.sent.pop_front();
    return m_sequence;
}

void Leader::sendAppend(const std::string& id, Progress& progress, uint64_t committed, bool withRecords, Instant now,
    std::vector<ReplicaAction>& out)
{
    SendMessage action { id, {} };
    action.message.set_term(m_term);
    auto& request = *action.message.mutable_append_request();
    const uint64_t previous = progress.next - 1;
    request.set_previous_index(previous);
    request.set_previous_term(m_log.termAt(previous).value_or(0));
    request.set_committed_index(committed);
    request.set_sequence(noteSent(progress, now));
    if (progress.readmitIndex != 0 && std::min(committed, progress.match) >= progress.readmitIndex)
        request.set_readmitted_incarnation(progress.catchingUp);
    if (withRecords) {
        size_t bytes = 0;
        while (progress.next <= m_log.lastIndex() && bytes < m_options.maxBatchBytes) {
            const auto& record = m_log.at(progress.next++);
            bytes += record.ByteSizeLong();
            *request.add_records() = record;
        }
        progress.inFlight.push_back(progress.next - 1);
    }
    out.emplace_back(std::move(action));
}

void Leader::sendChunk(const std::string& id, Progress& progress, Instant now, std::vector<ReplicaAction>& out)
{
    if (progress.snapshot.index() != m_log.snapshot().index()) {
        progress.snapshot = m_log.snapshot();
        progress.snapshotOffset = 0;
    }
    out.emplace_back(SendSnapshotChunk { id, m_term, progress.snapshot, progress.snapshotOffset,
        noteSent(progress, now), m_options.snapshotChunkBytes });
}

} // namespace teasel
