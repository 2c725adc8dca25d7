// Jobs whose tasks lose their leases on executors that are cut off, and tasks that crash executors which are not back
// within a lease.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

constexpr uint64_t job = 66;
const TaskKey task { { job, 0, 0 }, 0 };

// What becomes of each executor that starts the task, and when.
struct LossPlan {
    enum class Kind : uint8_t {
        CutOff, // runs on; its lease expires, and it answers again
        Crash, // its next incarnation answers
    } kind = Kind::CutOff;
    Milliseconds lostAfter { 0 }; // from the answered start
    Milliseconds silence { 8'000 }; // longer than a lease
    size_t losses = 1'000; // later starts meet no loss
    bool isStartAnswered = true;
};

class LosingFleet {
public:
    LosingFleet(size_t executors, const LossPlan& plan)
        : m_plan(plan)
    {
        for (size_t n = 0; n < executors; ++n)
            m_executors.push_back({ "x" + std::to_string(n) });
    }

    void pass(JobsFixture& it, Milliseconds time)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds n { 0 }; n < time; n += step) {
            for (auto& executor : m_executors)
                advance(it, executor);
            it.pass(step);
        }
    }

    // Until the task has been started this often; returns whether it was.
    bool passUntilStarts(JobsFixture& it, size_t starts, Milliseconds limit)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds n { 0 }; n < limit && m_starts < starts; n += step)
            pass(it, step);
        return m_starts >= starts;
    }

    size_t starts() const { return m_starts; }

private:
    struct Executor {
        std::string id;
        uint64_t born = 1;
        Instant lostAt = Instant::max();
        Instant backAt {};
        bool isAnnounced = false;
        uint64_t announcements = 0;
        std::vector<RunningTask> running {};
        std::vector<EndedTask> ended {};
    };

    void advance(JobsFixture& it, Executor& executor)
    {
        if (it.clock.now() >= executor.lostAt) {
            executor.lostAt = Instant::max();
            executor.backAt = it.clock.now() + m_plan.silence;
        }
        if (executor.backAt > it.clock.now()) {
            std::erase_if(it.orders, [&](const auto& order) { return order.executorId == executor.id; });
            return;
        }
        if (executor.backAt != Instant()) {
            executor.backAt = Instant();
            executor.isAnnounced = false;
            endRuns(executor);
        }
        if (!std::exchange(executor.isAnnounced, true))
            it.announce(executor.id, executor.born, ++executor.announcements);
        while (const auto start = it.takeOrder<StartRun>(executor.id)) {
            const auto& run = std::get<StartRun>(start->order);
            executor.running.push_back({ run.task, run.run, {}, 10, -1 });
            if (m_plan.isStartAnswered)
                it.answer(*start, { OrderOutcome::Done });
            if (m_starts++ < m_plan.losses)
                executor.lostAt = it.clock.now() + m_plan.lostAfter;
        }
        if (it.clock.now() >= executor.lostAt)
            return advance(it, executor);
        while (const auto renewal = it.takeOrder<RenewLease>(executor.id))
            it.answer(*renewal, { OrderOutcome::Done, 0, executor.born, executor.running, executor.ended, true });
        while (const auto stop = it.takeOrder<StopRun>(executor.id))
            it.answer(*stop, { OrderOutcome::Done });
    }

    void endRuns(Executor& executor) const
    {
        if (m_plan.kind == LossPlan::Kind::Crash) {
            ++executor.born;
            executor.ended.clear();
        }
        for (const auto& it : executor.running) {
            if (m_plan.kind == LossPlan::Kind::CutOff)
                executor.ended.push_back(
                    { executor.ended.size() + 1, it.task, it.run, schema::RUN_OUTCOME_LAPSED, {} });
        }
        executor.running.clear();
    }

    LossPlan m_plan;
    std::vector<Executor> m_executors;
    size_t m_starts = 0;
};

// A fleet of executors that are lost in this way, and a job of one task.
struct Case {
    explicit Case(const LossPlan& plan, size_t executors = 12)
        : fleet(executors, plan)
    {
        fleet.pass(it, Milliseconds(100));
        it.submit(JobsFixture::request(job, 1));
    }

    void changeLeader()
    {
        it.leader.onBecameLeader(++term, it.clock.now(), it.clock.wallNow());
        fleet.pass(it, Milliseconds(20));
    }

    JobPhase phase() const { return it.state.find(job)->phase; }

    JobsFixture it;
    LosingFleet fleet;
    uint64_t term = 1;
};

constexpr Milliseconds forGood = std::chrono::hours(1);
constexpr Milliseconds longAfterStart { 1'500 };
constexpr size_t cuts = 8;
constexpr size_t maxDeadlyStarts = 5; // three crashes and two more starts; the third breaks the platform's budget

} // namespace

TEST_CASE("a job whose executors are cut off one after the other is not given up")
{
    for (const auto lostAfter : { Milliseconds(0), Milliseconds(400), longAfterStart }) {
        for (const auto silence : { Milliseconds(8'000), Milliseconds(15'000), Milliseconds(28'000) }) {
            CAPTURE(lostAfter.count());
            CAPTURE(silence.count());
            Case it({ LossPlan::Kind::CutOff, lostAfter, silence, cuts });
            CHECK(it.fleet.passUntilStarts(it.it, cuts + 1, Milliseconds(240'000)));
            it.fleet.pass(it.it, Milliseconds(5'000));
            CHECK(it.phase() == JobPhase::Running);
        }
    }
}

TEST_CASE("a job whose executors are cut off for long while they work is not given up")
{
    Case it({ LossPlan::Kind::CutOff, longAfterStart, forGood, cuts });
    CHECK(it.fleet.passUntilStarts(it.it, cuts + 1, Milliseconds(120'000)));
    CHECK(it.phase() == JobPhase::Running);
}

TEST_CASE("a job whose executors are cut off one after the other beside changes of leaders is not given up")
{
    Case it({ LossPlan::Kind::CutOff, longAfterStart, Milliseconds(8'000), cuts });
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
            Case it({ LossPlan::Kind::Crash, Milliseconds(0), silence, 1'000, isStartAnswered });
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
        Case it({ LossPlan::Kind::Crash, Milliseconds(100), silence });
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
        it.submit(JobsFixture::request(job, 1));
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
        CHECK(it.state.find(task)->losses == 1);
        if (!isLate) {
            it.pass(Milliseconds(2'000));
            while (auto next = it.takeOrder<RenewLease>("x1"))
                order = std::move(next);
        }
        it.answer(*order, { OrderOutcome::Done, 0, 1, {}, { { 1, task, 1, schema::RUN_OUTCOME_LAPSED, {} } }, true });
        CHECK(isLost() == isLate);
        CHECK(it.state.find(task)->losses == (isLate ? 1 : 0));
    }
}

TEST_CASE("crashes that earlier versions recorded for expired leases do not count")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(job, 1));
    it.pass(Milliseconds(20));
    for (uint32_t run = 1; run <= maxCrashes; ++run) {
        schema::JobCommand command;
        auto& crash = *command.add_changes()->mutable_crashed();
        fillRef(task, *crash.mutable_task());
        crash.set_run(run);
        it.state.apply(0, command.SerializeAsString());
    }
    CHECK(it.state.find(job)->phase == JobPhase::Running);
    CHECK(it.state.find(task)->crashes == 0);

    schema::JobPlaneImage image;
    REQUIRE(image.ParseFromString(it.state.snapshot()));
    auto& old = *image.mutable_jobs(0)->mutable_open(0)->mutable_steps(0)->mutable_tasks(0);
    constexpr int crashesAndLapses = 6; // the field of earlier versions
    old.GetReflection()->MutableUnknownFields(&old)->AddVarint(crashesAndLapses, 3);
    old.set_crashes_at_start(1);
    REQUIRE(it.state.restore(image.SerializeAsString()));
    CHECK(it.state.find(task)->crashes == 1);
}
