// Cancellations of jobs whose submission has not arrived yet.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

constexpr Milliseconds step { 20 };

uint64_t cancel(JobsFixture& it, uint64_t job)
{
    it.leader.onCall(++it.lastHandle, CancelJob { "farm.example", "/blend/" + jobIdText(job), "key", job },
        it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    return it.lastHandle;
}

CallStatus statusOf(const JobsFixture& it, uint64_t handle)
{
    const auto answer = it.answerTo(handle);
    REQUIRE(answer);
    return answer->status;
}

CallStatus query(JobsFixture& it, uint64_t job)
{
    it.leader.onCall(++it.lastHandle, QueryJob { "farm.example", "/blend/" + jobIdText(job), "key", job },
        it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    return statusOf(it, it.lastHandle);
}

} // namespace

// Guards against a submission that was delayed on its way, and whose cancellation was acknowledged with 410, being
// accepted and run (UNASKED).
TEST_CASE("a job that was cancelled before its submission arrived never runs")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    CHECK(statusOf(it, cancel(it, 7)) == CallStatus::NoJob);
    CHECK(statusOf(it, it.submit(JobsFixture::request(7, 1))) == CallStatus::Refused);
    it.passWithRenewals(Milliseconds(500));
    CHECK(!it.takeOrder<StartRun>());
    CHECK(query(it, 7) == CallStatus::NoJob); // nobody submitted it as far as callers know
    CHECK(statusOf(it, cancel(it, 7)) == CallStatus::NoJob);
    CHECK(statusOf(it, it.submit(JobsFixture::request(8, 1))) == CallStatus::Accepted);
}

TEST_CASE("the next leader, also after a restart from a snapshot, refuses a job that was cancelled unseen")
{
    JobsFixture it;
    cancel(it, 7);
    it.leader.onLostLeadership();
    it.leader.onBecameLeader(2, it.clock.now(), it.clock.wallNow());
    CHECK(statusOf(it, it.submit(JobsFixture::request(7, 1))) == CallStatus::Refused);
    const auto snapshot = it.state.snapshot();
    JobState restored { Milliseconds(600'000) };
    CHECK(std::holds_alternative<std::monostate>(valueOrError([&] { return restored.restore(snapshot); })));
    CHECK(restored.wasCancelledUnseen(7));
    CHECK(restored.snapshot() == snapshot);
}

TEST_CASE("a submission is refused while the cancellation before it is not committed")
{
    JobsFixture it;
    it.leader.onCall(
        1'001, CancelJob { "farm.example", "/blend/0000000000000007", "key", 7 }, it.clock.now(), it.clock.wallNow());
    it.leader.onCall(1'002, SubmitJob { "farm.example", "/blend/0000000000000007", "key", JobsFixture::request(7, 1) },
        it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    CHECK(statusOf(it, 1'001) == CallStatus::NoJob);
    CHECK(statusOf(it, 1'002) == CallStatus::Refused);
}

TEST_CASE("a call without a known key cancels no unseen job")
{
    JobsFixture it;
    it.leader.onCall(++it.lastHandle, CancelJob { "farm.example", "/blend/0000000000000007", "other", 7 },
        it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    CHECK(statusOf(it, it.submit(JobsFixture::request(7, 1))) == CallStatus::Accepted);
}

TEST_CASE("cancellations of unseen jobs are kept as long as ended jobs, and their number is bounded")
{
    auto options = JobsFixture::defaultOptions();
    options.maxCancelledUnseen = 3;
    JobsFixture it(false, options);
    for (uint64_t job = 1; job <= 3; ++job)
        CHECK(statusOf(it, cancel(it, job)) == CallStatus::NoJob);
    CHECK(statusOf(it, cancel(it, 4)) == CallStatus::Unavailable);
    CHECK(statusOf(it, cancel(it, 3)) == CallStatus::NoJob);
    it.pass(step);
    schema::JobCommand later; // beyond the retention of the fixture's state
    later.set_wall_ms(static_cast<uint64_t>(it.clock.wallNow().time_since_epoch().count()) + 600'001);
    it.state.apply(0, later.SerializeAsString());
    CHECK(it.state.cancelledUnseen() == 0);
    CHECK(statusOf(it, cancel(it, 4)) == CallStatus::NoJob);
}
