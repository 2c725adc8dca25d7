// The durable replicated log of a process: a replica with its disk and its state machine.
#pragma once

#include "consensus/replica.h"
#include "consensus/state_machine.h"
#include "core/clock.h"
#include "core/worker_thread.h"
#include "storage/log_store.h"

#include <absl/container/btree_map.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace teasel {

struct ReplicatedLogOptions {
    ReplicaOptions replica;
    LogStoreOptions store;
    // A snapshot is due after this many records or bytes of records, whichever comes first. If the last snapshot was
    // larger than this many bytes, its size counts instead.
    uint64_t snapshotEveryRecords = 50'000;
    uint64_t snapshotEveryBytes = 16 << 20;
    bool hasOwnStorageThread = true; // false: disk jobs run through the Post function, for tests
};

// Totals since the start of the process.
struct ReplicatedLogCounters {
    uint64_t messagesSent = 0;
    uint64_t bytesSent = 0;
    uint64_t messagesReceived = 0;
    uint64_t bytesReceived = 0;
    uint64_t proposals = 0;
    uint64_t proposalsRejected = 0;
    uint64_t proposalsWithUnknownOutcome = 0;
    uint64_t recordsApplied = 0;
    uint64_t timesElected = 0;
    uint64_t timesSteppedDown = 0;
    uint64_t snapshotsInstalled = 0;
    LogStoreCounters disk;
};

// Called on the control thread.
struct ReplicatedLogEvents {
    // A proposal of this replica was applied; `result` is that of the state machine.
    std::function<void(uint64_t ticket, std::string result)> onApplied;

    // The leadership was lost before the proposal was applied. Its outcome is unknown: it may still be applied.
    std::function<void(uint64_t ticket)> onOutcomeUnknown;

    // This replica started or stopped serving.
    std::function<void(bool isServing)> onServingChanged;

    // A write failed. This replica neither acknowledges records, votes nor leads until it is restarted.
    std::function<void(const Error&)> onStorageFailed;
};

// All calls are made on the control thread; disk writes run on a storage thread.
class ReplicatedLog {
public:
    using Send = std::function<void(std::string_view to, const schema::ConsensusMessage&)>;
    // Runs a function on the control thread. Callable from any thread.
    using Post = std::function<void(std::function<void()>)>;

    ReplicatedLog(ReplicatedLogOptions, const Clock&, Disk&, StateMachine&, Send, Post, ReplicatedLogEvents);

    // Waits for the queued disk jobs.
    ~ReplicatedLog();
    ReplicatedLog(const ReplicatedLog&) = delete;
    ReplicatedLog& operator=(const ReplicatedLog&) = delete;

    // Recovers the log from disk and restores the state machine. Must succeed before anything else is called.
    Result<void> start(Instant now);

    // Must be called several times per heartbeat interval.
    void onTick(Instant now);
    void onMessage(std::string_view from, const schema::ConsensusMessage&, Instant now);

    // Proposes a command; its outcome is reported through onApplied or onOutcomeUnknown with the ticket. Returns false
    // when the proposal was rejected.
    bool propose(std::string command, uint64_t ticket, Instant now);

    // Sends and persists what was proposed since the last flush. Otherwise that happens with the next task of the
    // control thread, after those that are posted already.
    void flushProposals();

    Result<uint64_t> changeVoters(const VoterChange&, Instant now);

    // Transfers the leadership to another voter, for a graceful stop.
    void transferLeadership(Instant now);

    bool isLeader() const { return m_replica && m_replica->isLeader(); }

    // True if this replica leads and has applied everything that previous leaders committed.
    bool isServing() const { return m_replica && m_replica->isServing(); }

    // True if a read of the state machine at `now` can't be stale.
    bool holdsLease(Instant now) const { return isServing() && m_replica->holdsLease(now); }

    // The leader of the current term; empty if unknown.
    std::string_view leaderHint() const;

    // Set after a write failed.
    const std::optional<Error>& failure() const { return m_failure; }

    const Replica& replica() const { return *m_replica; }
    const ReplicatedLogCounters& counters() const { return m_counters; }

private:
    struct PendingProposal {
        uint64_t term = 0;
        uint64_t ticket = 0;
    };
    using DiskJob = std::function<Result<void>()>;

    void flush();
    void scheduleFlush();
    void execute(SendMessage&);
    void execute(Persist&);
    void execute(Apply&);
    void execute(RestoreSnapshot&);
    void execute(SendSnapshotChunk&);
    void execute(Compact&);
    void execute(BecameLeader&);
    void execute(StartedServing&);
    void execute(SteppedDown&);
    void sendAndCount(std::string_view to, const schema::ConsensusMessage&);
    void takeSnapshotIfDue(uint64_t appliedIndex);
    bool isSnapshotDue(uint64_t appliedIndex) const;
    void runDiskJob(DiskJob, std::function<void()> onDone);
    void postToStorage(std::function<void()> job);
    void postToControl(std::function<void()>);
    void onStorageFailed(Error);
    void reportPendingAsUnknown();
    void notifyServingChange();

    ReplicatedLogOptions m_options;
    const Clock& m_clock;
    StateMachine& m_stateMachine;
    Send m_send;
    Post m_post;
    ReplicatedLogEvents m_events;
    LogStore m_store; // used only by the storage thread after start()
    std::unique_ptr<Replica> m_replica;
    std::shared_ptr<const SnapshotImage> m_latestSnapshot; // sent to replicas that lack compacted records
    absl::btree_map<uint64_t, PendingProposal> m_pendingProposals; // by log index
    uint64_t m_lastSnapshotIndex = 0;
    bool m_isSavingSnapshot = false;
    bool m_isFlushing = false;
    bool m_isFlushScheduled = false;
    bool m_wasServing = false;
    std::optional<Error> m_failure;
    ReplicatedLogCounters m_counters;
    // Expires with this object; posted functions then do nothing.
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
    std::unique_ptr<WorkerThread> m_thread;
};

} // namespace teasel
