// A dispatch leader with one holder "h" and an executor "x", for unit tests of announcements.
#pragma once

#include "requests/dispatch_leader.h"

#include <string>

namespace teasel {

struct DispatchFixture {
    NameTable names;
    DispatchLeader dispatch { DispatchOptions { "dc1", { "h" } }, names };
    Instant now = ManualClock().now();
    Epoch epoch = 0;
    uint64_t batch = 0;

    DispatchFixture() { becomeLeader(); }

    void becomeLeader()
    {
        dispatch.onBecameLeader(++epoch, now);
        const TeamPolicy team { 1, 1.0, 100 };
        dispatch.onTeams({ &team, 1 }, now);
        batch = 0;
        schema::TicketBatch full;
        full.set_full(true);
        send(full);
    }

    void send(schema::TicketBatch message)
    {
        message.set_epoch(epoch);
        message.set_batch(++batch);
        message.set_holder_incarnation(1);
        message.set_holder_up_ms(3'600'000);
        dispatch.onTickets("h", message, now);
        tick();
    }

    void tick()
    {
        dispatch.onTick(now);
        dispatch.takeActions(now);
    }

    void run(Milliseconds time)
    {
        for (Milliseconds elapsed { 0 }; elapsed < time; elapsed += Milliseconds(100)) {
            now += Milliseconds(100);
            tick();
        }
    }

    void submit(uint64_t sequence)
    {
        schema::TicketBatch message;
        auto* ticket = message.add_tickets();
        ticket->set_sequence(sequence);
        ticket->set_attempt(1);
        ticket->set_team_id(1);
        ticket->set_deadline_left_ms(60'000);
        send(message);
    }

    static schema::ExecutorAnnounce announcement(uint64_t incarnation, uint32_t inFlight)
    {
        schema::ExecutorAnnounce announce;
        announce.set_name("x");
        announce.set_incarnation(incarnation);
        announce.set_slots(4);
        announce.set_connections(64);
        announce.set_in_flight(inFlight);
        return announce;
    }

    void announce(uint64_t incarnation, uint32_t inFlight)
    {
        dispatch.onAnnounce(announcement(incarnation, inFlight), now);
    }

    size_t inFlight() const { return dispatch.stats().inFlight; }
};

} // namespace teasel
