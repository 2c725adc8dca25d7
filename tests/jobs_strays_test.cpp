// Runs that an executor lists and that are not assigned to it.
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

TEST_CASE("capacity used by a run that is listed but not assigned is not given away while it is being stopped")
{
    JobsFixture it;
    it.announce("x1", 1);
    const TaskKey stray { { 9, 0, 0 }, 0 };
    it.answerRenewals({ { stray, 1, {}, 50, -1 } }); // 2 of 8 cores, say
    REQUIRE(it.takeOrder<StopRun>());
    it.submit(JobsFixture::request(7, 4)); // 4 x 2 cores
    it.passWithRenewals(Milliseconds(60), { { stray, 1, {}, 50, -1 } });
    size_t starts = 0;
    while (it.takeOrder<StartRun>())
        ++starts;
    CHECK(starts < 4);
}

TEST_CASE("a start in flight of a cancelled job counts on the restarted executor until it is barred")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    it.answer(startNext(it), { OrderOutcome::UnknownOutcome });
    it.leader.onCall(++it.lastHandle, CancelJob { "farm.example", "/blend/" + jobIdText(7), "key", 7 }, it.clock.now(),
        it.clock.wallNow());
    it.commitAndCollect();
    it.orders.clear();
    it.announce("x1", 2);
    it.submit(JobsFixture::request(8, 4)); // 4 x 2 of 8 cores
    it.answerRenewals({ { firstTask, 1, {}, 50, -1 } }); // the late start reached it before the fence
    it.passWithRenewals(Milliseconds(40), { { firstTask, 1, {}, 50, -1 } });
    size_t starts = 0;
    while (it.takeOrder<StartRun>())
        ++starts;
    CHECK(starts < 4);
}
