// A small fleet in one process for seeded random runs: real holders and
// leaders, with fakes of link, executors, callers and the record of begun requests.
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

// What was injected, done and answered; a run that did too little proves nothing.
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
    static constexpr Milliseconds tick { 10 };
    static constexpr Milliseconds chaos { 9'000 };
    static constexpr Milliseconds quiet { 16'000 };
    static constexpr Milliseconds lease { 800 };

    struct Process {
        std::string name;
        size_t dataCentre = 0;
        uint64_t incarnation = 1;
        bool alive = true;
        Instant pausedUntil {};
        std::unique_ptr<RequestHolder> holder;
        std::unique_ptr<DispatchLeader> leader;
        std::vector<std::function<void()>> inbox; // while paused
    };
    struct Centre {
        Epoch epoch = 0;
        size_t leader = 0; // process number
        Instant leaseUntil {};
    };
    struct Run {
        TeamId team;
        std::string id;
    };
    struct Runner { // an executor
        std::string name;
        std::string kind; // a label
        size_t dataCentre = 0;
        uint64_t incarnation = 1;
        uint32_t slots = 1;
        bool alive = true;
        Duration lag { 0 };
        double failing = 0.0;
        std::map<std::string, Run> running; // by attempt key
    };
    struct Caller {
        std::string id;
        TeamId team = 0;
        bool idempotent = false;
        std::string kind; // label of the executors that it may run on; empty: all
        size_t process = 0;
        uint64_t incarnation = 0;
        bool gone = false;
        uint32_t answers = 0;
        uint32_t runs = 0;
        bool toldNotRun = false;
    };
    struct Begun {
        std::string attempt;
        bool finished = false;
    };
    struct Event {
        Instant at;
        uint64_t order;
        std::function<void()> act;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void check(bool holds, const std::string& what);
    void after(Duration, std::function<void()>);
    void deliver(size_t process, uint64_t incarnation, std::function<void()>);
    void sendBetween(size_t from, size_t to, const std::function<void()>& act);
    bool cut(size_t a, size_t b) const;
    void startProcess(size_t);
    void killProcess(size_t);
    void tickProcess(size_t);
    void elect(size_t dataCentre);
    void announce(size_t runner);
    void pump(size_t process);
    void onAction(size_t process, HolderAction&);
    void send(size_t process, const SendToExecutor&);
    void arrive(size_t runner, size_t process, uint64_t incarnation, const SendToExecutor&);
    void finishRun(size_t runner, uint64_t runnerIncarnation, size_t process, uint64_t incarnation,
        const std::string& key, Instant began);
    void report(size_t process, uint64_t incarnation, const std::string& key, const AttemptOutcome&, Duration service);
    void begin(size_t process, const BeginDurably&);
    void answered(uint64_t handle, bool didNotRun);
    void submit();
    void fault();
    bool chaotic() const { return m_now < m_end; }
    bool happens(double probability) { return chaotic() && m_random.chance(probability); }
    Duration upTo(Milliseconds most)
    {
        return Duration(m_random.below(static_cast<uint64_t>(Duration(most).count())) + 1);
    }

    Random m_random;
    WorldCounts& m_counts;
    Instant m_now { std::chrono::seconds(1'000) };
    Instant m_end;
    NameTable m_names;
    std::vector<TeamPolicy> m_teams;
    std::vector<Process> m_processes;
    std::vector<Centre> m_centres;
    std::vector<Runner> m_runners;
    std::map<uint64_t, Caller> m_callers;
    std::map<std::string, uint32_t> m_runsById;
    std::map<std::string, Begun> m_begun;
    std::map<std::string, std::string> m_answers; // by process and attempt key: the id that the answer is for
    std::map<std::pair<size_t, size_t>, Instant> m_cuts;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    uint64_t m_order = 0;
    uint64_t m_nextHandle = 1;
};

} // namespace teasel
