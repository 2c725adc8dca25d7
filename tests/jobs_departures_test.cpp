// Executors that announce their departure.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };

uint64_t depart(JobsFixture& it, const std::string& id, uint64_t born)
{
    it.leader.onCall(++it.lastHandle, ExecutorDeparture { id, born }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    return it.lastHandle;
}

void startOnFirstExecutor(JobsFixture& it)
{
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::Done });
    it.pass(Milliseconds(100));
    it.announce("x2");
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
}

} // namespace

TEST_CASE("an end that an executor listed before it left counts if its departure arrives first")
{
    JobsFixture it;
    startOnFirstExecutor(it);
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    const auto handle = depart(it, "x1", 1);
    it.pass(Milliseconds(20));
    it.answer(*renewal, { OrderOutcome::Done, 0, 1, {}, { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } }, true });
    it.pass(Milliseconds(300));
    CHECK(!it.takeOrder<StartRun>());
    CHECK(it.state.find(7)->phase == JobPhase::Completed);
    REQUIRE(it.answerTo(handle));
    CHECK(it.answerTo(handle)->status == CallStatus::Ok);
    CHECK(it.state.executors().size() == 1);
}

TEST_CASE(
    "the tasks of an executor that left start elsewhere within 0.3 s after another executor answers at its address")
{
    JobsFixture it;
    startOnFirstExecutor(it);
    const auto handle = depart(it, "x1", 1);
    it.pass(Milliseconds(300));
    REQUIRE(it.answerTo(handle));
    CHECK(it.answerTo(handle)->status == CallStatus::Ok);
    CHECK(!it.takeOrder<StartRun>());
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    it.answer(*renewal, { OrderOutcome::OtherIncarnation });
    it.pass(Milliseconds(300));
    const auto again = it.takeOrder<StartRun>();
    REQUIRE(again);
    CHECK(again->executorId == "x2");
}

TEST_CASE("the tasks of an executor that left and is silent start elsewhere when its lease has expired, not earlier")
{
    JobsFixture it;
    startOnFirstExecutor(it);
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 1, { { firstTask, 1, {}, 50, -1 } }, {}, true });
    const auto renewedAt = it.clock.now();
    depart(it, "x1", 1);
    std::optional<SendOrder> again;
    while (!again && it.clock.now() - renewedAt < std::chrono::seconds(20)) {
        it.pass(Milliseconds(20));
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
        again = it.takeOrder<StartRun>();
    }
    REQUIRE(again);
    CHECK(again->executorId == "x2");
    CHECK(it.clock.now() - renewedAt >= Milliseconds(6'000)); // maxLease
    CHECK(it.clock.now() - renewedAt <= Milliseconds(8'500)); // and the lease that was requested, on a slow clock
    CHECK(it.state.executors().size() == 1);
}

TEST_CASE("a departure that the executor does not confirm ends no run, and the executor is used again")
{
    JobsFixture it;
    startOnFirstExecutor(it);
    std::vector<RunningTask> running { { firstTask, 1, {}, 50, -1 } };
    const auto passAnswering = [&](Milliseconds time) {
        for (Milliseconds n { 0 }; n < time; n += Milliseconds(20)) {
            it.pass(Milliseconds(20));
            while (const auto renewal = it.takeOrder<RenewLease>())
                it.answer(*renewal,
                    { OrderOutcome::Done, 0, 1, renewal->executorId == "x1" ? running : std::vector<RunningTask>(), {},
                        true });
        }
    };
    passAnswering(Milliseconds(100));
    depart(it, "x1", 1); // by another writer
    passAnswering(Milliseconds(10'000));
    CHECK(!it.takeOrder<StartRun>());
    CHECK(!it.takeOrder<StopRun>());
    running.clear();
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(
            *renewal, { OrderOutcome::Done, 0, 1, {}, { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } }, true });
    passAnswering(Milliseconds(300));
    it.announce("x1", 1, 2);
    passAnswering(Milliseconds(300));
    it.submit(JobsFixture::request(8, 5)); // 10 cores: more than x2 has
    passAnswering(Milliseconds(300));
    size_t onFirst = 0;
    while (it.takeOrder<StartRun>("x1"))
        ++onFirst;
    CHECK(onFirst > 0);
}

TEST_CASE("a departure without a start time does not remove an incarnation that has not announced a drain")
{
    JobsFixture it;
    startOnFirstExecutor(it);
    it.announce("x1", 2); // restarted under its id
    it.passWithRenewals(Milliseconds(100));
    const auto handle = depart(it, "x1", 0); // delayed, of the previous incarnation
    CHECK(it.answerTo(handle));
    it.passWithRenewals(Milliseconds(500));
    CHECK(it.state.executors().rbegin()->second.record.id() == "x1");
    it.announce("x1", 2, 2, true);
    depart(it, "x1", 0);
    it.passWithRenewals(Milliseconds(500));
    CHECK(it.state.executors().size() == 1);
    CHECK(it.state.executors().begin()->second.record.id() == "x2");
}
