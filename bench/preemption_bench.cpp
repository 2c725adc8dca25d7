// Measures how fast urgent tasks start on a full fleet, and how many replicas a service misses during recovery.
//
// Prints one line per metric: preemption METRIC VALUE UNIT BOUND held|short
#include "../tests/placement_fixture.h"

#include <algorithm>
#include <chrono>

using namespace teasel;

namespace {

constexpr size_t workerCount = 680;
constexpr int rounds = 5;
bool allBoundsMet = true;

void print(const char* metric, double value, const char* unit, double limit)
{
    const bool held = value <= limit;
    allBoundsMet = allBoundsMet && held;
    fmt::print("preemption {} {:.3f} {} <={} {}\n", metric, value, unit, limit, held ? "held" : "short");
}

void printUnbounded(const char* metric, double value, const char* unit)
{
    fmt::print("preemption {} {:.3f} {} - held\n", metric, value, unit);
}

void fillFleet(PlacementFixture& it, bool canCheckpoint)
{
    it.addWorkers(workerCount, resources(32'000, 131'072));
    it.waitForRecovery();
    it.submit({ .id = "bulk", .tasks = 30'000, .need = resources(1'000, 4'096), .canCheckpoint = canCheckpoint });
    it.run(Milliseconds(1'500));
}

// Returns the simulated time from the submission of an urgent job until all its tasks run, and updates the
// highest decision time per task.
Milliseconds measureUrgentStart(PlacementFixture& it, const std::string& id, uint32_t tasks, double& decisionMs)
{
    const auto start = std::chrono::steady_clock::now();
    it.submit({ .id = id, .tasks = tasks, .need = resources(2'000, 8'192), .rank = 0 });
    const auto decisionTime = std::chrono::steady_clock::now() - start;
    decisionMs = std::max(decisionMs, std::chrono::duration<double, std::milli>(decisionTime).count() / tasks);
    Milliseconds elapsed { 0 };
    while (it.running(id) < tasks && elapsed < Milliseconds(20'000)) {
        it.run(PlacementFixture::tick);
        elapsed += PlacementFixture::tick;
    }
    return elapsed;
}

void measureUrgent(const char* metric, bool hangingCheckpoints)
{
    PlacementFixture it;
    fillFleet(it, true);
    for (auto& worker : it.workers)
        worker.hangingCheckpoints = hangingCheckpoints;
    Milliseconds worst { 0 };
    double decisionMs = 0;
    for (int i = 0; i < rounds; ++i)
        worst = std::max(worst, measureUrgentStart(it, fmt::format("urgent-{}", i), 40, decisionMs));
    print(metric, static_cast<double>(worst.count()) / 1'000, "s", 3.5);
    if (!hangingCheckpoints)
        print("decision_per_task_worst", decisionMs, "ms", 1.0);
}

// Returns the missing replica-seconds after one of fifty replicas has failed, either when only that replica
// restarts or when the whole job restarts.
double missingAfterFailure(bool wholeJob)
{
    constexpr uint32_t replicas = 50;
    PlacementFixture it;
    it.addWorkers(60, resources(4'000, 8'192));
    it.waitForRecovery();
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
    printUnbounded("service_missing_when_all_replicas_restart", whole, "replica-seconds");
    return allBoundsMet ? 0 : 1;
}
