// Executors that share an address one after the other.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

const TaskKey firstTask { { 7, 0, 0 }, 0 };

SendOrder startNext(JobsFixture& it)
{
    it.submit(JobsFixture::request(7, 1));
    it.pass(Milliseconds(20));
    const auto start = it.takeOrder<StartRun>();
    REQUIRE(start);
    return *start;
}

} // namespace

TEST_CASE("a delayed announcement of another id at the address does not remove an executor that answers")
{
    JobsFixture it;
    const auto announce = [&](const char* id, uint64_t born, uint64_t sequence) {
        ExecutorAnnouncement call;
        call.record.set_id(id);
        call.record.set_born_ms(born);
        call.record.set_address("a1");
        call.record.set_service("filling");
        call.record.mutable_capacity()->set_milli_cpus(8'000);
        call.record.mutable_capacity()->set_memory_mib(16'000);
        call.sequence = sequence;
        it.leader.onCall(++it.lastHandle, std::move(call), it.clock.now(), it.clock.wallNow());
        it.commitAndCollect();
    };
    announce("y1", 100, 1); // born after a clock step back: the dead x1 at this address has born 200
    it.answerRenewals({});
    const auto start = startNext(it);
    it.answer(start, { OrderOutcome::Done });
    it.announce("x2", 1);
    it.answerRenewals({ { firstTask, 1, {}, 50, -1 } });
    it.orders.clear();
    announce("x1", 200, 5); // delayed by a partition; its sender is dead
    it.pass(Milliseconds(100));
    while (const auto renewal = it.takeOrder<RenewLease>("x2"))
        it.answer(*renewal, { OrderOutcome::Done });
    it.pass(Milliseconds(100));
    CHECK(!it.takeOrder<StartRun>());
}
