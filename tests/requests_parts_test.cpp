// Unit tests of the classes of the request plane.
#include "requests/admission.h"
#include "requests/dispatch_leader.h"
#include "requests/executor_pool.h"
#include "requests/fair_queue.h"
#include "requests/leader_link.h"
#include "requests/retry_budget.h"

#include <doctest/doctest.h>

#include <map>

namespace teasel {

namespace {

    const auto start = ManualClock().now();
    const auto anyGroup = [](GroupId) { return true; };

    schema::ExecutorAnnounce announcement(const std::string& name, uint32_t slots, uint32_t connections = 64)
    {
        schema::ExecutorAnnounce announce;
        announce.set_name(name);
        announce.set_incarnation(1);
        announce.set_slots(slots);
        announce.set_connections(connections);
        return announce;
    }

    ExecutorSet firstOrdinals(uint32_t count)
    {
        ExecutorSet all;
        for (InstanceOrdinal n = 0; n < count; ++n)
            all.insert(n);
        return all;
    }

    // The leader of one data centre with one holder; collects the grants and refusals sent to that holder.
    struct LeaderFixture {
        NameTable names;
        DispatchLeader dispatch { DispatchOptions { "dc1", { "h" } }, names };
        Instant now = start;
        uint64_t batch = 0;
        std::vector<schema::Grant> grants;
        std::vector<schema::Refusal> refusals;

        LeaderFixture()
        {
            dispatch.onBecameLeader(1, now);
            const TeamPolicy team { 1, 1.0, 100 };
            dispatch.onTeams({ &team, 1 }, now);
            schema::TicketBatch full;
            full.set_full(true);
            exchange(full);
        }

        void exchange(schema::TicketBatch message)
        {
            message.set_epoch(1);
            message.set_batch(++batch);
            message.set_holder_incarnation(1);
            message.set_holder_up_ms(3'600'000);
            dispatch.onTickets("h", message, now);
            tick();
        }

        void tick()
        {
            dispatch.onTick(now);
            for (auto& it : dispatch.takeActions(now)) {
                const auto& sent = std::get<SendGrants>(it).batch;
                grants.insert(grants.end(), sent.grants().begin(), sent.grants().end());
                refusals.insert(refusals.end(), sent.refusals().begin(), sent.refusals().end());
            }
        }

        void submit(uint64_t sequence, const std::string& selector = "", const std::string& key = "k")
        {
            schema::TicketBatch message;
            auto* ticket = message.add_tickets();
            ticket->set_sequence(sequence);
            ticket->set_attempt(1);
            ticket->set_team_id(1);
            ticket->set_selector(selector);
            ticket->set_key_id(key);
            ticket->set_deadline_left_ms(10'000);
            exchange(message);
        }

        ErrorKind refusalKind(size_t n) const { return errorKindFromNumber(refusals.at(n).failure().kind()); }
    };

} // namespace

TEST_CASE("within a team, requests are ordered by class, then by deadline")
{
    FairQueue queue;
    queue.setTeam(1, 1.0, 10, start);
    queue.push({ 1, 1, 2, start + Milliseconds(10), 1 }, start);
    queue.push({ 2, 1, 0, start + Milliseconds(90), 1 }, start);
    queue.push({ 3, 1, 0, start + Milliseconds(50), 2 }, start);
    CHECK(queue.next(anyGroup)->id == 3);
    CHECK(queue.next([](GroupId group) { return group == 1; })->id == 2);
    queue.remove({ 2, 1, 0, start + Milliseconds(90), 1 });
    CHECK(queue.next([](GroupId group) { return group == 1; })->id == 1);
    CHECK(queue.waiting() == 2);
}

TEST_CASE("a group without an available executor does not block other teams and requests")
{
    FairQueue queue;
    queue.setTeam(1, 1.0, 10, start);
    queue.setTeam(2, 1.0, 10, start);
    queue.push({ 1, 1, 0, start, 1 }, start);
    queue.push({ 2, 2, 0, start, 2 }, start);
    CHECK(queue.next([](GroupId group) { return group == 2; })->id == 2);
    CHECK_FALSE(queue.next([](GroupId) { return false; }));
}

TEST_CASE("a team at its limit waits, and reserved slots count against the limit")
{
    FairQueue queue;
    queue.setTeam(1, 1.0, 2, start);
    queue.push({ 1, 1, 0, start, 1 }, start);
    queue.onStarted(1, start);
    CHECK(queue.next(anyGroup));
    queue.setReservedSlots(1);
    CHECK_FALSE(queue.next(anyGroup));
    queue.setReservedSlots(0);
    queue.onStarted(1, start);
    CHECK_FALSE(queue.next(anyGroup));
    queue.onEnded(1, Milliseconds(5), start + Milliseconds(5));
    CHECK(queue.next(anyGroup));
}

TEST_CASE("admission refuses a full class and an infeasible deadline, and says when to retry")
{
    FairQueue queue;
    queue.setTeam(1, 1.0, 1, start);
    for (TicketId id = 1; id <= 100; ++id)
        queue.push({ id, 1, 0, start + Milliseconds(60'000), 1 }, start);
    const auto full = checkAdmission(queue, { 1, 0, start + Milliseconds(60'000), 100, 100 }, 8, start);
    REQUIRE(full);
    CHECK(full->kind == ErrorKind::QueueFull);
    CHECK(full->retryAfter.count() > 0);
    const auto late = checkAdmission(queue, { 1, 0, start + Milliseconds(500), 100, 1'000 }, 8, start);
    REQUIRE(late);
    CHECK(late->kind == ErrorKind::DeadlineUnreachable);
    CHECK(late->retryAfter.count() > 0);
    CHECK_FALSE(checkAdmission(queue, { 1, 0, start + Milliseconds(60'000), 100, 1'000 }, 8, start));
}

TEST_CASE("an executor gets at most the lower of its slots and connections")
{
    ExecutorPool pool(1);
    pool.onAnnounce(announcement("x", 8, 2), start);
    pool.acquireSlot(0);
    CHECK(pool.choose(firstOrdinals(1)));
    pool.acquireSlot(0);
    CHECK_FALSE(pool.choose(firstOrdinals(1)));
}

TEST_CASE("an executor gets no new request after two seconds without an announcement, or once it is leaving")
{
    ExecutorPool pool(1);
    pool.onAnnounce(announcement("x", 8), start);
    pool.onTick(start + Milliseconds(1'999));
    CHECK(pool.choose(firstOrdinals(1)));
    pool.onTick(start + Milliseconds(2'000));
    CHECK_FALSE(pool.choose(firstOrdinals(1)));
    auto leaving = announcement("y", 8);
    leaving.set_leaving(true);
    pool.onAnnounce(leaving, start);
    CHECK_FALSE(pool.choose(firstOrdinals(2)));
}

TEST_CASE("a failing executor is quarantined, then probed with one request")
{
    ExecutorPool pool(1);
    pool.onAnnounce(announcement("x", 8), start);
    for (int n = 0; n < 3; ++n)
        pool.onEnded(0, { .failed = true }, start);
    CHECK_FALSE(pool.choose(firstOrdinals(1)));
    const auto later = start + Milliseconds(1'300);
    pool.onTick(later);
    REQUIRE(pool.choose(firstOrdinals(1)));
    pool.acquireSlot(0);
    CHECK_FALSE(pool.choose(firstOrdinals(1)));
    pool.releaseSlot(0);
    pool.onEnded(0, { .service = Milliseconds(5) }, later);
    pool.acquireSlot(0);
    CHECK(pool.choose(firstOrdinals(1)));
}

TEST_CASE("an executor much slower than its peers is quarantined")
{
    ExecutorPool pool(1);
    for (const auto* name : { "a", "b", "c", "d" })
        pool.onAnnounce(announcement(name, 8), start);
    for (int n = 0; n < 40; ++n) {
        for (InstanceOrdinal executor = 0; executor < 4; ++executor)
            pool.onEnded(executor, { .service = Milliseconds(executor == 3 ? 400 : 10) }, start);
    }
    CHECK(pool.at(3).health == ExecutorHealth::Quarantined);
    CHECK(pool.at(0).health == ExecutorHealth::Healthy);
}

TEST_CASE("retries never exceed a tenth of the first attempts")
{
    RetryBudget budget;
    uint32_t retries = 0;
    for (uint32_t first = 1; first <= 1'000; ++first) {
        budget.onFirstAttempt(1);
        retries += budget.tryConsume(1) ? 1 : 0;
        CHECK(retries * 10 <= first);
    }
    CHECK(retries == 100);
    CHECK_FALSE(budget.tryConsume(2));
}

TEST_CASE("a gap in the grant batches leads to a full ticket batch, and a late grant batch is dropped")
{
    LeaderLink link(1, start);
    link.onLeader("l", 5, start);
    link.takeBatch({}, {}, start);
    schema::GrantBatch grants;
    grants.set_epoch(5);
    grants.set_holder_incarnation(1);
    grants.set_acknowledged_batch(1);
    grants.set_batch(1);
    CHECK(link.accept(grants, start));
    CHECK_FALSE(link.nextIsFull());
    grants.set_batch(3);
    CHECK(link.accept(grants, start));
    CHECK(link.nextIsFull());
    grants.set_batch(2);
    CHECK_FALSE(link.accept(grants, start));
    grants.set_batch(9);
    grants.set_epoch(4);
    CHECK_FALSE(link.accept(grants, start));
}

TEST_CASE("the age of grants is bounded by the batch that they acknowledge")
{
    LeaderLink link(1, start);
    link.onLeader("l", 1, start);
    link.takeBatch({}, {}, start);
    const auto later = start + Milliseconds(900);
    link.takeBatch({}, {}, later);
    schema::GrantBatch grants;
    grants.set_epoch(1);
    grants.set_holder_incarnation(1);
    grants.set_acknowledged_batch(1);
    grants.set_batch(1);
    CHECK(link.accept(grants, later));
    CHECK(link.createdNotBefore() == start);
    grants.set_acknowledged_batch(2);
    grants.set_batch(2);
    CHECK(link.accept(grants, later));
    CHECK(link.createdNotBefore() == later);
}

TEST_CASE("a new leader grants nothing until every member has reported or old grants have expired")
{
    NameTable names;
    DispatchLeader dispatch(DispatchOptions { "dc1", { "h", "absent" } }, names);
    dispatch.onBecameLeader(1, start);
    const TeamPolicy team { 1, 1.0, 10 };
    dispatch.onTeams({ &team, 1 }, start);
    dispatch.onAnnounce(announcement("x", 2), start);
    schema::TicketBatch full;
    full.set_epoch(1);
    full.set_batch(1);
    full.set_full(true);
    full.set_holder_incarnation(1);
    full.set_holder_up_ms(3'600'000);
    auto* ticket = full.add_tickets();
    ticket->set_sequence(1);
    ticket->set_attempt(1);
    ticket->set_team_id(1);
    ticket->set_deadline_left_ms(30'000);
    dispatch.onTickets("h", full, start);
    const auto granted = [&](Instant now) {
        dispatch.onAnnounce(announcement("x", 2), now);
        dispatch.onTick(now);
        dispatch.takeActions(now);
        return dispatch.stats().granted;
    };
    CHECK(granted(start + Milliseconds(1'900)) == 0);
    CHECK(granted(start + Milliseconds(2'100)) == 1);
}

TEST_CASE("a new leader reserves slots for requests that executors run for members that have not reported")
{
    NameTable names;
    DispatchLeader dispatch(DispatchOptions { "dc1", { "absent" } }, names);
    dispatch.onBecameLeader(1, start);
    const TeamPolicy team { 1, 1.0, 3 };
    dispatch.onTeams({ &team, 1 }, start);
    schema::TicketBatch full;
    full.set_epoch(1);
    full.set_batch(1);
    full.set_full(true);
    full.set_holder_incarnation(1);
    for (uint64_t sequence = 1; sequence <= 4; ++sequence) {
        auto* ticket = full.add_tickets();
        ticket->set_sequence(sequence);
        ticket->set_attempt(1);
        ticket->set_team_id(1);
        ticket->set_deadline_left_ms(30'000);
    }
    dispatch.onTickets("h", full, start);
    const auto granted = [&](Instant now, uint32_t inFlight) {
        auto announce = announcement("x", 4);
        announce.set_in_flight(inFlight);
        dispatch.onAnnounce(announce, now);
        dispatch.onTick(now);
        dispatch.takeActions(now);
        return dispatch.stats().granted;
    };
    CHECK(granted(start + Milliseconds(2'100), 3) == 0);
    CHECK(granted(start + Milliseconds(2'600), 2) == 1);
    CHECK(granted(start + Milliseconds(4'200), 1) == 3);
}

TEST_CASE("a leader whose lease has expired grants nothing")
{
    LeaderFixture leader;
    leader.dispatch.onAnnounce(announcement("x", 4), leader.now);
    leader.dispatch.onLeadershipLease(leader.now + Milliseconds(100));
    leader.submit(1);
    CHECK(leader.grants.size() == 1);
    leader.now += Milliseconds(100);
    leader.submit(2);
    CHECK(leader.grants.size() == 1);
}

TEST_CASE("requests are refused at once when their key is revoked or no executor is left")
{
    LeaderFixture leader;
    leader.submit(1, "", "k1");
    leader.submit(2, "", "k2");
    const std::string key = "k1";
    leader.dispatch.onKeysRevoked({ &key, 1 }, leader.now);
    leader.tick();
    REQUIRE(leader.refusals.size() == 1);
    CHECK(leader.refusals[0].sequence() == 1);
    CHECK(leader.refusalKind(0) == ErrorKind::Unauthenticated);
    leader.submit(3, "", "k1");
    REQUIRE(leader.refusals.size() == 2);
    leader.now += Milliseconds(2'100);
    leader.tick();
    REQUIRE(leader.refusals.size() == 3);
    CHECK(leader.refusalKind(2) == ErrorKind::NoEndpoint);
}

TEST_CASE("selectors and drains decide where a request may run")
{
    LeaderFixture leader;
    for (const auto* name : { "kiln", "press" }) {
        auto announce = announcement(name, 4);
        auto* label = announce.add_labels();
        label->set_key("kind");
        label->set_value(name);
        leader.dispatch.onAnnounce(announce, leader.now);
    }
    leader.submit(1, "kind = press");
    REQUIRE(leader.grants.size() == 1);
    CHECK(leader.grants[0].executor() == "press");
    const std::string drain = "kind = press";
    leader.dispatch.onDrains({ &drain, 1 }, leader.now);
    leader.submit(2, "kind = press");
    leader.submit(3, "kind = kiln");
    REQUIRE(leader.grants.size() == 2);
    CHECK(leader.grants[1].executor() == "kiln");
    leader.submit(4, "kind = ");
    REQUIRE(leader.refusals.size() == 1);
    CHECK(leader.refusalKind(0) == ErrorKind::BadRequest);
}

TEST_CASE("many cancellations in one batch empty the queue")
{
    LeaderFixture leader;
    schema::TicketBatch wave;
    for (uint64_t sequence = 1; sequence <= 1'000; ++sequence) {
        leader.submit(sequence);
        wave.add_cancelled(sequence);
    }
    CHECK(leader.dispatch.stats().waiting == 1'000);
    leader.exchange(wave);
    CHECK(leader.dispatch.stats().waiting == 0);
}

} // namespace teasel
