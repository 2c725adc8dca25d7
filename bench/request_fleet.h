// Simulates a fleet on a manual clock for benchmarks, with the real leaders or, as
// the baseline, a FIFO queue in each data centre.
#pragma once

#include "core/random.h"
#include "percentile.h"
#include "requests/dispatch_leader.h"

#include <fmt/format.h>

#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace teasel::bench {

// Prints one figure and returns whether it is within its bound.
inline bool report(
    const char* bench, const std::string& metric, double value, const char* unit, double bound, bool atMost)
{
    const bool passed = atMost ? value <= bound : value >= bound;
    fmt::print("{} {} {:.3f} {} {}{:g} {}\n", bench, metric, value, unit, atMost ? "<=" : ">=", bound,
        passed ? "held" : "short");
    return passed;
}

// Prints a figure for comparison, without a bound.
inline void reportBaseline(const char* bench, const std::string& metric, double value, const char* unit)
{
    fmt::print("{} {} {:.3f} {} - baseline\n", bench, metric, value, unit);
}

struct Job {
    uint64_t sequence = 0;
    TeamId team = 0;
    std::string className;
    Duration service { 0 };
    Instant arrivedAt {};
    Instant deadline {};
};

struct DataCentreSize {
    std::string name;
    uint32_t executors = 0;
    uint32_t slots = 0; // per executor
};

// Drives the real leader of one data centre through messages from a single holder.
class LeaderQueue {
public:
    LeaderQueue(const DataCentreSize& size, std::span<const TeamPolicy> teams, std::span<const ClassPolicy> classes,
        Instant now)
        : m_size(size)
        , m_leader(DispatchOptions { .dataCentre = size.name, .members = { "h" }, .defaultMaxWaitingPerTeam = 100'000 },
              m_names)
    {
        m_leader.onBecameLeader(1, now);
        m_leader.onTeams(teams, now);
        m_leader.onClasses(classes, now);
        m_next.set_full(true);
        announce(now);
    }

    void submit(const Job& job, Instant now)
    {
        auto* ticket = m_next.add_tickets();
        ticket->set_sequence(job.sequence);
        ticket->set_attempt(1);
        ticket->set_team_id(job.team);
        ticket->set_class_name(job.className);
        ticket->set_deadline_left_ms(millisecondsLeft(job.deadline, now));
    }

    void onJobEnded(const Job& job, Instant)
    {
        auto* end = m_next.add_ends();
        end->set_sequence(job.sequence);
        end->set_attempt(1);
        end->set_service_us(static_cast<uint64_t>(job.service.count()));
    }

    // Advances to `now` and appends the sequence numbers of the requests to start and of those refused.
    void step(Instant now, std::vector<uint64_t>& started, std::vector<uint64_t>& refused)
    {
        if (now >= m_lastAnnounceAt + Milliseconds(500))
            announce(now);
        m_next.set_epoch(1);
        m_next.set_batch(++m_batch);
        m_next.set_holder_incarnation(1);
        m_next.set_acknowledged_grants(m_lastGrantBatch);
        m_next.set_holder_up_ms(3'600'000);
        m_leader.onTickets("h", m_next, now);
        m_next.Clear();
        m_leader.onTick(now);
        for (auto& it : m_leader.takeActions(now)) {
            const auto& batch = std::get<SendGrants>(it).batch;
            m_lastGrantBatch = batch.batch();
            for (const auto& grant : batch.grants())
                started.push_back(grant.sequence());
            for (const auto& refusal : batch.refusals())
                refused.push_back(refusal.sequence());
        }
    }

    DispatchLeader& leader() { return m_leader; }

private:
    void announce(Instant now)
    {
        m_lastAnnounceAt = now;
        for (uint32_t n = 0; n < m_size.executors; ++n) {
            schema::ExecutorAnnounce message;
            message.set_name(fmt::format("{}.x{}", m_size.name, n));
            message.set_incarnation(1);
            message.set_address("127.1.0.1:80");
            message.set_slots(m_size.slots);
            message.set_connections(64);
            m_leader.onAnnounce(message, now);
        }
    }

    DataCentreSize m_size;
    NameTable m_names;
    DispatchLeader m_leader;
    schema::TicketBatch m_next;
    uint64_t m_batch = 0;
    uint64_t m_lastGrantBatch = 0;
    Instant m_lastAnnounceAt {};
};

// The baseline: first come, first served, regardless of team and class.
class FifoQueue {
public:
    FifoQueue(const DataCentreSize& size, std::span<const TeamPolicy>, std::span<const ClassPolicy>, Instant)
        : m_free(size.executors * size.slots)
    {
    }

    void submit(const Job& job, Instant) { m_waiting.push_back(job.sequence); }
    void onJobEnded(const Job&, Instant) { ++m_free; }
    void step(Instant, std::vector<uint64_t>& started, std::vector<uint64_t>&)
    {
        for (; m_free > 0 && !m_waiting.empty(); --m_free) {
            started.push_back(m_waiting.front());
            m_waiting.pop_front();
        }
    }

private:
    uint32_t m_free;
    std::deque<uint64_t> m_waiting;
};

// A set of data centres with one queue each.
template <class Queue> class Fleet {
public:
    static constexpr Duration stepLength { 500 };

    Fleet(std::vector<DataCentreSize> sizes, std::vector<TeamPolicy> teams, std::vector<ClassPolicy> classes)
        : m_teams(std::move(teams))
    {
        for (const auto& it : sizes)
            m_queues.push_back(std::make_unique<Queue>(it, m_teams, classes, m_clock.now()));
        m_jobs.resize(sizes.size());
        m_ends.resize(sizes.size());
    }

    Instant now() const { return m_clock.now(); }
    size_t size() const { return m_queues.size(); }
    size_t waiting(size_t dataCentre, TeamId team) const
    {
        const auto it = m_waiting.find({ dataCentre, team });
        return it == m_waiting.end() ? 0 : it->second;
    }
    uint32_t running(TeamId team) const
    {
        const auto it = m_running.find(team);
        return it == m_running.end() ? 0 : it->second;
    }

    void submit(size_t dataCentre, TeamId team, std::string className, Duration service, Duration timeout)
    {
        Job job { m_sequence++, team, std::move(className), service, now(), now() + timeout };
        ++m_waiting[{ dataCentre, team }];
        m_queues[dataCentre]->submit(job, now());
        m_jobs[dataCentre].emplace(job.sequence, std::move(job));
    }

    // Advances the clock by one step; calls `onStart(job)` for each started and `onRefused(job)` for each refused job.
    template <class OnStart, class OnRefused> void step(OnStart&& onStart, OnRefused&& onRefused)
    {
        m_clock.advance(stepLength);
        for (size_t dataCentre = 0; dataCentre < m_queues.size(); ++dataCentre) {
            endJobs(dataCentre);
            m_started.clear();
            m_refused.clear();
            m_queues[dataCentre]->step(now(), m_started, m_refused);
            for (const auto sequence : m_started)
                start(dataCentre, m_jobs[dataCentre].at(sequence), onStart);
            for (const auto sequence : m_refused) {
                const auto found = m_jobs[dataCentre].find(sequence);
                --m_waiting[{ dataCentre, found->second.team }];
                onRefused(found->second);
                m_jobs[dataCentre].erase(found);
            }
        }
        if constexpr (std::is_same_v<Queue, LeaderQueue>)
            exchangeLoad();
    }

private:
    template <class OnStart> void start(size_t dataCentre, const Job& job, OnStart&& onStart)
    {
        --m_waiting[{ dataCentre, job.team }];
        ++m_running[job.team];
        m_ends[dataCentre].push({ now() + job.service, job.sequence });
        onStart(job);
    }

    void endJobs(size_t dataCentre)
    {
        auto& ends = m_ends[dataCentre];
        while (!ends.empty() && ends.top().first <= now()) {
            const auto found = m_jobs[dataCentre].find(ends.top().second);
            ends.pop();
            --m_running[found->second.team];
            m_queues[dataCentre]->onJobEnded(found->second, now());
            m_jobs[dataCentre].erase(found);
        }
    }

    void exchangeLoad()
    {
        if (now() < m_lastExchangeAt + Milliseconds(250))
            return;
        m_lastExchangeAt = now();
        for (auto& from : m_queues) {
            const auto summary = from->leader().loadSummary();
            for (auto& to : m_queues)
                to->leader().onLoadSummary(summary, now());
        }
    }

    using End = std::pair<Instant, uint64_t>;

    ManualClock m_clock;
    std::vector<TeamPolicy> m_teams;
    std::vector<std::unique_ptr<Queue>> m_queues;
    std::vector<absl::flat_hash_map<uint64_t, Job>> m_jobs;
    std::vector<std::priority_queue<End, std::vector<End>, std::greater<>>> m_ends;
    std::map<std::pair<size_t, TeamId>, size_t> m_waiting;
    std::map<TeamId, uint32_t> m_running;
    std::vector<uint64_t> m_started;
    std::vector<uint64_t> m_refused;
    Instant m_lastExchangeAt {};
    uint64_t m_sequence = 1;
};

} // namespace teasel::bench
