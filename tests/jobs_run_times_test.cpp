#include "jobs/run_time_messages.h"
#include "tests/jobs_fixture.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

JobLeaderOptions learningOptions()
{
    auto out = JobsFixture::defaultOptions();
    out.usesLearnedRunTimes = out.usesLearnedSpeeds = true;
    out.runTimeRecordInterval = Milliseconds(1'000);
    return out;
}

// Runs jobs of one task, whose estimate is 1 s, one after the other; each takes `took`.
void runJobs(JobsFixture& it, uint64_t firstId, size_t jobs, Milliseconds took)
{
    uint64_t end = firstId; // number of the end
    for (uint64_t id = firstId; id < firstId + jobs; ++id) {
        it.submit(JobsFixture::request(id, 1));
        it.passWithRenewals(Milliseconds(40));
        const auto start = it.takeOrder<StartRun>();
        REQUIRE(start);
        it.answer(*start, { OrderOutcome::Done });
        const auto& run = std::get<StartRun>(start->order);
        it.passWithRenewals(took, { { run.task, run.run, {}, 0, -1 } });
        it.pass(Milliseconds(60));
        it.answerRenewals({}, { { end++, run.task, run.run, schema::RUN_OUTCOME_DONE, {} } });
    }
}

} // namespace

// Guards against a new leader that has to learn all run times again.
TEST_CASE("what was learned about run times is in the replicated state, and a new leader starts with it")
{
    JobsFixture it(false, learningOptions());
    it.announce("x1");
    it.answerRenewals({});
    runJobs(it, 1, 30, Milliseconds(3'000));
    it.passWithRenewals(Milliseconds(1'500));
    REQUIRE(it.state.runTimes().queues_size() == 1);
    CHECK(it.state.runTimes().executors_size() == 1);
    JobState restored { Milliseconds(600'000) };
    REQUIRE(restored.restore(it.state.snapshot()));
    RunTimeModel model;
    model.restore(fromMessage(restored.runTimes()));
    const auto& queue = it.state.runTimes().queues(0).queue();
    CHECK(model.predict(queue, "orchard", 1'000).median() > 2'000);
    CHECK(model.predict(queue, "orchard", 1'000).median() < 4'500);
}

// Guards against records of run times in deployments that do not use them.
TEST_CASE("without the settings nothing is learned or recorded")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    runJobs(it, 1, 3, Milliseconds(1'000));
    it.passWithRenewals(Milliseconds(6'000));
    CHECK(it.state.runTimes().queues_size() == 0);
}
