#include "jobs/order_messages.h"

#include <utility>

namespace teasel {

namespace {

    constexpr uint64_t maxWaitMs = 3'600'000;
    constexpr uint64_t maxClockMs = 4'000'000'000'000; // as Unix time: the year 2096
    constexpr uint64_t maxEndNumber = 1'000'000'000'000;

    void fillTask(const TaskKey& task, uint32_t run, schema::RelayedOrder& out)
    {
        fillRef(task, *out.mutable_task());
        out.set_run(run);
    }

    void fill(const StartRun& it, schema::RelayedOrder& out)
    {
        fillTask(it.task, it.run, out);
        auto& start = *out.mutable_start();
        start.set_payload(it.payload);
        start.set_checkpoint(it.checkpoint);
        start.set_ticket(it.ticket);
        start.set_lease_until_ms(it.leaseUntilMs);
    }

    void fill(const StopRun& it, schema::RelayedOrder& out)
    {
        fillTask(it.task, it.run, out);
        out.set_stop(true);
    }

    void fill(const RenewLease& it, schema::RelayedOrder& out)
    {
        auto& hold = *out.mutable_hold();
        hold.set_lease_until_ms(it.leaseUntilMs);
        hold.set_seen_ends(it.acknowledgedEnds);
        hold.set_wait_ms(static_cast<uint64_t>(it.wait.count()));
    }

    void fill(const ThrottleRun& it, schema::RelayedOrder& out)
    {
        fillTask(it.task, it.run, out);
        out.set_pace_percent(it.percent);
    }

    Milliseconds milliseconds(uint64_t n) { return Milliseconds(static_cast<int64_t>(n)); }

    // The way in which an executor says that a run has ended; like an unknown word, an unknown value means stopped.
    schema::RunOutcome reportedOutcome(schema::RunOutcome it)
    {
        return it >= schema::RUN_OUTCOME_DONE && it <= schema::RUN_OUTCOME_ALONE ? it : schema::RUN_OUTCOME_STOPPED;
    }

} // namespace

schema::RelayedOrder toMessage(const SendOrder& order)
{
    schema::RelayedOrder out;
    out.set_number(order.number);
    out.set_address(order.address);
    out.set_executor(order.executorId);
    out.set_fence(order.fence);
    out.set_timeout_ms(static_cast<uint64_t>(order.timeout.count()));
    std::visit([&](const auto& it) { fill(it, out); }, order.order);
    return out;
}

bool isValid(const schema::RelayedOrder& order)
{
    const bool isTimely = order.timeout_ms() > 0 && order.timeout_ms() <= maxWaitMs
        && order.hold().wait_ms() <= maxWaitMs && order.hold().lease_until_ms() <= maxClockMs + maxWaitMs
        && order.start().lease_until_ms() <= maxClockMs + maxWaitMs;
    return isTimely && order.body_case() != schema::RelayedOrder::BODY_NOT_SET;
}

SendOrder fromMessage(const schema::RelayedOrder& order)
{
    SendOrder out { order.number(), order.address(), order.executor(), order.fence(), milliseconds(order.timeout_ms()),
        StopRun {} };
    const auto task = toKey(order.task());
    switch (order.body_case()) {
    case schema::RelayedOrder::kStart:
        out.order = StartRun { task, order.run(), order.start().payload(), order.start().checkpoint(),
            order.start().ticket(), order.start().lease_until_ms() };
        break;
    case schema::RelayedOrder::kHold:
        out.order = RenewLease { order.hold().lease_until_ms(), order.hold().seen_ends(),
            milliseconds(order.hold().wait_ms()) };
        break;
    case schema::RelayedOrder::kPacePercent:
        out.order = ThrottleRun { task, order.run(), order.pace_percent() };
        break;
    case schema::RelayedOrder::kStop:
    case schema::RelayedOrder::BODY_NOT_SET:
        out.order = StopRun { task, order.run() };
        break;
    }
    return out;
}

schema::RelayedResult toMessage(uint64_t number, const OrderResult& result)
{
    schema::RelayedResult out;
    out.set_number(number);
    out.set_end(static_cast<uint32_t>(result.outcome));
    out.set_clock_ms(result.clockMs);
    out.set_born_ms(result.bornMs);
    out.set_cut(!result.isEndListComplete);
    for (const auto& it : result.running) {
        auto& row = *out.add_running();
        fillRef(it.task, *row.mutable_task());
        row.set_run(it.run);
        row.set_checkpoint(it.checkpoint);
        row.set_percent(it.percent);
        row.set_figure(it.metric);
    }
    for (const auto& it : result.ended) {
        auto& row = *out.add_ended();
        fillRef(it.task, *row.mutable_task());
        row.set_run(it.run);
        row.set_checkpoint(it.checkpoint);
        row.set_end_number(it.number);
        row.set_outcome(it.outcome);
    }
    return out;
}

OrderResult fromMessage(const schema::RelayedResult& result)
{
    OrderResult out;
    out.outcome = result.end() <= static_cast<uint32_t>(OrderOutcome::UnknownOutcome)
        ? static_cast<OrderOutcome>(result.end())
        : OrderOutcome::UnknownOutcome;
    out.clockMs = result.clock_ms() <= maxClockMs ? result.clock_ms() : 0;
    out.bornMs = result.born_ms();
    if (out.bornMs > maxClockMs) // The incarnation that answered is not known.
        out = {};
    for (const auto& it : result.running())
        out.running.push_back({ toKey(it.task()), it.run(), it.checkpoint(), it.percent(), it.figure() });
    uint64_t last = 0;
    for (const auto& it : result.ended()) {
        if (it.end_number() <= last || it.end_number() > maxEndNumber)
            break;
        last = it.end_number();
        out.ended.push_back({ last, toKey(it.task()), it.run(), reportedOutcome(it.outcome()), it.checkpoint() });
    }
    out.isEndListComplete = !result.cut() && out.ended.size() == static_cast<size_t>(result.ended_size());
    return out;
}

} // namespace teasel
