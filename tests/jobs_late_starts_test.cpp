// Starts without an answer that a later incarnation of their executor may carry out.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };
constexpr Milliseconds step { 20 };

JobLeaderOptions shortDelay()
{
    auto options = JobsFixture::defaultOptions();
    options.maxStartDelay = Milliseconds(3'000);
    return options;
}

// One task that x1 was told to start and has not answered; x2 is free.
SendOrder unansweredStart(JobsFixture& it)
{
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    it.announce("x2");
    return *start;
}

} // namespace

TEST_CASE("a task is not started elsewhere while the next life of its executor may carry out a start that was stopped")
{
    JobsFixture it(false, shortDelay());
    unansweredStart(it);
    const auto time = it.timeToNextStart({ "x1", "x2" }, Milliseconds(4'000));
    REQUIRE(time);
    CHECK(*time >= Milliseconds(2'900));
    CHECK(*time <= Milliseconds(3'300));
}

TEST_CASE("a task whose executor fell silent is not started elsewhere before a late start's lease has expired")
{
    JobsFixture it(false, shortDelay());
    unansweredStart(it);
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(12'000));
    REQUIRE(time);
    CHECK(*time >= Milliseconds(9'000)); // the delay of the start and a whole lease
    CHECK(*time <= Milliseconds(10'000));
}

TEST_CASE("a new leader does not take the first listing as proof that a start of its predecessor never takes effect")
{
    JobsFixture it(false, shortDelay());
    unansweredStart(it);
    it.orders.clear();
    it.leader.onBecameLeader(2, it.clock.now(), it.clock.wallNow());
    const auto time = it.timeToNextStart({ "x1", "x2" }, Milliseconds(4'000));
    REQUIRE(time);
    CHECK(*time >= Milliseconds(2'900));
    CHECK(*time <= Milliseconds(3'300));
}

TEST_CASE("a task is not started elsewhere when its executor left without having answered the start")
{
    JobsFixture it(false, shortDelay());
    unansweredStart(it);
    it.leader.onCall(++it.lastHandle, ExecutorDeparture { "x1", 1 }, it.clock.now(), it.clock.wallNow());
    const auto time = it.timeToNextStart({ "x2" }, Milliseconds(12'000));
    REQUIRE(time);
    CHECK(*time >= Milliseconds(9'000));
    CHECK(it.state.executors().size() == 1);
}

TEST_CASE("a stopped start that is listed later counts as running and takes room until it ends")
{
    JobsFixture it(false, shortDelay());
    unansweredStart(it);
    CHECK(!it.timeToNextStart({ "x1", "x2" }, Milliseconds(2'000)));
    it.announce("x1", 2); // restarted
    for (int n = 0; n < 100; ++n) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("x1"))
            it.answer(*renewal, { OrderOutcome::Done, 0, 2, { { firstTask, 1, {}, 50, -1 } }, {}, true });
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
    }
    CHECK(!it.takeOrder<StartRun>());
    CHECK(it.state.executors().rbegin()->second.assignments.contains(firstTask));
}

TEST_CASE("a delayed announcement of an earlier executor at the address does not end a run whose start may take effect")
{
    JobsFixture it(false, shortDelay());
    it.announce("x1", 10);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    it.announce("x2");
    it.passWithRenewals(step);
    it.pass(Milliseconds(1'200));
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    it.answer(*renewal, { OrderOutcome::Done, 0, 11 }); // restarted
    it.announceAt("y", "x1", 5);
    CHECK(!it.timeToNextStart({ "x2" }, Milliseconds(2'000)));
}

TEST_CASE("a start with a ticket holds its task up until the ticket has expired, not for the longest delay of orders")
{
    JobsFixture it(true);
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    const auto grant = [&] {
        while (!it.adviceRequests.empty()) {
            const auto request = it.adviceRequests.front();
            it.adviceRequests.erase(it.adviceRequests.begin());
            it.leader.onAdvice(request.number, true, { { "x1", "ticket" } }, it.clock.now());
            it.commitAndCollect();
        }
    };
    it.pass(step);
    grant();
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    Milliseconds time { 0 };
    for (; time < Milliseconds(4'000) && !it.takeOrder<StartRun>(); time += step) {
        it.pass(step);
        grant();
        while (const auto stop = it.takeOrder<StopRun>("x1"))
            it.answer(*stop, { OrderOutcome::Done });
        while (const auto renewal = it.takeOrder<RenewLease>("x1"))
            it.answer(*renewal, { OrderOutcome::Done });
    }
    CHECK(time >= Milliseconds(2'000)); // the validity of the ticket
    CHECK(time <= Milliseconds(2'600));
}

namespace {

// x1 has listed the end of the only task of a job, and nothing of it is acknowledged yet.
void listEnd(JobsFixture& it)
{
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(6, 1));
    it.pass(step);
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::Done });
    it.pass(step);
    const auto renewal = it.takeOrder<RenewLease>();
    REQUIRE(renewal);
    it.answer(*renewal,
        { OrderOutcome::Done, 0, 0, {}, { { 1, { { 6, 0, 0 }, 0 }, 1, schema::RUN_OUTCOME_DONE, {} } }, true });
}

uint64_t acknowledgedBy(const SendOrder& order) { return std::get<RenewLease>(order.order).acknowledgedEnds; }

} // namespace

TEST_CASE("a later life that carries out a start late refuses acknowledgements that were sent before it")
{
    JobsFixture it;
    listEnd(it);
    it.pass(Milliseconds(100));
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    REQUIRE(acknowledgedBy(*renewal) == 1);
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    CHECK(start->fence > renewal->fence);
}

TEST_CASE("no end is acknowledged while a later life may carry out a start that was not answered")
{
    JobsFixture it(false, shortDelay());
    listEnd(it);
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    const auto sentAt = it.clock.now();
    std::optional<Duration> acknowledgedAfter;
    std::vector<RunningTask> running;
    while (!acknowledgedAfter && it.clock.now() - sentAt < std::chrono::seconds(6)) {
        it.pass(step);
        while (const auto stop = it.takeOrder<StopRun>())
            it.answer(*stop, { OrderOutcome::Done });
        while (const auto renewal = it.takeOrder<RenewLease>()) {
            if (acknowledgedBy(*renewal) > 0 && !acknowledgedAfter)
                acknowledgedAfter = it.clock.now() - sentAt;
            it.answer(*renewal, { OrderOutcome::Done, 0, 0, running, {}, true });
        }
        if (const auto again = it.takeOrder<StartRun>()) {
            it.answer(*again, { OrderOutcome::Done });
            running = { { { { 7, 0, 0 }, 0 }, std::get<StartRun>(again->order).run, {}, 50, -1 } };
        }
    }
    REQUIRE(acknowledgedAfter);
    CHECK(*acknowledgedAfter >= Milliseconds(2'900)); // until the start has expired
}

TEST_CASE("ends are acknowledged before their list is full, also while a start is not answered")
{
    JobsFixture it(false, shortDelay());
    unansweredStart(it);
    constexpr size_t maxListed = 500; // from the platform's contract
    uint64_t seen = 0;
    bool isStartedAgain = false;
    for (int n = 0; n < 500 && !(seen > 0 && isStartedAgain); ++n) {
        it.pass(step);
        while (const auto stop = it.takeOrder<StopRun>())
            it.answer(*stop, { OrderOutcome::Done });
        while (const auto renewal = it.takeOrder<RenewLease>()) {
            OrderResult result { OrderOutcome::Done };
            if (renewal->executorId == "x1") {
                seen = std::max(seen, acknowledgedBy(*renewal));
                for (uint64_t end = seen + 1; end <= maxListed; ++end)
                    result.ended.push_back({ end, { { 1'000 + end, 0, 0 }, 0 }, 1, schema::RUN_OUTCOME_DONE, {} });
            }
            result.isEndListComplete = result.ended.size() < maxListed;
            it.answer(*renewal, result);
        }
        isStartedAgain = isStartedAgain || it.takeOrder<StartRun>().has_value();
    }
    CHECK(seen == maxListed);
    CHECK(isStartedAgain);
}

TEST_CASE("a later life that carries out a start late refuses lease renewals that were sent before it")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.pass(Milliseconds(100));
    const auto renewal = it.takeOrder<RenewLease>("x1");
    REQUIRE(renewal);
    REQUIRE(std::get<RenewLease>(renewal->order).leaseUntilMs > 0);
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    CHECK(start->fence > renewal->fence);
}

TEST_CASE("a task is not started elsewhere while a late renewal may extend the lease of a later life")
{
    auto options = JobsFixture::defaultOptions();
    options.maxStartDelay = Milliseconds(8'000);
    JobsFixture it(true, options);
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    const auto grant = [&](const char* executor) {
        while (!it.adviceRequests.empty()) {
            const auto request = it.adviceRequests.front();
            it.adviceRequests.erase(it.adviceRequests.begin());
            it.leader.onAdvice(request.number, true, { { executor, "ticket" } }, it.clock.now());
            it.commitAndCollect();
        }
    };
    it.pass(step);
    grant("x1");
    REQUIRE(it.takeOrder<StartRun>("x1")); // never answered; its ticket is valid for 2 s
    it.answerRenewals({}); // requested before the start
    it.announce("x2");
    std::optional<Instant> renewedAt;
    const auto sentAt = it.clock.now();
    std::optional<Duration> again;
    while (!again && it.clock.now() - sentAt < std::chrono::seconds(30)) {
        it.pass(step);
        grant("x2");
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
        while (const auto renewal = it.takeOrder<RenewLease>("x1")) {
            // Its lease is extended only after it has answered since the start; the extensions are lost.
            if (std::get<RenewLease>(renewal->order).leaseUntilMs > 0)
                renewedAt = it.clock.now();
            else if (!renewedAt)
                it.answer(*renewal, { OrderOutcome::Done });
        }
        if (it.takeOrder<StartRun>())
            again = it.clock.now() - sentAt;
    }
    REQUIRE(renewedAt);
    REQUIRE(again);
    CHECK(*again >= *renewedAt - sentAt + Milliseconds(14'000)); // its delay and a whole lease
    CHECK(*again <= *renewedAt - sentAt + Milliseconds(15'000));
}

TEST_CASE("a list of runs without a start time does not show that a run has ended")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(1'500), { { { { 7, 0, 0 }, 0 }, 1, {}, 50, -1 } });
    it.hasStartTimes = false;
    it.passWithRenewals(Milliseconds(2'500));
    CHECK(!it.takeOrder<StartRun>());
    it.hasStartTimes = true;
    it.passWithRenewals(Milliseconds(1'500));
    CHECK(it.takeOrder<StartRun>());
}
