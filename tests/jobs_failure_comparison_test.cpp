// How failed runs of tasks are told apart from failures of executors.
#include "jobs/failure_comparison.h"

#include <doctest/doctest.h>

#include <set>

using namespace teasel;

namespace {

struct Fixture {
    static TaskKey task(uint64_t job, uint32_t index = 0) { return { { job, 0, 0 }, index }; }

    std::set<TaskKey> done;
    std::map<StepKey, size_t> sound;
    Instant now { std::chrono::seconds(100) };
    FailureComparison failures { [this](const TaskKey& it) { return done.contains(it); },
        [this](const StepKey& step, const FailureComparison::Executors&) {
            const auto it = sound.find(step);
            return it == sound.end() ? 0 : it->second;
        } };
};

} // namespace

TEST_CASE("failures of different jobs count until a run succeeds, consecutive ones of a job once")
{
    Fixture it;
    for (const uint64_t job : { 1, 1, 2, 3 })
        it.failures.recordFailure(1, Fixture::task(job), it.now);
    CHECK(it.failures.failuresInRow(1, it.now) == 3);
    CHECK(it.failures.failuresInRow(2, it.now) == 0);
    it.failures.recordSuccess(1);
    CHECK(it.failures.failuresInRow(1, it.now) == 0);
    CHECK(!it.failures.hasFailed(1));
}

TEST_CASE("a task that has failed on two executors counts against neither, until it is done")
{
    Fixture it;
    it.sound[Fixture::task(7).step] = 100;
    it.failures.recordFailure(1, Fixture::task(7), it.now);
    CHECK(it.failures.failuresInRow(1, it.now) == 1);
    it.failures.recordFailure(2, Fixture::task(7), it.now);
    CHECK(it.failures.failuresInRow(1, it.now) == 0);
    CHECK(it.failures.failuresInRow(2, it.now) == 0);
    it.done.insert(Fixture::task(7));
    CHECK(it.failures.failuresInRow(1, it.now) == 1);
}

TEST_CASE("a step whose tasks fail on several executors is at fault unless it does well on more")
{
    Fixture it;
    it.failures.recordFailure(1, Fixture::task(7, 0), it.now);
    it.failures.recordFailure(2, Fixture::task(7, 1), it.now);
    CHECK(it.failures.isTaskAtFault(Fixture::task(7, 0)));
    it.sound[Fixture::task(7).step] = 2;
    CHECK(!it.failures.isTaskAtFault(Fixture::task(7, 0)));
    CHECK(it.failures.failuresInRow(1, it.now) == 1);
    CHECK(it.failures.executorsOf(Fixture::task(7).step) == FailureComparison::Executors { 1, 2 });
}

TEST_CASE("failures are forgotten after a while")
{
    Fixture it;
    it.failures.recordFailure(1, Fixture::task(1), it.now);
    it.now += FailureComparison::memory + Milliseconds(1);
    CHECK(it.failures.failuresInRow(1, it.now) == 0);
    it.failures.recordFailure(2, Fixture::task(2), it.now);
    CHECK(it.failures.executorsOf(Fixture::task(1).step).empty());
    it.failures.recordFailure(2, Fixture::task(1), it.now);
    CHECK(!it.failures.isTaskAtFault(Fixture::task(1)));
}
