#include "jobs/stage_latencies.h"

#include <doctest/doctest.h>

#include <string>

namespace teasel {

namespace {

    const Instant begin { std::chrono::seconds(1) };

    Instant at(int64_t ms) { return begin + Milliseconds(ms); }

    uint64_t countOf(const StageLatencies::Stages& stages, JobStage stage)
    {
        return stages[static_cast<size_t>(stage)].count();
    }

} // namespace

TEST_CASE("each stage counts from the end of the one before, and the first start from the submission")
{
    StageLatencies latencies;
    latencies.onSubmitted(1, at(0));
    latencies.onAccepted(1, "weigh", at(12));
    latencies.onAdvised(1, "weigh", at(40));
    latencies.onAdvised(1, "weigh", at(41)); // a second answer
    latencies.onAssigned(1, "weigh", at(41));
    latencies.onLaunched(1, "weigh", at(60));
    latencies.onLaunched(1, "weigh", at(90)); // its second task
    const auto queues = latencies.take();
    const auto& stages = queues.at("weigh");
    CHECK(stages[static_cast<size_t>(JobStage::Accepted)].quantile(0.5) == Milliseconds(12));
    CHECK(stages[static_cast<size_t>(JobStage::Advised)].quantile(0.5) == Milliseconds(28));
    CHECK(stages[static_cast<size_t>(JobStage::Launched)].quantile(0.5) == Milliseconds(19));
    CHECK(stages[static_cast<size_t>(JobStage::FirstStart)].quantile(0.5) == Milliseconds(60));
    CHECK(countOf(stages, JobStage::Advised) == 1);
    CHECK(countOf(stages, JobStage::FirstStart) == 1);
    CHECK(latencies.take().empty());
}

TEST_CASE("a stage may be left out, and a job that is forgotten has none")
{
    StageLatencies latencies;
    latencies.onSubmitted(1, at(0));
    latencies.onSubmitted(2, at(0));
    latencies.onAccepted(1, "weigh", at(10));
    latencies.onAssigned(1, "weigh", at(20)); // its queue needs no advice
    latencies.forget(2);
    latencies.onLaunched(2, "weigh", at(30));
    const auto queues = latencies.take();
    CHECK(countOf(queues.at("weigh"), JobStage::Advised) == 0);
    CHECK(countOf(queues.at("weigh"), JobStage::Assigned) == 1);
    CHECK(countOf(queues.at("weigh"), JobStage::FirstStart) == 0);
}

TEST_CASE("the number of queues is bounded, and no observation is lost")
{
    StageLatencies latencies;
    for (size_t n = 0; n < 2 * StageLatencies::maxQueues; ++n)
        latencies.record("queue" + std::to_string(n), JobStage::Answered, Milliseconds(5));
    const auto queues = latencies.take();
    CHECK(queues.size() == StageLatencies::maxQueues + 1);
    uint64_t all = 0;
    for (const auto& [queue, stages] : queues)
        all += countOf(stages, JobStage::Answered);
    CHECK(all == 2 * StageLatencies::maxQueues);
}

} // namespace teasel
