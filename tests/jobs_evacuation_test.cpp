#include "jobs_fixture.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

JobLeaderOptions twoDataCentres()
{
    auto out = JobsFixture::defaultOptions();
    out.regions = { { "a", "north" }, { "b", "south" } };
    return out;
}

using Ids = std::vector<std::string>;

struct EvacuationFixture : JobsFixture {
    explicit EvacuationFixture(bool needsTickets = false)
        : JobsFixture(needsTickets, twoDataCentres())
    {
    }

    void addExecutor(const std::string& id, const std::string& zone, uint64_t sequence = 1, uint64_t coldMs = 0)
    {
        auto it = announcementOf(id, sequence);
        it.record.set_zone(zone);
        it.coldRemainingMs = coldMs;
        announce(std::move(it));
        answerRenewals({});
    }

    // Gives the order without committing it.
    uint64_t give(const std::string& zone, bool isActive)
    {
        leader.onCall(++lastHandle, OrderEvacuation { zone, isActive }, clock.now(), clock.wallNow());
        return lastHandle;
    }

    CallStatus order(const std::string& zone, bool isActive)
    {
        const auto handle = give(zone, isActive);
        commitAndCollect();
        REQUIRE(answerTo(handle));
        return answerTo(handle)->status;
    }

    std::vector<EvacuationStatus> list()
    {
        leader.onCall(++lastHandle, ListEvacuations {}, clock.now(), clock.wallNow());
        commitAndCollect();
        return answerTo(lastHandle)->evacuations;
    }

    void changeLeader()
    {
        leader.onLostLeadership();
        orders.clear();
        leader.onBecameLeader(2, clock.now(), clock.wallNow());
        commitAndCollect();
        pass(Milliseconds(50));
        answerRenewals({});
        pass(Milliseconds(50));
    }

    // Executors of the starts sent since the last call.
    std::vector<std::string> startedOn()
    {
        std::vector<std::string> out;
        while (auto start = takeOrder<StartRun>())
            out.push_back(start->executorId);
        return out;
    }
};

} // namespace

TEST_CASE_FIXTURE(EvacuationFixture, "an evacuated data centre gets no starts until the evacuation is withdrawn")
{
    addExecutor("x1", "a");
    CHECK(order("a", true) == CallStatus::Ok);
    addExecutor("x2", "a"); // registered after the order
    submit(request(1, 1));
    passWithRenewals(Milliseconds(1'000));
    CHECK(startedOn().empty());
    CHECK(order("a", false) == CallStatus::Ok);
    passWithRenewals(Milliseconds(200));
    CHECK(startedOn().size() == 1);
}

// Guards against assignments and advice calls for executors on which no start will be sent.
TEST_CASE("an evacuated data centre gets no assignments and no advice calls")
{
    EvacuationFixture plain;
    plain.addExecutor("x1", "a");
    plain.order("a", true);
    plain.submit(EvacuationFixture::request(1, 1));
    for (int n = 0; n < 50; ++n) {
        plain.passWithRenewals(Milliseconds(20));
        CHECK(plain.state.executors().begin()->second.assignments.empty());
        CHECK(plain.leader.waitingTasks() == 1);
    }
    EvacuationFixture advised(true);
    advised.addExecutor("x1", "a");
    advised.addExecutor("x2", "b");
    advised.order("a", true);
    advised.submit(EvacuationFixture::request(1, 2));
    advised.passWithRenewals(Milliseconds(500));
    REQUIRE(!advised.adviceRequests.empty());
    for (const auto& it : advised.adviceRequests)
        CHECK(it.executors == Ids { "x2" });
}

// Guards against a start that is sent after the order's commit because its assignment was committed before.
TEST_CASE_FIXTURE(EvacuationFixture, "an assignment that was not sent when the order was committed ends as NEVER_RAN")
{
    addExecutor("x1", "a");
    leader.onCall(++lastHandle, SubmitJob { "farm.example", "/blend/" + jobIdText(1), "key", request(1, 1) },
        clock.now(), clock.wallNow());
    clock.advance(Milliseconds(20));
    std::vector<ProposeJobs> held;
    bool isAssigned = false;
    for (int n = 0; n < 20 && !isAssigned; ++n) {
        clock.advance(Milliseconds(20));
        leader.finishBatch(clock.now(), clock.wallNow());
        for (auto& it : leader.takeActions()) {
            auto* propose = std::get_if<ProposeJobs>(&it);
            if (propose == nullptr)
                continue;
            isAssigned = propose->command.changes(0).has_assigned();
            if (isAssigned) {
                held.push_back(std::move(*propose));
                continue;
            }
            state.apply(0, propose->command.SerializeAsString());
            leader.onCommitted(propose->ticket, clock.now());
        }
    }
    REQUIRE(isAssigned);
    give("a", true);
    leader.finishBatch(clock.now(), clock.wallNow());
    for (auto& it : leader.takeActions()) {
        if (auto* propose = std::get_if<ProposeJobs>(&it))
            held.push_back(std::move(*propose));
    }
    REQUIRE(held.size() == 2);
    for (const auto& it : held)
        state.apply(0, it.command.SerializeAsString());
    leader.onCommitted(held[0].ticket, clock.now());
    leader.finishBatch(clock.now(), clock.wallNow());
    bool hasNeverRan = false;
    for (auto& it : leader.takeActions()) {
        CHECK(!std::holds_alternative<SendOrder>(it));
        if (auto* propose = std::get_if<ProposeJobs>(&it)) {
            for (const auto& change : propose->command.changes())
                hasNeverRan |= change.ended().outcome() == schema::RUN_OUTCOME_NEVER_RAN;
        }
    }
    if (!hasNeverRan) { // proposed once the order's proposal is committed
        leader.onCommitted(held[1].ticket, clock.now());
        leader.finishBatch(clock.now(), clock.wallNow());
        for (auto& it : leader.takeActions()) {
            if (auto* propose = std::get_if<ProposeJobs>(&it)) {
                for (const auto& change : propose->command.changes())
                    hasNeverRan |= change.ended().outcome() == schema::RUN_OUTCOME_NEVER_RAN;
            }
        }
    }
    CHECK(hasNeverRan);
}

// Guards against refusing an order that is sent again because its answer was lost.
TEST_CASE_FIXTURE(EvacuationFixture, "repeated orders and a finish without a start are acknowledged and change nothing")
{
    CHECK(order("a", false) == CallStatus::Ok);
    CHECK(state.evacuations().empty());
    CHECK(order("a", true) == CallStatus::Ok);
    const auto orderedAt = state.evacuations().at("a").orderedAtMs;
    clock.advance(Milliseconds(100));
    CHECK(order("a", true) == CallStatus::Ok);
    CHECK(state.evacuations().at("a").orderedAtMs == orderedAt);
    CHECK(order("a", false) == CallStatus::Ok);
    CHECK(order("a", false) == CallStatus::Ok);
    CHECK(!state.isEvacuated("a"));
}

TEST_CASE_FIXTURE(EvacuationFixture, "a repetition is not acknowledged before the order is committed")
{
    const auto first = give("a", true);
    leader.finishBatch(clock.now(), clock.wallNow());
    auto proposals = leader.takeActions();
    const auto second = give("a", true);
    commitAndCollect();
    CHECK(!answerTo(second));
    for (auto& it : proposals) {
        if (auto* propose = std::get_if<ProposeJobs>(&it)) {
            state.apply(0, propose->command.SerializeAsString());
            leader.onCommitted(propose->ticket, clock.now());
        }
    }
    commitAndCollect();
    CHECK(answerTo(first));
    CHECK(answerTo(second));
}

TEST_CASE_FIXTURE(EvacuationFixture, "an unknown data centre is refused, one known from its executors is not")
{
    CHECK(order("c", true) == CallStatus::Unprocessable);
    CHECK(order("c", false) == CallStatus::Unprocessable);
    CHECK(state.evacuations().empty());
    addExecutor("x1", "c");
    CHECK(order("c", true) == CallStatus::Ok);
    // Guards against refusing a repetition once the executors that made the data centre known have gone.
    pass(Milliseconds(20'000));
    REQUIRE(state.executors().empty());
    CHECK(order("c", true) == CallStatus::Ok);
    CHECK(order("c", false) == CallStatus::Ok);
}

TEST_CASE_FIXTURE(EvacuationFixture, "a new leader starts nothing in a data centre evacuated before")
{
    addExecutor("x1", "a");
    addExecutor("x2", "b");
    order("a", true);
    changeLeader();
    submit(request(1, 2));
    passWithRenewals(Milliseconds(500));
    CHECK(startedOn() == Ids { "x2", "x2" });
    CHECK(order("a", true) == CallStatus::Ok);
    CHECK(list().size() == 1);
}

TEST_CASE_FIXTURE(EvacuationFixture, "a snapshot keeps the orders, withdrawn ones included")
{
    order("a", true);
    order("b", true);
    order("b", false);
    JobState restored { Milliseconds(600'000) };
    REQUIRE(restored.restore(state.snapshot()));
    CHECK(restored.isEvacuated("a"));
    CHECK(!restored.isEvacuated("b"));
    CHECK(restored.evacuations().at("a").orderedAtMs == state.evacuations().at("a").orderedAtMs);
    CHECK(restored.evacuations().size() == 2);
}

TEST_CASE_FIXTURE(EvacuationFixture, "of a concurrent start and finish the last one in the log takes effect")
{
    const auto start = give("a", true);
    const auto finish = give("a", false);
    commitAndCollect();
    CHECK(answerTo(start)->status == CallStatus::Ok);
    CHECK(answerTo(finish)->status == CallStatus::Ok);
    CHECK(!state.isEvacuated("a"));
    give("a", false);
    give("a", true);
    commitAndCollect();
    CHECK(state.isEvacuated("a"));
}

TEST_CASE_FIXTURE(EvacuationFixture, "admission counts only what is left")
{
    addExecutor("x1", "a");
    addExecutor("x2", "b");
    submit(request(1, 4)); // fills one executor
    passWithRenewals(Milliseconds(100));
    order("a", true);
    uint64_t refused = 0;
    for (uint64_t id = 2; id < 60; ++id) {
        const auto handle = submit(request(id, 4));
        refused += answerTo(handle)->status == CallStatus::Refused ? 1 : 0;
    }
    order("a", false);
    uint64_t refusedAfter = 0;
    for (uint64_t id = 60; id < 118; ++id) {
        const auto handle = submit(request(id, 4));
        refusedAfter += answerTo(handle)->status == CallStatus::Refused ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(refusedAfter < 58);
}

// Guards against losing the value that comes with the first announcement.
TEST_CASE_FIXTURE(EvacuationFixture, "executors announced as cold are used last")
{
    addExecutor("x1", "a", 1, 5'000);
    addExecutor("x2", "b");
    submit(request(1, 2));
    passWithRenewals(Milliseconds(100));
    CHECK(startedOn() == Ids { "x2", "x2" });
    addExecutor("x1", "a", 2, 0);
    addExecutor("x2", "b", 2, 5'000);
    submit(request(2, 1));
    passWithRenewals(Milliseconds(100));
    CHECK(startedOn() == Ids { "x1" });
}

TEST_CASE_FIXTURE(EvacuationFixture, "allowedRegions restricts the executors, and an unknown region is refused")
{
    auto next = state.configuration();
    next.set_version(2);
    next.set_document("2");
    next.mutable_queues(0)->add_allowed_regions("west");
    leader.onCall(++lastHandle, PutConfiguration { next }, clock.now(), clock.wallNow());
    commitAndCollect();
    CHECK(answerTo(lastHandle)->status == CallStatus::BadRequest);
    CHECK(answerTo(lastHandle)->reason.find("allowedRegions: region west") != std::string::npos);
    next.mutable_queues(0)->set_allowed_regions(0, "south");
    leader.onCall(++lastHandle, PutConfiguration { next }, clock.now(), clock.wallNow());
    commitAndCollect();
    CHECK(answerTo(lastHandle)->status == CallStatus::Ok);
    addExecutor("x1", "a");
    addExecutor("x2", "b");
    submit(request(1, 6));
    passWithRenewals(Milliseconds(500));
    const auto started = startedOn();
    CHECK(started.size() == 4);
    CHECK(std::count(started.begin(), started.end(), "x1") == 0);
}

// Guards against leaving long runs where they are, and against moving what does not resume.
TEST_CASE_FIXTURE(EvacuationFixture, "a long run with checkpoints is stopped once another data centre has room")
{
    addExecutor("x1", "a");
    for (uint64_t id = 1; id <= 2; ++id) {
        auto job = request(id, 1);
        job.mutable_steps(0)->set_estimate_ms(60'000);
        job.mutable_steps(0)->set_checkpoints(id == 1);
        submit(job);
    }
    passWithRenewals(Milliseconds(50));
    std::vector<RunningTask> running;
    while (auto start = takeOrder<StartRun>()) {
        running.push_back({ std::get<StartRun>(start->order).task, 1, {} });
        answer(*start, { OrderOutcome::Done });
    }
    REQUIRE(running.size() == 2);
    order("a", true);
    passWithRenewals(Milliseconds(1'000), running);
    CHECK(!takeOrder<StopRun>());
    CHECK(leader.runsToEvacuate() == 2);
    CHECK(list().at(0).runs == 2);
    addExecutor("x2", "b");
    passWithRenewals(Milliseconds(300), running);
    const auto stop = takeOrder<StopRun>();
    REQUIRE(stop);
    CHECK(std::get<StopRun>(stop->order).task.step.job == 1);
    CHECK(leader.counters().evacuatedRuns == 1);
    order("a", false);
    CHECK(list().at(0).isActive == false);
}
