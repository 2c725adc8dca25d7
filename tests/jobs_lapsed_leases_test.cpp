// Jobs whose tasks lose their leases on executors that are cut off, and tasks that crash executors which are not back
// within a lease.
#include "jobs_losing_fleet.h"

using namespace teasel;

TEST_CASE("a job whose executors are cut off one after the other is not given up")
{
    for (const auto lostAfter : { Milliseconds(0), Milliseconds(400), longAfterStart }) {
        for (const auto silence : { Milliseconds(8'000), Milliseconds(15'000), Milliseconds(28'000) }) {
            CAPTURE(lostAfter.count());
            CAPTURE(silence.count());
            LosingCase it({ LossPlan::Kind::CutOff, lostAfter, silence, cuts });
            CHECK(it.fleet.passUntilStarts(it.it, cuts + 1, Milliseconds(240'000)));
            it.fleet.pass(it.it, Milliseconds(5'000));
            CHECK(it.phase() == JobPhase::Running);
        }
    }
}

TEST_CASE("a job whose executors are cut off for long while they work is not given up")
{
    LosingCase it({ LossPlan::Kind::CutOff, longAfterStart, forGood, cuts });
    CHECK(it.fleet.passUntilStarts(it.it, cuts + 1, Milliseconds(120'000)));
    CHECK(it.phase() == JobPhase::Running);
}

TEST_CASE("a job whose executors are cut off one after the other beside changes of leaders is not given up")
{
    LosingCase it({ LossPlan::Kind::CutOff, longAfterStart, Milliseconds(8'000), cuts });
    for (size_t n = 1; n <= cuts; ++n) {
        CHECK(it.fleet.passUntilStarts(it.it, n, Milliseconds(20'000)));
        it.fleet.pass(it.it, n % 2 == 0 ? Milliseconds(1'000) : Milliseconds(3'000));
        REQUIRE(it.it.state.restore(it.it.state.snapshot()));
        it.changeLeader();
    }
    CHECK(it.fleet.passUntilStarts(it.it, cuts + 1, Milliseconds(20'000)));
    CHECK(it.phase() == JobPhase::Running);
}

TEST_CASE("a task that crashes executors which are back after their leases or never is given up")
{
    for (const auto silence : { Milliseconds(8'000), Milliseconds(25'000), forGood }) {
        for (const bool isStartAnswered : { true, false }) {
            CAPTURE(silence.count());
            CAPTURE(isStartAnswered);
            LosingCase it({ LossPlan::Kind::Crash, Milliseconds(0), silence, 1'000, isStartAnswered });
            it.fleet.pass(it.it, Milliseconds(300'000));
            CHECK(it.phase() == JobPhase::Failed);
            CHECK(it.fleet.starts() <= maxDeadlyStarts);
        }
    }
}

TEST_CASE("a task that crashes executors which are back late is given up beside changes of leaders")
{
    for (const auto silence : { Milliseconds(8'000), Milliseconds(25'000), forGood }) {
        CAPTURE(silence.count());
        LosingCase it({ LossPlan::Kind::Crash, Milliseconds(100), silence });
        for (size_t n = 0; n < 60 && it.phase() == JobPhase::Running; ++n) {
            it.fleet.pass(it.it, Milliseconds(3'300));
            REQUIRE(it.it.state.restore(it.it.state.snapshot()));
            it.changeLeader();
        }
        it.fleet.pass(it.it, Milliseconds(60'000));
        CHECK(it.phase() == JobPhase::Failed);
        CHECK(it.fleet.starts() <= maxDeadlyStarts);
    }
}

// Guards against LOST: an answer from before the crash clears a task that crashes its executors.
TEST_CASE("an answer to an order that was sent before the lease expired does not refute a loss")
{
    for (const bool isLate : { true, false }) {
        CAPTURE(isLate);
        JobsFixture it;
        it.announce("x1");
        it.answerRenewals({});
        it.submit(JobsFixture::request(losingJob, 1));
        it.pass(Milliseconds(20));
        const auto start = it.takeOrder<StartRun>("x1");
        REQUIRE(start);
        it.answer(*start, { OrderOutcome::Done });
        it.pass(Milliseconds(6'000));
        const auto isLost = [&] { return it.state.isLost("x1", 1); };
        std::optional<SendOrder> order;
        while (auto next = it.takeOrder<RenewLease>("x1"))
            order = std::move(next);
        REQUIRE(order);
        for (int n = 0; n < 100 && !isLost(); ++n)
            it.pass(Milliseconds(20));
        REQUIRE(isLost());
        CHECK(it.state.find(losingTask)->losses == 1);
        if (!isLate) {
            it.pass(Milliseconds(2'000));
            while (auto next = it.takeOrder<RenewLease>("x1"))
                order = std::move(next);
        }
        it.answer(
            *order, { OrderOutcome::Done, 0, 1, {}, { { 1, losingTask, 1, schema::RUN_OUTCOME_LAPSED, {} } }, true });
        CHECK(isLost() == isLate);
        CHECK(it.state.find(losingTask)->losses == (isLate ? 1 : 0));
    }
}

TEST_CASE("crashes that earlier versions recorded for expired leases do not add to those of this version")
{
    const auto record = [](JobsFixture& it, uint32_t run, bool isProven) {
        schema::JobCommand command;
        auto& crash = *command.add_changes()->mutable_crashed();
        fillRef(losingTask, *crash.mutable_task());
        crash.set_run(run);
        crash.set_proven(isProven);
        it.state.apply(0, command.SerializeAsString());
    };
    for (const bool isRestored : { true, false }) {
        CAPTURE(isRestored);
        JobsFixture it;
        it.announce("x1");
        it.answerRenewals({});
        it.submit(JobsFixture::request(losingJob, 1));
        it.pass(Milliseconds(20));
        for (uint32_t run = 1; run < maxCrashes; ++run)
            record(it, run, false);
        if (isRestored)
            REQUIRE(it.state.restore(it.state.snapshot()));
        for (uint32_t run = maxCrashes; run < 2 * maxCrashes - 1; ++run)
            record(it, run, true);
        CHECK(it.state.find(losingJob)->phase == JobPhase::Running);
        record(it, 2 * maxCrashes, false);
        CHECK(it.state.find(losingJob)->phase == JobPhase::Failed); // As that version decided.
    }
}

TEST_CASE(
    "a task that crashes executors some time after its start is given up although they are back after their leases")
{
    for (const auto lostAfter : { Milliseconds(600), longAfterStart }) {
        CAPTURE(lostAfter.count());
        LosingCase it({ LossPlan::Kind::Crash, lostAfter });
        it.fleet.pass(it.it, Milliseconds(300'000));
        CHECK(it.phase() == JobPhase::Failed);
        CHECK(it.fleet.starts() <= maxDeadlyStarts);
    }
}
