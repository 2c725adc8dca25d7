#include "jobs/admission.h"
#include "jobs/advice_tracker.h"
#include "jobs/lease_clock.h"
#include "jobs/run_times.h"
#include "jobs/start_planner.h"
#include "jobs/team_cap.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

struct PlannerFixture {
    Instant now { std::chrono::seconds(100) };
    google::protobuf::RepeatedPtrField<std::string> labels;
    google::protobuf::RepeatedPtrField<std::string> restrictedLabels;
    std::vector<CandidateExecutor> candidates;
    StartConstraints constraints;
    absl::flat_hash_map<uint32_t, std::vector<PreemptibleRun>> preemptibleRuns;
    std::vector<PlannedStop> stops; // of the last round

    PlannerFixture()
    {
        constraints.allowedNow = [](const ReadyStep&) { return std::nullopt; };
        constraints.allowedLater = constraints.allowedNow;
        constraints.tasksOn = [](const StepKey&, uint32_t) { return 0U; };
        limitTo({});
        constraints.preemptibleRuns = [this](uint32_t number) { return preemptibleRuns[number]; };
    }
    // Sets what a team may use.
    void limitTo(const TeamCap& cap)
    {
        constraints.tasksThatMayStart = [cap](const ReadyStep& step, const ResourceVector& planned) {
            return cap.tasksThatMayStart(step.need, static_cast<int64_t>(step.waiting.size()), planned);
        };
    }
    void addExecutor(uint32_t number, int64_t free, int64_t freedSoon = 0)
    {
        CandidateExecutor it;
        it.number = number;
        it.capacity = { { 8'000, 8'000, 0 } };
        it.free = { { free, 8'000, 0 } };
        it.freedSoon = { { freedSoon, 0, 0 } };
        it.service = "filling";
        it.labels = &labels;
        candidates.push_back(it);
    }
    ReadyStep step(uint64_t job, uint32_t tasks, int64_t cpu, Milliseconds slack) const
    {
        ReadyStep it;
        it.key = { job, 0, 0 };
        it.count = tasks;
        for (uint32_t n = 0; n < tasks; ++n)
            it.waiting.insert(n);
        it.need = { { cpu, 100, 0 } };
        it.service = "filling";
        it.priority = 1;
        it.taskMs = 1'000;
        it.latestStart = now + slack;
        return it;
    }
    std::vector<PlannedStart> plan(std::vector<const ReadyStep*> steps)
    {
        sortByUrgency(steps, now);
        StartPlanner planner(candidates, constraints);
        auto plan = planner.plan(steps, now);
        stops = std::move(plan.stops);
        return std::move(plan.starts);
    }
};

} // namespace

TEST_CASE("a gang starts whole or not at all")
{
    PlannerFixture it;
    it.addExecutor(1, 4'000);
    it.addExecutor(2, 2'000);
    auto gang = it.step(1, 4, 2'000, Milliseconds(500));
    gang.gang = true;
    CHECK(it.plan({ &gang }).empty());
    it.candidates.clear();
    it.addExecutor(1, 4'000);
    it.addExecutor(2, 4'000);
    CHECK(it.plan({ &gang }).size() == 4);
}

TEST_CASE("a waiting gang reserves executors against less urgent steps, not against more urgent ones")
{
    PlannerFixture it;
    it.addExecutor(1, 2'000, 6'000);
    it.addExecutor(2, 1'000, 0);
    it.addExecutor(3, 1'000, 0);
    auto gang = it.step(1, 4, 2'000, Milliseconds(500));
    gang.gang = true;
    const auto relaxed = it.step(2, 1, 2'000, Milliseconds(5'000));
    CHECK(it.plan({ &gang, &relaxed }).empty());
    const auto urgent = it.step(3, 1, 2'000, Milliseconds(100));
    REQUIRE(it.plan({ &gang, &urgent }).size() == 1);
}

// Guards against gangs that reserve all executors that a step may use: the limit was a share of the whole fleet.
TEST_CASE("gangs that few executors may run do not reserve all of these")
{
    PlannerFixture it;
    *it.restrictedLabels.Add() = "b";
    for (uint32_t n = 1; n <= 12; ++n) {
        it.addExecutor(n, n <= 2 ? 4'000 : 2'000);
        if (n <= 5)
            it.candidates.back().labels = &it.restrictedLabels;
    }
    auto gang = it.step(1, 5, 4'000, Milliseconds(500));
    gang.gang = true;
    gang.requiredLabel = "b";
    auto second = it.step(2, 8, 2'000, Milliseconds(600));
    second.gang = true;
    second.requiredLabel = "b";
    auto narrow = it.step(4, 1, 2'000, Milliseconds(5'000));
    narrow.requiredLabel = "b";
    const auto starts = it.plan({ &gang, &second, &narrow });
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].task.step.job == 4);
}

TEST_CASE("steps that can still be in time precede late ones, and the most urgent queue comes first")
{
    PlannerFixture it;
    it.addExecutor(1, 2'000);
    const auto late = it.step(1, 1, 2'000, Milliseconds(-100));
    const auto soon = it.step(2, 1, 2'000, Milliseconds(300));
    auto first = it.step(3, 1, 2'000, Milliseconds(2'000));
    first.priority = 0;
    auto planned = it.plan({ &late, &soon });
    REQUIRE(planned.size() == 1);
    CHECK(planned[0].task.step.job == 2);
    it.candidates.clear();
    it.addExecutor(1, 2'000);
    planned = it.plan({ &late, &soon, &first });
    REQUIRE(planned.size() == 1);
    CHECK(planned[0].task.step.job == 3);
}

TEST_CASE("a team's cap limits the starts of one round over all its steps")
{
    PlannerFixture it;
    it.addExecutor(1, 8'000);
    it.limitTo({ { { 5'000, 0, 0 } }, 0 });
    const auto one = it.step(1, 2, 2'000, Milliseconds(500));
    const auto two = it.step(2, 2, 2'000, Milliseconds(600));
    CHECK(it.plan({ &one, &two }).size() == 2);
}

TEST_CASE("work waits by what is ahead of it and by how fast capacity comes free")
{
    const Instant now { std::chrono::seconds(100) };
    Admission admission;
    FleetLoad load;
    load.total = { { 100'000, 100'000, 0 } };
    load.free = { { 0, 50'000, 0 } };
    load.ahead = { { 20'000, 0, 0 } };
    load.freedPerSecond = { 40'000, 0, 0 };
    JobDemand demand;
    demand.initialNeed = { { 4'000, 0, 0 } };
    demand.slackMs = 700;
    CHECK(admission.decide(demand, load, now).isAccepted);
    load.ahead = { { 60'000, 0, 0 } };
    const auto refused = admission.decide(demand, load, now);
    CHECK(!refused.isAccepted);
    CHECK(refused.waitMs == doctest::Approx(1'600));
    CHECK(refused.retryAfter == Milliseconds(1'000));
    load.free = { { 90'000, 50'000, 0 } };
    CHECK(admission.decide(demand, load, now).isAccepted);
}

TEST_CASE("a team above its fair rate is refused before one within it")
{
    const Instant now { std::chrono::seconds(100) };
    Admission admission;
    admission.setWeights({ { "large", 1.0 }, { "small", 10.0 } });
    FleetLoad load;
    load.total = { { 100'000, 0, 0 } };
    load.ahead = { { 28'000, 0, 0 } };
    load.freedPerSecond = { 40'000, 0, 0 };
    JobDemand demand;
    demand.initialNeed = { { 4'000, 0, 0 } };
    demand.slackMs = 900;
    demand.team = "large";
    for (int n = 0; n < 4; ++n)
        CHECK(admission.decide(demand, load, now).isAccepted);
    CHECK(!admission.decide(demand, load, now).isAccepted);
    demand.team = "small";
    CHECK(admission.decide(demand, load, now).isAccepted);
}

TEST_CASE("a lease has certainly expired only when a clock that is 2 % slow has passed it")
{
    LeaseClock clock;
    const Instant now { std::chrono::seconds(100) };
    clock.onReading(1'000, now);
    clock.recordLeaseSent(6'000);
    CHECK(clock.expiresAt() > now + Milliseconds(5'100));
    clock.recordLeaseSent(3'000);
    CHECK(clock.leaseUntilMs() == 6'000);
    // A reading that arrives late does not set the clock back.
    clock.onReading(500, now + Milliseconds(10));
    CHECK(clock.executorNow(now + Milliseconds(100)) == 1'100);
}

TEST_CASE("grants are permanent, tickets expire, and long calls leave instances to short ones")
{
    const Instant now { std::chrono::seconds(100) };
    AdviceTracker advice;
    advice.setInstances({ "a", "b", "c", "d" });
    const StepKey step { 1, 0, 0 };
    const auto ask = advice.beginCall(step, { 1, 2, 3 }, Milliseconds(20), now);
    REQUIRE(ask);
    CHECK(advice.isRequestPending(step, now));
    const std::vector<std::pair<uint32_t, std::string>> granted { { 2, "t" } };
    advice.endCall(ask->number, true, granted, Milliseconds(2'000), now);
    CHECK(advice.ticketFor(step, 2, now) == "t");
    CHECK(advice.ticketFor(step, 2, now + Milliseconds(1'990)).empty());
    CHECK(advice.grantedExecutors(step) == std::vector<uint32_t> { 2 });
    CHECK(advice.queriedExecutors(step)->size() == 3);
    for (uint64_t n = 2; n < 5; ++n)
        CHECK(advice.beginCall({ n, 0, 0 }, { 1 }, Milliseconds(600), now));
    CHECK(!advice.beginCall({ 9, 0, 0 }, { 1 }, Milliseconds(600), now));
    CHECK(advice.beginCall({ 10, 0, 0 }, { 1 }, Milliseconds(10), now));
}

TEST_CASE("a failed advice call is retried after a growing delay")
{
    Instant now { std::chrono::seconds(100) };
    AdviceTracker advice;
    advice.setInstances({ "a" });
    const StepKey step { 1, 0, 0 };
    Duration last { 0 };
    for (int n = 0; n < 4; ++n) {
        const auto ask = advice.beginCall(step, { 1 }, Milliseconds(20), now);
        REQUIRE(ask);
        advice.endCall(ask->number, false, {}, Milliseconds(0), now);
        const auto since = now;
        while (advice.isRequestPending(step, now))
            now += Milliseconds(10);
        CHECK(now - since > last);
        last = now - since;
    }
}

TEST_CASE("estimates are corrected by observed run times")
{
    RunTimes times;
    CHECK(times.expectedMs("q", 1'000) == doctest::Approx(1'000));
    for (int n = 0; n < 100; ++n)
        times.onDone("q", 1'000, 3'000);
    CHECK(times.expectedMs("q", 1'000) == doctest::Approx(3'000).epsilon(0.05));
}

// ---- Reserving capacity --------------------------------------------------

TEST_CASE("a gang preempts runs that have a checkpoint and slack, and no more than it needs")
{
    PlannerFixture it;
    for (uint32_t number = 1; number <= 5; ++number) {
        it.addExecutor(number, 1'000);
        for (uint32_t n = 0; n < 3; ++n)
            it.preemptibleRuns[number].push_back(
                { { { 50 + number, 0, 0 }, n }, { { 2'000, 100, 0 } }, it.now + Milliseconds(20'000 + n) });
    }
    auto gang = it.step(1, 2, 3'000, Milliseconds(3'000));
    gang.gang = true;
    CHECK(it.plan({ &gang }).empty());
    REQUIRE(it.stops.size() == 3); // One executor with capacity for both: 1 + 3 x 2 cores.
    for (const auto& stop : it.stops) {
        CHECK(stop.executor == it.stops[0].executor);
        CHECK(stop.forStep == gang.key);
    }
}

TEST_CASE("runs that would make their own job late are not preempted")
{
    PlannerFixture it;
    for (uint32_t number = 1; number <= 4; ++number) {
        it.addExecutor(number, 1'000);
        it.preemptibleRuns[number].push_back(
            { { { 50, 0, 0 }, number }, { { 4'000, 100, 0 } }, it.now + Milliseconds(1'500) });
    }
    auto gang = it.step(1, 1, 3'000, Milliseconds(1'000));
    gang.gang = true;
    CHECK(it.plan({ &gang }).empty());
    CHECK(it.stops.empty());
}

TEST_CASE("no further runs are preempted while capacity is being freed, and other steps don't use it")
{
    PlannerFixture it;
    for (uint32_t number = 1; number <= 4; ++number) {
        it.addExecutor(number, 1'000);
        it.preemptibleRuns[number].push_back(
            { { { 50, 0, 0 }, number }, { { 4'000, 100, 0 } }, it.now + Milliseconds(60'000) });
    }
    it.candidates[2].stopping = { { 5'000, 100, 0 } };
    auto gang = it.step(1, 2, 3'000, Milliseconds(3'000));
    gang.gang = true;
    auto small = it.step(2, 4, 1'000, Milliseconds(50'000));
    const auto starts = it.plan({ &gang, &small });
    CHECK(it.stops.empty());
    CHECK(starts.size() == 3);
    for (const auto& start : starts)
        CHECK(start.executor != 3);
}

TEST_CASE("a step that would be late otherwise preempts runs, one that can wait does not")
{
    PlannerFixture it;
    for (uint32_t number = 1; number <= 4; ++number) {
        it.addExecutor(number, 500);
        it.preemptibleRuns[number].push_back(
            { { { 50, 0, 0 }, number }, { { 4'000, 100, 0 } }, it.now + Milliseconds(60'000) });
    }
    auto relaxed = it.step(1, 1, 1'000, Milliseconds(5'000));
    CHECK(it.plan({ &relaxed }).empty());
    CHECK(it.stops.empty());
    auto urgent = it.step(2, 2, 1'000, Milliseconds(400));
    CHECK(it.plan({ &urgent }).empty());
    CHECK(it.stops.size() == 1); // Stopping one run frees capacity for both tasks.
}

TEST_CASE("gangs precede steps that can wait, also late gangs until their job expires")
{
    PlannerFixture it;
    auto relaxed = it.step(1, 1, 1'000, Milliseconds(10'000));
    auto gang = it.step(2, 1, 1'000, Milliseconds(12'000));
    gang.gang = true;
    auto lateGang = it.step(3, 1, 1'000, Milliseconds(-500));
    lateGang.gang = true;
    lateGang.expiresAt = it.now + Milliseconds(5'000);
    auto expiredGang = lateGang;
    expiredGang.key.job = 4;
    expiredGang.expiresAt = it.now - Milliseconds(1);
    std::vector<const ReadyStep*> steps { &expiredGang, &relaxed, &lateGang, &gang };
    sortByUrgency(steps, it.now);
    CHECK(steps == std::vector<const ReadyStep*> { &gang, &lateGang, &relaxed, &expiredGang });
}

TEST_CASE("an overdue advice call is repeated at another instance, and its late answer still counts")
{
    Instant now { std::chrono::seconds(100) };
    AdviceTracker advice;
    advice.setInstances({ "a", "b" });
    const StepKey step { 1, 0, 0 };
    const auto first = advice.beginCall(step, { 1, 2 }, Milliseconds(20), now);
    REQUIRE(first);
    CHECK(advice.isRequestPending(step, now + Milliseconds(100)));
    now += Milliseconds(200);
    advice.expire(now);
    CHECK(!advice.isRequestPending(step, now));
    const auto second = advice.beginCall(step, { 1, 2 }, Milliseconds(20), now);
    REQUIRE(second);
    CHECK(second->instance != first->instance);
    const std::vector<std::pair<uint32_t, std::string>> granted { { 1, "ticket" } };
    advice.endCall(first->number, true, granted, Milliseconds(2'000), now);
    CHECK(advice.ticketFor(step, 1, now) == "ticket");
}

TEST_CASE("an instance that is reserved for short calls is not free for a long one")
{
    const Instant now { std::chrono::seconds(100) };
    AdviceTracker advice;
    advice.setInstances({ "a", "b" });
    REQUIRE(advice.beginCall({ 1, 0, 0 }, { 1 }, Milliseconds(600), now));
    CHECK(!advice.hasFreeInstance(Milliseconds(600), now));
    CHECK(advice.hasFreeInstance(Milliseconds(20), now));
    CHECK(!advice.beginCall({ 2, 0, 0 }, { 1 }, Milliseconds(600), now));
    CHECK(advice.beginCall({ 2, 0, 0 }, { 1 }, Milliseconds(20), now));
}

TEST_CASE("a lasting task that has to run again precedes all work that ends, however long ago its job began")
{
    PlannerFixture it;
    it.addExecutor(1, 2'000);
    auto urgent = it.step(1, 1, 2'000, Milliseconds(100));
    urgent.priority = 0;
    auto lasting = it.step(2, 1, 2'000, Milliseconds(-30'000));
    lasting.lasting = true;
    auto starts = it.plan({ &urgent, &lasting });
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().task.step.job == 2);
    // It also gets capacity by preemption.
    it.candidates.clear();
    for (uint32_t n = 1; n <= 3; ++n)
        it.addExecutor(n, 0);
    it.preemptibleRuns[1] = { { { { 7, 0, 0 }, 0 }, { { 2'000, 100, 0 } }, it.now + std::chrono::seconds(20) } };
    starts = it.plan({ &lasting });
    CHECK(starts.empty());
    CHECK(it.stops.size() == 1);
}

TEST_CASE("a late step of the most urgent queue precedes steps that can wait, until its job is of no use")
{
    PlannerFixture it;
    it.addExecutor(1, 2'000);
    auto late = it.step(1, 1, 2'000, Milliseconds(-100));
    late.priority = 0;
    late.expiresAt = it.now + std::chrono::seconds(2);
    const auto relaxed = it.step(2, 1, 2'000, Milliseconds(10'000));
    auto starts = it.plan({ &late, &relaxed });
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().task.step.job == 1);
    it.candidates.clear();
    it.addExecutor(1, 2'000);
    late.expiresAt = it.now;
    starts = it.plan({ &late, &relaxed });
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().task.step.job == 2);
}

// Guards against work that can wait and that adds to the work of a leader that already lags.
TEST_CASE("a limit on starts holds for work that can wait, not for the most urgent queue; a gang starts whole or not")
{
    PlannerFixture it;
    for (uint32_t n = 1; n <= 4; ++n)
        it.addExecutor(n, 8'000);
    auto urgent = it.step(1, 6, 500, Milliseconds(100));
    urgent.priority = 0;
    const auto relaxed = it.step(2, 6, 500, Milliseconds(5'000));
    auto gang = it.step(3, 6, 500, Milliseconds(500));
    gang.gang = true;
    it.constraints.relaxedStarts = 0;
    CHECK(it.plan({ &urgent, &relaxed, &gang }).size() == 6);
    it.constraints.relaxedStarts = 2;
    CHECK(it.plan({ &relaxed }).size() == 2);
    CHECK(it.plan({ &gang, &relaxed }).size() == 6);
    urgent.latestStart = it.now - Milliseconds(1);
    CHECK(it.plan({ &urgent }).size() == 2);
}
