// Tests services, gangs, fair shares, preemption, quarantine and tasks with wrong resource declarations.
#include "placement_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teasel;

namespace {

size_t countRacks(const PlacementFixture& it, const std::string& job, size_t perRack)
{
    std::set<size_t> racks;
    for (size_t i = 0; i < it.workers.size(); ++i) {
        for (const auto& [key, order] : it.workers[i].running) {
            if (key.job == job)
                racks.insert(i / perRack);
        }
    }
    return racks.size();
}

// Runs until the job has `wanted` running tasks or `bound` has passed. Returns the simulated time.
Milliseconds timeUntilRunning(PlacementFixture& it, const std::string& job, size_t wanted, Milliseconds bound)
{
    Milliseconds elapsed { 0 };
    while (it.running(job) < wanted && elapsed < bound) {
        it.run(PlacementFixture::tick);
        elapsed += PlacementFixture::tick;
    }
    return elapsed;
}

} // namespace

TEST_CASE("replicas of a service are spread over racks")
{
    PlacementFixture it;
    it.addWorkers(12, resources(4'000, 8'192), 3);
    it.waitForRecovery();
    it.submit({ .id = "front", .kind = schema::JOB_KIND_SERVICE, .tasks = 4 });
    it.run(Milliseconds(1'000));
    CHECK(it.running("front") == 4);
    CHECK(countRacks(it, "front", 3) == 4);
}

TEST_CASE("a rolling update keeps the service available, with and without capacity for a surge replica")
{
    struct Case {
        uint64_t milliCpus;
        size_t minExpected;
    };
    for (const auto& [milliCpus, minExpected] : { Case { 2'000, 4 }, Case { 1'000, 3 } }) {
        PlacementFixture it;
        it.addWorkers(4, resources(milliCpus, 8'192));
        it.waitForRecovery();
        JobTemplate jobTemplate { .id = "front", .kind = schema::JOB_KIND_SERVICE, .tasks = 4, .minAvailable = 3 };
        it.submit(jobTemplate);
        it.run(Milliseconds(1'000));
        jobTemplate.payload = "v2";
        it.submit(jobTemplate);
        size_t minRunning = 4;
        for (int i = 0; i < 600; ++i) {
            it.run(PlacementFixture::tick);
            minRunning = std::min(minRunning, it.running("front"));
        }
        CHECK(minRunning >= minExpected);
        CHECK(it.running("front") == 4);
        for (const auto& worker : it.workers) {
            for (const auto& [key, order] : worker.running)
                CHECK(order.payload() == "v2");
        }
    }
}

TEST_CASE("service replicas are moved off a leaving worker before they stop")
{
    PlacementFixture it;
    it.addWorkers(3, resources(2'000, 8'192), 1);
    it.waitForRecovery();
    it.submit({ .id = "front", .kind = schema::JOB_KIND_SERVICE, .tasks = 3, .minAvailable = 3 });
    it.run(Milliseconds(1'000));
    it.workers[0].agent.setLeaving(true);
    size_t minRunning = 3;
    for (int i = 0; i < 50; ++i) {
        it.run(PlacementFixture::tick);
        minRunning = std::min(minRunning, it.running("front"));
    }
    CHECK(minRunning == 3);
    CHECK(it.workers[0].running.empty());
}

TEST_CASE("gangs run completely or not at all, and a waiting gang neither starves nor deadlocks")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.waitForRecovery();
    it.submit({ .id = "small", .tasks = 10, .runMs = 20'000 });
    it.run(Milliseconds(1'000));
    it.submit({ .id = "gang-a", .kind = schema::JOB_KIND_GANG, .tasks = 14, .runMs = 5'000 });
    it.submit({ .id = "gang-b", .kind = schema::JOB_KIND_GANG, .tasks = 14, .runMs = 5'000 });
    it.run(Milliseconds(1'000));
    CHECK(it.running("gang-a") == 0);
    // Further batch jobs arrive; only tasks that end before the gang can start are backfilled.
    it.submit({ .id = "short", .tasks = 4, .runMs = 2'000 });
    it.submit({ .id = "long", .tasks = 40, .runMs = 60'000 });
    it.run(Milliseconds(2'000));
    CHECK(it.running("short") == 4);
    CHECK(it.running("long") <= 2);
    it.endTasks("small", schema::TASK_STATE_SUCCEEDED);
    // The short tasks exceed their declared run time and are stopped for the gang.
    it.run(Milliseconds(3'000));
    CHECK(it.running("gang-a") == 14);
    CHECK(it.running("gang-b") == 0);
    it.endTasks("gang-a", schema::TASK_STATE_SUCCEEDED);
    it.run(Milliseconds(3'000));
    CHECK(it.running("gang-b") == 14);
    CHECK(it.records["gang-a"].phase() == schema::JOB_PHASE_SUCCEEDED);
}

TEST_CASE("a gang restarts all tasks when one fails")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.waitForRecovery();
    it.submit({ .id = "gang", .kind = schema::JOB_KIND_GANG, .tasks = 8 });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("gang") == 8);
    auto holder = std::find_if(it.workers.begin(), it.workers.end(), [](const auto& w) { return !w.running.empty(); });
    const AttemptKey key = holder->running.begin()->first;
    holder->end(key, schema::TASK_STATE_FAILED);
    it.run(Milliseconds(4'000));
    CHECK(it.running("gang") == 8);
    for (const auto& worker : it.workers) {
        for (const auto& [running, order] : worker.running)
            CHECK(running.attempt.number == 2);
    }
}

TEST_CASE("urgent tasks start within 3.5 s on a full fleet, even if checkpoints hang")
{
    for (const bool slow : { false, true }) {
        PlacementFixture it;
        it.addWorkers(4);
        it.waitForRecovery();
        it.submit({ .id = "bulk", .tasks = 100, .canCheckpoint = true });
        it.run(Milliseconds(1'000));
        REQUIRE(it.running("bulk") == 16);
        for (auto& worker : it.workers)
            worker.hangingCheckpoints = slow;
        it.submit({ .id = "urgent", .tasks = 6, .rank = 0 });
        CHECK(timeUntilRunning(it, "urgent", 6, Milliseconds(10'000)) <= Milliseconds(3'500));
        it.run(Milliseconds(5'000));
        CHECK(it.running("bulk") == 10);
        CHECK(it.running("urgent") == 6);
    }
}

TEST_CASE("a full fleet is rebalanced to fair shares without repeated preemption, and tasks restart from checkpoints")
{
    PlacementFixture it;
    it.setTeams({ { 1, 1.0 }, { 2, 3.0 } });
    it.addWorkers(10);
    it.waitForRecovery();
    it.submit({ .id = "first", .tasks = 100, .canCheckpoint = true });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("first") == 40);
    it.submit({ .id = "second", .tasks = 100, .team = 2 });
    it.run(Milliseconds(10'000));
    CHECK(it.running("first") == 10);
    CHECK(it.running("second") == 30);
    CHECK(it.leader.stats().preemptions == 30);
    it.endTasks("second", schema::TASK_STATE_SUCCEEDED);
    it.run(Milliseconds(2'000));
    size_t restored = 0;
    for (const auto& worker : it.workers) {
        for (const auto& [key, order] : worker.running)
            restored += order.from_checkpoint() ? 1 : 0;
    }
    CHECK(restored > 0);
}

TEST_CASE("preemption stops tasks that can checkpoint first, then those that started last")
{
    PlacementFixture it;
    it.addWorkers(1, resources(3'000, 8'192));
    it.waitForRecovery();
    it.submit({ .id = "old", .tasks = 1 });
    it.run(Milliseconds(1'000));
    it.submit({ .id = "saves", .tasks = 1, .canCheckpoint = true });
    it.run(Milliseconds(1'000));
    it.submit({ .id = "young", .tasks = 1 });
    it.run(Milliseconds(1'000));
    it.submit({ .id = "urgent-1", .rank = 0 });
    it.run(Milliseconds(3'000));
    CHECK(it.running("saves") == 0);
    it.submit({ .id = "urgent-2", .rank = 0 });
    it.run(Milliseconds(3'000));
    CHECK(it.running("young") == 0);
    CHECK(it.running("old") == 1);
}

TEST_CASE("no team exceeds its portion, even after the portion shrinks")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.waitForRecovery();
    const std::vector<TaskTeamPolicy> eight { { 1, 1.0, resources(8'000, 100'000) } };
    const std::vector<TaskTeamPolicy> three { { 1, 1.0, resources(3'000, 100'000) } };
    it.leader.onTeams(eight, it.now);
    it.submit({ .id = "bulk", .tasks = 100 });
    it.run(Milliseconds(2'000));
    CHECK(it.running("bulk") == 8);
    it.leader.onTeams(three, it.now);
    it.run(Milliseconds(2'000));
    CHECK(it.running("bulk") == 3);
    CHECK(it.leader.needs().front().wanted.amounts[0] == 100'000);
}

TEST_CASE("a worker that fails every task is quarantined, probed and readmitted, and fails no job")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.waitForRecovery();
    it.workers[0].failsEveryTask = true;
    for (int i = 0; i < 60; ++i) {
        it.submit({ .id = fmt::format("job-{}", i), .tasks = 4 });
        it.run(Milliseconds(500));
        it.endTasks(fmt::format("job-{}", i - 2), schema::TASK_STATE_SUCCEEDED);
    }
    CHECK(it.leader.stats().quarantines >= 2);
    CHECK(it.leader.stats().jobsFailed == 0);
    CHECK(it.leader.stats().tasksFailed < 20);
    it.workers[0].failsEveryTask = false;
    it.run(Milliseconds(70'000));
    it.submit({ .id = "last", .kind = schema::JOB_KIND_SERVICE, .tasks = 16, .need = resources(10, 10) });
    it.run(Milliseconds(90'000));
    CHECK(!it.leader.state().workers.at(0).quarantined);
}

TEST_CASE("a job that fails on every worker ends after its attempt limit with a reason, and quarantines no worker")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.waitForRecovery();
    for (auto& worker : it.workers)
        worker.failsEveryTask = true;
    it.submit({ .id = "broken", .tasks = 2, .maxAttempts = 4 });
    it.run(Milliseconds(20'000));
    CHECK(it.records["broken"].phase() == schema::JOB_PHASE_FAILED);
    CHECK(it.records["broken"].reason().find("failed 4 times, last: refused") != std::string::npos);
    CHECK(it.leader.stats().tasksFailed <= 8);
    CHECK(it.leader.stats().quarantines == 0);
}

TEST_CASE("an infeasible job is refused with the excluding resource, and fails if the fleet shrinks")
{
    PlacementFixture it;
    it.addWorkers(3);
    it.waitForRecovery();
    const auto reasonFor = [&](const JobTemplate& jobTemplate) {
        const auto outcome = valueOrError([&] { return it.leader.checkFeasibility(jobRecord(jobTemplate).spec()); });
        const auto* error = std::get_if<Error>(&outcome);
        return error ? error->message : std::string();
    };
    CHECK(reasonFor({ .id = "fits", .tasks = 100 }).empty());
    CHECK(reasonFor({ .id = "big", .need = resources(5'000, 1) }).find("5000 milli-CPUs") != std::string::npos);
    CHECK(reasonFor({ .id = "gpu", .need = resources(1, 1, 1) }).find("1 accelerators") != std::string::npos);
    CHECK(
        reasonFor({ .id = "gang", .kind = schema::JOB_KIND_GANG, .tasks = 13 }).find("12 of 13") != std::string::npos);
    it.addWorker("large", resources(16'000, 65'536));
    it.run(Milliseconds(1'000));
    it.submit({ .id = "large", .kind = schema::JOB_KIND_SERVICE, .need = resources(10'000, 1'024) });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("large") == 1);
    it.workers[3].disconnected = true;
    it.run(Milliseconds(90'000));
    CHECK(it.records["large"].phase() == schema::JOB_PHASE_FAILED);
    CHECK(it.records["large"].reason().find("can never run: a task needs 10000 milli-CPUs") != std::string::npos);
}

TEST_CASE("tasks of lost racks are placed again at a limited rate, urgent tasks first")
{
    PlacementOptions options;
    options.replacementsPerSecond = 10;
    PlacementFixture it(options);
    it.addWorkers(24, resources(4'000, 8'192), 6);
    it.waitForRecovery();
    it.submit({ .id = "urgent", .kind = schema::JOB_KIND_SERVICE, .tasks = 8, .rank = 0 });
    it.submit({ .id = "bulk", .tasks = 40 });
    it.run(Milliseconds(1'000));
    for (size_t i = 0; i < 12; ++i)
        it.workers[i].disconnected = true;
    it.run(Milliseconds(10'200));
    const size_t before = it.running("bulk");
    it.run(Milliseconds(1'000));
    CHECK(it.running("urgent") == 8);
    CHECK(it.running("bulk") <= before + 21);
    it.run(Milliseconds(5'000));
    CHECK(it.running("bulk") == 40);
}

TEST_CASE("a task above its commitment is throttled, then stopped if its worker is overcommitted")
{
    PlacementFixture it;
    it.addWorkers(1);
    it.waitForRecovery();
    it.submit({ .id = "greedy", .tasks = 1, .canCheckpoint = true });
    it.submit({ .id = "neighbour", .kind = schema::JOB_KIND_SERVICE, .tasks = 1, .need = resources(3'000, 4'096) });
    it.run(Milliseconds(1'000));
    const AttemptKey greedy { "greedy", 0, { 1, 1 } };
    REQUIRE(it.workers[0].running.contains(greedy));
    it.workers[0].agent.onUsage(greedy, resources(2'000, 1'024), 1'000);
    it.run(Milliseconds(1'000));
    CHECK(it.workers[0].throttled.contains(greedy));
    CHECK(it.running("greedy") == 1);
    it.run(Milliseconds(4'000));
    CHECK(it.running("greedy") == 0);
    CHECK(it.running("neighbour") == 1);
    CHECK(it.leader.stats().overuseStops == 1);
}

TEST_CASE("unused resources of batch tasks are committed to other batch tasks, but not to services")
{
    PlacementFixture it;
    it.addWorkers(1, resources(8'000, 65'536));
    it.waitForRecovery();
    JobTemplate jobTemplate { .id = "wasteful", .tasks = 32, .need = resources(4'000, 4'096) };
    it.submit(jobTemplate);
    for (int round = 0; round < 40; ++round) {
        it.run(Milliseconds(600));
        for (const auto& [key, order] : it.workers[0].running)
            it.workers[0].agent.onUsage(key, resources(800, 1'000), 500);
        it.run(Milliseconds(600));
        if (it.running("wasteful") > 2)
            break;
        it.endTasks("wasteful", schema::TASK_STATE_SUCCEEDED);
    }
    CHECK(it.running("wasteful") >= 7);
    it.submit({ .id = "service", .kind = schema::JOB_KIND_SERVICE, .tasks = 1, .need = resources(4'000, 4'096) });
    it.run(Milliseconds(1'000));
    CHECK(it.running("service") == 0);
}
