// Copies of calls that an earlier leader has carried out without answering them.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

constexpr uint64_t job = 7;
const std::string path = "/blend/" + jobIdText(job);

schema::CallOrigin callFrom(const std::string& instance, uint64_t number)
{
    schema::CallOrigin out;
    out.set_instance(instance);
    out.set_incarnation(1);
    out.set_number(number);
    return out;
}

uint64_t submit(JobsFixture& it, const schema::CallOrigin& origin, const std::string& key = "key")
{
    it.leader.onCall(++it.lastHandle, SubmitJob { "farm.example", path, key, JobsFixture::request(job, 1), origin },
        it.clock.now(), it.clock.wallNow());
    return it.lastHandle;
}

uint64_t cancel(JobsFixture& it, const schema::CallOrigin& origin)
{
    it.leader.onCall(
        ++it.lastHandle, CancelJob { "farm.example", path, "key", job, origin }, it.clock.now(), it.clock.wallNow());
    return it.lastHandle;
}

CallStatus statusOf(JobsFixture& it, uint64_t handle)
{
    it.commitAndCollect();
    const auto answer = it.answerTo(handle);
    REQUIRE(answer);
    return answer->status;
}

// A configuration without the team's key, or without the queue.
void configure(JobsFixture& it, bool hasKey, bool hasQueue)
{
    auto next = it.state.configuration();
    next.set_version(next.version() + 1);
    if (!hasKey)
        next.mutable_teams(0)->set_keys(0, "another-key");
    if (!hasQueue)
        next.clear_queues();
    it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
}

void changeLeader(JobsFixture& it)
{
    it.leader.onLostLeadership();
    it.leader.onBecameLeader(2, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.answers.clear();
}

} // namespace

// Guards against a caller that is told 401 or 404 about a job that runs (REFUSED).
TEST_CASE("the next leader accepts a copy of an accepted submission whose key or queue has been removed")
{
    for (const bool isKeyRemoved : { true, false }) {
        JobsFixture it;
        submit(it, callFrom("front-1", 1));
        it.commitAndCollect();
        configure(it, !isKeyRemoved, isKeyRemoved);
        it.commitAndCollect();
        changeLeader(it);
        CHECK(statusOf(it, submit(it, callFrom("front-1", 1))) == CallStatus::Accepted);
        // A call that the caller sends now is a new one.
        const auto refusal = isKeyRemoved ? CallStatus::Unauthenticated : CallStatus::NoQueue;
        CHECK(statusOf(it, submit(it, callFrom("front-1", 2))) == refusal);
        CHECK(statusOf(it, submit(it, callFrom("front-2", 1))) == refusal);
        CHECK(statusOf(it, submit(it, {})) == refusal);
    }
}

// Guards against an answer that is lost, whose call the same leader judges again under a newer configuration.
TEST_CASE("the same leader accepts a copy of an accepted submission whose key has been removed")
{
    JobsFixture it;
    CHECK(statusOf(it, submit(it, callFrom("front-1", 1))) == CallStatus::Accepted);
    configure(it, false, true);
    it.commitAndCollect();
    CHECK(statusOf(it, submit(it, callFrom("front-1", 1))) == CallStatus::Accepted);
    CHECK(it.state.jobs().size() == 1);
}

TEST_CASE("a copy of a submission that is not committed yet waits for it, whatever the configuration says by then")
{
    JobsFixture it;
    configure(it, false, true);
    it.leader.finishBatch(it.clock.now(), it.clock.wallNow()); // the change is proposed, the submission follows it
    const auto first = submit(it, callFrom("front-1", 1));
    const auto proposals = it.leader.takeActions();
    it.leader.finishBatch(it.clock.now(), it.clock.wallNow());
    for (const auto& action : proposals) {
        if (const auto* proposal = std::get_if<ProposeJobs>(&action)) {
            it.state.apply(0, proposal->command.SerializeAsString());
            it.leader.onCommitted(proposal->ticket, it.clock.now());
        }
    }
    const auto copy = submit(it, callFrom("front-1", 1));
    const auto repetition = submit(it, callFrom("front-1", 2));
    CHECK(statusOf(it, first) == CallStatus::Accepted);
    CHECK(statusOf(it, copy) == CallStatus::Accepted);
    CHECK(statusOf(it, repetition) == CallStatus::Unauthenticated);
}

// Guards against a caller that is told that its job is stored, while the job with this id is another team's.
TEST_CASE("a submission with the id of another team's job is refused, unless its queue is open")
{
    for (const bool isOpen : { false, true }) {
        JobsFixture it;
        auto next = it.state.configuration();
        next.set_version(2);
        next.mutable_queues(0)->set_open(isOpen);
        auto& other = *next.add_teams();
        other.set_name("farm");
        other.add_keys("other-key");
        it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
        it.commitAndCollect();
        const auto expected = isOpen ? CallStatus::Accepted : CallStatus::Refused;
        const auto first = submit(it, callFrom("front-1", 1));
        const auto beforeCommit = submit(it, callFrom("front-1", 2), "other-key");
        CHECK(statusOf(it, first) == CallStatus::Accepted);
        CHECK(statusOf(it, beforeCommit) == expected);
        CHECK(statusOf(it, submit(it, callFrom("front-1", 3), "other-key")) == expected);
        CHECK(statusOf(it, submit(it, callFrom("front-1", 4))) == CallStatus::Accepted);
        CHECK(it.state.find(job)->request.team() == "orchard");
    }
}

TEST_CASE("the origin of a submission and of a cancellation survives a snapshot")
{
    JobsFixture it;
    submit(it, callFrom("front-1", 1));
    it.commitAndCollect();
    cancel(it, callFrom("front-2", 5));
    it.commitAndCollect();
    JobState restored { Milliseconds(600'000) };
    const auto snapshot = it.state.snapshot();
    REQUIRE(std::holds_alternative<std::monostate>(valueOrError([&] { return restored.restore(snapshot); })));
    CHECK(isSameCall(restored.find(job)->request.submitted_by(), callFrom("front-1", 1)));
    CHECK(isSameCall(restored.find(job)->cancelledBy, callFrom("front-2", 5)));
}

// Guards against a caller that is told 401 about a cancellation that took effect: its job is then shown as cancelled
// without cause.
TEST_CASE("the next leader confirms a copy of a cancellation whose key or queue has been removed")
{
    for (const bool isKeyRemoved : { true, false }) {
        JobsFixture it;
        submit(it, callFrom("front-1", 1));
        it.commitAndCollect();
        cancel(it, callFrom("front-1", 2));
        it.commitAndCollect();
        configure(it, !isKeyRemoved, isKeyRemoved);
        it.commitAndCollect();
        changeLeader(it);
        CHECK(statusOf(it, cancel(it, callFrom("front-1", 2))) == CallStatus::Ok);
        CHECK(statusOf(it, cancel(it, callFrom("front-1", 3)))
            == (isKeyRemoved ? CallStatus::Unauthenticated : CallStatus::NoQueue));
    }
}

TEST_CASE("unknown origins are not the same call")
{
    CHECK(!isSameCall({}, {}));
    CHECK(isSameCall(callFrom("front-1", 1), callFrom("front-1", 1)));
    auto later = callFrom("front-1", 1);
    later.set_incarnation(2);
    CHECK(!isSameCall(callFrom("front-1", 1), later));
}
