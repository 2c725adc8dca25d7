// Executors that restart under their id while orders to the previous incarnation are still in flight.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };

// Submits one task and returns its start.
SendOrder startNext(JobsFixture& it)
{
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    return *start;
}

// Submits one task, which is started on "x1", the only executor; returns the order.
SendOrder startOnFirstExecutor(JobsFixture& it)
{
    it.announce("x1", 1);
    it.answerRenewals({});
    return startNext(it);
}

} // namespace

TEST_CASE("an executor that restarts under its id refuses orders that were sent to its previous incarnation")
{
    JobsFixture it;
    const auto start = startOnFirstExecutor(it);
    it.orders.clear();
    it.announce("x1", 2);
    const auto first = it.takeOrder<RenewLease>();
    REQUIRE(first);
    CHECK(first->fence > start.fence);
}

TEST_CASE("a new incarnation is fenced before its registration is committed")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.orders.clear();
    ExecutorAnnouncement next;
    next.record = it.state.executors().begin()->second.record;
    next.record.set_born_ms(2);
    next.sequence = 1;
    it.leader.onCall(++it.lastHandle, std::move(next), it.clock.now(), it.clock.wallNow());
    const auto actions = it.leader.takeActions();
    const auto isFencing = [](const JobAction& action) {
        const auto* order = std::get_if<SendOrder>(&action);
        return order != nullptr && std::holds_alternative<RenewLease>(order->order);
    };
    CHECK(std::any_of(actions.begin(), actions.end(), isFencing));
}

TEST_CASE("a start in flight is not repeated elsewhere before the restarted executor has barred it")
{
    auto options = JobsFixture::defaultOptions();
    options.maxStartDelay = Milliseconds(600);
    JobsFixture it(false, options);
    it.answer(startOnFirstExecutor(it), { OrderOutcome::UnknownOutcome });
    it.orders.clear();
    it.announce("x2", 1);
    it.announce("x1", 2);
    std::optional<SendOrder> toRestarted;
    for (int n = 0; n < 25; ++n) {
        it.pass(Milliseconds(20));
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
        while (const auto renewal = it.takeOrder<RenewLease>("x1"))
            toRestarted = renewal;
    }
    CHECK(!it.takeOrder<StartRun>());
    REQUIRE(toRestarted);
    SUBCASE("it lists the run: the start reached it, and the run continues there")
    {
        it.answer(*toRestarted, { OrderOutcome::Done, 0, 2, { { firstTask, 1, {}, 50, -1 } }, {}, true });
        it.pass(Milliseconds(100));
        CHECK(!it.takeOrder<StartRun>());
        CHECK(!it.takeOrder<StopRun>());
        CHECK(it.state.executors().rbegin()->second.assignments.contains(firstTask));
    }
    SUBCASE("it does not list the run: the task starts again when its start has expired")
    {
        it.answer(*toRestarted, { OrderOutcome::Done, 0, 2 });
        it.passWithRenewals(Milliseconds(40)); // It may restart once more and forget what it has barred.
        CHECK(!it.takeOrder<StartRun>());
        it.passWithRenewals(Milliseconds(160));
        const auto again = it.takeOrder<StartRun>();
        REQUIRE(again);
        CHECK(std::get<StartRun>(again->order).run == 2);
    }
}

TEST_CASE("an answer of another incarnation under the same id does not repeat a start elsewhere")
{
    JobsFixture it;
    const auto start = startOnFirstExecutor(it);
    it.announce("x2", 1);
    it.answerRenewals({});
    // The start was carried out by an incarnation that has not announced itself yet.
    it.answer(start, { OrderOutcome::Done, 0, 2 });
    it.passWithRenewals(Milliseconds(1'000));
    CHECK(!it.takeOrder<StartRun>());
    it.announce("x1", 2);
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    it.answer(*renewal, { OrderOutcome::Done, 0, 2, { { firstTask, 1, {}, 50, -1 } }, {}, true });
    it.pass(Milliseconds(100));
    CHECK(!it.takeOrder<StartRun>());
    CHECK(it.state.executors().rbegin()->second.assignments.contains(firstTask));
}

TEST_CASE(
    "a run that moved to a restarted executor is not ended before that one answers, however long the leader leads")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    it.passWithRenewals(Milliseconds(8'000)); // longer than maxLease after the leader began
    it.answer(startNext(it), { OrderOutcome::UnknownOutcome });
    it.announce("x2", 1);
    it.answerRenewals({});
    it.announce("x1", 2);
    for (int n = 0; n < 10; ++n) { // 200 ms; the restarted executor has not answered yet
        it.pass(Milliseconds(20));
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
    }
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("a start answered without a start time is not ended when a new incarnation announces itself")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    const auto start = startNext(it);
    it.announce("x2", 1);
    it.answerRenewals({});
    it.orders.clear();
    it.answer(start, { OrderOutcome::Done }); // by the new incarnation; the page's answer is {"clockMs":N}
    it.announce("x1", 2);
    it.pass(Milliseconds(100));
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("two restarts before the first is committed leave one registration")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    it.answer(startNext(it), { OrderOutcome::UnknownOutcome });
    for (uint64_t born = 2; born <= 3; ++born) {
        ExecutorAnnouncement call;
        call.record = it.state.executors().begin()->second.record;
        call.record.set_born_ms(born);
        call.sequence = 1;
        it.leader.onCall(++it.lastHandle, std::move(call), it.clock.now(), it.clock.wallNow());
    }
    it.commitAndCollect();
    size_t held = 0;
    for (const auto& [number, executor] : it.state.executors())
        held += executor.assignments.contains(firstTask) ? 1 : 0;
    CHECK(held == 1);
    CHECK(it.state.executors().size() == 1);
}

TEST_CASE("a delayed announcement of the previous incarnation does not replace one whose clock was set back")
{
    JobsFixture it;
    it.announce("x1", 200);
    it.answerRenewals({});
    it.announce("x1", 150, 1); // taken for a delayed announcement
    it.passWithRenewals(Milliseconds(50));
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 150 });
    it.pass(Milliseconds(100));
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 150 });
    it.announce("x1", 150, 2);
    it.pass(Milliseconds(50));
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 150 });
    const auto start = startNext(it);
    it.answer(start, { OrderOutcome::Done, 0, 150 });
    it.announce("x2", 1);
    it.pass(Milliseconds(50));
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
    it.announce("x1", 200, 9); // sent before the restart, delayed by a partition
    it.pass(Milliseconds(100));
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
    it.pass(Milliseconds(100));
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("a run in progress is not numbered again after two restarts in quick succession and a third")
{
    auto options = JobsFixture::defaultOptions();
    options.maxStartDelay = Milliseconds(100);
    JobsFixture it(false, options);
    it.announce("x1", 1);
    it.answerRenewals({});
    it.answer(startNext(it), { OrderOutcome::UnknownOutcome });
    it.announce("x2", 1);
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
    for (uint64_t born = 2; born <= 3; ++born) {
        ExecutorAnnouncement call;
        call.record = it.state.executors().begin()->second.record;
        call.record.set_born_ms(born);
        call.sequence = 1;
        call.record.set_draining(born == 3); // so that the task goes to x2
        it.leader.onCall(++it.lastHandle, std::move(call), it.clock.now(), it.clock.wallNow());
    }
    it.commitAndCollect();
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 3 }); // neither listed: not carried out
    it.announce("x1", 3, 2, true); // The announcement that was refused is repeated.
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 3 });
    it.passWithRenewals(Milliseconds(200));
    const auto second = it.takeOrder<StartRun>();
    REQUIRE(second);
    it.answer(*second, { OrderOutcome::Done });
    it.announce("x1", 4);
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 4 });
    it.pass(Milliseconds(100));
    const auto third = it.takeOrder<StartRun>();
    CHECK(!(third && second->executorId == "x2"));
}
