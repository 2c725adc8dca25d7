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
    for (const auto& odd :
        { Announcement { "z1", "a1", firstBorn }, Announcement { "z1", "a1", firstBorn + 1 },
            Announcement { "z1", "a1", farFuture }, Announcement { "y1", "a1", firstBorn - 1 },
            Announcement { "y1", "a1", firstBorn + 1 }, Announcement { "y1", "a1", farFuture },
            Announcement { "y1", "a9", firstBorn }, Announcement { "y1", "a9", firstBorn + 1 } }) {
        CAPTURE(odd.id);
        CAPTURE(odd.address);
        CAPTURE(odd.born);
        JobsFixture it;
        startOnY1(it);
        Executors executors(it);
        it.announceAt(odd.id, odd.address, odd.born);
        CHECK(!executors.timeToNextStart(Milliseconds(10'000)));
    }
}
