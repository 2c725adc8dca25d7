// Odd rows in the lists of an executor: tasks and runs that do not exist, far too many rows, ends with odd numbers.
#include "jobs_fixture.h"

#include <cstdint>

using namespace teasel;

namespace {

const TaskKey task { { 7, 0, 0 }, 0 };

SendOrder startNext(JobsFixture& it)
{
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    return *start;
}

// One executor that runs the first run of the only task of job 7.
void startOne(JobsFixture& it)
{
    it.announce("x1", 1);
    it.answerRenewals({});
    it.answer(startNext(it), { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(100), { { task, 1, {}, 50, -1 } });
}

bool isRunning(const JobsFixture& it)
{
    const auto* job = it.state.find(7);
    return job != nullptr && job->phase == JobPhase::Running && job->assignedTasks() == 1;
}

const TaskKey oddTasks[] { { { 7, 0, 1 }, 0 }, { { 7, 0, UINT32_MAX }, 0 }, { { 7, 1, 0 }, 0 },
    { { 7, UINT32_MAX, 0 }, 0 }, { { 7, 0, 0 }, 1 }, { { 7, 0, 0 }, UINT32_MAX }, { { 0, 0, 0 }, 0 },
    { { UINT64_MAX, UINT32_MAX, UINT32_MAX }, UINT32_MAX } };

} // namespace

TEST_CASE("rows of tasks that do not exist change no job")
{
    JobsFixture it;
    startOne(it);
    std::vector<RunningTask> running { { task, 1, {}, 50, -1 } };
    std::vector<EndedTask> ended;
    for (const auto& key : oddTasks) {
        for (const uint32_t run : { 0U, 1U, 2U, UINT32_MAX }) {
            running.push_back({ key, run, "c", UINT32_MAX, INT64_MAX });
            ended.push_back({ ended.size() + 1, key, run, schema::RUN_OUTCOME_DONE, "c" });
            ended.push_back({ ended.size() + 1, key, run, schema::RUN_OUTCOME_FAILED, "c" });
        }
    }
    it.pass(Milliseconds(1'000));
    it.answerRenewals(running, ended);
    it.passWithRenewals(Milliseconds(200), { { task, 1, {}, 50, -1 } });
    CHECK(isRunning(it));
    CHECK(it.state.jobs().size() == 1);
    CHECK(it.state.find(7)->open.size() == 1);
}

TEST_CASE("the end of a run that was never assigned does not count its task as done")
{
    for (const uint32_t run : { 0U, 2U, UINT32_MAX }) {
        CAPTURE(run);
        JobsFixture it;
        startOne(it);
        it.pass(Milliseconds(1'000));
        it.answerRenewals({ { task, 1, {}, 50, -1 } }, { { 1, task, run, schema::RUN_OUTCOME_DONE, {} } });
        it.passWithRenewals(Milliseconds(200), { { task, 1, {}, 50, -1 } });
        CHECK(isRunning(it));
    }
}

TEST_CASE("several rows of one task do not end its run")
{
    JobsFixture it;
    startOne(it);
    it.pass(Milliseconds(1'000));
    std::vector<RunningTask> running;
    for (const uint32_t run : { 0U, 1U, 1U, 2U, UINT32_MAX, 1U })
        running.push_back({ task, run, {}, 50, -1 });
    it.answerRenewals(running);
    it.passWithRenewals(Milliseconds(200), running);
    CHECK(isRunning(it));
}

TEST_CASE("a list of 100,000 rows that are not assigned causes no flood of orders")
{
    JobsFixture it;
    startOne(it);
    std::vector<RunningTask> running { { task, 1, {}, 50, -1 } };
    for (uint32_t n = 0; n < 100'000; ++n)
        running.push_back({ { { 9, 0, 0 }, n }, 1, {}, 50, -1 });
    it.pass(Milliseconds(1'000));
    const auto renewal = it.takeOrder<RenewLease>();
    REQUIRE(renewal);
    it.orders.clear();
    it.answer(*renewal, { OrderOutcome::Done, 0, 0, running, {}, true });
    const auto stops = std::count_if(it.orders.begin(), it.orders.end(),
        [](const auto& order) { return std::holds_alternative<StopRun>(order.order); });
    CHECK(stops > 0);
    CHECK(stops <= 500);
    CHECK(isRunning(it));
}

TEST_CASE("the number of one end does not make the later ends look old")
{
    for (const uint64_t odd : { uint64_t(999'999'999'999), uint64_t(1) << 63, UINT64_MAX }) {
        CAPTURE(odd);
        JobsFixture it;
        startOne(it);
        it.pass(Milliseconds(1'000));
        const std::vector<RunningTask> running { { task, 1, {}, 50, -1 } };
        it.answerRenewals(running, { { 1, { { 9, 0, 0 }, 0 }, 1, schema::RUN_OUTCOME_STOPPED, {} } });
        it.pass(Milliseconds(1'000));
        it.answerRenewals(running, { { odd, { { 9, 0, 0 }, 1 }, 1, schema::RUN_OUTCOME_STOPPED, {} } });
        it.pass(Milliseconds(1'000));
        it.answerRenewals({}, { { 2, task, 1, schema::RUN_OUTCOME_DONE, {} } });
        CHECK(it.state.find(7)->phase == JobPhase::Completed);
    }
}
