// Ends of runs that had been given up, listed while another run of their task is about to start.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

// Commits one proposal after the other only when the test says so.
class LateEndFixture : public JobsFixture {
public:
    void collect()
    {
        for (auto& it : leader.takeActions()) {
            if (auto* propose = std::get_if<ProposeJobs>(&it))
                proposals.push_back(std::move(*propose));
            else if (auto* order = std::get_if<SendOrder>(&it))
                orders.push_back(std::move(*order));
        }
    }

    void finishBatch()
    {
        leader.finishBatch(clock.now(), clock.wallNow());
        collect();
    }

    void commitAll()
    {
        for (const auto& it : std::exchange(proposals, {})) {
            state.apply(0, it.command.SerializeAsString());
            leader.onCommitted(it.ticket, clock.now());
            collect();
        }
    }

    void result(const SendOrder& order, OrderResult result)
    {
        result.outcome = OrderOutcome::Done;
        result.clockMs = clockOf(order.executorId);
        result.bornMs = bornOf(order);
        result.isEndListComplete = true;
        leader.onOrderResult(order.number, std::move(result), clock.now());
        collect();
    }

    std::vector<ProposeJobs> proposals;
};

} // namespace

// Guards against TWICE (issue 43, jobs_random seed 7160): a start that is sent although the leader has read the end of
// an earlier run of its task, because neither the assignment nor the end was committed then.
TEST_CASE("a task whose late end is listed before its next run starts is not started again")
{
    for (const bool isGang : { false, true }) {
        CAPTURE(isGang);
        LateEndFixture it;
        it.announce("former");
        it.answerRenewals({});
        it.submit(JobsFixture::request(1, isGang ? 2 : 1, isGang));
        std::vector<RunningTask> running;
        while (const auto order = it.takeOrder<StartRun>()) {
            const auto& start = std::get<StartRun>(order->order);
            it.answer(*order, { OrderOutcome::Done });
            running.push_back({ start.task, start.run, {} });
        }
        REQUIRE(running.size() == (isGang ? 2 : 1));
        it.passWithRenewals(Milliseconds(100), running);
        // The executor falls silent until its lease has expired and the task waits again.
        for (int n = 0; n < 4'000 && it.leader.waitingTasks() == 0; ++n)
            it.pass(Milliseconds(10));
        REQUIRE(it.leader.waitingTasks() == running.size());
        it.orders.clear();
        std::optional<SendOrder> poll;
        for (int n = 0; n < 200 && !poll; ++n) {
            it.pass(Milliseconds(10));
            poll = it.takeOrder<RenewLease>("former");
        }
        REQUIRE(poll);
        it.announce("next");
        // The next run is assigned and proposed; then the former executor lists the end of the first one.
        while (const auto takeover = it.takeOrder<RenewLease>("next"))
            it.result(*takeover, {});
        for (int n = 0; n < 50 && it.proposals.empty(); ++n) {
            it.clock.advance(Milliseconds(10));
            it.leader.onTick(it.clock.now(), it.clock.wallNow());
            it.finishBatch();
        }
        REQUIRE(it.proposals.size() == 1);
        REQUIRE(it.leader.waitingTasks() == 0);
        OrderResult list;
        list.ended.push_back({ 1, running[0].task, running[0].run, schema::RUN_OUTCOME_DONE, {} });
        it.result(*poll, std::move(list));
        it.finishBatch();
        it.commitAll();
        it.commitAndCollect();
        CHECK(!it.takeOrder<StartRun>());
        it.passWithRenewals(Milliseconds(1'000));
        CHECK(!it.takeOrder<StartRun>());
        CHECK(it.state.find(1)->phase == JobPhase::Completed);
        CHECK(it.leader.runningTasks() == 0);
    }
}
