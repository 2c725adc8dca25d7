#include "node/control_loop.h"

#include <doctest/doctest.h>

#include <future>

namespace teasel {

TEST_CASE("a report shows how long tasks wait behind a batch, and how long batches take")
{
    constexpr Milliseconds slow { 60 };
    constexpr Milliseconds almostSlow { 40 };
    const SystemClock clock;
    std::promise<ControlLoopReport> reported;
    Duration age { 0 };
    ControlLoop* current = nullptr;
    ControlLoop loop(Milliseconds(5), 100, clock, [] {});
    current = &loop;
    loop.start();
    std::promise<void> isBusy;
    loop.post([&] {
        isBusy.set_value();
        std::this_thread::sleep_for(slow);
    });
    isBusy.get_future().wait();
    loop.post([&] { age = current->batchAge(); }); // waits for the batch in progress
    loop.post([] {});
    std::this_thread::sleep_for(slow * 2);
    loop.post([&] { reported.set_value(current->takeReport()); });
    const auto report = reported.get_future().get();
    loop.stop();
    CHECK(report.longestBatch >= almostSlow);
    CHECK(report.longestWait >= almostSlow);
    CHECK(age >= almostSlow);
    CHECK(report.busy >= report.longestBatch);
    CHECK(report.tasks == 3);
}

} // namespace teasel
