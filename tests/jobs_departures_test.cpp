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

TEST_CASE("the tasks of an executor that left start elsewhere within 0.3 s, and its departure is acknowledged")
{
    JobsFixture it;
    startOnFirstExecutor(it);
    const auto handle = depart(it, "x1", 1);
    it.pass(Milliseconds(300));
    const auto again = it.takeOrder<StartRun>();
    REQUIRE(again);
    CHECK(again->executorId == "x2");
    CHECK(it.answerTo(handle));
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
