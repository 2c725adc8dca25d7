// A job plane leader on a log that commits at once, for tests that answer its orders by hand.
#pragma once

#include "jobs/job_leader.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teasel {

class JobsFixture {
public:
    // By default starts do not wait for a poll.
    static JobLeaderOptions defaultOptions()
    {
        JobLeaderOptions options;
        options.maxContactAge = std::chrono::hours(1);
        return options;
    }

    explicit JobsFixture(bool needsTickets = false, const JobLeaderOptions& options = defaultOptions())
        : leader(options, state)
    {
        schema::JobCommand command;
        auto& configuration = *command.add_changes()->mutable_configuration();
        configuration.set_version(1);
        auto& queue = *configuration.add_queues();
        queue.set_name("blend");
        queue.set_host("farm.example");
        queue.set_path_prefix("/blend/");
        queue.set_service("filling");
        queue.set_timeout_ms(3'000);
        queue.set_target_latency_ms(1'000);
        queue.set_max_attempts(2);
        queue.set_slack_factor(10);
        if (needsTickets) {
            queue.mutable_advice()->set_base_ms(20);
            queue.mutable_advice()->set_ticket_valid_ms(2'000);
        }
        configuration.add_services()->set_name("filling");
        auto& team = *configuration.add_teams();
        team.set_name("orchard");
        team.add_keys("key");
        team.set_weight(100);
        state.apply(0, command.SerializeAsString());
        leader.setAdviceInstances({ "front-1" });
        leader.onBecameLeader(1, clock.now(), clock.wallNow());
        commitAndCollect();
    }

    // Commits proposals until no action is left, and collects all other actions for the test.
    void commitAndCollect()
    {
        leader.finishBatch(clock.now(), clock.wallNow());
        for (auto actions = leader.takeActions(); !actions.empty(); actions = leader.takeActions()) {
            for (auto& it : actions) {
                if (auto* propose = std::get_if<ProposeJobs>(&it)) {
                    state.apply(0, propose->command.SerializeAsString());
                    leader.onCommitted(propose->ticket, clock.now());
                } else if (auto* order = std::get_if<SendOrder>(&it)) {
                    sentAt[order->number] = clock.now();
                    orders.push_back(std::move(*order));
                } else if (auto* answer = std::get_if<AnswerCall>(&it)) {
                    answers.push_back(std::move(*answer));
                } else if (auto* ask = std::get_if<AskAdvice>(&it)) {
                    adviceRequests.push_back(std::move(*ask));
                }
            }
            leader.finishBatch(clock.now(), clock.wallNow());
        }
    }

    // Advances the clock in the steps of a control loop.
    void pass(Milliseconds time)
    {
        constexpr Milliseconds step { 10 };
        for (Milliseconds n { 0 }; n < time; n += step) {
            clock.advance(step);
            leader.onTick(clock.now(), clock.wallNow());
            commitAndCollect();
        }
    }

    void announce(const std::string& id, uint64_t born = 1, uint64_t sequence = 1, bool draining = false)
    {
        announceAt(id, id, born, sequence, draining);
    }

    void announceAt(const std::string& id, const std::string& address, uint64_t born = 1, uint64_t sequence = 1,
        bool draining = false)
    {
        auto it = announcementOf(id, sequence);
        it.record.set_born_ms(born);
        it.record.set_address(address);
        it.record.set_draining(draining);
        it.drainRemainingMs = draining ? 2'000 : 0;
        announce(std::move(it));
    }

    // An executor of 8 processors and 16,000 MiB that serves "filling".
    static ExecutorAnnouncement announcementOf(const std::string& id, uint64_t sequence = 1)
    {
        ExecutorAnnouncement out;
        out.record.set_id(id);
        out.record.set_born_ms(1);
        out.record.set_address(id);
        out.record.set_service("filling");
        out.record.mutable_capacity()->set_milli_cpus(8'000);
        out.record.mutable_capacity()->set_memory_mib(16'000);
        out.sequence = sequence;
        return out;
    }

    void announce(ExecutorAnnouncement it)
    {
        auto& born = announcedBorn[it.record.id()];
        if (born != it.record.born_ms())
            restart(it.record.id());
        born = it.record.born_ms();
        leader.onCall(++lastHandle, std::move(it), clock.now(), clock.wallNow());
        commitAndCollect();
    }

    static schema::JobRequest request(uint64_t id, uint32_t tasks, bool gang = false)
    {
        schema::JobRequest out;
        out.set_id(id);
        out.set_payload("lot");
        auto& step = *out.add_steps();
        step.set_count(tasks);
        step.set_gang(gang);
        step.set_estimate_ms(1'000);
        step.mutable_need()->set_milli_cpus(2'000);
        step.mutable_need()->set_memory_mib(1'000);
        return out;
    }

    uint64_t submit(schema::JobRequest request)
    {
        SubmitJob call { "farm.example", "/blend/" + jobIdText(request.id()), "key", std::move(request) };
        leader.onCall(++lastHandle, std::move(call), clock.now(), clock.wallNow());
        commitAndCollect();
        return lastHandle;
    }

    // Removes and returns the oldest collected order of a kind.
    template <class Order> std::optional<SendOrder> takeOrder(const std::string& executor = {})
    {
        const auto it = std::find_if(orders.begin(), orders.end(), [&](const auto& order) {
            return std::holds_alternative<Order>(order.order) && (executor.empty() || order.executorId == executor);
        });
        if (it == orders.end())
            return std::nullopt;
        auto out = std::move(*it);
        orders.erase(it);
        return out;
    }

    void answer(const SendOrder& order, OrderResult result)
    {
        if (result.outcome != OrderOutcome::UnknownOutcome && result.outcome != OrderOutcome::NotSent)
            result.clockMs = clockOf(order.executorId);
        // Lists of runs have a start time; by default that of the incarnation announced last.
        if (hasStartTimes && result.outcome == OrderOutcome::Done && result.bornMs == 0
            && std::holds_alternative<RenewLease>(order.order))
            result.bornMs = bornOf(order);
        leader.onOrderResult(order.number, std::move(result), clock.now());
        commitAndCollect();
    }

    // Begins the next incarnation of an executor, which nothing has announced yet. Its clock begins anew.
    void restart(const std::string& executor)
    {
        constexpr uint64_t firstReading = 1'000;
        constexpr uint64_t hourMs = 3'600'000;
        bornAt[executor] = clock.now();
        firstReadings[executor] = firstReading + ++incarnations * hourMs;
    }

    uint64_t clockOf(const std::string& executor)
    {
        return firstReadings[executor]
            + static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(clock.now() - bornAt[executor]).count());
    }

    uint64_t bornOf(const SendOrder& order) const
    {
        if (const auto it = announcedBorn.find(order.executorId); it != announcedBorn.end())
            return it->second;
        const auto it = state.executors().find(order.executorNumber);
        return it == state.executors().end() ? 0 : it->second.record.born_ms();
    }

    // Until the next start is sent, the named executors answer all other orders; the others are silent. Returns how
    // long it took.
    std::optional<Milliseconds> timeToNextStart(const std::vector<std::string>& answering, Milliseconds limit)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds n { 0 }; n < limit; n += step) {
            pass(step);
            for (const auto& name : answering) {
                while (const auto stop = takeOrder<StopRun>(name))
                    answer(*stop, { OrderOutcome::Done });
                while (const auto renewal = takeOrder<RenewLease>(name))
                    answer(*renewal, { OrderOutcome::Done });
            }
            if (takeOrder<StartRun>())
                return n + step;
        }
        return std::nullopt;
    }

    // Answers every collected renewal and poll with these lists.
    void answerRenewals(const std::vector<RunningTask>& running, const std::vector<EndedTask>& ended = {})
    {
        while (auto renewal = takeOrder<RenewLease>())
            answer(*renewal, { OrderOutcome::Done, 0, 0, running, ended, true });
    }

    // Advances the clock; executors answer each renewal and poll with these lists when its wait is over.
    void passWithRenewals(Milliseconds time, const std::vector<RunningTask>& running = {})
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds n { 0 }; n < time; n += step) {
            pass(step);
            std::vector<SendOrder> due;
            std::erase_if(orders, [&](const auto& it) {
                const auto* renewal = std::get_if<RenewLease>(&it.order);
                const bool isDue = renewal != nullptr && clock.now() - sentAt[it.number] >= renewal->wait;
                if (isDue)
                    due.push_back(it);
                return isDue;
            });
            for (const auto& it : due)
                answer(it, { OrderOutcome::Done, 0, 0, running, {}, true });
        }
    }

    std::optional<CallAnswer> answerTo(uint64_t handle) const
    {
        const auto it = std::find_if(answers.begin(), answers.end(), [&](const auto& a) { return a.handle == handle; });
        return it == answers.end() ? std::nullopt : std::optional(it->answer);
    }

    ManualClock clock;
    JobState state { Milliseconds(600'000) };
    JobLeader leader;
    std::vector<SendOrder> orders;
    std::map<uint64_t, Instant> sentAt; // by order number
    std::vector<AnswerCall> answers;
    std::vector<AskAdvice> adviceRequests;
    bool hasStartTimes = true; // whether lists of runs have a start time
    std::map<std::string, uint64_t> announcedBorn; // start time in the last announcement, by id
    std::map<std::string, Instant> bornAt; // when the present incarnation began, by executor id
    std::map<std::string, uint64_t> firstReadings; // of its clock
    uint64_t incarnations = 0; // of all executors
    uint64_t lastHandle = 0;
};

} // namespace teasel
