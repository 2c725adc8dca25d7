// Metrics of a process, in one registry, as Prometheus reads them.
//
// Handles are looked up once and kept: they stay valid as long as the Metrics.
// All of this is safe from any thread.
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
#include <string>
#include <string_view>

namespace teasel {

// Whole-process gauges.
enum class ProcessGauge : uint8_t {
    HeldRequests = 0, // requests whose callers wait here
    Connections = 1, // open HTTP connections
    IsLeader = 2, // 1 while this process leads its data centre or the fleet state
    Epoch = 3, // of the leader that this process follows
    Revision = 4, // of the configuration in force here
    CutOff = 5, // 1 while the fleet state is out of reach
    SlotsTotal = 6, // executor slots announced
    SlotsInUse = 7,
    Executors = 8,
    Workers = 9,
    WaitingTasks = 10,
    RunningTasks = 11,
    AuthorityLeaseLeft = 12, // seconds left of the lease on the configuration
    LeadershipLeaseLeft = 13, // seconds left of the data centre leader's own lease
    LogRecords = 14, // records in the replicated log since its last snapshot
    Count = 15,
};

// Whole-process counters.
enum class ProcessCounter : uint8_t {
    LateAnswers = 0, // answers to attempts already closed, dropped
    Retries = 1,
    Placements = 2, // tasks started
    TaskMoves = 3, // tasks placed again
    Forwarded = 4, // requests sent to another data centre
    LeaderChanges = 5,
    ConfigurationChanges = 6,
    Commits = 7, // commands committed by the replicated log
    Snapshots = 8,
    Count = 9,
};

// Work of the control thread whose time is measured.
enum class ControlWork : uint8_t {
    Requests = 0,
    Placement = 1,
    Leadership = 2,
    FleetState = 3,
    Count = 4,
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

    // At most this many (team, class) pairs, and as many teams, get series of
    // their own; later ones share the series `other`.
    static constexpr size_t maxTeamSeries = 1'024;

    Metrics();

    // Seconds from arrival to the start, and from the start to the answer.
    Histogram& waitingTime(std::string_view team, std::string_view className);
    Histogram& runningTime(std::string_view team, std::string_view className);

    // Requests that wait now, and all that ever arrived.
    Gauge& waiting(std::string_view team, std::string_view className);
    Counter& arrived(std::string_view team, std::string_view className);

    // Requests running now, and how many this data centre's portion of the team's limit allows.
    Gauge& runningRequests(std::string_view team);
    Gauge& requestPortion(std::string_view team);
    Gauge& taskUse(std::string_view team, MeteredResource);
    Gauge& taskPortion(std::string_view team, MeteredResource);

    // The team's part of what is in use over its part by share; 1 is exact.
    Gauge& shareRatio(std::string_view team);

    // Committed over declared, of all workers.
    Gauge& packing(MeteredResource);

    Counter& errors(ErrorKind);
    Gauge& gauge(ProcessGauge);
    Counter& counter(ProcessCounter);

    // Seconds that one round of the control thread spent on this work.
    Histogram& controlTime(ControlWork);

    // Seconds from proposing a command to its commit.
    Histogram& commitTime() { return m_commitTime; }

    // All series in the text format.
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
    Histogram& m_commitTime;
    std::array<Gauge*, static_cast<size_t>(ProcessGauge::Count)> m_gauges {};
    std::array<Counter*, static_cast<size_t>(ProcessCounter::Count)> m_counters {};
    std::array<Histogram*, static_cast<size_t>(ControlWork::Count)> m_control {};
    std::array<Gauge*, static_cast<size_t>(MeteredResource::Count)> m_packed {};

    std::mutex m_mutex; // guards the maps below
    absl::flat_hash_map<std::string, TeamClassSeries> m_teamClasses;
    absl::flat_hash_map<std::string, TeamSeries> m_teams;
};

} // namespace teasel
