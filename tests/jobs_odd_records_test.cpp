// Records and snapshots of the job plane with numbers that can't be true.
#include "jobs_fixture.h"

#include <functional>

using namespace teasel;

namespace {

schema::JobPlaneImage image()
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 2));
    it.pass(Milliseconds(20));
    schema::JobPlaneImage out;
    REQUIRE(out.ParseFromString(it.state.snapshot()));
    REQUIRE(out.jobs_size() == 1);
    REQUIRE(out.jobs(0).open_size() == 1);
    return out;
}

bool isRestored(const schema::JobPlaneImage& it)
{
    JobState state { Milliseconds(600'000) };
    return std::holds_alternative<std::monostate>(valueOrError([&] { return state.restore(it.SerializeAsString()); }));
}

} // namespace

TEST_CASE("a snapshot whose jobs have other tasks than their requests is rejected")
{
    CHECK(isRestored(image()));
    using Change = std::function<void(schema::JobImage&)>;
    const Change changes[] { [](auto& it) { it.mutable_request()->clear_steps(); },
        [](auto& it) { it.mutable_request()->add_steps()->set_count(1); },
        [](auto& it) { it.mutable_open(0)->clear_steps(); },
        [](auto& it) { it.mutable_open(0)->mutable_steps(0)->clear_tasks(); },
        [](auto& it) { it.mutable_open(0)->mutable_steps(0)->add_tasks(); },
        [](auto& it) { it.mutable_open(0)->add_steps(); }, [](auto& it) { *it.add_open() = it.open(0); },
        [](auto& it) { it.set_phase(static_cast<schema::JobPlanePhase>(0)); },
        [](auto& it) { it.set_phase(static_cast<schema::JobPlanePhase>(9)); },
        [](auto& it) { it.set_phase(static_cast<schema::JobPlanePhase>(-1)); } };
    for (const auto& change : changes) {
        auto odd = image();
        change(*odd.mutable_jobs(0));
        CHECK(!isRestored(odd));
    }
}

TEST_CASE("a record that can't be parsed changes nothing")
{
    JobState state { Milliseconds(600'000) };
    schema::JobCommand command;
    command.set_wall_ms(5);
    command.add_changes()->mutable_executor()->set_number(1);
    auto text = command.SerializeAsString();
    text += text;
    text += "\xff";
    state.apply(1, text);
    CHECK(state.executors().empty());
}

TEST_CASE("changes that name no executor, job, occurrence, step or task change nothing")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 2));
    const auto before = it.state.snapshot();
    for (const uint64_t job : { uint64_t(7), uint64_t(0), UINT64_MAX }) {
        for (const uint32_t step : { 1U, UINT32_MAX }) {
            for (const uint32_t executor : { 1U, 0U, UINT32_MAX }) {
                schema::JobCommand command;
                const auto fill = [&](schema::TaskRef& out) { fillRef({ { job, 0, step }, UINT32_MAX }, out); };
                auto& assigned = *command.add_changes()->mutable_assigned();
                fill(*assigned.mutable_task());
                assigned.set_run(UINT32_MAX);
                assigned.set_executor(executor);
                auto& ended = *command.add_changes()->mutable_ended();
                fill(*ended.mutable_task());
                ended.set_run(UINT32_MAX);
                ended.set_executor(executor);
                ended.set_outcome(schema::RUN_OUTCOME_DONE);
                auto& late = *command.add_changes()->mutable_ended();
                late = ended;
                late.set_late(true);
                auto& crashed = *command.add_changes()->mutable_crashed();
                fill(*crashed.mutable_task());
                crashed.set_run(UINT32_MAX);
                it.state.apply(9, command.SerializeAsString());
            }
        }
    }
    CHECK(it.state.snapshot() == before);
}
