// Tests how long a task waits whose start went to an executor that lost power.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

constexpr Milliseconds step { 20 };

int64_t ms(Duration it) { return std::chrono::duration_cast<Milliseconds>(it).count(); }

void grant(JobsFixture& it, const std::vector<std::string>& executors)
{
    while (!it.adviceRequests.empty()) {
        const auto request = it.adviceRequests.front();
        it.adviceRequests.erase(it.adviceRequests.begin());
        std::vector<std::pair<std::string, std::string>> rows;
        rows.reserve(executors.size());
        for (const auto& id : executors)
            rows.emplace_back(id, "ticket");
        it.leader.onAdvice(request.number, true, rows, it.clock.now());
        it.commitAndCollect();
    }
}

void answerAll(JobsFixture& it, const std::string& executor)
{
    while (const auto renewal = it.takeOrder<RenewLease>(executor))
        it.answer(*renewal, { OrderOutcome::Done });
}

} // namespace

// Guards against accepted submissions that nothing runs for 20 s (LOST from 14 s + 3 s on): renewals that were sent to
// a silent executor after the start could extend the lease of a late run by another 14 s.
TEST_CASE("a task with a ticket whose executor goes silent at its start runs elsewhere within 12 s")
{
    for (int phase = 0; phase < 50; ++phase) { // of the renewal cycle
        CAPTURE(phase);
        JobsFixture it(true);
        it.announce("x1");
        it.passWithRenewals(Milliseconds(2'000) + phase * step);
        it.submit(JobsFixture::request(7, 1));
        it.pass(step);
        grant(it, { "x1" });
        REQUIRE(it.takeOrder<StartRun>("x1")); // it has lost power and answers nothing from now on
        it.announce("x2");
        const auto sentAt = it.clock.now();
        std::optional<Duration> again;
        while (!again && it.clock.now() - sentAt < std::chrono::seconds(30)) {
            it.pass(step);
            grant(it, { "x2" });
            answerAll(it, "x2");
            if (it.takeOrder<StartRun>("x2"))
                again = it.clock.now() - sentAt;
        }
        REQUIRE(again);
        CHECK(ms(*again) >= 8'700); // the ticket's validity and a whole lease
        CHECK(ms(*again) < 12'000);
    }
}

// Guards against starts that nothing but the longest delay of 14 s bounds on their way to an executor that is silent.
TEST_CASE("a start without a ticket is sent only to an executor that has just answered")
{
    JobsFixture it(false, JobLeaderOptions {});
    it.announce("x1");
    it.answerRenewals({});
    it.pass(Milliseconds(300)); // it has lost power
    it.submit(JobsFixture::request(7, 1));
    it.announce("x2");
    const auto sentAt = it.clock.now();
    std::optional<Duration> startedAt;
    while (!startedAt && it.clock.now() - sentAt < std::chrono::seconds(30)) {
        it.pass(step);
        CHECK(!it.takeOrder<StartRun>("x1"));
        answerAll(it, "x2");
        if (it.takeOrder<StartRun>("x2"))
            startedAt = it.clock.now() - sentAt;
    }
    REQUIRE(startedAt);
    CHECK(ms(*startedAt) < 1'000);
}

TEST_CASE("starts without a ticket are sent when the executor answers the poll before them")
{
    JobsFixture it(false, JobLeaderOptions {});
    it.announce("x1");
    it.answerRenewals({});
    it.pass(Milliseconds(300));
    it.submit(JobsFixture::request(7, 3));
    it.pass(step);
    CHECK(!it.takeOrder<StartRun>());
    answerAll(it, "x1");
    for (int n = 0; n < 3; ++n)
        CHECK(it.takeOrder<StartRun>("x1"));
}

TEST_CASE("an executor gets no further starts until it has answered since one that was not answered")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    REQUIRE(it.takeOrder<StartRun>("x1"));
    it.pass(Milliseconds(800)); // its time limit has passed
    it.submit(JobsFixture::request(8, 1));
    it.pass(Milliseconds(100));
    CHECK(!it.takeOrder<StartRun>("x1"));
    answerAll(it, "x1");
    it.pass(Milliseconds(100));
    CHECK(it.takeOrder<StartRun>("x1"));
}

// Guards against submissions that are counted neither as begun nor as pending (MIXED) until the lease of a silent
// executor has expired.
TEST_CASE("a job whose start was not answered counts as pending")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    REQUIRE(it.takeOrder<StartRun>("x1"));
    it.pass(Milliseconds(1'000));
    it.leader.onCall(
        ++it.lastHandle, QueryQueue { "farm.example", "/blend/", "key" }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    const auto answer = it.answerTo(it.lastHandle);
    REQUIRE(answer);
    CHECK(answer->pending == 1);
}

// Guards against 1.8 s of a start's delay that are over once the instance that sent it has reported the end of its
// call.
TEST_CASE("a start without a ticket holds its task for 12 s and a lease after its call has ended")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start); // it has lost power
    const auto sentAt = it.clock.now();
    it.announce("x2");
    it.pass(Milliseconds(200));
    it.answer(*start, { OrderOutcome::UnknownOutcome });
    std::optional<Duration> again;
    while (!again && it.clock.now() - sentAt < std::chrono::seconds(30)) {
        it.pass(step);
        answerAll(it, "x2");
        if (it.takeOrder<StartRun>("x2"))
            again = it.clock.now() - sentAt;
    }
    REQUIRE(again);
    CHECK(ms(*again) >= 12'200 + 6'500);
    CHECK(ms(*again) < 12'200 + 6'800);
}
