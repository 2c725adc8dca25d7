// Runs whose executor is lost together with the leader that started them.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };
constexpr Milliseconds step { 20 };
constexpr Milliseconds wholeLease { 6'540 }; // maxLease on the slowest clock, and the time to kill the runs
constexpr Milliseconds tolerance { 100 };
constexpr Milliseconds untilRecorded { 500 };

std::vector<RunningTask> listed(uint32_t run = 1) { return { { firstTask, run, {}, 50, -1 } }; }

// The start of a task that x1 was sent and has not answered.
SendOrder sentToX1(JobsFixture& it, bool lasting = false)
{
    it.announce("x1");
    it.answerRenewals({});
    auto request = JobsFixture::request(7, 1);
    request.mutable_steps(0)->set_lasting(lasting);
    it.submit(request);
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    return *start;
}

void startOnX1(JobsFixture& it, bool lasting = false)
{
    const auto start = sentToX1(it, lasting);
    it.answer(start, { OrderOutcome::Done });
}

void listOnX1(JobsFixture& it)
{
    it.answerRenewals(listed());
    it.pass(untilRecorded);
}

void changeLeader(JobsFixture& it, uint64_t fence = 2)
{
    it.orders.clear();
    it.leader.onBecameLeader(fence, it.clock.now(), it.clock.wallNow());
    it.pass(step);
}

} // namespace

// Guards against LOST: a new leader waits for the expiry of a start that its predecessor had seen used up.
TEST_CASE("a listed run whose executor is lost together with the leader is restarted after one lease")
{
    for (const bool lasting : { true, false }) {
        CAPTURE(lasting);
        JobsFixture it;
        startOnX1(it, lasting);
        listOnX1(it);
        it.announce("x2");
        changeLeader(it);
        const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
        REQUIRE(time);
        CHECK(*time >= wholeLease);
        CHECK(*time <= wholeLease + tolerance);
    }
}

// Guards against LOST: the evidence of a listing does not survive a second loss, or a snapshot.
TEST_CASE("a run that was listed two leaders ago is restarted after one lease")
{
    JobsFixture it;
    startOnX1(it);
    listOnX1(it);
    it.announce("x2");
    changeLeader(it, 2);
    it.pass(Milliseconds(2'000));
    REQUIRE(it.state.restore(it.state.snapshot()));
    changeLeader(it, 3);
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time <= wholeLease + tolerance);
}

// Guards against LOST: a new leader waits although the executor itself says that it has restarted.
TEST_CASE("a listed run of an executor that restarted while the leader was lost is restarted at once")
{
    JobsFixture it;
    startOnX1(it);
    listOnX1(it);
    it.announce("x2");
    changeLeader(it);
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    it.answer(*renewal, { OrderOutcome::Done, 0, 2 });
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time <= tolerance);
}

// Guards against LOST: a run that is absent at the takeover waits for the expiry of a start that is used up.
TEST_CASE("a listed run that the first listing under a new leader lacks is restarted at once")
{
    JobsFixture it;
    startOnX1(it);
    listOnX1(it);
    it.announce("x2");
    changeLeader(it);
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    it.answer(*renewal, { OrderOutcome::Done });
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time <= tolerance);
}

// Guards against LOST: the evidence is lost when a run moves to the next life of its executor.
TEST_CASE("a run that the next life of its executor began and listed is restarted one lease after both are lost")
{
    JobsFixture it;
    const auto start = sentToX1(it);
    it.answer(start, { OrderOutcome::UnknownOutcome });
    it.pass(step);
    it.announce("x1", 2);
    for (int n = 0; n < 40; ++n) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("x1"))
            it.answer(*renewal, { OrderOutcome::Done, 0, 2, listed(), {}, true });
    }
    REQUIRE(it.state.executors().rbegin()->second.record.born_ms() == 2);
    REQUIRE(it.state.executors().rbegin()->second.assignments.contains(firstTask));
    it.announce("x2");
    changeLeader(it);
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time <= wholeLease + tolerance);
}

// Guards against LOST: the answer to a start, which comes up to a second before the listing, is no evidence.
TEST_CASE("a run whose start its executor answered just before both were lost is restarted after one lease")
{
    JobsFixture it;
    startOnX1(it);
    it.announce("x2");
    it.pass(untilRecorded);
    changeLeader(it);
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time <= wholeLease + tolerance);
}

// Guards against TWICE: the answer of a later life is taken for one of the life that the start was sent to.
TEST_CASE("a run whose start an executor answered that may have restarted waits for the start and a lease")
{
    JobsFixture it;
    const auto start = sentToX1(it);
    it.restart("x1");
    it.answer(start, { OrderOutcome::Done });
    it.announce("x2");
    it.pass(untilRecorded);
    changeLeader(it);
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time >= Milliseconds(14'000) + wholeLease);
}

// Guards against LOST: a new leader waits for longer leases than any leader asks for.
TEST_CASE("a run of a lost executor is restarted after the lease that leaders ask for, once that is recorded")
{
    for (const bool isRecorded : { true, false }) {
        CAPTURE(isRecorded);
        auto options = JobsFixture::defaultOptions();
        options.maxLease = Milliseconds(10'000);
        options.lease = Milliseconds(8'000);
        JobsFixture it(false, options);
        startOnX1(it);
        it.passWithRenewals(isRecorded ? Milliseconds(12'000) : Milliseconds(1'000), listed());
        it.announce("x2");
        REQUIRE(it.state.restore(it.state.snapshot()));
        changeLeader(it);
        const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
        REQUIRE(time);
        CHECK(*time >= (isRecorded ? Milliseconds(8'620) : Milliseconds(10'700)));
        CHECK(*time <= (isRecorded ? Milliseconds(8'620) : Milliseconds(10'700)) + tolerance);
    }
}

// Guards against TWICE: an executor runs on under a lease that is longer than the record.
TEST_CASE("no order asks for a longer lease than the log says")
{
    auto options = JobsFixture::defaultOptions();
    options.maxLease = Milliseconds(10'000);
    options.lease = Milliseconds(8'000);
    JobsFixture it(false, options);
    schema::JobCommand command;
    command.add_changes()->set_longest_lease_ms(4'000);
    it.state.apply(0, command.SerializeAsString());
    it.announce("x1");
    it.answerRenewals({});
    it.pass(Milliseconds(20));
    REQUIRE(it.state.longestLease() == Milliseconds(8'000)); // recorded by this leader
    JobsFixture old(false, options);
    old.announce("x1");
    old.answerRenewals({});
    command.mutable_changes(0)->set_longest_lease_ms(4'000);
    old.state.apply(0, command.SerializeAsString());
    old.submit(JobsFixture::request(7, 1)); // before the next tick
    const auto start = old.takeOrder<StartRun>("x1");
    REQUIRE(start);
    CHECK(std::get<StartRun>(start->order).leaseUntilMs <= old.clockOf("x1") + 4'000);
}

// Guards against TWICE: a new leader takes a start that was in flight at the loss for used up.
TEST_CASE("a run that no listing showed before the leader was lost waits until its start and a lease have expired")
{
    JobsFixture it;
    const auto start = sentToX1(it);
    it.answer(start, { OrderOutcome::UnknownOutcome });
    it.announce("x2");
    changeLeader(it);
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time >= Milliseconds(14'000) + wholeLease);
}

// Guards against TWICE: the record of one run stands for a later run of the same task.
TEST_CASE("the record that a run was listed does not hold for the next run of its task")
{
    JobsFixture it;
    startOnX1(it);
    listOnX1(it);
    it.pass(Milliseconds(600));
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    it.answer(
        *renewal, { OrderOutcome::Done, 0, 0, {}, { { 1, firstTask, 1, schema::RUN_OUTCOME_FAILED, {} } }, true });
    it.pass(step);
    const auto again = it.takeOrder<StartRun>("x1");
    REQUIRE(again);
    REQUIRE(std::get<StartRun>(again->order).run == 2);
    it.answer(*again, { OrderOutcome::UnknownOutcome });
    it.announce("x2");
    changeLeader(it);
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(30'000));
    REQUIRE(time);
    CHECK(*time >= Milliseconds(14'000) + wholeLease);
}
