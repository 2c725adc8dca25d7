// The path of a request from its holder through the leader to an executor and back, without faults.
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

    // One holder and one leader, connected by a reliable link without delay.
    struct RequestPlane {
        NameTable names;
        ManualClock clock;
        DispatchLeader leader { DispatchOptions { .dataCentre = "dc1", .members = { "e1" } }, names };
        RequestHolder holder { HolderOptions {
            .instance = "e1", .incarnation = 7, .startedAt = clock.now() - Milliseconds(100'000) } };
        std::vector<HolderAction> actions;

        RequestPlane()
        {
            leader.onBecameLeader(1, clock.now());
            const TeamPolicy team { 1, 1.0, 4 };
            leader.onTeams({ &team, 1 }, clock.now());
            holder.onLeader("e1", 1, clock.now());
            exchangeMessages();
            leader.onAnnounce(executor("x1", 1), clock.now());
        }

        void exchangeMessages()
        {
            for (int round = 0; round < 4; ++round) {
                holder.onTick(clock.now());
                leader.onTick(clock.now());
                for (auto& it : holder.takeActions(clock.now())) {
                    if (auto* send = std::get_if<SendTickets>(&it))
                        leader.onTickets("e1", send->batch, clock.now());
                    else
                        actions.push_back(std::move(it));
                }
                for (auto& it : leader.takeActions(clock.now()))
                    holder.onGrants(std::get<SendGrants>(it).batch, clock.now());
            }
        }

        Submission submission(uint64_t handle, bool idempotent) const
        {
            Submission out;
            out.handle = handle;
            out.team = 1;
            out.className = "weigh-check";
            out.requestId = "id";
            out.idempotent = idempotent;
            out.deadline = clock.now() + Milliseconds(2'000);
            return out;
        }

        void submit(uint64_t handle, bool idempotent)
        {
            holder.onSubmit(submission(handle, idempotent), clock.now());
            exchangeMessages();
        }

        template <class Action> std::vector<Action> takeActions()
        {
            std::vector<Action> found;
            for (auto& it : actions) {
                if (auto* action = std::get_if<Action>(&it))
                    found.push_back(*action);
            }
            std::erase_if(actions, [](const auto& it) { return std::holds_alternative<Action>(it); });
            return found;
        }
    };

} // namespace

TEST_CASE("an idempotent request goes to an executor and its answer to the caller")
{
    RequestPlane plane;
    plane.submit(11, true);
    const auto sent = plane.takeActions<SendToExecutor>();
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].executor == "x1");
    plane.holder.onExecutorResult({ sent[0].attemptKey, CompleteAnswer {}, Milliseconds(3) }, plane.clock.now());
    plane.exchangeMessages();
    const auto answers = plane.takeActions<AnswerCaller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].handle == 11);
    CHECK(plane.holder.idle());
    CHECK(plane.leader.stats().inFlight == 0);
}

TEST_CASE("a non-idempotent request is recorded as begun before it is sent")
{
    RequestPlane plane;
    plane.submit(12, false);
    CHECK(plane.takeActions<SendToExecutor>().empty());
    const auto begins = plane.takeActions<RecordBegin>();
    REQUIRE(begins.size() == 1);
    schema::BeginAnswer answer;
    answer.set_request_id("id");
    answer.set_attempt(begins[0].begin.attempt());
    answer.set_verdict(schema::BEGIN_VERDICT_BEGUN);
    plane.holder.onBeginAnswer(answer, plane.clock.now());
    plane.exchangeMessages();
    CHECK(plane.takeActions<SendToExecutor>().size() == 1);
}

TEST_CASE("retries need an earned budget, use another executor, and the first attempt's late answer is dropped")
{
    RequestPlane plane;
    for (const auto* name : { "x1", "x2" })
        plane.leader.onAnnounce(executor(name, 4), plane.clock.now());
    const auto sendOne = [&](uint64_t handle) {
        plane.submit(handle, true);
        const auto sent = plane.takeActions<SendToExecutor>();
        REQUIRE(sent.size() == 1);
        return sent[0];
    };
    const auto result = [&](const std::string& key, const AttemptOutcome& outcome) {
        plane.holder.onExecutorResult({ key, outcome, Milliseconds(3) }, plane.clock.now());
        plane.exchangeMessages();
    };
    result(sendOne(1).attemptKey, FailedAfterSending {});
    const auto refused = plane.takeActions<RefuseCaller>();
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].error.kind == ErrorKind::ExecutorFailed);
    for (uint64_t handle = 2; handle <= 10; ++handle)
        result(sendOne(handle).attemptKey, CompleteAnswer {});
    const auto first = sendOne(11);
    plane.takeActions<AnswerCaller>();
    result(first.attemptKey, FailedAfterSending {});
    plane.clock.advance(Milliseconds(20));
    plane.exchangeMessages();
    const auto second = plane.takeActions<SendToExecutor>();
    REQUIRE(second.size() == 1);
    CHECK(second[0].executor != first.executor);
    result(first.attemptKey, CompleteAnswer {});
    CHECK(plane.takeActions<AnswerCaller>().empty());
    result(second[0].attemptKey, CompleteAnswer {});
    const auto answers = plane.takeActions<AnswerCaller>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].attemptKey == second[0].attemptKey);
    CHECK(plane.holder.stats().retries == 1);
    CHECK(plane.holder.stats().lateAnswersDropped == 1);
}

TEST_CASE("a grant that was delayed in transit is returned and the request is queued again")
{
    RequestPlane plane;
    plane.holder.onSubmit(plane.submission(15, true), plane.clock.now());
    for (auto& it : plane.holder.takeActions(plane.clock.now()))
        plane.leader.onTickets("e1", std::get<SendTickets>(it).batch, plane.clock.now());
    const auto late = plane.leader.takeActions(plane.clock.now());
    plane.clock.advance(Milliseconds(1'000));
    for (const auto& it : late)
        plane.holder.onGrants(std::get<SendGrants>(it).batch, plane.clock.now());
    CHECK(plane.takeActions<SendToExecutor>().empty());
    CHECK(plane.holder.stats().staleGrantsReturned == 1);
    plane.exchangeMessages();
    CHECK(plane.takeActions<SendToExecutor>().size() == 1);
}

TEST_CASE("a slot is assigned to one request at a time")
{
    RequestPlane plane;
    plane.submit(13, true);
    plane.submit(14, true);
    const auto first = plane.takeActions<SendToExecutor>();
    REQUIRE(first.size() == 1);
    CHECK(plane.leader.stats().waiting == 1);
    plane.holder.onExecutorResult({ first[0].attemptKey, CompleteAnswer {}, Milliseconds(3) }, plane.clock.now());
    plane.exchangeMessages();
    CHECK(plane.takeActions<SendToExecutor>().size() == 1);
}

} // namespace teasel
