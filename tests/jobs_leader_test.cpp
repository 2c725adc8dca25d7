#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };

} // namespace

TEST_CASE("a job is accepted once it is stored, and starts under the leader's fence and a lease")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    const auto handle = it.submit(JobsFixture::request(7, 1));
    REQUIRE(it.answerTo(handle));
    CHECK(it.answerTo(handle)->status == CallStatus::Accepted);
    REQUIRE(it.state.find(7) != nullptr);
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    const auto term = start->fence >> 32;
    CHECK(term == 1);
    const auto& run = std::get<StartRun>(start->order);
    CHECK(run.run == 1);
    CHECK(run.payload == "lot");
    CHECK(run.leaseUntilMs > 0);
    CHECK(it.state.executors().begin()->second.assignments.contains(firstTask));
}

TEST_CASE(
    "a start without an answer that the executor does not list is placed again 0.5 s after its expiry at the latest")
{
    auto options = JobsFixture::defaultOptions();
    options.maxStartDelay = Milliseconds(1'000);
    JobsFixture it(false, options);
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    for (int n = 0; n < 75; ++n) {
        it.passWithRenewals(Milliseconds(20));
        while (auto stop = it.takeOrder<StopRun>())
            it.answer(*stop, { OrderOutcome::Done });
    }
    const auto again = it.takeOrder<StartRun>();
    REQUIRE(again);
    CHECK(std::get<StartRun>(again->order).run == 2);
}

TEST_CASE("a start refused as old is not repeated if the executor lists the end of its run")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    // The start was received twice; the answer to the first copy, which began the run, was lost.
    it.answer(*start, { OrderOutcome::StaleRun });
    it.pass(Milliseconds(100));
    CHECK(!it.takeOrder<StartRun>());
    it.answerRenewals({}, { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } });
    it.passWithRenewals(Milliseconds(500));
    CHECK(!it.takeOrder<StartRun>());
    CHECK(it.state.find(7)->phase == JobPhase::Completed);
}

TEST_CASE("a start without an answer that the executor lists counts as running")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    it.passWithRenewals(Milliseconds(1'500), { { firstTask, 1, {}, 100, -1 } });
    CHECK(!it.takeOrder<StopRun>());
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("an end is committed before the executor may drop it")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::Done });
    it.pass(Milliseconds(100));
    auto renewal = it.takeOrder<RenewLease>();
    REQUIRE(renewal);
    CHECK(std::get<RenewLease>(renewal->order).acknowledgedEnds == 0);
    it.answer(*renewal, { OrderOutcome::Done, 0, 0, {}, { { 4, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } }, true });
    CHECK(it.state.find(7)->phase == JobPhase::Completed);
    it.pass(Milliseconds(100));
    renewal = it.takeOrder<RenewLease>();
    REQUIRE(renewal);
    CHECK(std::get<RenewLease>(renewal->order).acknowledgedEnds == 4);
}

TEST_CASE("tasks of a silent executor start on another one only after its lease has certainly expired")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::Done });
    it.announce("x2");
    while (auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
    const auto silentSince = it.clock.now();
    std::optional<SendOrder> again;
    while (!again && it.clock.now() - silentSince < std::chrono::seconds(12)) {
        it.pass(Milliseconds(20));
        while (auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
        while (auto renewal = it.takeOrder<RenewLease>("x1")) {
            // Orders to an executor without an answer must not keep extending its lease.
            if (it.clock.now() - silentSince > std::chrono::seconds(4))
                CHECK(std::get<RenewLease>(renewal->order).leaseUntilMs == 0);
            it.answer(*renewal, { OrderOutcome::UnknownOutcome });
        }
        again = it.takeOrder<StartRun>();
    }
    REQUIRE(again);
    CHECK(again->executorId == "x2");
    CHECK(it.clock.now() - silentSince > std::chrono::seconds(5));
}

TEST_CASE("a listing that was overtaken by one that shows the run does not lose the run")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::UnknownOutcome });
    it.pass(Milliseconds(20));
    it.answer(*it.takeOrder<RenewLease>(), { OrderOutcome::Done }); // sent before the start's outcome became unknown
    it.pass(Milliseconds(100));
    const auto early = it.takeOrder<RenewLease>();
    const auto late = it.takeOrder<RenewLease>();
    REQUIRE(early);
    REQUIRE(late);
    // The start takes effect after the first list was made and before the second.
    it.answer(*late, { OrderOutcome::Done, 0, 0, { { firstTask, 1, {}, 100, -1 } }, {}, true });
    it.answer(*early, { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(500), { { firstTask, 1, {}, 100, -1 } });
    CHECK(!it.takeOrder<StartRun>());
    CHECK(it.state.executors().begin()->second.assignments.contains(firstTask));
}

TEST_CASE("a new leader counts on the lease that the previous leader may have granted")
{
    auto options = JobsFixture::defaultOptions();
    options.lease = Milliseconds(1'000);
    JobsFixture it(false, options);
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::Done });
    it.orders.clear();
    it.leader.onBecameLeader(2, it.clock.now(), it.clock.wallNow());
    it.pass(Milliseconds(60));
    auto renewal = it.takeOrder<RenewLease>();
    REQUIRE(renewal);
    it.answer(*renewal, { OrderOutcome::Done, 0, 0, { { firstTask, 1, {}, 100, -1 } }, {}, true });
    const auto silentSince = it.clock.now();
    it.announce("x2");
    // The next renewal is never sent, and the executor stays silent.
    while (it.state.executors().begin()->second.assignments.contains(firstTask)
        && it.clock.now() - silentSince < std::chrono::seconds(20)) {
        it.pass(Milliseconds(20));
        while (auto lost = it.takeOrder<RenewLease>("x1"))
            it.answer(*lost, { OrderOutcome::NotSent });
        while (auto other = it.takeOrder<RenewLease>("x2"))
            it.answer(*other, { OrderOutcome::Done });
    }
    CHECK(it.clock.now() - silentSince > std::chrono::seconds(6));
}

TEST_CASE("a refused job is refused at once with a retry time")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    uint64_t refused = 0;
    for (uint64_t id = 1; id < 60 && refused == 0; ++id) {
        const auto handle = it.submit(JobsFixture::request(id, 4));
        REQUIRE(it.answerTo(handle));
        if (it.answerTo(handle)->status == CallStatus::Refused)
            refused = handle;
    }
    REQUIRE(refused != 0);
    CHECK(it.answerTo(refused)->retryAfter >= Milliseconds(1'000));
}

TEST_CASE("a draining executor gets no new start once its announcement was acknowledged")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.announce("x1", 1, 2, true);
    REQUIRE(it.answerTo(it.lastHandle));
    it.submit(JobsFixture::request(7, 1));
    it.passWithRenewals(Milliseconds(1'000));
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("a delayed announcement of an earlier incarnation is ignored")
{
    JobsFixture it;
    it.announce("x1", 5, 1);
    it.announce("x1", 3, 9);
    REQUIRE(it.state.executors().size() == 1);
    CHECK(it.state.executors().begin()->second.record.born_ms() == 5);
}

TEST_CASE("a cancelled job that is submitted again does not run")
{
    JobsFixture it;
    it.submit(JobsFixture::request(7, 1));
    it.leader.onCall(100, CancelJob { "farm.example", "/blend/x", "key", 7 }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.submit(JobsFixture::request(7, 1));
    it.announce("x1");
    it.passWithRenewals(Milliseconds(500));
    CHECK(it.state.find(7)->phase == JobPhase::Cancelled);
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("a configuration of the version in force with other content is refused, and a lower one changes nothing")
{
    JobsFixture it;
    const auto put = [&](uint64_t version, const std::string& document) {
        schema::JobConfiguration next = it.state.configuration();
        next.set_version(version);
        next.set_document(document);
        it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
        // No commit here: concurrent calls may arrive before either is stored.
        return it.lastHandle;
    };
    const auto first = put(5, "a");
    const auto second = put(5, "b");
    const auto resent = put(5, "a");
    const auto lower = put(4, "c");
    it.commitAndCollect();
    CHECK(it.answerTo(first)->status == CallStatus::Ok);
    CHECK(it.answerTo(second)->status == CallStatus::Conflict);
    CHECK(it.answerTo(resent)->status == CallStatus::Ok);
    CHECK(it.answerTo(lower)->status == CallStatus::Ok);
    CHECK(it.state.configuration().document() == "a");
}

TEST_CASE("a query about a running job is answered when the job ends, or after a timeout")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::Done });
    const auto ask = [&] {
        it.leader.onCall(++it.lastHandle, QueryJob { "farm.example", "/blend/" + jobIdText(7), "key", 7 },
            it.clock.now(), it.clock.wallNow());
        it.commitAndCollect();
        return it.lastHandle;
    };
    const auto first = ask();
    it.pass(Milliseconds(100));
    CHECK(!it.answerTo(first));
    it.pass(Milliseconds(200));
    REQUIRE(it.answerTo(first));
    CHECK(it.answerTo(first)->phase == JobPhase::Running);
    const auto second = ask();
    it.answerRenewals({}, { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } });
    REQUIRE(it.answerTo(second));
    CHECK(it.answerTo(second)->phase == JobPhase::Completed);
}

TEST_CASE("a waiting query is answered when the leader stops leading")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    it.leader.onCall(++it.lastHandle, QueryJob { "farm.example", "/blend/" + jobIdText(7), "key", 7 }, it.clock.now(),
        it.clock.wallNow());
    it.commitAndCollect();
    CHECK(!it.answerTo(it.lastHandle));
    it.leader.onLostLeadership();
    it.commitAndCollect();
    REQUIRE(it.answerTo(it.lastHandle));
    CHECK(it.answerTo(it.lastHandle)->status == CallStatus::Unavailable);
}

TEST_CASE("an end that a hold lists after its limit counts, and the task does not start again")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::Done });
    it.pass(Milliseconds(100));
    const auto renewal = it.takeOrder<RenewLease>();
    REQUIRE(renewal);
    it.pass(Milliseconds(4'000)); // The renewal times out.
    it.answer(*renewal, { OrderOutcome::Done, 0, 0, {}, { { 1, firstTask, 1, schema::RUN_OUTCOME_DONE, {} } }, true });
    it.pass(Milliseconds(8'000));
    CHECK(!it.takeOrder<StartRun>());
    const auto* job = it.state.find(7);
    REQUIRE(job != nullptr);
    CHECK(job->phase == JobPhase::Completed);
}

TEST_CASE("orders and advice calls of different leaders never share a number")
{
    JobsFixture previous(true);
    JobsFixture later(true); // A restarted process starts counting from the beginning.
    later.leader.onBecameLeader(2, later.clock.now(), later.clock.wallNow());
    for (auto* it : { &previous, &later }) {
        it->announce("x1");
        it->answerRenewals({});
        it->submit(JobsFixture::request(7, 1));
        it->pass(Milliseconds(40));
        REQUIRE(it->adviceRequests.size() == 1);
    }
    CHECK(previous.adviceRequests[0].number != later.adviceRequests[0].number);
    const std::vector<std::pair<std::string, std::string>> granted { { "x1", "ticket" } };
    later.leader.onAdvice(previous.adviceRequests[0].number, true, granted, later.clock.now());
    later.pass(Milliseconds(40));
    CHECK(!later.takeOrder<StartRun>());
    later.leader.onAdvice(later.adviceRequests[0].number, true, granted, later.clock.now());
    later.pass(Milliseconds(40));
    const auto start = later.takeOrder<StartRun>();
    REQUIRE(start);
    previous.leader.onAdvice(previous.adviceRequests[0].number, true, granted, previous.clock.now());
    previous.pass(Milliseconds(40));
    const auto previousStart = previous.takeOrder<StartRun>();
    REQUIRE(previousStart);
    CHECK(start->number != previousStart->number);
}

TEST_CASE("renewals don't wait on an executor that answers them but no stop, so that a stop gets through")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    std::vector<Milliseconds> waits;
    for (int n = 0; n < 150; ++n) {
        it.pass(Milliseconds(20));
        while (auto stop = it.takeOrder<StopRun>())
            it.answer(*stop, { OrderOutcome::UnknownOutcome });
        while (auto renewal = it.takeOrder<RenewLease>()) {
            waits.push_back(std::get<RenewLease>(renewal->order).wait);
            it.answer(*renewal, { OrderOutcome::Done, 0, 0, {}, {}, true });
        }
    }
    REQUIRE(waits.size() > 2);
    CHECK(waits.back() == Milliseconds(0));
}

TEST_CASE("a job whose only granted executor refuses its starts is offered to further executors")
{
    JobsFixture it(true);
    constexpr int executors = 30;
    for (int n = 0; n < executors; ++n)
        it.announce("x" + std::to_string(n));
    it.answerRenewals({});
    it.submit(JobsFixture::request(1, 1));
    std::string refusing; // the only one granted of those asked first; it refuses every start
    std::vector<std::string> first;
    bool hasStartedElsewhere = false;
    for (int n = 0; n < 100 && !hasStartedElsewhere; ++n) {
        it.passWithRenewals(Milliseconds(50));
        for (const auto& request : std::exchange(it.adviceRequests, {})) {
            std::vector<std::pair<std::string, std::string>> granted;
            for (const auto& executor : request.executors) {
                if (refusing.empty())
                    refusing = executor;
                const bool isAskedLater = std::find(first.begin(), first.end(), executor) == first.end();
                if (executor == refusing || (isAskedLater && !first.empty()))
                    granted.emplace_back(executor, "ticket");
            }
            if (first.empty())
                first = request.executors;
            it.leader.onAdvice(request.number, true, granted, it.clock.now());
        }
        it.commitAndCollect();
        while (const auto start = it.takeOrder<StartRun>()) {
            hasStartedElsewhere = hasStartedElsewhere || start->executorId != refusing;
            it.answer(*start, { start->executorId == refusing ? OrderOutcome::Refused : OrderOutcome::Done });
        }
    }
    CHECK(!refusing.empty());
    CHECK(hasStartedElsewhere);
}
