// Metrics of a process, in one Prometheus registry.
//
// The returned metric references stay valid as long as the Metrics object, so callers may keep them instead of looking
// them up again. All functions are thread-safe.
#pragma once

#include "core/clock.h"
#include "core/error_kind.h"

#include <absl/container/flat_hash_map.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>
#include <cstdint>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace teasel {

// Gauges of the whole process, without labels.
enum class ProcessGauge : uint8_t {
    HeldRequests = 0, // requests whose callers wait for an answer from this process
    Connections = 1, // open HTTP connections
    IsLeader = 2, // 1 while this process leads its data centre or the fleet state
    Epoch = 3, // epoch of the leader that this process follows
    Revision = 4, // revision of the configuration in force in this process
    CutOff = 5, // 1 while the fleet state is unreachable
    SlotsTotal = 6, // slots that executors announced
    SlotsInUse = 7,
    Executors = 8,
    Workers = 9,
    WaitingTasks = 10,
    RunningTasks = 11,
    AuthorityLeaseLeft = 12, // seconds left of the lease on the configuration
    LeadershipLeaseLeft = 13, // seconds left of the data centre leader's own lease
    LogRecords = 14, // records in the replicated log since its last snapshot
    RunsToEvacuate = 15, // runs left in evacuated data centres, as the leader knows them
    LogBytes = 16, // of the replicated log's records in memory
    DiskBytes = 17, // of the replicated log's files, with the snapshot
    ControlWait = 18, // longest time in the last second that work waited for the control thread
    ControlBatch = 19, // longest time in the last second that the control thread took for one batch of work
    TakeoverTime = 20, // from the last contact with the previous leader to this leader's first start
    Count = 21,
};

// Counters of the whole process, without labels.
enum class ProcessCounter : uint8_t {
    LateAnswers = 0, // answers dropped because their attempt was already closed
    Retries = 1,
    Placements = 2, // tasks started
    TaskMoves = 3, // placements of tasks that had been placed before
    Forwarded = 4, // requests sent to another data centre
    LeaderChanges = 5,
    ConfigurationChanges = 6,
    Commits = 7, // commands committed by the replicated log
    Snapshots = 8,
    EvacuatedRuns = 9, // runs that were stopped to move them out of an evacuated data centre
    MessagesDropped = 10, // messages to other processes that were not sent, for any reason
    MessagesTooLarge = 11, // those of them that no peer would accept
    CallersClosed = 12, // callers' connections closed for want of room
    Count = 13,
};

// Categories of work of the control thread whose duration is measured.
enum class ControlWork : uint8_t {
    Requests = 0,
    Placement = 1,
    Leadership = 2,
    FleetState = 3,
    Planning = 4,
    Count = 5,
};

enum class MeteredResource : uint8_t {
    MilliCpus = 0,
    MemoryMib = 1,
    Accelerators = 2,
    Count = 3,
};

class Metrics {
public:
    using Counter = prometheus::Counter;
    using Gauge = prometheus::Gauge;
    using Histogram = prometheus::Histogram;

    // Maximum number of (team, class) pairs, and of teams, that get their own series. All further ones share the series
    // with the label value `other`.
    static constexpr size_t maxTeamSeries = 1'024;

    Metrics();

    // Seconds from a request's arrival to its start, and from its start to its answer.
    Histogram& waitingTime(std::string_view team, std::string_view className);
    Histogram& runningTime(std::string_view team, std::string_view className);

    // Number of requests waiting now, and total number of requests that have arrived.
    Gauge& waiting(std::string_view team, std::string_view className);
    Counter& arrived(std::string_view team, std::string_view className);

    // Number of requests running now, and the number that this data centre's portion of the team's limit allows.
    Gauge& runningRequests(std::string_view team);
    Gauge& requestPortion(std::string_view team);
    Gauge& taskUse(std::string_view team, MeteredResource);
    Gauge& taskPortion(std::string_view team, MeteredResource);

    // The team's fraction of the capacity in use divided by its fair share; 1 means that it uses exactly its share.
    Gauge& shareRatio(std::string_view team);

    // Committed divided by declared resources, over all workers.
    Gauge& packing(MeteredResource);

    Counter& errors(ErrorKind);
    Gauge& gauge(ProcessGauge);
    Counter& counter(ProcessCounter);

    // Seconds that one iteration of the control thread spent on this category of work.
    Histogram& controlTime(ControlWork);

    // Seconds that jobs of a queue spend in a stage. All calls must pass the same bounds. The caller limits the number
    // of queues.
    Histogram& jobStage(std::string_view queue, std::string_view stage, std::span<const int64_t> boundsMs);

    // Seconds from proposing a command to its commit.
    Histogram& commitTime() { return m_commitTime; }

    // All series in the Prometheus text format.
    std::string renderMetrics() const;

private:
    struct TeamClassSeries {
        Histogram* waitingTime = nullptr;
        Histogram* runningTime = nullptr;
        Gauge* waiting = nullptr;
        Counter* arrived = nullptr;
    };
    struct TeamSeries {
        Gauge* runningRequests = nullptr;
        Gauge* requestPortion = nullptr;
        Gauge* shareRatio = nullptr;
        std::array<Gauge*, static_cast<size_t>(MeteredResource::Count)> taskUse {};
        std::array<Gauge*, static_cast<size_t>(MeteredResource::Count)> taskPortion {};
    };

    TeamClassSeries seriesOf(std::string_view team, std::string_view className);
    TeamSeries seriesOf(std::string_view team);
    TeamClassSeries makeSeries(const std::string& team, const std::string& className);
    TeamSeries makeSeries(const std::string& team);

    prometheus::Registry m_registry;
    prometheus::Family<Histogram>& m_waitingTime;
    prometheus::Family<Histogram>& m_runningTime;
    prometheus::Family<Gauge>& m_waiting;
    prometheus::Family<Counter>& m_arrived;
    prometheus::Family<Gauge>& m_runningRequests;
    prometheus::Family<Gauge>& m_requestPortion;
    prometheus::Family<Gauge>& m_taskUse;
    prometheus::Family<Gauge>& m_taskPortion;
    prometheus::Family<Gauge>& m_shareRatio;
    prometheus::Family<Gauge>& m_packing;
    prometheus::Family<Counter>& m_errors;
    prometheus::Family<Histogram>& m_controlTime;
    prometheus::Family<Histogram>& m_jobStage;
    Histogram& m_commitTime;
    std::array<Gauge*, static_cast<size_t>(ProcessGauge::Count)> m_gauges {};
    std::array<Counter*, static_cast<size_t>(ProcessCounter::Count)> m_counters {};
    std::array<Histogram*, static_cast<size_t>(ControlWork::Count)> m_controlHistograms {};
    std::array<Gauge*, static_cast<size_t>(MeteredResource::Count)> m_packingGauges {};

    std::mutex m_mutex; // guards the maps below
    absl::flat_hash_map<std::string, TeamClassSeries> m_teamClasses;
    absl::flat_hash_map<std::string, TeamSeries> m_teams;
};

} // namespace teasel
