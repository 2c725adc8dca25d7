// The size of the records that the job plane's leader proposes.
#include "consensus/replica_options.h"
#include "jobs_fixture.h"

using namespace teasel;

namespace {

// A configuration whose change has about this many bytes.
schema::JobConfiguration configurationOf(const JobsFixture& it, uint64_t version, size_t bytes)
{
    auto out = it.state.configuration();
    out.set_version(version);
    out.set_document(std::string(bytes, 'd'));
    return out;
}

uint64_t put(JobsFixture& it, uint64_t version, size_t bytes)
{
    it.leader.onCall(
        ++it.lastHandle, PutConfiguration { configurationOf(it, version, bytes) }, it.clock.now(), it.clock.wallNow());
    return it.lastHandle;
}

// Commits what is proposed until nothing is left; returns the largest command.
size_t commitAll(JobsFixture& it)
{
    size_t largest = 0;
    size_t before = 0;
    do {
        before = it.answers.size();
        it.leader.finishBatch(it.clock.now(), it.clock.wallNow());
        std::vector<ProposeJobs> proposals;
        for (auto& action : it.leader.takeActions()) {
            if (auto* propose = std::get_if<ProposeJobs>(&action))
                proposals.push_back(std::move(*propose));
            else if (auto* answer = std::get_if<AnswerCall>(&action))
                it.answers.push_back(std::move(*answer));
        }
        CHECK(proposals.size() <= JobLeaderOptions().maxProposalsInFlight);
        for (const auto& propose : proposals) {
            const auto command = propose.command.SerializeAsString();
            largest = std::max(largest, command.size());
            it.state.apply(0, command);
            it.leader.onCommitted(propose.ticket, it.clock.now());
        }
        for (auto& action : it.leader.takeActions()) {
            if (auto* answer = std::get_if<AnswerCall>(&action))
                it.answers.push_back(std::move(*answer));
        }
    } while (it.answers.size() > before);
    return largest;
}

} // namespace

// Guards against review/6: one record of all that waits, which no message can hold.
TEST_CASE("changes of large configurations at once become records that can be replicated")
{
    JobsFixture it;
    constexpr size_t documentBytes = 1'400'000;
    std::vector<uint64_t> handles;
    for (uint64_t version = 2; version < 10; ++version)
        handles.push_back(put(it, version, documentBytes));
    const auto largest = commitAll(it);
    CHECK(largest <= defaultMaxBatchBytes + documentBytes + 10'000);
    CHECK(largest <= defaultMaxCommandBytes);
    for (const auto handle : handles) {
        REQUIRE(it.answerTo(handle));
        CHECK(it.answerTo(handle)->status == CallStatus::Ok);
    }
    CHECK(it.state.configuration().version() == 9);
}

TEST_CASE("a configuration is not acknowledged before the record that holds it is committed")
{
    JobsFixture it;
    const auto first = put(it, 2, defaultMaxBatchBytes);
    const auto second = put(it, 3, defaultMaxBatchBytes);
    const auto repeated = put(it, 3, defaultMaxBatchBytes); // depends on the record of the second
    it.leader.finishBatch(it.clock.now(), it.clock.wallNow());
    std::vector<ProposeJobs> proposals;
    for (auto& action : it.leader.takeActions()) {
        REQUIRE(!std::holds_alternative<AnswerCall>(action));
        if (auto* propose = std::get_if<ProposeJobs>(&action))
            proposals.push_back(std::move(*propose));
    }
    REQUIRE(proposals.size() == 2);
    it.state.apply(0, proposals[0].command.SerializeAsString());
    it.leader.onCommitted(proposals[0].ticket, it.clock.now());
    it.commitAndCollect();
    CHECK(it.answerTo(first));
    CHECK(!it.answerTo(second));
    CHECK(!it.answerTo(repeated));
    it.state.apply(0, proposals[1].command.SerializeAsString());
    it.leader.onCommitted(proposals[1].ticket, it.clock.now());
    it.commitAndCollect();
    CHECK(it.answerTo(second));
    CHECK(it.answerTo(repeated));
}

// Guards against a change that is accepted for the log and can never be sent.
TEST_CASE("a configuration that no record can hold is refused at once")
{
    JobsFixture it;
    const auto handle = put(it, 2, defaultMaxChangeBytes + 1);
    it.commitAndCollect();
    REQUIRE(it.answerTo(handle));
    CHECK(it.answerTo(handle)->status == CallStatus::TooLarge);
    const auto next = put(it, 2, 100);
    it.commitAndCollect();
    CHECK(it.answerTo(next)->status == CallStatus::Ok);
}

TEST_CASE("with too much waiting for the log, changes are refused without an effect, and accepted again later")
{
    JobsFixture it;
    constexpr size_t documentBytes = 4'000'000;
    std::vector<uint64_t> handles;
    for (uint64_t version = 2; version < 20; ++version)
        handles.push_back(put(it, version, documentBytes));
    const auto job = ++it.lastHandle;
    it.leader.onCall(job, SubmitJob { "farm.example", "/blend/0000000000000007", "key", JobsFixture::request(7, 1) },
        it.clock.now(), it.clock.wallNow());
    commitAll(it);
    size_t accepted = 0;
    for (const auto handle : handles) {
        REQUIRE(it.answerTo(handle));
        const auto status = it.answerTo(handle)->status;
        CHECK((status == CallStatus::Ok || status == CallStatus::Unavailable));
        accepted += status == CallStatus::Ok ? 1 : 0;
    }
    CHECK(accepted >= 2);
    CHECK(accepted * documentBytes <= JobLeaderOptions().maxBacklogBytes + 2 * defaultMaxChangeBytes);
    CHECK(it.answerTo(job)->status == CallStatus::Refused);
    CHECK(it.state.find(7) == nullptr);
    const auto again = put(it, 30, documentBytes);
    commitAll(it);
    CHECK(it.answerTo(again)->status == CallStatus::Ok);
}
