// Orders that the next life of an executor answers before the leader knows of it.
#include "jobs_fixture.h"

using namespace teasel;

TEST_CASE("an end of a run that a later life began and answered is not forgotten before it is listed")
{
    constexpr Milliseconds step { 20 };
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    it.submit(JobsFixture::request(6, 1));
    it.pass(step);
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::Done });
    it.pass(step);
    it.answerRenewals({}, { { 1, { { 6, 0, 0 }, 0 }, 1, schema::RUN_OUTCOME_DONE, {} } });
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    // The executor has restarted under its id. Its next life answers the start, without a start time.
    it.restart("x1");
    it.answer(*start, { OrderOutcome::Done });
    it.pass(Milliseconds(100));
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    CHECK(std::get<RenewLease>(renewal->order).acknowledgedEnds == 0);
}
