// Announcements and departures that the executor itself does not confirm.
#include "jobs_fixture.h"

#include <limits>

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };
constexpr uint64_t firstBorn = 100;
constexpr Milliseconds step { 20 };

struct Announcement {
    const char* id;
    const char* address;
    uint64_t born;
};

// "y1" at a1 runs the only task and has listed it; "x2" is free.
void startOnY1(JobsFixture& it)
{
    it.announceAt("y1", "a1", firstBorn);
    it.answerRenewals({});
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    const auto start = it.takeOrder<StartRun>("y1");
    REQUIRE(start);
    it.answer(*start, { OrderOutcome::Done });
    it.passWithRenewals(Milliseconds(100), { { firstTask, 1, {}, 50, -1 } });
    it.announce("x2");
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
}

// How the addresses behave: "y1" at a1 answers if it is alive; any other id is refused there, a9 is silent.
class Executors {
public:
    explicit Executors(JobsFixture& it)
        : m_it(it)
    {
    }

    bool isY1Answering = true;

    // Returns the time until the task was started again.
    std::optional<Milliseconds> timeToNextStart(Milliseconds limit)
    {
        for (Milliseconds n { 0 }; n < limit; n += step) {
            m_it.pass(step);
            answerOrders();
            if (m_it.takeOrder<StartRun>())
                return n + step;
        }
        return std::nullopt;
    }

private:
    void answerOrders()
    {
        while (const auto renewal = m_it.takeOrder<RenewLease>()) {
            if (renewal->executorId == "x2")
                m_it.answer(*renewal, { OrderOutcome::Done });
            else if (renewal->address == "a1" && isY1Answering)
                m_it.answer(*renewal, answerAtA1(*renewal));
        }
    }

    static OrderResult answerAtA1(const SendOrder& order)
    {
        if (order.executorId != "y1")
            return { OrderOutcome::OtherIncarnation };
        return { OrderOutcome::Done, 0, firstBorn, { { firstTask, 1, {}, 50, -1 } }, {}, true };
    }

    JobsFixture& m_it;
};

} // namespace

TEST_CASE("an announcement that the executor itself does not confirm does not start its tasks elsewhere")
{
    constexpr auto farFuture = std::numeric_limits<uint64_t>::max();
    for (const auto& odd : { Announcement { "z1", "a1", firstBorn }, Announcement { "z1", "a1", firstBorn + 1 },
             Announcement { "z1", "a1", farFuture }, Announcement { "y1", "a1", firstBorn - 1 },
             Announcement { "y1", "a1", firstBorn + 1 }, Announcement { "y1", "a1", farFuture },
             Announcement { "y1", "a9", firstBorn }, Announcement { "y1", "a9", firstBorn + 1 } }) {
        CAPTURE(std::string(odd.id));
        CAPTURE(std::string(odd.address));
        CAPTURE(odd.born);
        JobsFixture it;
        startOnY1(it);
        Executors executors(it);
        it.announceAt(odd.id, odd.address, odd.born);
        CHECK(!executors.timeToNextStart(Milliseconds(10'000)));
    }
}

TEST_CASE("a task starts elsewhere within 0.3 s after the next executor at the address has answered")
{
    for (const auto& next : { Announcement { "z1", "a1", 1 }, Announcement { "y1", "a1", firstBorn + 1 },
             Announcement { "y1", "a1", firstBorn - 1 }, Announcement { "y1", "a9", firstBorn + 1 } }) {
        CAPTURE(std::string(next.id));
        CAPTURE(next.born);
        JobsFixture it;
        startOnY1(it);
        it.orders.clear();
        it.announceAt(next.id, next.address, next.born);
        Milliseconds time { 0 };
        for (; time < Milliseconds(1'000) && !it.takeOrder<StartRun>(); time += step) {
            it.pass(step);
            while (const auto renewal = it.takeOrder<RenewLease>()) {
                const bool isNext = renewal->executorId == next.id && renewal->address == next.address;
                if (isNext)
                    it.answer(*renewal, { OrderOutcome::Done, 0, next.born });
                else if (renewal->executorId == "x2")
                    it.answer(*renewal, { OrderOutcome::Done });
            }
        }
        CHECK(time <= Milliseconds(300));
        CHECK(it.state.executors().size() == 2);
    }
}

TEST_CASE("an executor that answers at another address keeps its runs")
{
    JobsFixture it;
    startOnY1(it);
    it.announceAt("z9", "a9", 1); // it was there before
    it.announceAt("y1", "a9", firstBorn, 2);
    for (int n = 0; n < 500; ++n) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>()) {
            if (renewal->executorId == "x2")
                it.answer(*renewal, { OrderOutcome::Done });
            else if (renewal->executorId == "y1" && renewal->address == "a9")
                it.answer(*renewal, { OrderOutcome::Done, 0, firstBorn, { { firstTask, 1, {}, 50, -1 } }, {}, true });
        }
    }
    CHECK(!it.takeOrder<StartRun>());
    CHECK(!it.takeOrder<StopRun>());
    CHECK(it.state.executors().begin()->second.assignments.contains(firstTask));
    CHECK(it.state.executors().begin()->second.record.address() == "a9");
    CHECK(it.state.executors().size() == 2);
}

TEST_CASE("an executor gets orders that it accepts after another writer has announced it")
{
    JobsFixture it;
    startOnY1(it);
    uint64_t fence = 0;
    const auto passFenced = [&](Milliseconds time) {
        for (Milliseconds n { 0 }; n < time; n += step) {
            it.pass(step);
            while (const auto renewal = it.takeOrder<RenewLease>()) {
                const bool isStale = renewal->executorId == "y1" && renewal->fence < fence;
                if (renewal->executorId == "y1")
                    fence = std::max(fence, renewal->fence);
                if (renewal->executorId == "x2")
                    it.answer(*renewal, { OrderOutcome::Done });
                else if (isStale)
                    it.answer(*renewal, { OrderOutcome::StaleFence });
                else
                    it.answer(
                        *renewal, { OrderOutcome::Done, 0, firstBorn, { { firstTask, 1, {}, 50, -1 } }, {}, true });
            }
        }
    };
    for (uint64_t n = 1; n <= 20; ++n) {
        it.announceAt("y1", "a1", firstBorn + n);
        passFenced(Milliseconds(400));
    }
    CHECK(!it.takeOrder<StartRun>());
    it.submit(JobsFixture::request(8, 7)); // 14 cores: more than one executor has
    passFenced(Milliseconds(100));
    const auto start = it.takeOrder<StartRun>("y1");
    REQUIRE(start);
    CHECK(start->fence >= fence);
}

TEST_CASE("a false sequence number of an announcement does not make the true ones look late")
{
    JobsFixture it;
    startOnY1(it);
    it.announceAt("y1", "a1", firstBorn, std::numeric_limits<uint32_t>::max());
    it.announceAt("y1", "a1", firstBorn, 2, true);
    CHECK(it.state.executors().begin()->second.record.draining());
}

TEST_CASE("a late announcement of an incarnation that was confirmed and replaced does not end the leader")
{
    JobsFixture it;
    it.announce("x1", 1);
    it.answerRenewals({});
    const auto replaceBy = [&](uint64_t born) {
        it.announce("x1", born);
        it.passWithRenewals(Milliseconds(400));
        REQUIRE(it.state.executors().size() == 1);
        CHECK(it.state.executors().begin()->second.record.born_ms() == born);
    };
    replaceBy(2);
    replaceBy(3);
    it.announce("x1", 2, 2);
    it.pass(Milliseconds(100));
    while (const auto renewal = it.takeOrder<RenewLease>())
        it.answer(*renewal, { OrderOutcome::Done, 0, 3 });
    CHECK(it.state.executors().begin()->second.record.born_ms() == 3);
}

TEST_CASE("an answer of an incarnation that was asked before its successor does not displace the successor")
{
    JobsFixture it;
    startOnY1(it);
    it.orders.clear();
    it.announceAt("z1", "a1", 1);
    const auto early = it.takeOrder<RenewLease>("z1");
    REQUIRE(early);
    it.announceAt("z2", "a1", 2);
    it.pass(step);
    const auto late = it.takeOrder<RenewLease>("z2");
    REQUIRE(late);
    it.answer(*late, { OrderOutcome::Done, 0, 2 });
    it.pass(Milliseconds(100));
    while (const auto renewal = it.takeOrder<RenewLease>("z2"))
        it.answer(*renewal, { OrderOutcome::Done, 0, 2 });
    it.answer(*early, { OrderOutcome::Done, 0, 1 });
    it.pass(Milliseconds(100));
    CHECK(it.state.executors().rbegin()->second.record.id() == "z2");
}

TEST_CASE("an announcement of a replaced executor that was claimed before does not end the process")
{
    JobsFixture it;
    startOnY1(it);
    it.orders.clear();
    const auto replaceAtA1 = [&](const std::string& id, uint64_t born) {
        it.announceAt(id, "a1", born);
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>(id))
            it.answer(*renewal, { OrderOutcome::Done, 0, born });
        it.pass(Milliseconds(100));
        CHECK(it.state.executors().rbegin()->second.record.id() == id);
    };
    replaceAtA1("z1", 1);
    replaceAtA1("z2", 2);
    it.announceAt("z1", "a1", 1, 2);
    it.pass(Milliseconds(100));
    CHECK(it.state.executors().rbegin()->second.record.id() == "z2");
    CHECK(it.takeOrder<RenewLease>("z1"));
}

TEST_CASE("an executor that was registered while its claim was open stays draining when the claim is confirmed")
{
    JobsFixture it;
    startOnY1(it);
    it.announceAt("z1", "a1", 1, 1);
    it.pass(step);
    const auto probe = it.takeOrder<RenewLease>("z1");
    REQUIRE(probe);
    for (Milliseconds n { 0 }; n < Milliseconds(2'000) && it.state.executors().size() == 2; n += step) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("y1"))
            it.answer(*renewal, { OrderOutcome::OtherIncarnation });
    }
    REQUIRE(it.state.executors().size() == 1);
    it.announceAt("z1", "a1", 1, 2);
    it.pass(step);
    REQUIRE(it.state.executors().rbegin()->second.record.id() == "z1");
    it.announceAt("z1", "a1", 1, 3, true);
    REQUIRE(it.state.executors().rbegin()->second.record.draining());
    for (Milliseconds n { 0 }; n < Milliseconds(2'000); n += step) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>("z1"))
            it.answer(*renewal, { OrderOutcome::Done, 0, 1 });
    }
    it.answer(*probe, { OrderOutcome::Done, 0, 1 });
    it.pass(Milliseconds(100));
    CHECK(it.state.executors().rbegin()->second.record.draining());
}
