// How soon urgent work starts on a full fleet, and what recovery costs services.
//
// Prints one line a figure: preemption METRIC VALUE UNIT BOUND held|short
#include "../tests/placement_fixture.h"

#include <algorithm>
#include <chrono>

using namespace teasel;

namespace {

constexpr size_t workerCount = 680;
constexpr int rounds = 5;
bool allHeld = true;

void print(const char* metric, double value, const char* unit, double most)
{
    const bool held = value <= most;
    allHeld = allHeld && held;
    fmt::print("preemption {} {:.3f} {} <={} {}\n", metric, value, unit, most, held ? "held" : "short");
}

void printOnly(const char* metric, double value, const char* unit)
{
    fmt::print("preemption {} {:.3f} {} - held\n", metric, value, unit);
}

void fill(PlacementFixture& it, bool canCheckpoint)
{
    it.addWorkers(workerCount, resources(32'000, 131'072));
    it.settle();
    it.submit({ .id = "bulk", .tasks = 30'000, .need = resources(1'000, 4'096), .canCheckpoint = canCheckpoint });
    it.run(Milliseconds(1'500));
}

// By the fake clock, from submission until all tasks of an urgent job run.
Milliseconds urgentStart(PlacementFixture& it, const std::string& id, uint32_t tasks, double& decisionMs)
{
    const auto start = std::chrono::steady_clock::now();
    it.submit({ .id = id, .tasks = tasks, .need = resources(2'000, 8'192), .rank = 0 });
    const auto took = std::chrono::steady_clock::now() - start;
    decisionMs = std::max(decisionMs, std::chrono::duration<double, std::milli>(took).count() / tasks);
    Milliseconds passed { 0 };
    while (it.running(id) < tasks && passed < Milliseconds(20'000)) {
        it.run(PlacementFixture::tick);
        passed += PlacementFixture::tick;
    }
    return passed;
}

void measureUrgent(const char* metric, bool slowCheckpoints)
{
    PlacementFixture it;
    fill(it, true);
    for (auto& worker : it.workers)
        worker.slowCheckpoints = slowCheckpoints;
    Milliseconds worst { 0 };
    double decisionMs = 0;
    for (int i = 0; i < rounds; ++i)
        worst = std::max(worst, urgentStart(it, fmt::format("urgent-{}", i), 40, decisionMs));
    print(metric, static_cast<double>(worst.count()) / 1'000, "s", 3.5);
    if (!slowCheckpoints)
        print("decision_per_task_worst", decisionMs, "ms", 1.0);
}

// Replica-seconds missing after one replica of fifty has failed.
double missingAfterFailure(bool wholeJob)
{
    constexpr uint32_t replicas = 50;
    PlacementFixture it;
    it.addWorkers(60, resources(4'000, 8'192));
    it.settle();
    it.submit({ .id = "front", .kind = schema::JOB_KIND_SERVICE, .tasks = replicas });
    it.run(Milliseconds(1'500));
    bool failed = false;
    for (auto& worker : it.workers) {
        const auto running = worker.running;
        for (const auto& [key, order] : running) {
            if (!failed || wholeJob)
                worker.end(key, failed ? schema::TASK_STATE_STOPPED : schema::TASK_STATE_FAILED);
            failed = true;
        }
    }
    double missing = 0;
    for (int i = 0; i < 50; ++i) {
        missing += static_cast<double>(replicas - it.running("front")) * 0.1;
        it.run(PlacementFixture::tick);
    }
    return missing;
}

} // namespace

int main()
{
    measureUrgent("urgent_start_worst", false);
    measureUrgent("urgent_start_worst_with_hung_checkpoints", true);
    const double one = missingAfterFailure(false);
    const double whole = missingAfterFailure(true);
    print("service_missing_when_one_replica_restarts", one, "replica-seconds", whole);
    printOnly("service_missing_when_all_replicas_restart", whole, "replica-seconds");
    return allHeld ? 0 : 1;
}
