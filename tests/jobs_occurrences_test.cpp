// Occurrences of one job that end in another order than they began.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

// Starts three occurrences with one task each; the second one is done first.
struct ThreeOccurrences : JobsFixture {
    ThreeOccurrences()
    {
        announce("x1", 1);
        answerRenewals({});
        auto next = request(7, 1);
        next.set_first_at_ms(1);
        next.set_period_ms(1);
        next.set_occurrences(3);
        submit(std::move(next));
        pass(Milliseconds(40));
        while (auto start = takeOrder<StartRun>()) {
            const auto& order = std::get<StartRun>(start->order);
            running.push_back({ order.task, order.run, {}, 50, -1 });
            answer(*start, { OrderOutcome::Done });
        }
        REQUIRE(running.size() == 3);
        passWithRenewals(Milliseconds(1'000), running);
        end(1);
    }

    // The task of the occurrence at this place in the list ends.
    void end(size_t place)
    {
        ended.push_back({ ended.size() + 1, running[place].task, 1, schema::RUN_OUTCOME_DONE, {} });
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(place));
        passWithRenewals(Milliseconds(200), running);
        answerRenewals(running, ended);
    }

    size_t startsWithin(Milliseconds time)
    {
        size_t starts = 0;
        for (Milliseconds n { 0 }; n < time; n += Milliseconds(20)) {
            pass(Milliseconds(20));
            while (takeOrder<StartRun>())
                ++starts;
            answerRenewals(running, ended);
        }
        return starts;
    }

    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

} // namespace

TEST_CASE_FIXTURE(ThreeOccurrences, "an occurrence that is done before an earlier one does not run again")
{
    CHECK(startsWithin(Milliseconds(400)) == 0);
    JobState copy { Milliseconds(600'000) };
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return copy.restore(state.snapshot()); })));
    CHECK(copy.find(7)->firstUnfinishedOccurrence() == 0);
    CHECK(copy.find(7)->unfinishedOccurrences() == 2);
    end(0);
    CHECK(startsWithin(Milliseconds(400)) == 0);
    CHECK(state.find(7)->open.size() == 1);
    end(0);
    CHECK(startsWithin(Milliseconds(400)) == 0);
    CHECK(state.find(7)->phase == JobPhase::Completed);
}

TEST_CASE_FIXTURE(ThreeOccurrences, "an occurrence that is done does not run again when the next ones go on")
{
    end(0);
    CHECK(startsWithin(Milliseconds(400)) == 0);
    CHECK(state.find(7)->phase == JobPhase::Running);
}

TEST_CASE_FIXTURE(ThreeOccurrences, "the next leader does not run an occurrence again that is done, nor leave one out")
{
    leader.onLostLeadership();
    orders.clear();
    leader.onBecameLeader(2, clock.now(), clock.wallNow());
    CHECK(startsWithin(Milliseconds(400)) == 0);
    end(1);
    end(0);
    CHECK(state.find(7)->phase == JobPhase::Completed);
}
