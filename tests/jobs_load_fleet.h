// The executors of JobsLoad: they run what they are told, without faults.
#pragma once

#include "core/clock.h"
#include "jobs/job_events.h"

#include <absl/container/btree_map.h>
#include <fmt/format.h>

#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

class LoadFleet {
public:
    struct Work {
        double taskMs = 0; // on an executor of speed 1
        bool isGang = false; // all of its tasks must be present before they begin
        uint32_t tasks = 0;
    };
    struct Host {
        std::function<void(Duration, std::function<void()>)> schedule;
        std::function<void(uint64_t order, OrderResult)> sendResult;
        // A task has started: what it does; nullopt if that is no longer known.
        std::function<std::optional<Work>(const TaskKey&)> onStart;
        std::function<double()> drawSpread; // factor on the run time of a task
    };

    explicit LoadFleet(Host host)
        : m_host(std::move(host))
    {
    }

    void add(double speed) { m_executors.push_back({ fmt::format("x{}", m_executors.size()), speed }); }

    ExecutorAnnouncement announcementOf(size_t number)
    {
        auto& executor = m_executors[number];
        ExecutorAnnouncement it;
        it.record.set_id(executor.id);
        it.record.set_born_ms(1);
        it.record.set_address(executor.id);
        it.record.set_service("filling");
        it.record.mutable_capacity()->set_milli_cpus(32'000);
        it.record.mutable_capacity()->set_memory_mib(65'536);
        it.sequence = ++executor.sequence;
        return it;
    }

    void carryOut(const SendOrder& order)
    {
        auto& executor = m_executors[std::stoull(order.executorId.substr(1))];
        std::visit([&](const auto& it) { execute(executor, order.number, it); }, order.order);
    }

private:
    struct Executor {
        std::string id;
        double speed = 1;
        uint64_t sequence = 0;
        absl::btree_map<TaskKey, uint32_t> runs {}; // numbers of the runs, by task
        std::deque<EndedTask> ended {};
        uint64_t lastEnd = 0;
        uint64_t waitingRenewal = 0; // number of the renewal that waits for an end; 0: none
    };

    void execute(Executor& executor, uint64_t number, const StartRun& start)
    {
        executor.runs[start.task] = start.run;
        m_host.sendResult(number, {});
        const auto work = m_host.onStart(start.task);
        if (!work)
            return;
        if (!work->isGang)
            return startWork(executor, start.task, start.run, work->taskMs);
        auto& gang = m_gangs[start.task.step];
        if (gang.first != start.run)
            gang = { start.run, {} };
        gang.second.emplace_back(&executor, start.task);
        if (gang.second.size() < work->tasks)
            return;
        for (const auto& [member, task] : gang.second)
            startWork(*member, task, start.run, work->taskMs);
    }

    void startWork(Executor& executor, const TaskKey& task, uint32_t run, double taskMs)
    {
        const double tookMs = taskMs * m_host.drawSpread() / executor.speed;
        m_host.schedule(Duration(static_cast<int64_t>(tookMs * 1'000)), [this, &executor, task, run] {
            const auto it = executor.runs.find(task);
            if (it != executor.runs.end() && it->second == run)
                end(executor, task, schema::RUN_OUTCOME_DONE);
        });
    }

    void end(Executor& executor, const TaskKey& task, schema::RunOutcome outcome)
    {
        const auto run = executor.runs.at(task);
        executor.runs.erase(task);
        executor.ended.push_back({ ++executor.lastEnd, task, run, outcome, {} });
        if (const auto number = std::exchange(executor.waitingRenewal, 0); number != 0)
            m_host.sendResult(number, listing(executor));
    }

    void execute(Executor& executor, uint64_t number, const StopRun& stop)
    {
        m_host.sendResult(number, {});
        const auto it = executor.runs.find(stop.task);
        if (it != executor.runs.end() && it->second <= stop.run)
            end(executor, stop.task, schema::RUN_OUTCOME_STOPPED);
    }

    void execute(Executor& executor, uint64_t number, const RenewLease& renewal)
    {
        while (!executor.ended.empty() && executor.ended.front().number <= renewal.acknowledgedEnds)
            executor.ended.pop_front();
        if (!executor.ended.empty() || renewal.wait == Milliseconds(0))
            return m_host.sendResult(number, listing(executor));
        executor.waitingRenewal = number;
        m_host.schedule(renewal.wait, [this, &executor, number] {
            if (executor.waitingRenewal != number)
                return;
            executor.waitingRenewal = 0;
            m_host.sendResult(number, listing(executor));
        });
    }

    static void execute(Executor&, uint64_t, const ThrottleRun&) { }

    static OrderResult listing(const Executor& executor)
    {
        OrderResult out;
        for (const auto& [task, run] : executor.runs)
            out.running.push_back({ task, run, {}, 100, -1 });
        out.ended.assign(executor.ended.begin(), executor.ended.end());
        return out;
    }

    Host m_host;
    std::deque<Executor> m_executors; // references to elements stay valid
    absl::btree_map<StepKey, std::pair<uint32_t, std::vector<std::pair<Executor*, TaskKey>>>> m_gangs;
};

} // namespace teasel
