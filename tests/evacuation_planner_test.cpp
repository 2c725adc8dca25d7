#include "jobs/evacuation_planner.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

struct EvacuationFixture {
    google::protobuf::RepeatedPtrField<std::string> labels;
    ReadyStep step;
    std::vector<CandidateExecutor> candidates;
    std::vector<EvacuationRun> runs;

    EvacuationFixture()
    {
        step.service = "filling";
        step.checkpoints = true;
        addCandidate("filling", 64'000);
    }
    void addCandidate(std::string_view service, int64_t free)
    {
        auto& it = candidates.emplace_back();
        it.capacity = { { 64'000, 64'000, 0 } };
        it.free = { { free, 64'000, 0 } };
        it.service = service;
        it.labels = &labels;
    }
    EvacuationRun& addRun(double remainingMs)
    {
        auto& it = runs.emplace_back();
        it.task = { step.key, static_cast<uint32_t>(runs.size() - 1) };
        it.step = &step;
        it.need = { { 2'000, 1'000, 0 } };
        it.remainingMs = remainingMs;
        return it;
    }
    std::vector<size_t> stops(size_t maxMoves = 16) const
    {
        return EvacuationPlanner({ Milliseconds(5'000), maxMoves }).runsToStop(runs, candidates);
    }
};

using Stops = std::vector<size_t>;

} // namespace

// Guards against moving runs that end sooner where they are, or that lose their work when they are stopped.
TEST_CASE_FIXTURE(EvacuationFixture, "only long runs with checkpoints and without a gang are moved")
{
    addRun(5'000);
    addRun(5'001);
    CHECK(stops() == Stops { 1 });
    step.gang = true;
    CHECK(stops().empty());
    step.lasting = true; // moving one member costs the work of all
    CHECK(stops().empty());
    step.lasting = step.gang = step.checkpoints = false;
    CHECK(stops().empty());
}

// Guards against a burst of restores in the other data centres.
TEST_CASE_FIXTURE(EvacuationFixture, "runs are moved a few at a time, counting stops in progress")
{
    for (int n = 0; n < 6; ++n)
        addRun(60'000);
    runs[4].isStopping = true;
    CHECK(stops(3) == Stops { 0, 1 });
    CHECK(stops(1).empty());
}

// Guards against an evacuation that takes down more tasks of a service than its callers can miss.
TEST_CASE_FIXTURE(EvacuationFixture, "lasting tasks are moved one at a time within may_miss")
{
    step.lasting = true;
    for (int n = 0; n < 3; ++n)
        addRun(0).mayMiss = 2;
    CHECK(stops() == Stops { 0 });
    for (auto& it : runs)
        it.unavailableTasks = 1;
    CHECK(stops() == Stops { 0 });
    runs[2].isStopping = true;
    CHECK(stops().empty());
    runs[2].isStopping = false;
    for (auto& it : runs)
        it.unavailableTasks = 2;
    CHECK(stops().empty());
    for (auto& it : runs)
        it.mayMiss = it.unavailableTasks = 0; // without may_miss, one task may be down
    CHECK(stops() == Stops { 0 });
}

// Guards against a stop after which the task can't start anywhere.
TEST_CASE_FIXTURE(EvacuationFixture, "runs are moved only where an executor that may run them has room")
{
    candidates[0].free.amounts[0] = 5'000;
    for (int n = 0; n < 4; ++n)
        addRun(60'000);
    CHECK(stops() == Stops { 0, 1 });
    runs[3].isStopping = true; // will need its room soon
    CHECK(stops() == Stops { 0 });
    candidates[0].free.amounts[0] = 1'000;
    addCandidate("other", 64'000);
    CHECK(stops().empty());
    candidates[1].service = "filling";
    step.requiredLabel = "large";
    CHECK(stops().empty());
    step.requiredLabel.clear();
    step.allowedRegions = { "north" };
    CHECK(stops().empty());
    candidates[1].region = "north";
    CHECK(!stops().empty());
    candidates.clear();
    CHECK(stops().empty());
}
