// What counts as a failed attempt of a task or a gang.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

constexpr uint64_t job = 5;
constexpr Milliseconds step { 20 };

TaskKey taskOf(uint32_t index) { return { { job, 0, 0 }, index }; }

EndedTask endOf(uint64_t number, uint32_t index, uint32_t run, schema::RunOutcome outcome = schema::RUN_OUTCOME_FAILED)
{
    return { number, taskOf(index), run, outcome, {} };
}

// Answers all starts; the executor runs what it is given. Returns how many there were.
size_t acceptStarts(JobsFixture& it)
{
    size_t n = 0;
    it.pass(step);
    while (const auto start = it.takeOrder<StartRun>()) {
        it.answer(*start, { OrderOutcome::Done });
        ++n;
    }
    return n;
}

void begin(JobsFixture& it, uint32_t tasks, bool gang = false)
{
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(job, tasks, gang));
    REQUIRE(acceptStarts(it) == tasks);
    it.pass(step);
}

void list(JobsFixture& it, const std::vector<EndedTask>& ended)
{
    it.pass(Milliseconds(100)); // until the next renewal has been sent
    it.answerRenewals({}, ended);
    it.pass(step);
}

void setMaxAttempts(JobsFixture& it, uint32_t attempts)
{
    schema::JobCommand command;
    auto& configuration = *command.add_changes()->mutable_configuration();
    configuration = it.state.configuration();
    configuration.set_version(configuration.version() + 1);
    configuration.mutable_queues(0)->set_max_attempts(attempts);
    it.state.apply(0, command.SerializeAsString());
}

JobPhase phase(const JobsFixture& it) { return it.state.find(job)->phase; }

} // namespace

TEST_CASE("an end that is listed again, also to the next leader, counts as one failed attempt")
{
    JobsFixture it;
    begin(it, 1);
    list(it, { endOf(1, 0, 1) });
    list(it, { endOf(1, 0, 1) });
    it.leader.onBecameLeader(2, it.clock.now(), it.clock.wallNow());
    list(it, { endOf(1, 0, 1) });
    list(it, { endOf(1, 0, 1) });
    CHECK(it.state.find(taskOf(0))->failures == 1);
    CHECK(phase(it) == JobPhase::Running);
}

TEST_CASE("members of a gang that fail in one run are one failed attempt")
{
    JobsFixture it;
    begin(it, 2, true);
    list(it, { endOf(1, 0, 1), endOf(2, 1, 1) });
    CHECK(phase(it) == JobPhase::Running);
    REQUIRE(acceptStarts(it) == 2);
    CHECK(it.state.find(job)->open.at(0).steps[0].gangFailures == 1);
    list(it, { endOf(1, 0, 1), endOf(2, 1, 1), endOf(3, 0, 2, schema::RUN_OUTCOME_BROKEN), endOf(4, 1, 2) });
    CHECK(phase(it) == JobPhase::Failed); // The fixture's queue allows two attempts.
}

TEST_CASE("runs that lapse, break or end alone are no failed attempts")
{
    JobsFixture it;
    begin(it, 1);
    const std::vector<schema::RunOutcome> outcomes { schema::RUN_OUTCOME_LAPSED, schema::RUN_OUTCOME_BROKEN,
        schema::RUN_OUTCOME_ALONE, schema::RUN_OUTCOME_STOPPED };
    std::vector<EndedTask> ended;
    for (const auto outcome : outcomes) {
        const auto run = static_cast<uint32_t>(ended.size() + 1);
        ended.push_back(endOf(run, 0, run, outcome));
        list(it, ended);
        REQUIRE(acceptStarts(it) == 1);
        it.pass(step);
    }
    CHECK(it.state.find(taskOf(0))->failures == 0);
    CHECK(phase(it) == JobPhase::Running);
}

TEST_CASE("a lower limit of attempts takes effect with the next failed attempt")
{
    JobsFixture it;
    setMaxAttempts(it, 4);
    begin(it, 1);
    list(it, { endOf(1, 0, 1) });
    REQUIRE(acceptStarts(it) == 1);
    setMaxAttempts(it, 2);
    it.pass(step);
    CHECK(phase(it) == JobPhase::Running);
    list(it, { endOf(1, 0, 1), endOf(2, 0, 2, schema::RUN_OUTCOME_LAPSED) });
    CHECK(phase(it) == JobPhase::Running);
    REQUIRE(acceptStarts(it) == 1);
    it.pass(step);
    list(it, { endOf(1, 0, 1), endOf(2, 0, 2, schema::RUN_OUTCOME_LAPSED), endOf(3, 0, 3) });
    CHECK(phase(it) == JobPhase::Failed);
}
