// Starts of lasting tasks that an earlier leader may have sent, and that a new one sends to the same executor again.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };
constexpr Milliseconds step { 20 };
constexpr Milliseconds checkInterval { 40 }; // of the leader
constexpr Milliseconds startExpiry { 14'000 };
constexpr Milliseconds wholeLease { 6'540 }; // maxLease on the slowest clock, and the time to kill the runs
constexpr Milliseconds tolerance { 100 };
constexpr Milliseconds limit { 60'000 };
const std::vector<RunningTask> listed { { firstTask, 1, {}, 0, -1 } };

// The leader assigns a task to x1 and is lost; its successor gets a list of x1 that lacks the task.
struct Takeover : JobsFixture {
    uint64_t fence = 0; // of the earlier leader's start

    explicit Takeover(bool lasting = true)
    {
        announce("x1");
        answerRenewals({});
        auto request = JobsFixture::request(7, 1);
        request.mutable_steps(0)->set_lasting(lasting);
        submit(request);
        pass(step);
        const auto sent = takeOrder<StartRun>("x1");
        REQUIRE(sent);
        fence = sent->fence;
        announce("x2");
        changeLeader(2);
        answerRenewals({});
        pass(step);
    }

    void changeLeader(uint64_t term)
    {
        orders.clear();
        leader.onBecameLeader(term, clock.now(), clock.wallNow());
        pass(checkInterval);
    }

    SendOrder repeatedStart()
    {
        auto out = takeOrder<StartRun>();
        REQUIRE(out);
        CHECK(out->executorId == "x1");
        CHECK(std::get<StartRun>(out->order).run == 1);
        CHECK(out->fence > fence);
        return *out;
    }
};

} // namespace

// Guards against LOST: a new leader waits for the expiry of a start that its predecessor may not have sent.
TEST_CASE("a lasting task whose start an earlier leader may have sent is started on its executor again at once")
{
    Takeover it;
    it.repeatedStart();
}

// Guards against TWICE: the earlier copy of a start repeats work that the later copy has done.
TEST_CASE("a start of a task that can be done is not sent again")
{
    Takeover it(false);
    const auto time = it.timeToNextStart({ "x1", "x2" }, limit);
    REQUIRE(time);
    CHECK(*time >= startExpiry - tolerance);
}

// Guards against TWICE: a later life of the executor carries out the earlier copy of a start that was sent again.
TEST_CASE("a task whose start was sent again is not started elsewhere before the earlier copy and a lease have expired")
{
    for (const bool isListed : { false, true }) {
        CAPTURE(isListed);
        Takeover it;
        it.answer(it.repeatedStart(), { OrderOutcome::Done });
        it.passWithRenewals(Milliseconds(1'000), isListed ? listed : std::vector<RunningTask>());
        it.orders.clear();
        const auto time = it.timeToNextStart({ "x2" }, limit);
        REQUIRE(time);
        CHECK(*time >= startExpiry + wholeLease - Milliseconds(1'000) - tolerance);
    }
}

// Guards against TWICE: a third leader takes the earlier copy for used up.
TEST_CASE("a list of this life is no evidence for the next leader while an earlier copy of the start may arrive")
{
    Takeover it;
    it.answer(it.repeatedStart(), { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(1'000), listed);
    it.changeLeader(3);
    const auto time = it.timeToNextStart({ "x2" }, limit);
    REQUIRE(time);
    CHECK(*time >= startExpiry + wholeLease);
}

// Guards against TWICE: a third leader that gets a list with the run takes the earlier copy for used up.
TEST_CASE("a run that a third leader finds in a list waits for the earlier copy when its executor is lost")
{
    Takeover it;
    it.answer(it.repeatedStart(), { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(1'000), listed);
    it.changeLeader(3);
    it.passWithRenewals(Milliseconds(1'000), listed);
    it.changeLeader(4);
    const auto time = it.timeToNextStart({ "x2" }, limit);
    REQUIRE(time);
    CHECK(*time >= startExpiry + wholeLease);
}

// Guards against TWICE: the end of the later copy is taken for the end of both.
TEST_CASE("a task whose repeated start failed is not started elsewhere before the earlier copy has expired")
{
    Takeover it;
    it.answer(it.repeatedStart(), { OrderOutcome::Done });
    it.answerRenewals({}, { { 1, firstTask, 1, schema::RUN_OUTCOME_FAILED, {} } });
    const auto time = it.timeToNextStart({ "x1", "x2" }, limit);
    REQUIRE(time);
    CHECK(*time >= startExpiry - tolerance);
    CHECK(*time <= startExpiry + tolerance);
}

// Guards against TWICE: a refusal of the later copy is taken for one of both.
TEST_CASE("a task whose repeated start was refused is not started elsewhere before the earlier copy has expired")
{
    for (const auto outcome : { OrderOutcome::InsufficientCapacity, OrderOutcome::Refused, OrderOutcome::StaleRun }) {
        CAPTURE(static_cast<int>(outcome));
        Takeover it;
        it.answer(it.repeatedStart(), { outcome });
        const auto time = it.timeToNextStart({ "x1", "x2" }, limit);
        REQUIRE(time);
        CHECK(*time >= startExpiry - tolerance);
    }
}

// Guards against LOST: the lease of a run lapses because an earlier copy of its start may still arrive.
TEST_CASE("the lease of a run whose start was sent again is extended, and the run is confirmed in the end")
{
    Takeover it;
    it.answer(it.repeatedStart(), { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(1'000), listed);
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    CHECK(std::get<RenewLease>(renewal->order).leaseUntilMs > 0);
    it.answer(*renewal, { OrderOutcome::Done, 0, 0, listed, {}, true });
    it.passWithRenewals(startExpiry + Milliseconds(1'500), listed);
    it.orders.clear();
    const auto time = it.timeToNextStart({ "x2" }, limit);
    REQUIRE(time);
    CHECK(*time <= wholeLease + Milliseconds(3'000));
}

// Guards against LOST: a repeated start that got no answer waits for its expiry.
TEST_CASE("a repeated start that got no answer is sent again to an executor that answers, a few times")
{
    Takeover it;
    unsigned repeats = 1;
    it.answer(it.repeatedStart(), { OrderOutcome::UnknownOutcome });
    for (int n = 0; n < 100; ++n) {
        it.passWithRenewals(step);
        if (const auto start = it.takeOrder<StartRun>()) {
            CHECK(start->executorId == "x1");
            CHECK(std::get<StartRun>(start->order).run == 1);
            ++repeats;
            it.answer(*start, { OrderOutcome::UnknownOutcome });
        }
    }
    CHECK(repeats == 5);
    CHECK(it.takeOrder<StopRun>("x1"));
}

// Guards against LOST: a repeated start that found no connection waits for the expiry of the earlier copy.
TEST_CASE("a repeated start that could not be sent is sent again until the earlier copy has expired")
{
    Takeover it;
    const auto begin = it.clock.now();
    it.answer(it.repeatedStart(), { OrderOutcome::NotSent });
    auto last = begin;
    std::optional<SendOrder> elsewhere;
    while (!elsewhere && it.clock.now() < begin + limit) {
        it.passWithRenewals(step);
        auto start = it.takeOrder<StartRun>();
        if (!start)
            continue;
        if (std::get<StartRun>(start->order).run > 1) {
            elsewhere = start;
            continue;
        }
        CHECK(start->executorId == "x1");
        CHECK(it.clock.now() - last <= tolerance);
        last = it.clock.now();
        it.answer(*start, { OrderOutcome::NotSent });
    }
    REQUIRE(elsewhere);
    CHECK(it.clock.now() - begin >= startExpiry - tolerance);
    CHECK(it.clock.now() - begin <= startExpiry + tolerance);
}
