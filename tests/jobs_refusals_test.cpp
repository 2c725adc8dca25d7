// Refused starts of which an earlier copy may have been carried out.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };

SendOrder startNext(JobsFixture& it)
{
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    return *start;
}

} // namespace

TEST_CASE("an end done that the leader had not counted is not acknowledged while its task runs again")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    const auto start = startNext(it);
    it.answer(start, { OrderOutcome::InsufficientCapacity }); // refused; an earlier copy of the order was carried out
    it.pass(Milliseconds(100));
    REQUIRE(it.takeOrder<StartRun>()); // run 2
    it.answerRenewals({}, { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } });
    it.pass(Milliseconds(100));
    uint64_t acknowledged = 0;
    while (const auto renewal = it.takeOrder<RenewLease>())
        acknowledged = std::max(acknowledged, std::get<RenewLease>(renewal->order).acknowledgedEnds);
    CHECK(acknowledged == 0);
}

TEST_CASE("a task is done when an end done is listed after its run was given up, and the run in its place is stopped")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    const auto start = startNext(it);
    it.answer(start, { OrderOutcome::InsufficientCapacity }); // refused; an earlier copy of the order was carried out
    it.pass(Milliseconds(100));
    const auto second = it.takeOrder<StartRun>();
    REQUIRE(second);
    it.answer(*second, { OrderOutcome::Done });
    it.answerRenewals({ { firstTask, 2, {}, 10, -1 } }, { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } });
    CHECK(it.state.find(7)->phase == JobPhase::Completed);
    const auto stop = it.takeOrder<StopRun>("x1");
    REQUIRE(stop);
    CHECK(std::get<StopRun>(stop->order).run == 2);
    it.answer(*stop, { OrderOutcome::Done });
    it.pass(Milliseconds(400));
    it.answerRenewals({},
        { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} }, { 2, firstTask, 2, schema::RUN_OUTCOME_STOPPED, {} } });
    it.pass(Milliseconds(1'000));
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("a task that waits to be started again is not, once an end done of an earlier run is listed")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 2));
    it.pass(Milliseconds(20));
    const auto first = it.takeOrder<StartRun>();
    const auto other = it.takeOrder<StartRun>();
    REQUIRE(first);
    REQUIRE(other);
    it.answer(*other, { OrderOutcome::Done });
    const auto& refused = std::get<StartRun>(first->order);
    const auto& running = std::get<StartRun>(other->order);
    it.leader.onOrderResult(first->number, { OrderOutcome::InsufficientCapacity }, it.clock.now());
    it.answerRenewals({ { running.task, 1, {}, 10, -1 } }, { { 1, refused.task, 1, schema::RUN_OUTCOME_DONE, {} } });
    const auto* task = it.state.find(refused.task);
    REQUIRE(task);
    CHECK(task->done);
    it.pass(Milliseconds(200));
    CHECK(!it.takeOrder<StartRun>());
    it.answerRenewals({}, { { 2, running.task, 1, schema::RUN_OUTCOME_DONE, {} } });
    CHECK(it.state.find(7)->phase == JobPhase::Completed);
}

TEST_CASE(
    "a refused start of which another copy may have been carried out is given up when a listing lacks it, not earlier")
{
    auto outcome = OrderOutcome::Refused; // 429 or 503
    SUBCASE("by an unhealthy executor") { }
    SUBCASE("for its fence") { outcome = OrderOutcome::StaleFence; }
    SUBCASE("for its ticket") { outcome = OrderOutcome::InvalidTicket; }
    SUBCASE("for its lease") { outcome = OrderOutcome::LeaseExpired; }
    constexpr Milliseconds step { 20 };
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    const auto start = startNext(it);
    it.announce("x2");
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
    it.answer(start, { outcome });
    std::vector<SendOrder> fromFirst;
    const auto passWithoutFirst = [&](Milliseconds time) {
        for (Milliseconds n { 0 }; n < time; n += step) {
            it.pass(step);
            while (const auto renewal = it.takeOrder<RenewLease>("x2"))
                it.answer(*renewal, { OrderOutcome::Done });
            while (const auto renewal = it.takeOrder<RenewLease>("x1"))
                fromFirst.push_back(*renewal);
        }
    };
    passWithoutFirst(Milliseconds(500));
    CHECK(!it.takeOrder<StartRun>());
    REQUIRE(!fromFirst.empty());
    SUBCASE("it is listed")
    {
        it.answer(fromFirst.back(), { OrderOutcome::Done, 0, 1, { { firstTask, 1, {}, 50, -1 } }, {}, true });
        passWithoutFirst(Milliseconds(500));
        CHECK(!it.takeOrder<StartRun>());
        CHECK(!it.takeOrder<StopRun>());
    }
    SUBCASE("it is not listed")
    {
        it.answer(fromFirst.back(), { OrderOutcome::Done, 0, 1 });
        passWithoutFirst(Milliseconds(200));
        CHECK(it.takeOrder<StartRun>());
    }
}
