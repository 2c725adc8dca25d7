// Executors that are cut off, or crashed by a task, one after the other, and a job of one task.
#pragma once

#include "jobs_fixture.h"

namespace teasel {

constexpr uint64_t losingJob = 66;
const TaskKey losingTask { { losingJob, 0, 0 }, 0 };

// What becomes of each executor that starts the task, and when.
struct LossPlan {
    enum class Kind : uint8_t {
        CutOff, // runs on; its lease expires, and it answers again
        Crash, // its next incarnation answers
    } kind = Kind::CutOff;
    Milliseconds lostAfter { 0 }; // from the answered start
    Milliseconds silence { 8'000 }; // longer than a lease
    size_t losses = 1'000; // later starts meet no loss
    bool isStartAnswered = true;
};

class LosingFleet {
public:
    LosingFleet(size_t executors, const LossPlan& plan)
        : m_plan(plan)
    {
        for (size_t n = 0; n < executors; ++n)
            m_executors.push_back({ "x" + std::to_string(n) });
    }

    void pass(JobsFixture& it, Milliseconds time)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds n { 0 }; n < time; n += step) {
            for (auto& executor : m_executors)
                advance(it, executor);
            it.pass(step);
        }
    }

    // Until the task has been started this often; returns whether it was.
    bool passUntilStarts(JobsFixture& it, size_t starts, Milliseconds limit)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds n { 0 }; n < limit && m_starts < starts; n += step)
            pass(it, step);
        return m_starts >= starts;
    }

    size_t starts() const { return m_starts; }

private:
    struct Executor {
        std::string id;
        uint64_t born = 1;
        Instant lostAt = Instant::max();
        Instant backAt {};
        bool isAnnounced = false;
        uint64_t announcements = 0;
        std::vector<RunningTask> running {};
        std::vector<EndedTask> ended {};
    };

    void advance(JobsFixture& it, Executor& executor)
    {
        if (it.clock.now() >= executor.lostAt) {
            executor.lostAt = Instant::max();
            executor.backAt = it.clock.now() + m_plan.silence;
        }
        if (executor.backAt > it.clock.now()) {
            std::erase_if(it.orders, [&](const auto& order) { return order.executorId == executor.id; });
            return;
        }
        if (executor.backAt != Instant()) {
            executor.backAt = Instant();
            executor.isAnnounced = false;
            endRuns(executor);
        }
        if (!std::exchange(executor.isAnnounced, true))
            it.announce(executor.id, executor.born, ++executor.announcements);
        while (const auto start = it.takeOrder<StartRun>(executor.id)) {
            const auto& run = std::get<StartRun>(start->order);
            executor.running.push_back({ run.task, run.run, {}, 10, -1 });
            if (m_plan.isStartAnswered)
                it.answer(*start, { OrderOutcome::Done });
            if (m_starts++ < m_plan.losses)
                executor.lostAt = it.clock.now() + m_plan.lostAfter;
        }
        if (it.clock.now() >= executor.lostAt)
            return advance(it, executor);
        while (const auto renewal = it.takeOrder<RenewLease>(executor.id))
            it.answer(*renewal, { OrderOutcome::Done, 0, executor.born, executor.running, executor.ended, true });
        while (const auto stop = it.takeOrder<StopRun>(executor.id))
            it.answer(*stop, { OrderOutcome::Done });
    }

    void endRuns(Executor& executor) const
    {
        if (m_plan.kind == LossPlan::Kind::Crash) {
            ++executor.born;
            executor.ended.clear();
        }
        for (const auto& it : executor.running) {
            if (m_plan.kind == LossPlan::Kind::CutOff)
                executor.ended.push_back(
                    { executor.ended.size() + 1, it.task, it.run, schema::RUN_OUTCOME_LAPSED, {} });
        }
        executor.running.clear();
    }

    LossPlan m_plan;
    std::vector<Executor> m_executors;
    size_t m_starts = 0;
};

// A fleet of executors that are lost in this way, and a job of one task.
struct LosingCase {
    explicit LosingCase(const LossPlan& plan, size_t executors = 12)
        : fleet(executors, plan)
    {
        fleet.pass(it, Milliseconds(100));
        it.submit(JobsFixture::request(losingJob, 1));
    }

    void changeLeader()
    {
        it.leader.onBecameLeader(++term, it.clock.now(), it.clock.wallNow());
        fleet.pass(it, Milliseconds(20));
    }

    JobPhase phase() const { return it.state.find(losingJob)->phase; }

    JobsFixture it;
    LosingFleet fleet;
    uint64_t term = 1;
};

constexpr Milliseconds forGood = std::chrono::hours(1);
constexpr Milliseconds longAfterStart { 1'500 };
constexpr size_t cuts = 8;
constexpr size_t maxDeadlyStarts = 5; // three crashes and two more starts; the third breaks the platform's budget

} // namespace teasel
