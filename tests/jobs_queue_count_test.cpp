// The number of jobs of a queue that have not begun.
#include "jobs/job_state.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

constexpr uint64_t jobId = 7;

void apply(JobState& state, const schema::JobChange& change)
{
    schema::JobCommand command;
    *command.add_changes() = change;
    state.apply(0, command.SerializeAsString());
}

void assign(JobState& state, uint32_t run)
{
    schema::JobChange change;
    auto& it = *change.mutable_assigned();
    fillRef({ { jobId, 0, 0 }, 0 }, *it.mutable_task());
    it.set_run(run);
    it.set_executor(1);
    apply(state, change);
}

void end(JobState& state, uint32_t run, schema::RunOutcome outcome)
{
    schema::JobChange change;
    auto& it = *change.mutable_ended();
    fillRef({ { jobId, 0, 0 }, 0 }, *it.mutable_task());
    it.set_run(run);
    it.set_executor(1);
    it.set_outcome(outcome);
    apply(state, change);
}

} // namespace

TEST_CASE("a job whose only starts never ran counts as pending again, until one has run")
{
    JobState state { Milliseconds(600'000) };
    schema::JobChange executor;
    executor.mutable_executor()->set_number(1);
    apply(state, executor);
    schema::JobChange accepted;
    accepted.mutable_accepted()->set_id(jobId);
    accepted.mutable_accepted()->set_queue("blend");
    accepted.mutable_accepted()->add_steps()->set_count(1);
    apply(state, accepted);
    CHECK(state.queuedJobs("blend") == 1);
    assign(state, 1);
    CHECK(state.queuedJobs("blend") == 0);
    end(state, 1, schema::RUN_OUTCOME_NEVER_RAN);
    CHECK(state.queuedJobs("blend") == 1);
    CHECK(state.find(jobId)->phase == JobPhase::Queued);
    JobState restored { Milliseconds(600'000) };
    CHECK(std::holds_alternative<std::monostate>(valueOrError([&] { return restored.restore(state.snapshot()); })));
    for (auto* it : { &state, &restored }) {
        assign(*it, 2);
        end(*it, 2, schema::RUN_OUTCOME_STOPPED);
        CHECK(it->queuedJobs("blend") == 0);
        assign(*it, 3);
        end(*it, 3, schema::RUN_OUTCOME_NEVER_RAN);
        CHECK(it->queuedJobs("blend") == 0);
    }
    CHECK(std::holds_alternative<std::monostate>(valueOrError([&] { return restored.restore(state.snapshot()); })));
    assign(restored, 4);
    end(restored, 4, schema::RUN_OUTCOME_NEVER_RAN);
    CHECK(restored.queuedJobs("blend") == 0);
}
