// Executors that stay away for longer than they are registered.
#include "jobs_losing_fleet.h"

using namespace teasel;

// Guards against LOST: cut-offs that nothing ends are taken for crashes.
TEST_CASE(
    "a job whose executors are cut off soon after its start, for longer than they stay registered, is not given up")
{
    for (const auto silence : { Milliseconds(60'000), forGood }) {
        CAPTURE(silence.count());
        LosingCase it({ LossPlan::Kind::CutOff, Milliseconds(400), silence, cuts });
        CHECK(it.fleet.passUntilStarts(it.it, cuts + 1, Milliseconds(400'000)));
        CHECK(it.phase() == JobPhase::Running);
    }
}

// Guards against BUDGET: a task crashes executors that are back only after they were removed.
TEST_CASE("a task that crashes executors some time after its start is given up although they are back late")
{
    for (const auto lostAfter : { Milliseconds(600), longAfterStart }) {
        CAPTURE(lostAfter.count());
        LosingCase it({ LossPlan::Kind::Crash, lostAfter, Milliseconds(25'000) });
        it.fleet.pass(it.it, Milliseconds(300'000));
        CHECK(it.phase() == JobPhase::Failed);
        CHECK(it.fleet.starts() <= maxDeadlyStarts);
    }
}
