// Simulates a small fleet in one process for seeded random tests: real holders and
// leaders, with fake links, executors, callers and record of begun requests.
#pragma once

#include "core/invariant.h"
#include "core/random.h"
#include "requests/dispatch_leader.h"
#include "requests/request_holder.h"

#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace teasel {

// Counts the injected faults and the work done, so that a test can reject runs that exercised too little.
struct WorldCounts {
    std::map<std::string, uint64_t> faults;
    std::map<std::string, uint64_t> work;
};

class World {
public:
    World(uint64_t seed, WorldCounts&);
    void run();

private:
    static constexpr uint32_t members = 3;
    static constexpr Milliseconds tickPeriod { 10 };
    static constexpr Milliseconds faultPeriod { 9'000 };
    static constexpr Milliseconds recoveryPeriod { 16'000 };
    static constexpr Milliseconds leaseDuration { 800 };

    struct Process {
        std::string name;
        size_t dataCentre = 0;
        uint64_t incarnation = 1;
        bool alive = true;
        Instant pausedUntil {};
        std::unique_ptr<RequestHolder> holder;
        std::unique_ptr<DispatchLeader> leader;
        std::vector<std::function<void()>> inbox; // messages received while paused
    };
    struct DataCentre {
        Epoch epoch = 0;
        size_t leader = 0; // index of the leading process
        Instant leaseUntil {};
    };
    struct Run {
        TeamId team;
        std::string id;
    };
    struct FakeExecutor {
        std::string name;
        std::string kind; // value of its label `kind`
        size_t dataCentre = 0;
        uint64_t incarnation = 1;
        uint32_t slots = 1;
        bool alive = true;
        Duration extraLatency { 0 };
        double failureRate = 0.0;
        std::map<std::string, Run> running; // keyed by attempt key
    };
    struct Caller {
        std::string id;
        TeamId team = 0;
        bool idempotent = false;
        std::string kind; // `kind` label of the executors on which it may run; empty means all
        size_t process = 0;
        uint64_t incarnation = 0;
        bool disconnected = false;
        uint32_t answers = 0;
        uint32_t runs = 0;
        bool answeredNotRun = false;
    };
    struct BeginRecord {
        std::string attempt;
        bool finished = false;
    };
    struct Event {
        Instant at;
        uint64_t sequence;
        std::function<void()> action;
        bool operator>(const Event& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    void check(bool holds, const std::string& what);
    void after(Duration, std::function<void()>);
    void deliver(size_t process, uint64_t incarnation, std::function<void()>);
    void sendBetween(size_t from, size_t to, const std::function<void()>& action);
    bool isLinkCut(size_t a, size_t b) const;
    void startProcess(size_t);
    void killProcess(size_t);
    void tickProcess(size_t);
    void elect(size_t dataCentre);
    void announce(size_t executor);
    void executeActions(size_t process);
    void onAction(size_t process, HolderAction&);
    void send(size_t process, const SendToExecutor&);
    void startRun(size_t executor, size_t process, uint64_t incarnation, const SendToExecutor&);
    void finishRun(size_t executor, uint64_t executorIncarnation, size_t process, uint64_t incarnation,
        const std::string& key, Instant startedAt);
    void reportResult(
        size_t process, uint64_t incarnation, const std::string& key, const AttemptOutcome&, Duration service);
    void recordBegin(size_t process, const RecordBegin&);
    void onAnswered(uint64_t handle, bool didNotRun);
    void submit();
    void injectFault();
    bool injectingFaults() const { return m_now < m_faultsEnd; }
    bool faultOccurs(double probability) { return injectingFaults() && m_random.chance(probability); }
    Duration randomDuration(Milliseconds max)
    {
        return Duration(m_random.below(static_cast<uint64_t>(Duration(max).count())) + 1);
    }

    Random m_random;
    WorldCounts& m_counts;
    Instant m_now { std::chrono::seconds(1'000) };
    Instant m_faultsEnd;
    NameTable m_names;
    std::vector<TeamPolicy> m_teams;
    std::vector<Process> m_processes;
    std::vector<DataCentre> m_dataCentres;
    std::vector<FakeExecutor> m_executors;
    std::map<uint64_t, Caller> m_callers;
    std::map<std::string, uint32_t> m_runsById;
    std::map<std::string, BeginRecord> m_beginRecords;
    std::map<std::string, std::string> m_answers; // request id of each answer, keyed by process and attempt key
    std::map<std::pair<size_t, size_t>, Instant> m_linkCuts;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_eventSequence = 0;
    uint64_t m_nextHandle = 1;
};

} // namespace teasel
