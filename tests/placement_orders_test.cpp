// Tests which orders of its leader a worker carries out.
#include "placement_fixture.h"

#include <doctest/doctest.h>

using namespace teasel;

TEST_CASE("a worker that reports again after its lease expired carries out new orders")
{
    PlacementFixture it;
    it.addWorker("w0");
    it.waitForRecovery();
    it.workers[0].disconnected = true;
    it.run(Milliseconds(12'000));
    REQUIRE(it.leader.stats().workers == 0);
    it.workers[0].disconnected = false;
    it.submit({ .id = "one" });
    it.run(Milliseconds(1'500));
    CHECK(it.running("one") == 1);
    it.run(Milliseconds(10'000));
    CHECK(it.running("one") == 1);
    CHECK(it.workers[0].starts == 1);
    CHECK(it.leader.stats().quarantines == 0);
}

TEST_CASE("a restarted worker does not carry out orders that were meant for its previous incarnation")
{
    PlacementFixture it;
    it.addWorker("w0");
    it.waitForRecovery();
    it.submit({ .id = "one" });
    const auto sentAt = it.now;
    const auto delayed = it.leader.onReport(it.workers[0].agent.makeReport(it.now), it.now);
    REQUIRE(delayed.starts_size() == 1);
    it.workers[0].disconnected = true;
    it.run(Milliseconds(3'000));
    const size_t restarted = it.addWorker("w0", resources(4'000, 8'192), "rack-0", 2);
    auto& worker = it.workers[restarted];
    const auto own = it.leader.onReport(worker.agent.makeReport(it.now), it.now);
    worker.agent.onOrders(delayed, sentAt, it.now);
    worker.executeActions();
    worker.agent.onOrders(own, it.now, it.now);
    worker.executeActions();
    CHECK(worker.starts == 0);
    worker.disconnected = true;
    it.addWorker("w1");
    size_t maxRunning = 0;
    for (int i = 0; i < 150; ++i) {
        it.run(PlacementFixture::tick);
        maxRunning = std::max(maxRunning, it.running("one"));
    }
    CHECK(maxRunning == 1);
    CHECK(it.workers.back().running.size() == 1);
}
