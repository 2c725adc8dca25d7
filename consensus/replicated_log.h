// The durable replicated log as a daemon uses it: a replica, its disk and a state machine.
#pragma once

#include "consensus/replica.h"
#include "consensus/state_machine.h"
#include "core/clock.h"
#include "storage/log_store.h"
#include "storage/storage_thread.h"

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
    uint64_t snapshotEveryRecords = 50'000;
    bool hasOwnStorageThread = true; // false: disk jobs run through the post function, for tests
};

// What happened since the start.
struct ReplicatedLogCounters {
    uint64_t messagesSent = 0;
    uint64_t bytesSent = 0;
    uint64_t messagesReceived = 0;
    uint64_t bytesReceived = 0;
    uint64_t proposals = 0;
    uint64_t proposalsTurnedAway = 0;
    uint64_t proposalsDropped = 0;
    uint64_t recordsApplied = 0;
    uint64_t timesLeader = 0;
    uint64_t timesSteppedDown = 0;
    uint64_t snapshotsInstalled = 0;
    LogStoreCounters disk;
};

// Called on the control thread.
struct ReplicatedLogEvents {
    // A proposal of this replica was applied, with the state machine's result.
    std::function<void(uint64_t ticket, std::string result)> onApplied;

    // The leadership was lost before the outcome was known: it may be applied or not.
    std::function<void(uint64_t ticket)> onDropped;

    // This replica began or ceased to serve.
    std::function<void(bool isServing)> onServingChanged;

    // A write failed. This replica neither acknowledges, votes nor leads until it is started again.
    std::function<void(const Error&)> onStorageFailed;
};

// Decides on the control thread, on which all calls are made, and writes on a
// storage thread.
class ReplicatedLog {
public:
    using Send = std::function<void(std::string_view to, const schema::ConsensusMessage&)>;
    using Post = std::function<void(std::function<void()>)>; // runs a function on the control thread, from any thread

    ReplicatedLog(ReplicatedLogOptions, const Clock&, Disk&, StateMachine&, Send, Post, ReplicatedLogEvents);

    // Waits for the disk jobs under way.
    ~ReplicatedLog();
    ReplicatedLog(const ReplicatedLog&) = delete;
    ReplicatedLog& operator=(const ReplicatedLog&) = delete;

    // Recovers what is on disk and restores the state machine. Nothing else may be called before it succeeds.
    Result<void> start(Instant now);

    // To be called several times in each heartbeat interval.
    void onTick(Instant now);
    void onMessage(std::string_view from, const schema::ConsensusMessage&, Instant now);

    // Proposes a command; the outcome comes by onApplied or onDropped with the
    // ticket. False when it was not taken.
    bool propose(std::string command, uint64_t ticket, Instant now);

    Result<uint64_t> changeVoters(const VoterChange&, Instant now);

    // Hands the leadership over, for a graceful stop.
    void stepDown(Instant now);

    bool isLeader() const { return m_replica && m_replica->isLeader(); }

    // Leads and has applied all that earlier leaders committed.
    bool isServing() const { return m_replica && m_replica->isServing(); }

    // A read of the state machine now can't be stale.
    bool holdsLease(Instant now) const { return isServing() && m_replica->holdsLease(now); }

    // The leader as far as it is known; empty if not.
    std::string_view leaderHint() const;

    // Set after a write failed.
    const std::optional<Error>& failure() const { return m_failure; }

    const Replica& replica() const { return *m_replica; }
    const ReplicatedLogCounters& counters() const { return m_counters; }

private:
    struct WaitingProposal {
        uint64_t term = 0;
        uint64_t ticket = 0;
    };
    using DiskJob = std::function<Result<void>()>;

    void flush();
    void scheduleFlush();
    void carryOut(SendMessage&);
    void carryOut(Persist&);
    void carryOut(Apply&);
    void carryOut(RestoreSnapshot&);
    void carryOut(SendSnapshotChunk&);
    void carryOut(Compact&);
    void carryOut(BecameLeader&);
    void carryOut(StartedServing&);
    void carryOut(SteppedDown&);
    void sendCounted(std::string_view to, const schema::ConsensusMessage&);
    void takeSnapshotIfDue(uint64_t appliedIndex);
    void runOnDisk(DiskJob, std::function<void()> onDone);
    void runOnStorage(std::function<void()> job);
    void postToControl(std::function<void()>);
    void onStorageFailed(Error);
    void dropWaiting();
    void noteServing();

    ReplicatedLogOptions m_options;
    const Clock& m_clock;
    StateMachine& m_machine;
    Send m_send;
    Post m_post;
    ReplicatedLogEvents m_events;
    LogStore m_store; // after start() used by the storage thread only
    std::unique_ptr<Replica> m_replica;
    std::shared_ptr<const SnapshotImage> m_image; // the newest snapshot
    absl::btree_map<uint64_t, WaitingProposal> m_waiting; // by index
    uint64_t m_lastSnapshotIndex = 0;
    bool m_isSavingSnapshot = false;
    bool m_isFlushing = false;
    bool m_isFlushScheduled = false;
    bool m_wasServing = false;
    std::optional<Error> m_failure;
    ReplicatedLogCounters m_counters;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true); // held weakly by posted functions
    std::unique_ptr<StorageThread> m_thread;
};

} // namespace teasel
