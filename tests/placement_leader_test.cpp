// Tests leases, attempts, commitments and failover of the placement leader.
#include "placement_fixture.h"

#include <doctest/doctest.h>

using namespace teasel;

TEST_CASE("a batch job runs to completion and its record becomes succeeded")
{
    PlacementFixture it;
    it.addWorkers(3);
    it.waitForRecovery();
    it.submit({ .id = "blend", .tasks = 12 });
    it.run(Milliseconds(1'000));
    CHECK(it.running("blend") == 12);
    it.endTasks("blend", schema::TASK_STATE_SUCCEEDED);
    it.run(Milliseconds(3'000));
    CHECK(it.records["blend"].phase() == schema::JOB_PHASE_SUCCEEDED);
    CHECK(it.records["blend"].finished_tasks_size() == 12);
    CHECK(it.workers[0].agent.liveTasks() == 0);
}

TEST_CASE("no task is placed before recovery is complete or beyond capacity")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.submit({ .id = "many", .tasks = 20 });
    it.run(Milliseconds(10'000));
    CHECK(it.running("many") == 0);
    it.run(Milliseconds(2'000));
    CHECK(it.running("many") == 8);
}

TEST_CASE("tasks of a lost worker start on another worker only after its lease and the clock margin")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.waitForRecovery();
    it.submit({ .id = "one", .tasks = 1 });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("one") == 1);
    const size_t holder = it.workers[0].running.empty() ? 1 : 0;
    it.workers[holder].disconnected = true;
    it.run(Milliseconds(9'000));
    CHECK(it.running("one") == 1);
    CHECK(it.workers[1 - holder].running.empty());
    it.run(Milliseconds(3'000));
    CHECK(it.running("one") == 1);
    CHECK(it.workers[1 - holder].running.size() == 1);
}

TEST_CASE("a new leader adopts running tasks without restarting them")
{
    PlacementFixture it;
    it.addWorkers(3);
    it.waitForRecovery();
    it.submit({ .id = "steady", .tasks = 10 });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("steady") == 10);
    it.changeLeader(2);
    it.waitForRecovery();
    it.run(Milliseconds(2'000));
    CHECK(it.running("steady") == 10);
    uint32_t starts = 0;
    for (const auto& worker : it.workers)
        starts += worker.starts;
    CHECK(starts == 10);
    CHECK(it.leader.jobView("steady").running() == 10);
}

TEST_CASE("ten thousand tasks of cancelled jobs are stopped in one pass")
{
    PlacementFixture it;
    it.addWorkers(200, resources(64'000, 128'000));
    it.waitForRecovery();
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

TEST_CASE("a new incarnation of a worker does not release tasks that the previous one may still run")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.waitForRecovery();
    it.submit({ .id = "one", .tasks = 1 });
    it.run(Milliseconds(1'000));
    const size_t holder = it.workers[0].running.empty() ? 1 : 0;
    it.workers[holder].disconnected = true;
    it.addWorker(it.workers[holder].name, resources(4'000, 8'192), "rack-0", 2);
    size_t maxRunning = 0;
    for (int i = 0; i < 150; ++i) {
        it.run(PlacementFixture::tick);
        maxRunning = std::max(maxRunning, it.running("one"));
    }
    CHECK(maxRunning == 1);
    CHECK(it.running("one") == 1);
    CHECK(it.workers[holder].running.empty());
}

TEST_CASE("a task that succeeded before a leader change is not run again if the success was not committed")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.waitForRecovery();
    it.submit({ .id = "once", .tasks = 3 });
    it.run(Milliseconds(1'000));
    it.endTasks("once", schema::TASK_STATE_SUCCEEDED);
    for (int i = 0; i < 3; ++i) {
        it.now += Milliseconds(500);
        for (auto& worker : it.workers)
            it.exchangeReport(worker);
    }
    // The progress reported by the previous leader is lost with it.
    it.changeLeader(2);
    it.waitForRecovery();
    it.run(Milliseconds(2'000));
    CHECK(it.records["once"].phase() == schema::JOB_PHASE_SUCCEEDED);
    CHECK(it.workers[0].starts + it.workers[1].starts == 3);
}

TEST_CASE("a leader issues no orders after its leadership lease expires")
{
    PlacementFixture it;
    it.addWorkers(1);
    it.waitForRecovery();
    it.leader.onLeadershipLease(it.now + Milliseconds(100));
    auto report = it.workers[0].agent.makeReport(it.now);
    CHECK(it.leader.onReport(report, it.now + Milliseconds(99)).lease_ms() > 0);
    report.set_sequence(report.sequence() + 1);
    const auto late = it.leader.onReport(report, it.now + Milliseconds(100));
    CHECK(late.lease_ms() == 0);
    CHECK(late.epoch() == 0);
}

TEST_CASE("a job deleted from the fleet state is stopped and not run again")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.waitForRecovery();
    it.submit({ .id = "old", .tasks = 2 });
    it.submit({ .id = "kept", .tasks = 2 });
    it.run(Milliseconds(1'000));
    it.records.erase("old");
    it.changeLeader(2);
    it.waitForRecovery();
    it.run(Milliseconds(12'000));
    CHECK(it.running("old") == 0);
    CHECK(it.running("kept") == 2);
    // The same within one term.
    it.leader.onJobs({}, it.now, { .replacesAll = true });
    it.run(Milliseconds(1'500));
    CHECK(it.running("kept") == 0);
}

TEST_CASE("a leader without job records, as in a partitioned data centre, leaves tasks running")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.waitForRecovery();
    it.submit({ .id = "steady", .tasks = 4 });
    it.run(Milliseconds(1'000));
    it.leader.onLostLeadership(it.now);
    it.leader.onBecameLeader(2, it.now);
    // It has not received portions either.
    it.leader.onTeams(std::vector<TaskTeamPolicy> { { 1, 1.0, {} } }, it.now);
    it.run(Milliseconds(60'000));
    CHECK(it.running("steady") == 4);
    it.leader.onJobs(std::vector { it.records["steady"] }, it.now, { .replacesAll = true });
    it.run(Milliseconds(5'000));
    CHECK(it.running("steady") == 4);
    CHECK(it.workers[0].starts + it.workers[1].starts == 4);
    it.leader.onTeams(std::vector<TaskTeamPolicy> { { 1, 1.0, {}, true } }, it.now);
    it.run(Milliseconds(2'000));
    CHECK(it.running("steady") == 0);
}

TEST_CASE("of two attempts reported as running, the later leader's one continues regardless of attempt numbers")
{
    PlacementFixture it;
    it.addWorkers(2);
    it.waitForRecovery();
    it.submit({ .id = "one", .tasks = 1 });
    it.run(Milliseconds(1'000));
    it.workers[0].disconnected = it.workers[1].disconnected = true;
    it.changeLeader(2);
    it.waitForRecovery();
    it.workers[0].disconnected = it.workers[1].disconnected = false;
    it.run(Milliseconds(2'000));
    REQUIRE(it.running("one") == 1);
    const size_t holder = it.workers[0].running.empty() ? 1 : 0;
    REQUIRE(it.workers[holder].running.begin()->first.attempt == Attempt { 2, 1 });
    auto report = it.workers[1 - holder].agent.makeReport(it.now);
    auto& staleAttempt = *report.add_tasks();
    staleAttempt.set_job_id("one");
    staleAttempt.set_attempt(3);
    staleAttempt.set_attempt_epoch(1);
    staleAttempt.set_state(schema::TASK_STATE_RUNNING);
    *staleAttempt.mutable_committed() = resources(1'000, 1'024);
    const auto orders = it.leader.onReport(report, it.now);
    REQUIRE(orders.stops_size() == 1);
    CHECK(orders.stops(0).attempt_epoch() == 1);
    it.run(Milliseconds(2'000));
    CHECK(it.workers[holder].running.size() == 1);
}
