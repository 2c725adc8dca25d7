// What the replicated state keeps of earlier configurations.
#include "jobs/job_state.h"

#include <doctest/doctest.h>

#include <string>

using namespace teasel;

namespace {

constexpr uint64_t jobId = 7;
constexpr uint64_t retentionMs = 10'000;

void applyAt(JobState& state, uint64_t wallMs, const schema::JobChange& change)
{
    schema::JobCommand command;
    command.set_wall_ms(wallMs);
    *command.add_changes() = change;
    state.apply(0, command.SerializeAsString());
}

// A configuration with one queue that is named by its version.
schema::JobChange configurationOf(uint64_t version)
{
    schema::JobChange change;
    change.mutable_configuration()->set_version(version);
    change.mutable_configuration()->add_queues()->set_host("queue-" + std::to_string(version));
    return change;
}

schema::JobChange jobOf(const std::string& queue)
{
    schema::JobChange change;
    change.mutable_accepted()->set_id(jobId);
    change.mutable_accepted()->set_queue(queue);
    change.mutable_accepted()->add_steps()->set_count(1);
    return change;
}

} // namespace

// Guards against a state, and so snapshots, that grow with every route that ever existed.
TEST_CASE("removed queues are forgotten, but not while jobs may still need them")
{
    JobState state { Milliseconds(retentionMs) };
    applyAt(state, 1, configurationOf(1));
    applyAt(state, 2, configurationOf(2));
    applyAt(state, 3, jobOf("queue-1")); // submitted before its queue was removed
    for (uint64_t version = 3; version <= 200; ++version)
        applyAt(state, version * 1'000, configurationOf(version));
    CHECK(state.knownQueues() <= retentionMs / 1'000 + 3);
    REQUIRE(state.queueOf("queue-1") != nullptr);
    CHECK(state.queueOf("queue-2") == nullptr);
    JobState restored { Milliseconds(retentionMs) };
    REQUIRE(restored.restore(state.snapshot()));
    CHECK(restored.knownQueues() == state.knownQueues());
    CHECK(restored.snapshot() == state.snapshot());
    for (auto* it : { &state, &restored }) {
        schema::JobChange cancelled;
        cancelled.set_cancelled(jobId);
        applyAt(*it, 201'000, cancelled);
        applyAt(*it, 202'000, configurationOf(202));
        CHECK(it->queueOf("queue-1") == nullptr);
        CHECK(it->queueOf("queue-202") != nullptr);
    }
    CHECK(restored.knownQueues() == state.knownQueues());
}
