// Executors whose capacity shrinks and grows while they run.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

void announceCapacity(JobsFixture& it, uint64_t sequence, int64_t milliCpus)
{
    ExecutorAnnouncement out;
    out.record = it.state.executors().begin()->second.record;
    if (milliCpus > 0)
        out.record.mutable_capacity()->set_milli_cpus(static_cast<uint64_t>(milliCpus));
    else
        out.record.clear_capacity();
    out.sequence = sequence;
    it.leader.onCall(++it.lastHandle, std::move(out), it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
}

size_t startsWithin(JobsFixture& it, Milliseconds time)
{
    it.passWithRenewals(time);
    size_t n = 0;
    while (const auto start = it.takeOrder<StartRun>())
        ++n;
    return n;
}

} // namespace

TEST_CASE("an executor whose capacity has shrunk gets no start beyond it, and more again once it has grown")
{
    JobsFixture it;
    it.submit(JobsFixture::request(7, 4)); // of 2 cores each
    it.announce("x1"); // 8 cores
    announceCapacity(it, 2, 4'000);
    it.answerRenewals({});
    CHECK(startsWithin(it, Milliseconds(300)) == 2);
    announceCapacity(it, 3, 8'000);
    CHECK(startsWithin(it, Milliseconds(300)) == 2);
}

TEST_CASE("a capacity that grows again is used, and a delayed announcement does not restore an earlier one")
{
    JobsFixture it;
    it.submit(JobsFixture::request(7, 4));
    it.announce("x1");
    announceCapacity(it, 5, 2'000);
    announceCapacity(it, 4, 8'000);
    it.answerRenewals({});
    CHECK(startsWithin(it, Milliseconds(300)) == 1);
}

TEST_CASE("an announcement without a capacity changes nothing")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    announceCapacity(it, 2, 0);
    it.submit(JobsFixture::request(7, 4));
    CHECK(startsWithin(it, Milliseconds(300)) == 4);
}

TEST_CASE("a job that fits only the capacity before it shrank waits, and is not rejected as impossible")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    announceCapacity(it, 2, 1'000);
    SUBCASE("in the same leader") { }
    SUBCASE("after a restart from a snapshot")
    {
        const auto image = it.state.snapshot();
        CHECK(std::holds_alternative<std::monostate>(valueOrError([&] { return it.state.restore(image); })));
        it.leader.onBecameLeader(2, it.clock.now(), it.clock.wallNow());
        it.passWithRenewals(Milliseconds(100));
    }
    const auto handle = it.submit(JobsFixture::request(7, 1));
    REQUIRE(it.answerTo(handle));
    CHECK(it.answerTo(handle)->status != CallStatus::BadRequest);
}

TEST_CASE("a start that was decided before the capacity shrank is not sent afterwards")
{
    JobsFixture it;
    it.announce("x1");
    it.answerRenewals({});
    it.pass(Milliseconds(100));
    SubmitJob call { "farm.example", "/blend/" + jobIdText(7), "key", JobsFixture::request(7, 1) };
    it.leader.onCall(++it.lastHandle, std::move(call), it.clock.now(), it.clock.wallNow());
    // Proposals are committed late: the assignment and the smaller capacity are in flight together.
    std::vector<ProposeJobs> proposals;
    const auto collect = [&] {
        it.leader.finishBatch(it.clock.now(), it.clock.wallNow());
        for (auto& action : it.leader.takeActions()) {
            if (auto* propose = std::get_if<ProposeJobs>(&action))
                proposals.push_back(std::move(*propose));
        }
    };
    const auto commit = [&] {
        for (const auto& propose : std::exchange(proposals, {})) {
            it.state.apply(0, propose.command.SerializeAsString());
            it.leader.onCommitted(propose.ticket, it.clock.now());
        }
    };
    collect();
    commit();
    it.clock.advance(Milliseconds(110));
    collect(); // the assignment
    REQUIRE(proposals.size() == 1);
    ExecutorAnnouncement out;
    out.record = it.state.executors().begin()->second.record;
    out.record.mutable_capacity()->set_milli_cpus(1'000);
    out.sequence = 9;
    it.leader.onCall(++it.lastHandle, std::move(out), it.clock.now(), it.clock.wallNow());
    collect();
    commit();
    it.commitAndCollect();
    CHECK(!it.takeOrder<StartRun>());
}
