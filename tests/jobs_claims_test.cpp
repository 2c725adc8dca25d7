// Claims of executors, departures and refused starts: cases that the review of issue 37 found.
#include "jobs_fixture.h"

#include <limits>

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };
constexpr Milliseconds step { 20 };

uint64_t ms(Duration it) { return static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(it).count()); }

void depart(JobsFixture& it, const std::string& id, uint64_t born)
{
    it.leader.onCall(++it.lastHandle, ExecutorDeparture { id, born }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
}

// x1 runs and has listed the task; x2 is free.
void startOnX1(JobsFixture& it, bool lasting = false)
{
    it.announce("x1", 100);
    it.answerRenewals({});
    auto request = JobsFixture::request(7, 1);
    request.mutable_steps(0)->set_lasting(lasting);
    it.submit(request);
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(100), { { firstTask, 1, {}, 50, -1 } });
    it.announce("x2");
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
}

// Time until the task starts again; x1 refuses connections or is silent, x2 answers.
std::optional<Duration> timeToRestart(JobsFixture& it, bool isRefusing)
{
    const auto from = it.clock.now();
    while (it.clock.now() - from < std::chrono::seconds(40)) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
        while (isRefusing) {
            const auto renewal = it.takeOrder<RenewLease>("x1");
            if (!renewal)
                break;
            it.answer(*renewal, { OrderOutcome::NotSent });
        }
        if (it.takeOrder<StartRun>("x2"))
            return it.clock.now() - from;
    }
    return std::nullopt;
}

// x1 has no room any more, so that a task is started again on x2.
void shrinkX1(JobsFixture& it)
{
    ExecutorAnnouncement small;
    small.record.set_id("x1");
    small.record.set_born_ms(100);
    small.record.set_address("x1");
    small.record.set_service("filling");
    small.record.mutable_capacity()->set_milli_cpus(100);
    small.record.mutable_capacity()->set_memory_mib(100);
    small.sequence = 2;
    it.leader.onCall(++it.lastHandle, std::move(small), it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
}

} // namespace

TEST_CASE("a delayed announcement of a life that was confirmed as a claim and has ended does not end the leader")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.announce("x1", 200);
    it.passWithRenewals(Milliseconds(200));
    REQUIRE(it.state.executors().begin()->second.record.born_ms() == 200);
    it.announce("x1", 300);
    it.passWithRenewals(Milliseconds(200));
    REQUIRE(it.state.executors().begin()->second.record.born_ms() == 300);
    CHECK_NOTHROW(it.announce("x1", 200, 2)); // delayed
}

TEST_CASE("a lasting task of an executor that left starts again within the 9 s of LOST")
{
    for (const int maxLease : { 6'000, 10'000 }) {
        for (const bool isRefusing : { false, true }) {
            CAPTURE(maxLease);
            CAPTURE(isRefusing);
            auto options = JobsFixture::defaultOptions();
            options.maxLease = Milliseconds(maxLease);
            JobsFixture it(false, options);
            startOnX1(it, true);
            it.announce("x1", 100, 2, true);
            it.passWithRenewals(Milliseconds(2'000), { { firstTask, 1, {}, 50, -1 } });
            while (const auto renewal = it.takeOrder<RenewLease>("x1"))
                it.answer(*renewal, { OrderOutcome::Done, 0, 100, { { firstTask, 1, {}, 50, -1 } }, {}, true });
            depart(it, "x1", 100);
            const auto time = timeToRestart(it, isRefusing);
            REQUIRE(time);
            const auto took = ms(*time);
            CAPTURE(took);
            // The lease in force at the departure, on a slow clock.
            CHECK(took <= ms(longestValidity(std::min(Milliseconds(8'000), options.maxLease))) + 200);
            CHECK(took < 9'000);
        }
    }
}

TEST_CASE("a delayed ping from before a drain does not undo it after the claim was confirmed")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.announce("x1", 200, 7, true); // the next life, draining; a claim
    it.passWithRenewals(Milliseconds(200));
    REQUIRE(it.state.executors().size() == 1);
    REQUIRE(it.state.executors().begin()->second.record.born_ms() == 200);
    CHECK(it.state.executors().begin()->second.record.draining());
    it.announce("x1", 200, 6); // late
    it.passWithRenewals(Milliseconds(200));
    CHECK(it.state.executors().begin()->second.record.draining());
    it.submit(JobsFixture::request(7, 1));
    it.passWithRenewals(Milliseconds(200));
    CHECK(!it.takeOrder<StartRun>("x1"));
}

TEST_CASE("a drain that was acknowledged while the executor was a claim holds despite a false sequence number")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.announce("x1", 200, std::numeric_limits<uint32_t>::max()); // another writer
    it.announce("x1", 200, 7, true);
    REQUIRE(it.answerTo(it.lastHandle));
    it.passWithRenewals(Milliseconds(200));
    REQUIRE(it.state.executors().begin()->second.record.born_ms() == 200);
    it.submit(JobsFixture::request(7, 1));
    it.passWithRenewals(Milliseconds(200));
    CHECK(!it.takeOrder<StartRun>("x1"));
}

TEST_CASE("a task whose start was refused starts elsewhere soon if the unhealthy executor then restarts or is silent")
{
    for (const bool restarts : { true, false }) {
        CAPTURE(restarts);
        JobsFixture it;
        it.announce("x1", 100);
        it.answerRenewals({});
        it.submit(JobsFixture::request(7, 1));
        it.pass(step);
        const auto start = it.takeOrder<StartRun>("x1");
        REQUIRE(start);
        shrinkX1(it);
        it.answer(*start, { OrderOutcome::Refused });
        it.orders.clear(); // the list that is requested is not answered
        it.announce("x2");
        const auto from = it.clock.now();
        if (restarts)
            it.announce("x1", 200);
        std::optional<Duration> time;
        while (!time && it.clock.now() - from < std::chrono::seconds(40)) {
            it.pass(step);
            while (const auto renewal = it.takeOrder<RenewLease>("x2"))
                it.answer(*renewal, { OrderOutcome::Done });
            while (const auto renewal = it.takeOrder<RenewLease>("x1")) {
                if (restarts)
                    it.answer(*renewal, { OrderOutcome::Done, 0, 200 });
            }
            if (it.takeOrder<StartRun>())
                time = it.clock.now() - from;
        }
        const auto took = time ? ms(*time) : 99'999;
        CAPTURE(took);
        CHECK(took < 9'000);
    }
}

TEST_CASE("a refused start does not count as a crash")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("x1");
    REQUIRE(start);
    shrinkX1(it);
    it.answer(*start, { OrderOutcome::Refused });
    it.orders.clear();
    it.announce("x1", 200);
    it.pass(step);
    while (const auto renewal = it.takeOrder<RenewLease>("x1"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 200 });
    it.pass(step);
    const auto* task = it.state.find(firstTask);
    REQUIRE(task);
    CHECK(task->crashes == 0);
}

TEST_CASE("a late 421 from the address that an executor has left ends none of its runs")
{
    JobsFixture it;
    startOnX1(it);
    it.pass(Milliseconds(200));
    const auto pending = it.takeOrder<RenewLease>("x1");
    REQUIRE(pending);
    REQUIRE(pending->address == "x1");
    it.announceAt("x1", "a9", 100, 2);
    it.pass(step);
    for (int n = 0; n < 20; ++n) {
        while (const auto renewal = it.takeOrder<RenewLease>("x1")) {
            if (renewal->address == "a9")
                it.answer(*renewal, { OrderOutcome::Done, 0, 100, { { firstTask, 1, {}, 50, -1 } }, {}, true });
        }
        it.pass(step);
    }
    it.answer(*pending, { OrderOutcome::OtherIncarnation });
    it.pass(Milliseconds(200));
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
    it.pass(Milliseconds(200));
    CHECK(!it.takeOrder<StartRun>());
}

TEST_CASE("a late answer of a previous life does not displace its successor before that was polled")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.orders.clear();
    it.announce("x1", 200);
    const auto early = it.takeOrder<RenewLease>("x1");
    REQUIRE(early);
    it.announce("x1", 300);
    const auto late = it.takeOrder<RenewLease>("x1");
    REQUIRE(late);
    it.pass(step);
    it.answer(*late, { OrderOutcome::Done, 0, 300 });
    it.pass(step);
    REQUIRE(it.state.executors().rbegin()->second.record.born_ms() == 300);
    it.answer(*early, { OrderOutcome::Done, 0, 200 });
    it.pass(Milliseconds(100));
    CHECK(it.state.executors().rbegin()->second.record.born_ms() == 300);
}

TEST_CASE("false announcements cause a bounded number of probes")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.orders.clear();
    size_t probes = 0;
    for (uint64_t n = 0; n < 200; ++n) { // 200 false announcements in 2 s
        it.announceAt("x1", "a9", 1'000 + n);
        it.pass(Milliseconds(10));
        while (const auto renewal = it.takeOrder<RenewLease>()) {
            probes += renewal->address == "a9" ? 1 : 0;
            if (renewal->address == "x1")
                it.answer(*renewal, { OrderOutcome::Done, 0, 100 });
        }
    }
    for (int n = 0; n < 500; ++n) {
        it.pass(Milliseconds(10));
        while (const auto renewal = it.takeOrder<RenewLease>()) {
            probes += renewal->address == "a9" ? 1 : 0;
            if (renewal->address == "x1")
                it.answer(*renewal, { OrderOutcome::Done, 0, 100 });
        }
    }
    CAPTURE(probes);
    constexpr size_t retriesOfKeptClaims = 4 * 9; // in 7 s
    CHECK(probes <= 200 + retriesOfKeptClaims);
}

TEST_CASE("a drain holds after a false sequence number below 10,000")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.announce("x1", 100, 9'999); // another writer
    for (uint64_t n = 2; n < 6; ++n) {
        it.announce("x1", 100, n, true);
        REQUIRE(it.answerTo(it.lastHandle));
        it.passWithRenewals(Milliseconds(1'500));
    }
    it.submit(JobsFixture::request(7, 1));
    it.passWithRenewals(Milliseconds(200));
    CHECK(!it.takeOrder<StartRun>("x1"));
}

TEST_CASE("a moved run waits for the renewals that were sent to the life before")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    REQUIRE(it.takeOrder<StartRun>("x1")); // never answered
    it.answerRenewals({}); // requested before the start
    std::optional<Instant> renewedAt;
    for (int n = 0; n < 90; ++n) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("x1")) {
            // Its lease is extended only after it has answered since the start. The extensions are lost and may be
            // carried out late.
            if (std::get<RenewLease>(renewal->order).leaseUntilMs > 0)
                renewedAt = it.clock.now();
            else if (!renewedAt)
                it.answer(*renewal, { OrderOutcome::Done });
        }
        while (it.takeOrder<StopRun>("x1")) { }
    }
    REQUIRE(renewedAt);
    it.announce("x1", 200); // its second life answers once and ends; a third carries out the orders late, behind a cut
    it.pass(step);
    for (int n = 0; n < 10; ++n) {
        while (const auto renewal = it.takeOrder<RenewLease>("x1"))
            it.answer(*renewal, { OrderOutcome::Done, 0, 200 });
        it.pass(step);
    }
    REQUIRE(it.state.executors().size() == 1);
    it.announce("x2");
    std::optional<Instant> again;
    for (int n = 0; n < 2'000 && !again; ++n) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
        if (it.takeOrder<StartRun>("x2"))
            again = it.clock.now();
    }
    REQUIRE(again);
    const auto after = ms(*again - *renewedAt);
    CAPTURE(after);
    CHECK(after >= 20'000); // its delay of 14 s and a whole lease
}

TEST_CASE("a late lease of a start whose job was cancelled is waited for")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    REQUIRE(it.takeOrder<StartRun>("x1")); // never answered
    it.passWithRenewals(Milliseconds(1'800)); // it answers other orders
    it.orders.clear();
    it.submit(JobsFixture::request(8, 1));
    it.pass(step);
    const auto second = it.takeOrder<StartRun>("x1"); // never answered
    REQUIRE(second);
    REQUIRE(std::get<StartRun>(second->order).task.step.job == 8);
    const auto sentAt = it.clock.now();
    it.leader.onCall(++it.lastHandle, CancelJob { "farm.example", "/blend/0000000000000008", "key", 8 }, it.clock.now(),
        it.clock.wallNow());
    it.commitAndCollect();
    it.orders.clear();
    it.announce("x2");
    std::optional<Instant> again;
    for (int n = 0; n < 2'000 && !again; ++n) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("x2"))
            it.answer(*renewal, { OrderOutcome::Done });
        while (const auto start = it.takeOrder<StartRun>("x2")) {
            if (std::get<StartRun>(start->order).task.step.job == 7)
                again = it.clock.now();
        }
    }
    REQUIRE(again);
    const auto after = ms(*again - sentAt);
    CAPTURE(after);
    CHECK(after >= 20'000);
}

TEST_CASE("an executor is used again after a departure that it has not sent, also while a lasting task runs there")
{
    JobsFixture it;
    startOnX1(it, true);
    depart(it, "x1", 100); // by another writer
    for (uint64_t n = 2; n < 42; ++n) { // 60 s
        it.announce("x1", 100, n);
        it.announce("x2", 1, n);
        for (int k = 0; k < 75; ++k) {
            it.pass(step);
            while (const auto renewal = it.takeOrder<RenewLease>())
                it.answer(*renewal,
                    { OrderOutcome::Done, 0, 0,
                        renewal->executorId == "x1" ? std::vector<RunningTask> { { firstTask, 1, {}, 50, -1 } }
                                                    : std::vector<RunningTask>(),
                        {}, true });
        }
    }
    it.submit(JobsFixture::request(8, 7)); // 14 cores: more than x2 has
    it.pass(Milliseconds(200));
    CHECK(it.takeOrder<StartRun>("x1"));
}

TEST_CASE("a false service in an announcement while the executor is a claim does not stay for good")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.announce("x1", 200, 1);
    ExecutorAnnouncement odd; // another writer
    odd.record.set_id("x1");
    odd.record.set_born_ms(200);
    odd.record.set_address("x1");
    odd.record.set_service("other");
    odd.record.mutable_capacity()->set_milli_cpus(8'000);
    odd.record.mutable_capacity()->set_memory_mib(16'000);
    odd.sequence = 3;
    it.leader.onCall(++it.lastHandle, std::move(odd), it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.passWithRenewals(Milliseconds(200));
    REQUIRE(it.state.executors().begin()->second.record.born_ms() == 200);
    for (uint64_t n = 4; n < 24; ++n) {
        it.announce("x1", 200, n);
        it.passWithRenewals(Milliseconds(1'500));
    }
    CHECK(it.state.executors().begin()->second.record.service() == "filling");
    it.submit(JobsFixture::request(7, 1));
    it.passWithRenewals(Milliseconds(200));
    CHECK(it.takeOrder<StartRun>("x1"));
}

TEST_CASE("1,100 executors that restart at once are used again within 1 s")
{
    JobsFixture it;
    for (int n = 0; n < 1'100; ++n)
        it.announce("e" + std::to_string(n), 100);
    it.passWithRenewals(Milliseconds(200));
    it.orders.clear();
    for (int n = 0; n < 1'100; ++n)
        it.announce("e" + std::to_string(n), 200);
    it.passWithRenewals(Milliseconds(1'000));
    CHECK(it.state.executors().size() == 1'100);
    CHECK(it.leader.usableExecutors(it.clock.now()) == 1'100);
}

TEST_CASE("a claim is confirmed although each answer takes 0.9 s")
{
    JobsFixture it;
    it.announce("x1", 100);
    it.answerRenewals({});
    it.orders.clear();
    std::vector<std::pair<Instant, SendOrder>> pending;
    for (uint64_t n = 1; n < 14; ++n) {
        it.announce("x1", 200, n);
        for (int k = 0; k < 75; ++k) {
            it.pass(step);
            while (auto renewal = it.takeOrder<RenewLease>())
                pending.emplace_back(it.clock.now() + Milliseconds(900), std::move(*renewal));
            while (!pending.empty() && pending.front().first <= it.clock.now()) {
                const auto order = pending.front().second;
                pending.erase(pending.begin());
                it.answer(order, { OrderOutcome::Done, 0, 200 });
            }
        }
    }
    CHECK(it.state.executors().rbegin()->second.record.born_ms() == 200);
}
