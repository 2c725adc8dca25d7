// A request's way from its holder through the leader and back, without faults.
#include "requests/dispatch_leader.h"
#include "requests/request_holder.h"

#include <doctest/doctest.h>

namespace teasel {

namespace {

    schema::ExecutorAnnounce executor(std::string name, uint32_t slots)
    {
        schema::ExecutorAnnounce announce;
        announce.set_name(name);
        announce.set_incarnation(1);
        announce.set_address("127.1.0.9:80");
        announce.set_slots(slots);
        announce.set_connections(64);
        return announce;
    }

    // One holder, one leader and a perfect link.
    struct Plane {
        NameTable names;
        ManualClock clock;
        DispatchLeader leader { DispatchOptions { .dataCentre = "dc1", .members = { "e1" } }, names };
        RequestHolder holder { HolderOptions {
            .instance = "e1", .incarnation = 7, .startedAt = clock.now() - Milliseconds(100'000) } };
        std::vector<HolderAction> seen;

        Plane()
        {
            leader.onBecameLeader(1, clock.now());
            const TeamPolicy team { 1, 1.0, 4 };
            leader.onTeams({ &team, 1 }, clock.now());
            holder.onLeader("e1", 1, clock.now());
            pump();
            leader.onAnnounce(executor("x1", 1), clock.now());
        }

        void pump()
        {
            for (int round = 0; round < 4; ++round) {
                holder.onTick(clock.now());
                leader.onTick(clock.now());
                for (auto& it : holder.takeActions(clock.now())) {
                    if (auto* send = std::get_if<SendTickets>(&it))
                        leader.onTickets("e1", send->batch, clock.now());
                    else
                        seen.push_back(std::move(it));
                }
                for (auto& it : leader.takeActions(clock.now()))
                    holder.onGrants(std::get<SendGrants>(it).batch, clock.now());
            }
        }

        void submit(uint64_t handle, bool idempotent)
        {
            Submission submission;
            submission.handle = handle;
            submission.team = 1;
            submission.className = "weigh-check";
            submission.requestId = "id";
            submission.idempotent = idempotent;
            submission.deadline = clock.now() + Milliseconds(2'000);
            holder.onSubmit(submission, clock.now());
            pump();
        }

        template <class Action> std::vector<Action> take()
        {
            std::vector<Action> found;
            for (auto& it : seen) {
                if (auto* action = std::get_if<Action>(&it))
                    found.push_back(*action);
            }
            std::erase_if(seen, [](const auto& it) { return std::holds_alternative<Action>(it); });
            return found;
        }
    };

} // namespace

TEST_CASE("an idempotent request goes to an executor and its answer to the caller")
{
    Plane plane;
    plane.submit(11, true);
    const auto sent = plane.take<SendToExecutor>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].executor == "x1");
    plane.holder.onExecutorResult({ sent[0].attemptKey, WholeAnswer {}, Milliseconds(3) }, plane.clock.now());
    plane.pump();
    const auto answers = plane.take<AnswerCaller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].handle == 11);
    CHECK(plane.holder.idle());
    CHECK(plane.leader.stats().inFlight == 0);
}

TEST_CASE("a non-idempotent request is begun durably before it is sent")
{
    Plane plane;
    plane.submit(12, false);
    CHECK(plane.take<SendToExecutor>().empty());
    const auto begins = plane.take<BeginDurably>();
    REQUIRE(begins.size() == 1);
    schema::BeginAnswer answer;
    answer.set_request_id("id");
    answer.set_attempt(begins[0].begin.attempt());
    answer.set_verdict(schema::BEGIN_VERDICT_BEGUN);
    plane.holder.onBeginAnswer(answer, plane.clock.now());
    plane.pump();
    CHECK(plane.take<SendToExecutor>().size() == 1);
}

TEST_CASE("a slot is given to one request at a time")
{
    Plane plane;
    plane.submit(13, true);
    plane.submit(14, true);
    const auto first = plane.take<SendToExecutor>();
    REQUIRE(first.size() == 1);
    CHECK(plane.leader.stats().waiting == 1);
    plane.holder.onExecutorResult({ first[0].attemptKey, WholeAnswer {}, Milliseconds(3) }, plane.clock.now());
    plane.pump();
    CHECK(plane.take<SendToExecutor>().size() == 1);
}

} // namespace teasel
