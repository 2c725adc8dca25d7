// Starts of tasks under their team's cap, above all of tasks that are larger than it.
#include "jobs/team_cap.h"
#include "jobs_fixture.h"

using namespace teasel;

namespace {

constexpr double overshootShare = 0.1;

JobLeaderOptions optionsWithOvershoot()
{
    auto out = JobsFixture::defaultOptions();
    out.capOvershootShare = overshootShare;
    return out;
}

void setCap(JobsFixture& it, const ResourceVector& cap)
{
    auto next = it.state.configuration();
    next.set_version(next.version() + 1);
    *next.mutable_teams(0)->mutable_cap() = toMessage(cap);
    it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
}

// Answers all starts that were sent and returns their tasks.
std::vector<RunningTask> answerStarts(JobsFixture& it)
{
    std::vector<RunningTask> out;
    while (const auto start = it.takeOrder<StartRun>()) {
        const auto& run = std::get<StartRun>(start->order);
        out.push_back({ run.task, run.run, {}, 10, -1 });
        it.answer(*start, { OrderOutcome::Done });
    }
    return out;
}

std::vector<RunningTask> startsAfter(JobsFixture& it, const std::vector<RunningTask>& running = {})
{
    it.passWithRenewals(Milliseconds(400), running);
    return answerStarts(it);
}

CallStatus statusOf(const JobsFixture& it, uint64_t handle)
{
    const auto answer = it.answerTo(handle);
    REQUIRE(answer);
    return answer->status;
}

schema::JobRequest requestOf(uint64_t id, uint32_t tasks, const ResourceVector& need, bool gang = false)
{
    auto out = JobsFixture::request(id, tasks, gang);
    *out.mutable_steps(0)->mutable_need() = toMessage(need);
    return out;
}

// Two executors of 8 processors.
void addExecutors(JobsFixture& it)
{
    it.announce("x1");
    it.announce("x2");
    it.answerRenewals({});
}

} // namespace

TEST_CASE("a team that uses less than half of its cap may start one task that does not fit")
{
    const TeamCap cap({ { 6'000, 0, 0 } }, overshootShare);
    CHECK(cap.tasksThatMayStart({ { 9'000, 1, 0 } }, 5, {}) == 1);
    CHECK(cap.tasksThatMayStart({ { 9'000, 1, 0 } }, 5, { { 2'999, 0, 0 } }) == 1);
    CHECK(cap.tasksThatMayStart({ { 9'000, 1, 0 } }, 5, { { 3'000, 0, 0 } }) == 0);
    CHECK(cap.tasksThatMayStart({ { 4'000, 1, 0 } }, 5, { { 2'500, 0, 0 } }) == 1);
    CHECK(cap.tasksThatMayStart({ { 2'000, 1, 0 } }, 5, {}) == 3);
    CHECK(cap.tasksThatMayStart({ { 2'000, 1, 0 } }, 2, {}) == 2);
    CHECK(cap.tasksThatFit({ { 9'000, 1, 0 } }, {}) == 0);
    CHECK(TeamCap().tasksThatMayStart({ { 9'000, 9'000, 9 } }, 5, { { 1, 1, 1 } }) == 5);
}

TEST_CASE("each resource of a cap limits starts by itself")
{
    const TeamCap cap({ { 6'000, 4'000, 2 } }, overshootShare);
    CHECK(cap.tasksThatMayStart({ { 1'000, 5'000, 0 } }, 3, {}) == 1);
    CHECK(cap.tasksThatMayStart({ { 1'000, 1'000, 4 } }, 3, {}) == 1);
    CHECK(cap.tasksThatMayStart({ { 1'000, 1'000, 4 } }, 3, { { 0, 0, 1 } }) == 0);
    CHECK(cap.tasksThatMayStart({ { 9'000, 1'000, 0 } }, 3, { { 0, 3'500, 0 } }) == 0);
    CHECK(cap.tasksThatMayStart({ { 9'000, 1'000, 0 } }, 3, { { 0, 2'500, 2 } }) == 1);
}

TEST_CASE("a gang may exceed its team's cap by the overshoot and one task")
{
    const TeamCap cap({ { 6'000, 0, 0 } }, overshootShare);
    CHECK(cap.gangTasksThatMayStart({ { 9'000, 1, 0 } }, 1, {}) == 1);
    CHECK(cap.gangTasksThatMayStart({ { 6'600, 1, 0 } }, 2, {}) == 2);
    CHECK(cap.gangTasksThatMayStart({ { 6'601, 1, 0 } }, 2, {}) == 0);
    CHECK(cap.gangTasksThatMayStart({ { 3'000, 1, 0 } }, 2, {}) == 2);
    CHECK(cap.gangTasksThatMayStart({ { 3'000, 1, 0 } }, 2, { { 2'999, 0, 0 } }) == 2);
    CHECK(cap.gangTasksThatMayStart({ { 3'000, 1, 0 } }, 2, { { 3'000, 0, 0 } }) == 0);
    CHECK(cap.gangTasksThatMayStart({ { 1'000, 1, 0 } }, 3, { { 3'000, 0, 0 } }) == 3);
    CHECK(TeamCap().gangTasksThatMayStart({ { 9'000, 9'000, 9 } }, 5, { { 1, 1, 1 } }) == 5);
}

// Guards against an accepted job that never starts because each of its tasks needs more than its team's cap (LOST).
TEST_CASE("a task that is larger than its team's cap starts, also if it was accepted before the cap was lowered")
{
    const std::vector<std::pair<ResourceVector, ResourceVector>> needsAndCaps {
        { { { 5'000, 100, 0 } }, { { 4'000, 0, 0 } } }, { { { 1'000, 9'000, 0 } }, { { 0, 8'000, 0 } } }
    };
    for (const auto& [need, cap] : needsAndCaps) {
        for (const bool isLoweredFirst : { true, false }) {
            JobsFixture it(false, optionsWithOvershoot());
            addExecutors(it);
            if (isLoweredFirst)
                setCap(it, cap);
            it.leader.onCall(++it.lastHandle,
                SubmitJob { "farm.example", "/blend/" + jobIdText(7), "key", requestOf(7, 3, need) }, it.clock.now(),
                it.clock.wallNow());
            const auto submission = it.lastHandle;
            if (!isLoweredFirst)
                setCap(it, cap);
            const auto first = startsAfter(it);
            CHECK(statusOf(it, submission) == CallStatus::Accepted);
            REQUIRE(first.size() == 1); // the next one has to wait for its end
            CHECK(startsAfter(it, first).empty());
            it.passWithRenewals(Milliseconds(100), first);
            it.pass(Milliseconds(1'000));
            it.answerRenewals({}, { { 1, first[0].task, first[0].run, schema::RUN_OUTCOME_DONE, {} } });
            it.pass(Milliseconds(100));
            CHECK(answerStarts(it).size() == 1);
        }
    }
}

TEST_CASE("a task that does not fit starts beside a few others, and waits beside many")
{
    for (const int64_t used : { 1'900, 2'000 }) {
        JobsFixture it(false, optionsWithOvershoot());
        addExecutors(it);
        setCap(it, { { 4'000, 0, 0 } });
        it.submit(requestOf(7, 1, { { used, 100, 0 } }));
        const auto running = startsAfter(it);
        REQUIRE(running.size() == 1);
        it.submit(requestOf(8, 1, { { 3'000, 100, 0 } }));
        CHECK(startsAfter(it, running).size() == (used < 2'000 ? 1 : 0));
    }
}

TEST_CASE("a lasting task that is larger than its team's cap starts")
{
    JobsFixture it(false, optionsWithOvershoot());
    addExecutors(it);
    setCap(it, { { 4'000, 0, 0 } });
    auto request = requestOf(7, 2, { { 5'000, 100, 0 } });
    request.mutable_steps(0)->set_lasting(true);
    it.submit(request);
    const auto running = startsAfter(it);
    CHECK(running.size() == 1);
    CHECK(startsAfter(it, running).empty());
}

TEST_CASE("a step that becomes ready after its team's cap was lowered below one of its tasks starts")
{
    JobsFixture it(false, optionsWithOvershoot());
    addExecutors(it);
    auto request = requestOf(7, 1, { { 1'000, 100, 0 } });
    auto& second = *request.add_steps();
    second = request.steps(0);
    *second.mutable_need() = toMessage({ { 5'000, 100, 0 } });
    second.add_depends_on(0);
    it.submit(request);
    const auto first = startsAfter(it);
    REQUIRE(first.size() == 1);
    setCap(it, { { 4'000, 0, 0 } });
    it.passWithRenewals(Milliseconds(100), first);
    it.pass(Milliseconds(1'000));
    it.answerRenewals({}, { { 1, first[0].task, first[0].run, schema::RUN_OUTCOME_DONE, {} } });
    it.pass(Milliseconds(100));
    const auto next = answerStarts(it);
    REQUIRE(next.size() == 1);
    CHECK(next[0].task.step.step == 1);
}

TEST_CASE("advice is asked for a task that is larger than its team's cap")
{
    JobsFixture it(true, optionsWithOvershoot());
    addExecutors(it);
    setCap(it, { { 4'000, 0, 0 } });
    it.submit(requestOf(7, 1, { { 5'000, 100, 0 } }));
    it.pass(Milliseconds(100));
    CHECK(!it.adviceRequests.empty());
}

// Guards against a caller that waits for a gang which no later moment lets start.
TEST_CASE("a gang that its team's cap never lets start is refused at once, any other gang starts")
{
    JobsFixture it(false, optionsWithOvershoot());
    addExecutors(it);
    setCap(it, { { 4'000, 0, 0 } });
    CHECK(statusOf(it, it.submit(requestOf(7, 2, { { 4'401, 100, 0 } }, true))) == CallStatus::Refused);
    CHECK(statusOf(it, it.submit(requestOf(8, 2, { { 4'400, 100, 0 } }, true))) == CallStatus::Accepted);
    const auto gang = startsAfter(it);
    REQUIRE(gang.size() == 2);
    CHECK(gang[0].task.step.job == 8);
}

TEST_CASE("a gang that was accepted before its team's cap was lowered too far waits until it is raised")
{
    JobsFixture it(false, optionsWithOvershoot());
    addExecutors(it);
    it.leader.onCall(++it.lastHandle,
        SubmitJob { "farm.example", "/blend/" + jobIdText(7), "key", requestOf(7, 2, { { 5'000, 100, 0 } }, true) },
        it.clock.now(), it.clock.wallNow());
    setCap(it, { { 4'000, 0, 0 } });
    CHECK(startsAfter(it).empty());
    setCap(it, { { 5'000, 0, 0 } });
    CHECK(startsAfter(it).size() == 2);
}
