#include "jobs/advice_planner.h"

#include <absl/container/flat_hash_map.h>
#include <doctest/doctest.h>

#include <algorithm>

using namespace teasel;

namespace {

struct AdviceFixture {
    Instant now { std::chrono::seconds(100) };
    google::protobuf::RepeatedPtrField<std::string> noLabels;
    google::protobuf::RepeatedPtrField<std::string> labels; // "b"
    std::vector<CandidateExecutor> candidates;
    AdviceTracker advice;
    absl::flat_hash_map<uint32_t, uint32_t> tasksOn; // tasks of the step, by executor

    AdviceFixture()
    {
        advice.setInstances({ "front-1" });
        *labels.Add() = "b";
    }

    void addExecutor(int64_t free, std::string_view service = "filling", bool hasLabel = false)
    {
        CandidateExecutor it;
        it.number = static_cast<uint32_t>(candidates.size() + 1);
        it.capacity = { { 32'000, 32'000, 0 } };
        it.free = { { free, free, 0 } };
        it.service = service;
        it.labels = hasLabel ? &labels : &noLabels;
        candidates.push_back(it);
    }

    static ReadyStep step(uint32_t tasks, int64_t cpu, bool gang)
    {
        ReadyStep it;
        it.key = { 1, 0, 0 };
        it.count = tasks;
        for (uint32_t n = 0; n < tasks; ++n)
            it.waiting.insert(n);
        it.need = { { cpu, 100, 0 } };
        it.service = "filling";
        it.gang = gang;
        return it;
    }

    void grant(const ReadyStep& step, uint32_t number)
    {
        const auto call = advice.beginCall(step.key, { number }, Milliseconds(10), now);
        REQUIRE(call);
        const std::vector<std::pair<uint32_t, std::string>> granted { { number, "ticket" } };
        advice.endCall(call->number, true, granted, Milliseconds(1'000), now);
    }

    AdvicePlanner planner() const
    {
        return { candidates, advice,
            [this](const StepKey&, uint32_t number) {
                const auto it = tasksOn.find(number);
                return it == tasksOn.end() ? 0U : it->second;
            },
            now };
    }
};

bool contains(const std::vector<uint32_t>& list, uint32_t number)
{
    return std::find(list.begin(), list.end(), number) != list.end();
}

} // namespace

TEST_CASE("a narrow step asks about the fullest executors with room, a wide gang about the emptiest")
{
    AdviceFixture it;
    for (int n = 0; n < 40; ++n)
        it.addExecutor(32'000);
    for (int n = 0; n < 40; ++n)
        it.addExecutor(9'000);
    for (int n = 0; n < 40; ++n)
        it.addExecutor(1'000); // no room
    auto planner = it.planner();
    const auto narrow = planner.executorsToQuery(AdviceFixture::step(4, 8'000, false));
    REQUIRE(!narrow.empty());
    CHECK(std::all_of(narrow.begin(), narrow.end(), [](uint32_t n) { return n > 40 && n <= 80; }));
    const auto wide = planner.executorsToQuery(AdviceFixture::step(12, 8'000, true));
    CHECK(wide.size() >= 24);
    CHECK(std::all_of(wide.begin(), wide.end(), [](uint32_t n) { return n <= 40; }));
}

TEST_CASE("a narrow step without room anywhere asks about the emptiest executors, never about other services")
{
    AdviceFixture it;
    it.addExecutor(32'000, "printing");
    for (int n = 0; n < 20; ++n)
        it.addExecutor(100 * n);
    const auto asked = it.planner().executorsToQuery(AdviceFixture::step(4, 8'000, false));
    CHECK(contains(asked, 21));
    CHECK(!contains(asked, 1));
}

TEST_CASE("advice is asked only as far as capacity is expected")
{
    AdviceFixture it;
    it.addExecutor(16'000);
    auto planner = it.planner();
    const auto step = AdviceFixture::step(2, 8'000, false);
    CHECK(!planner.capacity().isEmpty());
    CHECK(planner.capacity().hasRoomFor(step));
    planner.capacity().claim(step, 2);
    CHECK(planner.capacity().isEmpty());
    CHECK(!planner.capacity().hasRoomFor(step));
    it.candidates[0].freedPerSecond = { 32'000, 32'000, 0 };
    auto later = it.planner();
    later.capacity().claim(step, 2);
    CHECK(!later.capacity().isEmpty());
    CHECK(later.capacity().hasRoomFor(step));
}

TEST_CASE("tickets of failing executors are renewed when no other executor is left")
{
    AdviceFixture it;
    it.addExecutor(32'000);
    it.candidates.back().isDegraded = true;
    const auto step = AdviceFixture::step(1, 8'000, false);
    it.grant(step, 1);
    CHECK(it.planner().executorsToQuery(step).empty()); // its ticket is valid
    it.now += std::chrono::seconds(2);
    CHECK(it.planner().executorsToQuery(step) == std::vector<uint32_t> { 1 });
}

// Guards against a lasting task that is never restarted: the only granted executors hold maxPerExecutor tasks already.
TEST_CASE("a granted executor that holds all the tasks of a step that it may is not counted as room")
{
    AdviceFixture it;
    for (int n = 0; n < 4; ++n)
        it.addExecutor(32'000);
    auto step = AdviceFixture::step(1, 8'000, false);
    step.maxPerExecutor = 2;
    it.grant(step, 1);
    it.tasksOn[1] = 1;
    CHECK(it.planner().executorsToQuery(step).empty());
    it.tasksOn[1] = 2;
    CHECK(contains(it.planner().executorsToQuery(step), 2));
    it.now += std::chrono::seconds(2); // its ticket is not worth renewing either
    CHECK(!contains(it.planner().executorsToQuery(step), 1));
}

TEST_CASE("gangs that cannot start yet leave advice to other steps")
{
    AdviceFixture it;
    for (int n = 0; n < 4; ++n)
        it.addExecutor(16'000);
    auto planner = it.planner();
    const auto gang = AdviceFixture::step(40, 8'000, true);
    const auto narrow = AdviceFixture::step(2, 8'000, false);
    for (int n = 0; n < 20; ++n) {
        if (planner.capacity().hasRoomFor(gang))
            planner.capacity().claim(gang, 4);
    }
    CHECK(!planner.capacity().hasRoomFor(gang));
    CHECK(planner.capacity().hasRoomFor(narrow));
}

// Guards against review/9: the need of steps that few executors may run is counted against the whole fleet.
TEST_CASE("need that the executors of a step cannot take leaves advice to other steps")
{
    AdviceFixture it;
    for (int n = 0; n < 12; ++n)
        it.addExecutor(32'000, "filling", n < 2);
    auto restricted = AdviceFixture::step(60, 5'900, false);
    restricted.requiredLabel = "b";
    auto planner = it.planner();
    for (int n = 0; n < 20; ++n)
        planner.capacity().claim(restricted, 60);
    CHECK(!planner.capacity().hasRoomFor(restricted));
    const auto small = AdviceFixture::step(2, 2'800, false);
    CHECK(planner.capacity().hasRoomFor(small));
    // What the small steps claim is counted against the same executors.
    planner.capacity().claim(AdviceFixture::step(10 * 12, 2'800, false), 10 * 12);
    CHECK(!planner.capacity().hasRoomFor(small));
}

TEST_CASE("need of one service leaves advice to steps of another one")
{
    AdviceFixture it;
    it.addExecutor(32'000);
    it.addExecutor(32'000, "printing");
    auto planner = it.planner();
    planner.capacity().claim(AdviceFixture::step(1'000, 8'000, false), 1'000);
    auto other = AdviceFixture::step(1, 8'000, false);
    CHECK(!planner.capacity().hasRoomFor(other));
    other.service = "printing";
    CHECK(planner.capacity().hasRoomFor(other));
}

TEST_CASE("tasks too large for what each executor has left do not claim it")
{
    AdviceFixture it;
    for (int n = 0; n < 10; ++n)
        it.addExecutor(17'000);
    auto planner = it.planner();
    planner.capacity().claim(AdviceFixture::step(60, 20'000, false), 60);
    CHECK(planner.capacity().hasRoomFor(AdviceFixture::step(1, 5'000, false)));
    // A task that needs little of one resource finds room where another one is scarce.
    it.candidates[0].free = { { 30'000, 150, 0 } };
    auto uneven = it.planner();
    CHECK(uneven.capacity().hasRoomFor(AdviceFixture::step(1, 20'000, false)));
}

TEST_CASE("a step that may have one task on each executor claims one task on each")
{
    AdviceFixture it;
    for (int n = 0; n < 4; ++n)
        it.addExecutor(32'000);
    auto spread = AdviceFixture::step(40, 8'000, false);
    spread.maxPerExecutor = 1;
    auto planner = it.planner();
    planner.capacity().claim(spread, 40);
    planner.capacity().claim(AdviceFixture::step(11, 8'000, false), 11);
    CHECK(planner.capacity().hasRoomFor(AdviceFixture::step(1, 8'000, false)));
    planner.capacity().claim(AdviceFixture::step(1, 8'000, false), 1);
    CHECK(!planner.capacity().hasRoomFor(AdviceFixture::step(1, 8'000, false)));
}

TEST_CASE("gangs that few executors may run leave half of these to other steps")
{
    AdviceFixture it;
    for (int n = 0; n < 12; ++n)
        it.addExecutor(32'000, "filling", n < 2);
    auto gang = AdviceFixture::step(60, 8'000, true);
    gang.requiredLabel = "b";
    auto planner = it.planner();
    for (int n = 0; n < 20 && planner.capacity().hasRoomFor(gang); ++n)
        planner.capacity().claim(gang, 60);
    CHECK(!planner.capacity().hasRoomFor(gang));
    auto narrow = AdviceFixture::step(1, 8'000, false);
    narrow.requiredLabel = "b";
    CHECK(planner.capacity().hasRoomFor(narrow));
}
