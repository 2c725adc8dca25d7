// Services, gangs, shares, preemption, quarantine, and wrong declarations.
#include "placement_fixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace teasel;

namespace {

size_t racksOf(const PlacementFixture& it, const std::string& job, size_t perRack)
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

// Runs until the job has `wanted` tasks; the time that it took.
Milliseconds timeUntilRunning(PlacementFixture& it, const std::string& job, size_t wanted, Milliseconds bound)
{
    Milliseconds passed { 0 };
    while (it.running(job) < wanted && passed < bound) {
        it.run(PlacementFixture::tick);
        passed += PlacementFixture::tick;
    }
    return passed;
}

} // namespace

TEST_CASE("replicas of a service are spread over racks")
{
    PlacementFixture it;
    it.addWorkers(12, resources(4'000, 8'192), 3);
    it.settle();
    it.submit({ .id = "front", .kind = schema::JOB_KIND_SERVICE, .tasks = 4 });
    it.run(Milliseconds(1'000));
    CHECK(it.running("front") == 4);
    CHECK(racksOf(it, "front", 3) == 4);
}

TEST_CASE("a rolling change keeps the service up, with and without room for a spare replica")
{
    struct Case {
        uint64_t milliCpus;
        size_t leastRunning;
    };
    for (const auto& [milliCpus, leastRunning] : { Case { 2'000, 4 }, Case { 1'000, 3 } }) {
        PlacementFixture it;
        it.addWorkers(4, resources(milliCpus, 8'192));
        it.settle();
        JobShape shape { .id = "front", .kind = schema::JOB_KIND_SERVICE, .tasks = 4, .minAvailable = 3 };
        it.submit(shape);
        it.run(Milliseconds(1'000));
        shape.payload = "v2";
        it.submit(shape);
        size_t least = 4;
        for (int i = 0; i < 600; ++i) {
            it.run(PlacementFixture::tick);
            least = std::min(least, it.running("front"));
        }
        CHECK(least >= leastRunning);
        CHECK(it.running("front") == 4);
        for (const auto& worker : it.workers) {
            for (const auto& [key, order] : worker.running)
                CHECK(order.payload() == "v2");
        }
    }
}

TEST_CASE("a worker that leaves has its services moved before they stop")
{
    PlacementFixture it;
    it.addWorkers(3, resources(2'000, 8'192), 1);
    it.settle();
    it.submit({ .id = "front", .kind = schema::JOB_KIND_SERVICE, .tasks = 3, .minAvailable = 3 });
    it.run(Milliseconds(1'000));
    it.workers[0].agent.setLeaving(true);
    size_t least = 3;
    for (int i = 0; i < 50; ++i) {
        it.run(PlacementFixture::tick);
        least = std::min(least, it.running("front"));
    }
    CHECK(least == 3);
    CHECK(it.workers[0].running.empty());
}

TEST_CASE("gangs run whole, and one that waits is neither starved nor deadlocked")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.settle();
    it.submit({ .id = "small", .tasks = 10, .runMs = 20'000 });
    it.run(Milliseconds(1'000));
    it.submit({ .id = "gang-a", .kind = schema::JOB_KIND_GANG, .tasks = 14, .runMs = 5'000 });
    it.submit({ .id = "gang-b", .kind = schema::JOB_KIND_GANG, .tasks = 14, .runMs = 5'000 });
    it.run(Milliseconds(1'000));
    CHECK(it.running("gang-a") == 0);
    // Small work keeps coming; what ends long before the gang can start is let in.
    it.submit({ .id = "short", .tasks = 4, .runMs = 2'000 });
    it.submit({ .id = "long", .tasks = 40, .runMs = 60'000 });
    it.run(Milliseconds(2'000));
    CHECK(it.running("short") == 4);
    CHECK(it.running("long") <= 2);
    it.endAll("small", schema::TASK_STATE_SUCCEEDED);
    // The short tasks run on beyond what they declared, and are stopped for the gang.
    it.run(Milliseconds(3'000));
    CHECK(it.running("gang-a") == 14);
    CHECK(it.running("gang-b") == 0);
    it.endAll("gang-a", schema::TASK_STATE_SUCCEEDED);
    it.run(Milliseconds(3'000));
    CHECK(it.running("gang-b") == 14);
    CHECK(it.records["gang-a"].phase() == schema::JOB_PHASE_SUCCEEDED);
}

TEST_CASE("a gang that loses a task starts again as a whole")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.settle();
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

TEST_CASE("urgent work starts within 3.5 s on a full fleet, also when checkpoints hang")
{
    for (const bool slow : { false, true }) {
        PlacementFixture it;
        it.addWorkers(4);
        it.settle();
        it.submit({ .id = "bulk", .tasks = 100, .canCheckpoint = true });
        it.run(Milliseconds(1'000));
        REQUIRE(it.running("bulk") == 16);
        for (auto& worker : it.workers)
            worker.slowCheckpoints = slow;
        it.submit({ .id = "urgent", .tasks = 6, .rank = 0 });
        CHECK(timeUntilRunning(it, "urgent", 6, Milliseconds(10'000)) <= Milliseconds(3'500));
        it.run(Milliseconds(5'000));
        CHECK(it.running("bulk") == 10);
        CHECK(it.running("urgent") == 6);
    }
}

TEST_CASE("a full fleet gives each team its share, once, and restarts from checkpoints")
{
    PlacementFixture it;
    it.setTeams({ { 1, 1.0 }, { 2, 3.0 } });
    it.addWorkers(10);
    it.settle();
    it.submit({ .id = "first", .tasks = 100, .canCheckpoint = true });
    it.run(Milliseconds(1'000));
    REQUIRE(it.running("first") == 40);
    it.submit({ .id = "second", .tasks = 100, .team = 2 });
    it.run(Milliseconds(10'000));
    CHECK(it.running("first") == 10);
    CHECK(it.running("second") == 30);
    CHECK(it.leader.stats().preemptions == 30);
    it.endAll("second", schema::TASK_STATE_SUCCEEDED);
    it.run(Milliseconds(2'000));
    size_t restored = 0;
    for (const auto& worker : it.workers) {
        for (const auto& [key, order] : worker.running)
            restored += order.from_checkpoint() ? 1 : 0;
    }
    CHECK(restored > 0);
}

TEST_CASE("preemption takes what can checkpoint, then what started last")
{
    PlacementFixture it;
    it.addWorkers(1, resources(3'000, 8'192));
    it.settle();
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

TEST_CASE("no team holds more than its portion, also after it shrank")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.settle();
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

TEST_CASE("a worker that fails everything is put aside, probed and let back, and fails no job")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.settle();
    it.workers[0].failsEverything = true;
    for (int i = 0; i < 60; ++i) {
        it.submit({ .id = fmt::format("job-{}", i), .tasks = 4 });
        it.run(Milliseconds(500));
        it.endAll(fmt::format("job-{}", i - 2), schema::TASK_STATE_SUCCEEDED);
    }
    CHECK(it.leader.stats().quarantines >= 2);
    CHECK(it.leader.stats().jobsFailed == 0);
    CHECK(it.leader.stats().tasksFailed < 20);
    it.workers[0].failsEverything = false;
    it.run(Milliseconds(70'000));
    it.submit({ .id = "last", .kind = schema::JOB_KIND_SERVICE, .tasks = 16, .need = resources(10, 10) });
    it.run(Milliseconds(90'000));
    CHECK(!it.leader.state().workers.at(0).quarantined);
}

TEST_CASE("a job that fails everywhere stops after a bound, with the reason, and puts no worker aside")
{
    PlacementFixture it;
    it.addWorkers(4);
    it.settle();
    for (auto& worker : it.workers)
        worker.failsEverything = true;
    it.submit({ .id = "broken", .tasks = 2, .maxAttempts = 4 });
    it.run(Milliseconds(20'000));
    CHECK(it.records["broken"].phase() == schema::JOB_PHASE_FAILED);
    CHECK(it.records["broken"].reason().find("failed 4 times, last: refused") != std::string::npos);
    CHECK(it.leader.stats().tasksFailed <= 8);
    CHECK(it.leader.stats().quarantines == 0);
}

TEST_CASE("a job that can never run is refused with what rules it out, also after the fleet shrank")
{
    PlacementFixture it;
    it.addWorkers(3);
    it.settle();
    const auto reasonFor = [&](const JobShape& shape) {
        const auto outcome = valueOrError([&] { return it.leader.everPlaceable(jobRecord(shape).spec()); });
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
    it.workers[3].cutOff = true;
    it.run(Milliseconds(90'000));
    CHECK(it.records["large"].phase() == schema::JOB_PHASE_FAILED);
    CHECK(it.records["large"].reason().find("can never run: a task needs 10000 milli-CPUs") != std::string::npos);
}

TEST_CASE("lost racks are placed again at a bounded rate, urgent work first")
{
    PlacementOptions options;
    options.replacementsPerSecond = 10;
    PlacementFixture it(options);
    it.addWorkers(24, resources(4'000, 8'192), 6);
    it.settle();
    it.submit({ .id = "urgent", .kind = schema::JOB_KIND_SERVICE, .tasks = 8, .rank = 0 });
    it.submit({ .id = "bulk", .tasks = 40 });
    it.run(Milliseconds(1'000));
    for (size_t i = 0; i < 12; ++i)
        it.workers[i].cutOff = true;
    it.run(Milliseconds(10'200));
    const size_t before = it.running("bulk");
    it.run(Milliseconds(1'000));
    CHECK(it.running("urgent") == 8);
    CHECK(it.running("bulk") <= before + 21);
    it.run(Milliseconds(5'000));
    CHECK(it.running("bulk") == 40);
}

TEST_CASE("a task above its commitment is throttled, then stopped when its neighbours would be hurt")
{
    PlacementFixture it;
    it.addWorkers(1);
    it.settle();
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
    CHECK(it.leader.stats().usageStops == 1);
}

TEST_CASE("what batch tasks never use is committed to others, with a margin")
{
    PlacementFixture it;
    it.addWorkers(1, resources(8'000, 65'536));
    it.settle();
    JobShape shape { .id = "wasteful", .tasks = 32, .need = resources(4'000, 4'096) };
    it.submit(shape);
    for (int round = 0; round < 40; ++round) {
        it.run(Milliseconds(600));
        for (const auto& [key, order] : it.workers[0].running)
            it.workers[0].agent.onUsage(key, resources(800, 1'000), 500);
        it.run(Milliseconds(600));
        if (it.running("wasteful") > 2)
            break;
        it.endAll("wasteful", schema::TASK_STATE_SUCCEEDED);
    }
    CHECK(it.running("wasteful") >= 7);
    it.submit({ .id = "service", .kind = schema::JOB_KIND_SERVICE, .tasks = 1, .need = resources(4'000, 4'096) });
    it.run(Milliseconds(1'000));
    CHECK(it.running("service") == 0);
}
