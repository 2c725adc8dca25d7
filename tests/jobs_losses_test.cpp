// What the state keeps of lost executors, and what refutes or confirms a loss.
#include "jobs_fixture.h"

#include "core/random.h"

#include <array>
#include <limits>

using namespace teasel;

namespace {

const TaskKey task { { 66, 0, 0 }, 0 };

void addRun(schema::JobCommand& command, const std::string& executor, uint32_t run)
{
    auto& lost = *command.add_changes()->mutable_executor_lost();
    lost.set_executor(executor);
    lost.set_born_ms(1);
    auto& it = *lost.add_runs();
    fillRef(task, *it.mutable_task());
    it.set_run(run);
    it.set_may_be_cause(true);
}

void addCrash(schema::JobCommand& command, uint32_t run)
{
    auto& crash = *command.add_changes()->mutable_crashed();
    fillRef(task, *crash.mutable_task());
    crash.set_run(run);
    crash.set_proven(true);
}

// x1 is cut off just after it has answered the start; its lease expires.
void lapse(JobsFixture& it)
{
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(66, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::Done });
    for (int n = 0; n < 600 && !it.state.isLost("x1", 1); ++n) {
        it.pass(Milliseconds(20));
        it.orders.clear();
    }
    REQUIRE(it.state.isLost("x1", 1));
}

} // namespace

TEST_CASE("a replica that restored a snapshot gives a job up with the others")
{
    JobsFixture it;
    for (const auto* x : { "x1", "x2", "x3" })
        it.announce(x);
    it.submit(JobsFixture::request(66, 1));
    schema::JobCommand c;
    addRun(c, "x1", 1);
    addRun(c, "x2", 2);
    addCrash(c, 3);
    it.state.apply(0, c.SerializeAsString());
    JobState restored { Milliseconds(600'000) };
    REQUIRE(restored.restore(it.state.snapshot()));
    schema::JobCommand d;
    addCrash(d, 4);
    for (const auto& [number, x] : it.state.executors())
        d.add_changes()->set_executor_removed(number);
    it.state.apply(0, d.SerializeAsString());
    restored.apply(0, d.SerializeAsString());
    CHECK(restored.find(66)->phase == it.state.find(66)->phase);
}

TEST_CASE("a loss whose run is counted as a crash leaves nothing behind")
{
    JobsFixture it;
    it.announce("x1");
    it.submit(JobsFixture::request(66, 1));
    schema::JobCommand c;
    addRun(c, "x1", 1);
    addCrash(c, 1);
    it.state.apply(0, c.SerializeAsString());
    CHECK(it.state.find(task)->losses == 0);
    CHECK_FALSE(it.state.isLost("x1", 1));
    JobState restored { Milliseconds(600'000) };
    REQUIRE(restored.restore(it.state.snapshot()));
    CHECK(restored.isLost("x1", 1) == it.state.isLost("x1", 1));
}

TEST_CASE("a job that an earlier version had failed stays failed when its log is replayed")
{
    // Replica 1 has the outcome in its snapshot, replica 2 replays the log of the earlier version.
    JobsFixture it;
    it.announce("x1");
    it.submit(JobsFixture::request(66, 1));
    JobState replayed { Milliseconds(600'000) };
    REQUIRE(replayed.restore(it.state.snapshot()));
    for (uint32_t run = 1; run <= 4; ++run) {
        schema::JobCommand c;
        auto& crash = *c.add_changes()->mutable_crashed();
        fillRef(task, *crash.mutable_task());
        crash.set_run(run);
        replayed.apply(0, c.SerializeAsString());
    }
    CHECK(replayed.find(66)->phase == JobPhase::Failed); // as the earlier version showed it
}

TEST_CASE("a start that the next incarnation has answered and runs is no crash at its start")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(66, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.restart("x1");
    it.answer(*start, { OrderOutcome::Done });
    it.announce("x1", 2, 2);
    for (int n = 0; n < 100; ++n) {
        it.pass(Milliseconds(20));
        while (auto r = it.takeOrder<RenewLease>("x1"))
            it.answer(*r, { OrderOutcome::Done, 0, 2, { { task, 1, {}, 10, -1 } }, {}, true });
        while (auto r = it.takeOrder<StopRun>("x1"))
            it.answer(*r, { OrderOutcome::Done });
    }
    REQUIRE(it.state.find(task));
    CHECK(it.state.find(task)->run == 1);
    CHECK(it.state.find(task)->crashesAtStart == 0);
    CHECK(it.state.find(task)->crashes == 0);
    CHECK(it.state.find(task)->losses == 0);
    CHECK(it.state.find(task)->finalLosses == 0);
}

TEST_CASE("a start that moved to the next incarnation, which runs it, is no final loss")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(66, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start); // its answer is lost
    it.announce("x1", 2, 2);
    for (int n = 0; n < 100; ++n) {
        it.pass(Milliseconds(20));
        while (auto r = it.takeOrder<RenewLease>("x1"))
            it.answer(*r, { OrderOutcome::Done, 0, 2, { { task, 1, {}, 10, -1 } }, {}, true });
        while (auto r = it.takeOrder<StopRun>("x1"))
            it.answer(*r, { OrderOutcome::Done });
    }
    REQUIRE(it.state.find(task));
    CHECK(it.state.find(task)->run == 1);
    CHECK(it.state.find(task)->crashes == 0);
    CHECK(it.state.find(task)->losses == 0);
    CHECK(it.state.find(task)->finalLosses == 0);
}

TEST_CASE("a start that its executor has refuted is no loss when the executor restarts later")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(66, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    for (int n = 0; n < 200; ++n) {
        it.pass(Milliseconds(20));
        while (auto r = it.takeOrder<RenewLease>("x1"))
            it.answer(*r, { OrderOutcome::Done, 0, 1, {}, {}, true });
        while (auto r = it.takeOrder<StopRun>("x1"))
            it.answer(*r, { OrderOutcome::Done });
    }
    CHECK(it.state.find(task)->losses == 0);
    it.announce("x1", 2, 2);
    for (int n = 0; n < 100; ++n) {
        it.pass(Milliseconds(20));
        while (auto r = it.takeOrder<RenewLease>("x1"))
            it.answer(*r, { OrderOutcome::Done, 0, 2, {}, {}, true });
        while (auto r = it.takeOrder<StopRun>("x1"))
            it.answer(*r, { OrderOutcome::Done });
    }
    REQUIRE(it.state.find(task));
    CHECK(it.state.find(task)->losses == 0);
    CHECK(it.state.find(task)->finalLosses == 0);
}

TEST_CASE("an executor that leaves as announced behind the cut did not crash")
{
    JobsFixture it;
    lapse(it);
    it.pass(Milliseconds(1'000));
    it.announce("x1", 1, 2, true);
    it.pass(Milliseconds(1'000));
    it.leader.onCall(++it.lastHandle, ExecutorDeparture { "x1", 1 }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.pass(Milliseconds(40'000));
    CHECK(it.state.executors().empty());
    REQUIRE(it.state.find(task));
    CHECK(it.state.find(task)->finalLosses == 0);
}

// Guards against LOST: a task waits for executors that announce themselves and can't be reached.
TEST_CASE("an announcement from after the end of the lease refutes a loss, one that was delayed does not")
{
    for (const bool isDelayed : { true, false }) {
        CAPTURE(isDelayed);
        JobsFixture it;
        it.announce("x1");
        it.answerRenewals({});
        const auto before = it.clockOf("x1");
        lapse(it);
        auto announcement = JobsFixture::announcementOf("x1", 9);
        announcement.clockMs = isDelayed ? before + 1'000 : it.clockOf("x1");
        it.announce(std::move(announcement));
        it.pass(Milliseconds(20));
        CHECK(it.state.isLost("x1", 1) == isDelayed);
    }
}

// Guards against a crash of the leader: callers choose the ids.
TEST_CASE("a job with the largest id ends while tasks of other jobs have lost their executor")
{
    constexpr auto largest = std::numeric_limits<uint64_t>::max();
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    for (const uint64_t id : { uint64_t(66), largest })
        it.submit(JobsFixture::request(id, 1));
    it.pass(Milliseconds(20));
    while (const auto start = it.takeOrder<StartRun>("x1"))
        it.answer(*start, { OrderOutcome::Done });
    it.pass(Milliseconds(8'000));
    REQUIRE(it.state.lostRuns().size() == 2);
    CancelJob cancel { "farm.example", "/blend/" + jobIdText(largest), "key", largest };
    it.leader.onCall(++it.lastHandle, std::move(cancel), it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.pass(Milliseconds(100));
    CHECK(it.state.find(largest)->phase == JobPhase::Cancelled);
    CHECK(it.state.lostRuns().size() == 1);
}

// Guards against replicas that diverge after a snapshot.
TEST_CASE("a replica that restores snapshots counts losses like one that applies all changes")
{
    constexpr size_t tasks = 3;
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        CAPTURE(seed);
        Random random(seed);
        JobsFixture it;
        it.submit(JobsFixture::request(66, tasks));
        JobState other { Milliseconds(600'000) };
        REQUIRE(other.restore(it.state.snapshot()));
        uint32_t executors = 0;
        std::array<uint32_t, tasks> runs {};
        const auto fillRun = [&](schema::TaskRef& ref) {
            const auto n = random.below(tasks);
            fillRef({ { 66, 0, 0 }, static_cast<uint32_t>(n) }, ref);
            return random.chance(0.5) ? ++runs.at(n) : 1 + static_cast<uint32_t>(random.below(runs.at(n) + 1));
        };
        for (int n = 0; n < 40; ++n) {
            schema::JobCommand command;
            auto& change = *command.add_changes();
            const auto id = "x" + std::to_string(random.below(4));
            const auto kind = random.below(7);
            if (kind == 0) {
                auto& record = *change.mutable_executor();
                record.set_id(id);
                record.set_born_ms(1 + random.below(2));
                record.set_number(++executors);
            } else if (kind <= 2) {
                auto& lost = *change.mutable_executor_lost();
                lost.set_executor(id);
                lost.set_born_ms(1 + random.below(2));
                auto& run = *lost.add_runs();
                run.set_run(fillRun(*run.mutable_task()));
                run.set_may_be_cause(random.chance(0.5));
            } else if (kind == 3) {
                auto& crash = *change.mutable_crashed();
                crash.set_run(fillRun(*crash.mutable_task()));
                crash.set_proven(random.chance(0.8));
            } else if (kind == 4) {
                change.set_executor_returned(1 + static_cast<uint32_t>(random.below(executors + 1)));
            } else if (kind == 5) {
                change.set_executor_removed(1 + static_cast<uint32_t>(random.below(executors + 1)));
            } else {
                change.mutable_executor_crashed()->set_executor(id);
                change.mutable_executor_crashed()->set_born_ms(1 + random.below(2));
            }
            it.state.apply(0, command.SerializeAsString());
            other.apply(0, command.SerializeAsString());
            REQUIRE(it.state.snapshot() == other.snapshot());
            if (random.chance(0.2))
                REQUIRE(other.restore(it.state.snapshot()));
        }
    }
}
