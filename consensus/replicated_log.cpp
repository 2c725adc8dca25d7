#include "consensus/replicated_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    // Snapshots that may become due while one is sent to another replica, before a new one is taken.
    constexpr uint64_t maxPostponedSnapshots = 2;

} // namespace

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions options, const Clock& clock, Disk& disk, StateMachine& stateMachine,
    Send send, Post post, ReplicatedLogEvents events)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_stateMachine(stateMachine)
    , m_send(std::move(send))
    , m_post(std::move(post))
    , m_events(std::move(events))
    , m_store(disk, m_options.store)
{
}

ReplicatedLog::~ReplicatedLog() { m_thread.reset(); }

Result<void> ReplicatedLog::start(Instant now)
{
    BOOST_LEAF_AUTO(recovered, m_store.open());
    if (!recovered.isEmpty && recovered.hardState.replica() != m_options.replica.id)
        return fail(ErrorKind::StateUnavailable,
            fmt::format("the data folder belongs to replica {}, not to {}; correct the settings",
                recovered.hardState.replica(), m_options.replica.id));
    if (recovered.snapshot.index() != 0) {
        BOOST_LEAF_AUTO(image, m_store.readSnapshot());
        BOOST_LEAF_CHECK(m_stateMachine.restore(image.data));
        m_lastSnapshotIndex = image.meta.index();
        m_latestSnapshot = std::make_shared<const SnapshotImage>(std::move(image));
    }
    m_counters.disk = m_store.counters();
    if (m_options.hasOwnStorageThread)
        m_thread = std::make_unique<WorkerThread>();
    m_replica = std::make_unique<Replica>(m_options.replica, std::move(recovered), now);
    flush();
    return {};
}

// ---- Inputs --------------------------------------------------------------

void ReplicatedLog::onTick(Instant now)
{
    m_replica->onTick(now);
    flush();
}

void ReplicatedLog::onMessage(std::string_view from, const schema::ConsensusMessage& message, Instant now)
{
    ++m_counters.messagesReceived;
    m_counters.bytesReceived += message.ByteSizeLong();
    m_replica->onMessage(from, message, now);
    scheduleFlush();
}

bool ReplicatedLog::propose(std::string command, uint64_t ticket, Instant now)
{
    const auto index = m_replica->propose(std::move(command), now);
    if (!index) {
        ++m_counters.proposalsRejected;
        return false;
    }
    ++m_counters.proposals;
    m_pendingProposals[*index] = { m_replica->term(), ticket };
    scheduleFlush();
    return true;
}

void ReplicatedLog::flushProposals()
{
    if (m_isFlushScheduled)
        flush();
}

Result<uint64_t> ReplicatedLog::changeVoters(const VoterChange& change, Instant now)
{
    auto index = m_replica->changeVoters(change, now);
    flush();
    return index;
}

void ReplicatedLog::transferLeadership(Instant now)
{
    m_replica->transferLeadership(now);
    flush();
}

std::string_view ReplicatedLog::leaderHint() const { return m_replica ? m_replica->leader() : std::string_view {}; }

// ---- Actions -------------------------------------------------------------

void ReplicatedLog::scheduleFlush()
{
    // Inputs that arrive before the posted flush runs are batched into one.
    if (std::exchange(m_isFlushScheduled, true))
        return;
    postToControl([this] {
        m_isFlushScheduled = false;
        flush();
    });
}

void ReplicatedLog::flush()
{
    if (std::exchange(m_isFlushing, true))
        return;
    for (auto actions = m_replica->takeActions(); !actions.empty(); actions = m_replica->takeActions())
        for (auto& action : actions)
            std::visit([this](auto& it) { execute(it); }, action);
    m_isFlushing = false;
    notifyServingChange();
}

void ReplicatedLog::sendAndCount(std::string_view to, const schema::ConsensusMessage& message)
{
    ++m_counters.messagesSent;
    m_counters.bytesSent += message.ByteSizeLong();
    m_send(to, message);
}

void ReplicatedLog::execute(SendMessage& action) { sendAndCount(action.to, action.message); }

void ReplicatedLog::execute(SendSnapshotChunk& action)
{
    if (!m_latestSnapshot || m_latestSnapshot->meta.index() != action.meta.index()
        || action.offset > m_latestSnapshot->data.size())
        return;
    const auto data = std::string_view(m_latestSnapshot->data).substr(action.offset, action.maxBytes);
    schema::ConsensusMessage message;
    message.set_term(action.term);
    auto& chunk = *message.mutable_snapshot_chunk();
    *chunk.mutable_meta() = action.meta;
    chunk.set_offset(action.offset);
    chunk.set_data(std::string(data));
    chunk.set_last(action.offset + data.size() == m_latestSnapshot->data.size());
    chunk.set_sequence(action.sequence);
    sendAndCount(action.to, message);
}

void ReplicatedLog::execute(Persist& action)
{
    const auto sequence = action.sequence;
    runDiskJob(
        [this, persist = std::move(action)]() -> Result<void> {
            if (persist.hardState)
                BOOST_LEAF_CHECK(m_store.saveHardState(*persist.hardState));
            if (persist.snapshot)
                BOOST_LEAF_CHECK(m_store.installSnapshot(*persist.snapshot));
            return m_store.append(persist.records);
        },
        [this, sequence] { m_replica->onPersisted(sequence, m_clock.now()); });
}

void ReplicatedLog::execute(Apply& action)
{
    const auto& record = action.record;
    std::string result;
    if (record.has_command())
        result = m_stateMachine.apply(record.index(), record.command());
    ++m_counters.recordsApplied;
    if (const auto it = m_pendingProposals.find(record.index()); it != m_pendingProposals.end()) {
        const auto pending = it->second;
        m_pendingProposals.erase(it);
        if (pending.term == record.term())
            m_events.onApplied(pending.ticket, std::move(result));
        else
            m_events.onOutcomeUnknown(pending.ticket);
    }
    takeSnapshotIfDue(record.index());
}

void ReplicatedLog::execute(RestoreSnapshot& action)
{
    ++m_counters.snapshotsInstalled;
    m_latestSnapshot = action.image;
    m_lastSnapshotIndex = m_latestSnapshot->meta.index();
    auto outcome = valueOrError([&] { return m_stateMachine.restore(m_latestSnapshot->data); });
    if (auto* error = std::get_if<Error>(&outcome))
        onStorageFailed(std::move(*error));
}

void ReplicatedLog::execute(Compact& action)
{
    runDiskJob([this, firstIndex = action.firstIndex] { return m_store.compact(firstIndex); }, [] {});
}

void ReplicatedLog::execute(BecameLeader&) { ++m_counters.timesElected; }

void ReplicatedLog::execute(StartedServing&) { notifyServingChange(); }

void ReplicatedLog::execute(SteppedDown&)
{
    ++m_counters.timesSteppedDown;
    reportPendingAsUnknown();
    notifyServingChange();
}

void ReplicatedLog::reportPendingAsUnknown()
{
    const auto pending = std::exchange(m_pendingProposals, {});
    m_counters.proposalsWithUnknownOutcome += pending.size();
    for (const auto& [index, it] : pending)
        m_events.onOutcomeUnknown(it.ticket);
}

void ReplicatedLog::notifyServingChange()
{
    if (std::exchange(m_wasServing, isServing()) != m_wasServing)
        m_events.onServingChanged(m_wasServing);
}

bool ReplicatedLog::isSnapshotDue(uint64_t appliedIndex) const
{
    const auto lastSize = m_latestSnapshot ? m_latestSnapshot->data.size() : 0;
    const auto maxBytes = std::max<uint64_t>(m_options.snapshotEveryBytes, lastSize);
    const auto bytes = m_replica->log().bytesBetween(m_lastSnapshotIndex, appliedIndex);
    // A new snapshot makes a transfer to another replica start again; it waits for the transfer, but not for ever.
    if (m_replica->isSendingSnapshot())
        return bytes >= maxBytes * maxPostponedSnapshots;
    return bytes >= maxBytes || appliedIndex >= m_lastSnapshotIndex + m_options.snapshotEveryRecords;
}

void ReplicatedLog::takeSnapshotIfDue(uint64_t appliedIndex)
{
    if (m_isSavingSnapshot || !isSnapshotDue(appliedIndex))
        return;
    m_isSavingSnapshot = true;
    m_lastSnapshotIndex = appliedIndex;
    auto image = std::make_shared<const SnapshotImage>(
        SnapshotImage { m_replica->log().snapshotMetaAt(appliedIndex), m_stateMachine.snapshot() });
    runDiskJob([this, image] { return m_store.saveSnapshot(*image); },
        [this, image] {
            m_isSavingSnapshot = false;
            // The leader may have installed a newer snapshot in the meantime.
            if (image->meta.index() <= m_replica->log().snapshot().index())
                return;
            m_latestSnapshot = image;
            m_replica->onSnapshotSaved(image->meta);
        });
}

// ---- Disk ----------------------------------------------------------------

void ReplicatedLog::postToControl(std::function<void()> function)
{
    m_post([alive = std::weak_ptr(m_alive), function = std::move(function)] {
        if (!alive.expired())
            function();
    });
}

void ReplicatedLog::postToStorage(std::function<void()> job)
{
    if (m_thread)
        m_thread->post(std::move(job));
    else
        postToControl(std::move(job));
}

void ReplicatedLog::runDiskJob(DiskJob job, std::function<void()> onDone)
{
    postToStorage([this, job = std::move(job), onDone = std::move(onDone)] {
        auto outcome = valueOrError(job);
        postToControl([this, outcome = std::move(outcome), counters = m_store.counters(), onDone] {
            m_counters.disk = counters;
            if (const auto* error = std::get_if<Error>(&outcome))
                onStorageFailed(*error);
            else
                onDone();
            flush();
        });
    });
}

void ReplicatedLog::onStorageFailed(Error error)
{
    if (m_failure)
        return;
    m_failure = std::move(error);
    m_replica->onStorageFailed(m_clock.now());
    reportPendingAsUnknown();
    m_events.onStorageFailed(*m_failure);
}

} // namespace teasel
