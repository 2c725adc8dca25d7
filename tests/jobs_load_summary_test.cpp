// Which waiting work counts against a submission.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

class LoadFixture : public JobsFixture {
public:
    void announceTo(const std::string& id, const std::string& service, const std::string& label)
    {
        auto it = announcementOf(id);
        it.record.set_service(service);
        it.record.add_labels(label);
        it.record.mutable_capacity()->set_milli_cpus(32'000);
        it.record.mutable_capacity()->set_memory_mib(64'000);
        announce(std::move(it));
        answerRenewals({});
    }

    CallStatus submitTo(const std::string& prefix, uint64_t id, uint32_t tasks, const std::string& label = {})
    {
        auto job = request(id, tasks);
        job.mutable_steps(0)->set_required_label(label);
        job.mutable_steps(0)->mutable_need()->set_milli_cpus(5'900);
        job.mutable_steps(0)->set_estimate_ms(1'000 + id); // a later start than that of earlier jobs is early enough
        const auto handle = ++lastHandle;
        leader.onCall(handle, SubmitJob { "farm.example", prefix + jobIdText(id), "key", std::move(job) }, clock.now(),
            clock.wallNow());
        commitAndCollect();
        pass(Milliseconds(30)); // the load is summed up again
        return answerTo(handle)->status;
    }
};

} // namespace

// Guards against review/9 in admission: work that waits for few executors counted against the whole fleet.
TEST_CASE("work that waits for few executors does not refuse submissions that others can run")
{
    LoadFixture it;
    for (int n = 0; n < 12; ++n)
        it.announceTo("x" + std::to_string(n), "filling", n < 2 ? "b" : "a");
    for (uint64_t id = 1; id <= 6; ++id)
        REQUIRE(it.submitTo("/blend/", id, 60, "b") == CallStatus::Accepted);
    CHECK(it.submitTo("/blend/", 50, 2) == CallStatus::Accepted);
}

TEST_CASE("work that waits for one service does not refuse submissions to another one")
{
    LoadFixture it;
    auto next = it.state.configuration();
    next.set_version(2);
    auto& second = *next.add_queues();
    second = next.queues(0);
    second.set_name("label");
    second.set_path_prefix("/label/");
    second.set_service("printing");
    next.add_services()->set_name("printing");
    it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    for (int n = 0; n < 10; ++n)
        it.announceTo("x" + std::to_string(n), "filling", "a");
    for (int n = 0; n < 7; ++n)
        it.announceTo("p" + std::to_string(n), "printing", "a");
    uint64_t id = 1;
    while (id < 50 && it.submitTo("/blend/", id, 30) == CallStatus::Accepted)
        ++id;
    REQUIRE(id < 50); // the first service is full
    CHECK(it.submitTo("/label/", id, 30) == CallStatus::Accepted);
}
