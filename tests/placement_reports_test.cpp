// Tests reports with entries that no worker can have.
#include "placement_fixture.h"

#include <doctest/doctest.h>

using namespace teasel;

TEST_CASE("a task index that no job can have names no task, and the report's other entries hold")
{
    PlacementFixture it;
    it.addWorker("w0");
    it.waitForRecovery();
    it.submit({ .id = "one" });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("one") == 1);
    auto report = it.workers[0].agent.makeReport(it.now);
    REQUIRE(report.tasks_size() == 1);
    for (const auto state : { schema::TASK_STATE_RUNNING, schema::TASK_STATE_SUCCEEDED }) {
        auto odd = report.tasks(0);
        odd.set_index(UINT32_MAX);
        odd.set_state(state);
        *report.add_tasks() = odd;
    }
    report.mutable_tasks()->SwapElements(0, 1);
    const auto orders = it.leader.onReport(report, it.now);
    CHECK(orders.lease_ms() > 0);
    CHECK(orders.stops_size() == 0);
    CHECK(it.leader.stats().tasksPlaced == 1);
    CHECK(it.leader.jobView("one").running() == 1);
}

TEST_CASE("one report with the highest incarnation and sequence costs a worker no more than its lease")
{
    PlacementFixture it;
    it.addWorker("w0");
    it.waitForRecovery();
    it.submit({ .id = "one" });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("one") == 1);
    auto odd = it.workers[0].agent.makeReport(it.now);
    odd.set_incarnation(UINT64_MAX);
    odd.set_sequence(UINT64_MAX);
    odd.clear_tasks();
    it.leader.onReport(odd, it.now);
    size_t maxRunning = 0;
    for (int i = 0; i < 150; ++i) {
        it.run(PlacementFixture::tick);
        maxRunning = std::max(maxRunning, it.running("one"));
    }
    CHECK(maxRunning == 1);
    CHECK(it.running("one") == 1);
}
