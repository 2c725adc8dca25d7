// Gangs: preemption for them, what is left of broken ones, and their calls to the advice service.
#include "jobs_fixture.h"

#include <map>
#include <set>

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };

} // namespace

TEST_CASE("a run is preempted by a gang and resumes from its checkpoint afterwards")
{
    JobsFixture it;
    it.announce("x1");
    it.announce("x2");
    it.announce("x3"); // At most two fifths of the executors are reserved per round.
    it.answerRenewals({});
    auto filling = JobsFixture::request(7, 12);
    filling.mutable_steps(0)->set_checkpoints(true);
    filling.mutable_steps(0)->set_estimate_ms(30'000);
    it.submit(filling);
    it.pass(Milliseconds(20));
    std::map<std::string, std::vector<RunningTask>> running;
    while (auto start = it.takeOrder<StartRun>()) {
        running[start->executorId].push_back({ std::get<StartRun>(start->order).task, 1, {}, 100, -1 });
        it.answer(*start, { OrderOutcome::Done });
    }
    const auto advanceWithRuns = [&](Milliseconds time) {
        for (Milliseconds n { 0 }; n < time; n += Milliseconds(20)) {
            it.pass(Milliseconds(20));
            while (auto order = it.takeOrder<RenewLease>())
                it.answer(*order, { OrderOutcome::Done, 0, 0, running[order->executorId], {}, true });
        }
    };
    advanceWithRuns(Milliseconds(1'000));
    it.submit(JobsFixture::request(8, 2, true));
    advanceWithRuns(Milliseconds(40));
    std::vector<SendOrder> stops;
    while (auto stop = it.takeOrder<StopRun>())
        stops.push_back(*stop);
    REQUIRE(stops.size() == 2);
    CHECK(stops[0].executorId == stops[1].executorId);
    const auto where = stops[0].executorId;
    std::vector<EndedTask> ended;
    for (const auto& stop : stops) {
        const auto& order = std::get<StopRun>(stop.order);
        it.answer(stop, { OrderOutcome::Done });
        std::erase_if(running[where], [&](const auto& task) { return task.task == order.task; });
        ended.push_back({ ended.size() + 1, order.task, 1, schema::RUN_OUTCOME_STOPPED, "saved" });
    }
    it.pass(Milliseconds(100));
    while (auto order = it.takeOrder<RenewLease>()) {
        const bool isThere = order->executorId == where;
        it.answer(*order,
            { OrderOutcome::Done, 0, 0, running[order->executorId], isThere ? ended : std::vector<EndedTask> {},
                true });
    }
    it.pass(Milliseconds(20));
    for (uint32_t n = 0; n < 2; ++n) {
        const auto start = it.takeOrder<StartRun>();
        REQUIRE(start);
        CHECK(std::get<StartRun>(start->order).task.step.job == 8);
        CHECK(start->executorId == where);
        it.answer(*start, { OrderOutcome::Done });
    }
    CHECK(!it.takeOrder<StartRun>()); // The fleet is full again.
    it.pass(Milliseconds(100));
    it.answerRenewals({}); // All other runs are gone.
    it.pass(Milliseconds(60));
    size_t resumed = 0;
    while (auto again = it.takeOrder<StartRun>())
        resumed += std::get<StartRun>(again->order).checkpoint == "saved" ? 1 : 0;
    CHECK(resumed == 2);
}

TEST_CASE("a new leader stops what is left of a gang that broke under the former one")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 2, true));
    it.pass(Milliseconds(20));
    while (auto start = it.takeOrder<StartRun>())
        it.answer(*start, { OrderOutcome::Done });
    // The end of one member is committed, but its leader did not stop the other one.
    schema::JobCommand command;
    auto& end = *command.add_changes()->mutable_ended();
    fillRef(firstTask, *end.mutable_task());
    end.set_run(1);
    end.set_executor(1);
    end.set_outcome(schema::RUN_OUTCOME_LOST);
    it.state.apply(0, command.SerializeAsString());
    it.leader.onBecameLeader(2, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.orders.clear();
    it.pass(Milliseconds(60));
    const TaskKey other { { 7, 0, 0 }, 1 };
    it.answerRenewals({ { other, 1, {}, 100, -1 } });
    it.pass(Milliseconds(60));
    const auto stop = it.takeOrder<StopRun>();
    REQUIRE(stop);
    CHECK(std::get<StopRun>(stop->order).task == other);
}

TEST_CASE("a wide gang divides its query among several instances, so that one call's time does not delay it")
{
    JobsFixture it(true);
    constexpr size_t instanceCount = 40;
    std::vector<std::string> instances(instanceCount);
    for (size_t n = 0; n < instanceCount; ++n)
        instances[n] = "front-" + std::to_string(n);
    it.leader.setAdviceInstances(instances);
    for (int n = 0; n < 90; ++n)
        it.announce("x" + std::to_string(n));
    it.answerRenewals({});
    it.submit(JobsFixture::request(1, 60, true));
    it.pass(Milliseconds(30));
    CHECK(it.adviceRequests.size() >= 3);
    std::set<std::string> asked;
    std::set<std::string> callers;
    size_t named = 0;
    for (const auto& request : it.adviceRequests) {
        callers.insert(request.instance);
        asked.insert(request.executors.begin(), request.executors.end());
        named += request.executors.size();
    }
    CHECK(callers.size() == it.adviceRequests.size());
    CHECK(asked.size() == named); // no executor is named twice
}
