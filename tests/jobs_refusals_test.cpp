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
