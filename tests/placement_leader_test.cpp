// Leases, attempts, commitments and failover of the placement leader.
#include "placement_fixture.h"

#include <doctest/doctest.h>

using namespace teasel;

TEST_CASE("a batch job runs to its end and its record says so")
{
    PlacementFixture it;
    it.addWorkers(3);
    it.settle();
    it.submit({ .id = "blend", .tasks = 12 });
    it.run(Milliseconds(1'000));
    CHECK(it.running("blend") == 12);
    it.endAll("blend", schema::TASK_STATE_SUCCEEDED);
    it.run(Milliseconds(3'000));
    CHECK(it.records["blend"].phase() == schema::JOB_PHASE_SUCCEEDED);
    CHECK(it.records["blend"].finished_tasks_size() == 12);
    CHECK(it.workers[0].agent.liveTasks() == 0);
}

TEST_CASE("nothing is placed before the settle time and nothing beyond capacity")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.submit({ .id = "many", .tasks = 20 });
    it.run(Milliseconds(10'000));
    CHECK(it.running("many") == 0);
    it.run(Milliseconds(2'000));
    CHECK(it.running("many") == 8);
}

TEST_CASE("a lost worker's tasks start elsewhere only after its lease and the margin")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.settle();
    it.submit({ .id = "one", .tasks = 1 });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("one") == 1);
    const size_t holder = it.workers[0].running.empty() ? 1 : 0;
    it.workers[holder].cutOff = true;
    it.run(Milliseconds(9'000));
    CHECK(it.running("one") == 1);
    CHECK(it.workers[1 - holder].running.empty());
    it.run(Milliseconds(3'000));
    CHECK(it.running("one") == 1);
    CHECK(it.workers[1 - holder].running.size() == 1);
}

TEST_CASE("a new leader finds running tasks and leaves them alone")
{
    PlacementFixture it;
    it.addWorkers(3);
    it.settle();
    it.submit({ .id = "steady", .tasks = 10 });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("steady") == 10);
    it.leader.onLostLeadership(it.now);
    it.leader.onBecameLeader(2, it.now);
    it.settle();
    it.run(Milliseconds(2'000));
    CHECK(it.running("steady") == 10);
    uint32_t starts = 0;
    for (const auto& worker : it.workers)
        starts += worker.starts;
    CHECK(starts == 10);
    CHECK(it.leader.jobView("steady").running() == 10);
}

TEST_CASE("a cancelled job's tasks are stopped, ten thousand in one pass")
{
    PlacementFixture it;
    it.addWorkers(200, resources(64'000, 128'000));
    it.settle();
    for (int i = 0; i < 100; ++i)
        it.submit({ .id = fmt::format("job-{}", i), .tasks = 100 });
    it.run(Milliseconds(1'000));
    REQUIRE(it.leader.stats().tasksPlaced == 10'000);
    std::vector<schema::JobRecord> records;
    for (auto& [id, record] : it.records) {
        record.set_phase(schema::JOB_PHASE_CANCELLED);
        records.push_back(record);
    }
    const auto before = it.leader.stats().passes;
    it.leader.onJobs(records, it.now);
    CHECK(it.leader.stats().passes == before + 1);
    it.run(Milliseconds(1'200));
    CHECK(it.leader.stats().tasksPlaced == 0);
    CHECK(it.running("job-7") == 0);
}
