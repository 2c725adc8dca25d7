// The thread of a leader whose work takes time: what arrives meanwhile waits, and the actions of a batch take effect
// when the batch ends.
#pragma once

#include "core/clock.h"
#include "jobs/job_leader.h"

#include <ctime>
#include <functional>
#include <utility>
#include <vector>

namespace teasel {

// Processor time that work of the leader takes, and a factor on it. Without a factor, work takes no time.
struct LeaderCosts {
    double factor = 0;
    // Whether the processor time of the leader's decisions is measured, which is not deterministic; otherwise it
    // follows from what they examine.
    bool isMeasured = false;
    Duration event { 50 }; // decoding, dispatch and answer of one event
    Duration start { 60 }; // one order to an executor that starts a task, with its records and lines
    double visitUs = 0.12; // one pair of step and executor examined by planning, or one executor checked
};

class LeaderThread {
public:
    using Task = std::function<void(Instant now)>;
    using Schedule = std::function<void(Duration, std::function<void()>)>;

    // `onTick` and `finishBatch` follow the tasks of a batch; `perform` carries out the actions of the leader.
    LeaderThread(LeaderCosts costs, const ManualClock& clock, JobLeader& leader, Schedule schedule, Task onTick,
        Task finishBatch, std::function<void(std::vector<JobAction>)> perform)
        : m_costs(costs)
        , m_clock(clock)
        , m_leader(leader)
        , m_schedule(std::move(schedule))
        , m_onTick(std::move(onTick))
        , m_finishBatch(std::move(finishBatch))
        , m_perform(std::move(perform))
    {
    }

    bool takesTime() const { return m_costs.factor > 0; }

    void post(Task task)
    {
        if (m_inbox.empty())
            m_oldestAt = m_clock.now();
        m_inbox.push_back(std::move(task));
        runIfIdle();
    }

    void runIfIdle()
    {
        if (!std::exchange(m_isBusy, true))
            runBatch();
    }

    // Drops what waits and what a batch in progress would have done, as the end of the process does.
    void reset()
    {
        m_inbox.clear();
        ++m_life;
        m_isBusy = false;
    }

    Duration busy() const { return m_busy; }
    Duration longestBatch() const { return m_longestBatch; }

private:
    void runBatch()
    {
        const auto began = m_clock.now();
        const auto oldestAt = m_inbox.empty() ? began : m_oldestAt;
        Duration charged { 0 };
        for (const auto& it : std::exchange(m_inbox, {})) {
            charged += scaled(m_costs.event);
            charged += measure([&] { it(began + charged); });
        }
        charged += measure([&] { m_onTick(began + charged); });
        m_schedule(charged, [this, life = m_life, actions = m_leader.takeActions()]() mutable {
            if (life == m_life)
                m_perform(std::move(actions));
        });
        const auto rounds = m_leader.counters().planningRounds;
        const auto end = measure([&] { m_finishBatch(began + charged); });
        if (m_leader.counters().planningRounds != rounds)
            m_leader.onRoundMeasured(end);
        charged += end;
        m_leader.onLag(charged + (began - oldestAt), began + charged);
        m_busy += charged;
        m_longestBatch = std::max(m_longestBatch, charged);
        m_schedule(charged, [this, life = m_life, actions = m_leader.takeActions()]() mutable {
            if (life != m_life)
                return;
            m_isBusy = false;
            m_perform(std::move(actions));
            if (!m_inbox.empty())
                runIfIdle();
        });
    }

    Duration scaled(Duration it) const
    {
        return Duration(static_cast<int64_t>(static_cast<double>(it.count()) * m_costs.factor));
    }

    template <class Action> Duration measure(Action action)
    {
        const auto& counters = m_leader.counters();
        const auto visits = counters.planningVisits;
        const auto starts = counters.starts;
        const auto before = std::clock();
        action();
        double us = static_cast<double>(std::clock() - before) * 1e6 / CLOCKS_PER_SEC;
        if (!m_costs.isMeasured)
            us = static_cast<double>(counters.planningVisits - visits) * m_costs.visitUs
                + static_cast<double>((counters.starts - starts) * static_cast<uint64_t>(m_costs.start.count()));
        return Duration(static_cast<int64_t>(us * m_costs.factor));
    }

    LeaderCosts m_costs;
    const ManualClock& m_clock;
    JobLeader& m_leader;
    Schedule m_schedule;
    Task m_onTick;
    Task m_finishBatch;
    std::function<void(std::vector<JobAction>)> m_perform;
    std::vector<Task> m_inbox;
    Instant m_oldestAt {}; // when the first task of the inbox arrived
    bool m_isBusy = false;
    uint64_t m_life = 0;
    Duration m_busy { 0 };
    Duration m_longestBatch { 0 };
};

} // namespace teasel
