// Changes of the configuration while steps wait, are assigned, or run.
#include "jobs_fixture.h"

#include "jobs/advice_planner.h"

#include <functional>

using namespace teasel;

namespace {

class ConfigurationFixture : public JobsFixture {
public:
    explicit ConfigurationFixture(bool needsTickets = false)
        : JobsFixture(needsTickets, options())
    {
    }

    static JobLeaderOptions options()
    {
        auto out = defaultOptions();
        out.regions = { { "zone-n", "north" }, { "zone-s", "south" } };
        return out;
    }

    void announceTo(const std::string& id, const std::string& service, const std::string& zone = "zone-n")
    {
        auto it = announcementOf(id);
        it.record.set_service(service);
        it.record.set_zone(zone);
        announce(std::move(it));
        answerRenewals({});
    }

    // Proposes the next configuration with a changed queue "blend" and does not commit it.
    void proposeQueue(const std::function<void(schema::JobQueue&)>& change)
    {
        auto next = m_configuration;
        if (next.version() == 0)
            next = state.configuration();
        next.set_version(next.version() + 1);
        change(*next.mutable_queues(0));
        m_configuration = next;
        leader.onCall(++lastHandle, PutConfiguration { next }, clock.now(), clock.wallNow());
    }

    void changeQueue(const std::function<void(schema::JobQueue&)>& change)
    {
        proposeQueue(change);
        commitAndCollect();
        REQUIRE(answerTo(lastHandle)->status == CallStatus::Ok);
    }

    void moveTo(const std::string& service)
    {
        changeQueue([&](schema::JobQueue& it) { it.set_service(service); });
    }

    // Lets the leader plan, and returns the executors of the starts that it sends.
    std::vector<std::string> starts(Milliseconds time = Milliseconds(300))
    {
        std::vector<std::string> out;
        passWithRenewals(time);
        while (auto order = takeOrder<StartRun>())
            out.push_back(order->executorId);
        return out;
    }

private:
    schema::JobConfiguration m_configuration;
};

using Executors = std::vector<std::string>;

} // namespace

// Guards against review/8: a waiting step that keeps what its queue was when it became ready.
TEST_CASE("a waiting step starts at the service that its queue is sent to, also after two changes")
{
    ConfigurationFixture it;
    it.announceTo("other", "printing");
    it.submit(JobsFixture::request(1, 1));
    CHECK(it.starts().empty());
    it.moveTo("third");
    CHECK(it.starts().empty());
    it.moveTo("printing");
    CHECK(it.starts() == Executors { "other" });
}

TEST_CASE("a step that waits again after the change starts at the new service")
{
    ConfigurationFixture it;
    it.announceTo("former", "filling");
    it.submit(JobsFixture::request(1, 1));
    it.passWithRenewals(Milliseconds(100));
    const auto order = it.takeOrder<StartRun>("former");
    REQUIRE(order);
    it.answer(*order, { OrderOutcome::Done });
    const auto& start = std::get<StartRun>(order->order);
    it.moveTo("printing");
    it.announceTo("other", "printing");
    CHECK(it.starts().empty()); // the run goes on
    it.answerRenewals({}, { { 1, start.task, start.run, schema::RUN_OUTCOME_FAILED, {} } });
    CHECK(it.starts() == Executors { "other" });
}

TEST_CASE("an assignment that is not committed at the change is not started at the former service")
{
    ConfigurationFixture it;
    it.announceTo("former", "filling");
    it.announceTo("other", "printing");
    // The job is accepted; the leader plans its start when the change is proposed and not yet in force.
    it.leader.onCall(++it.lastHandle,
        SubmitJob { "farm.example", "/blend/0000000000000001", "key", JobsFixture::request(1, 1) }, it.clock.now(),
        it.clock.wallNow());
    it.leader.finishBatch(it.clock.now(), it.clock.wallNow());
    for (auto& action : it.leader.takeActions()) {
        if (auto* propose = std::get_if<ProposeJobs>(&action)) {
            it.state.apply(0, propose->command.SerializeAsString());
            it.leader.onCommitted(propose->ticket, it.clock.now());
        }
    }
    it.proposeQueue([](schema::JobQueue& queue) { queue.set_service("printing"); });
    it.commitAndCollect();
    CHECK(it.state.find(TaskKey { { 1, 0, 0 }, 0 })->run > 0);
    CHECK(it.starts() == Executors { "other" });
}

TEST_CASE("a recommendation that is added or taken away holds for waiting steps")
{
    ConfigurationFixture it;
    it.submit(JobsFixture::request(1, 1));
    it.changeQueue([](schema::JobQueue& queue) {
        queue.mutable_advice()->set_base_ms(20);
        queue.mutable_advice()->set_ticket_valid_ms(2'000);
    });
    it.announceTo("a", "filling");
    CHECK(it.starts().empty());
    CHECK(!it.adviceRequests.empty());
    it.changeQueue([](schema::JobQueue& queue) { queue.clear_advice(); });
    CHECK(it.starts() == Executors { "a" });
}

TEST_CASE("the regions of a queue hold for waiting steps")
{
    ConfigurationFixture it;
    it.submit(JobsFixture::request(1, 1));
    it.changeQueue([](schema::JobQueue& queue) { queue.add_allowed_regions("south"); });
    it.announceTo("n", "filling", "zone-n");
    CHECK(it.starts().empty());
    it.announceTo("s", "filling", "zone-s");
    CHECK(it.starts() == Executors { "s" });
}

TEST_CASE("the objective and the priority of a queue hold for waiting steps")
{
    ConfigurationFixture it;
    // Two queues, of which the second is more urgent only after the change.
    auto next = it.state.configuration();
    next.set_version(2);
    next.mutable_queues(0)->set_priority(1);
    auto& second = *next.add_queues();
    second = next.queues(0);
    second.set_name("label");
    second.set_path_prefix("/label/");
    second.set_priority(2);
    second.set_slack_factor(100);
    it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.submit(JobsFixture::request(1, 4));
    it.leader.onCall(++it.lastHandle,
        SubmitJob { "farm.example", "/label/0000000000000002", "key", JobsFixture::request(2, 4) }, it.clock.now(),
        it.clock.wallNow());
    it.commitAndCollect();
    next.set_version(3);
    next.mutable_queues(1)->set_priority(0);
    it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.announceTo("a", "filling"); // has room for four tasks
    it.passWithRenewals(Milliseconds(200));
    std::vector<uint64_t> jobs;
    while (auto order = it.takeOrder<StartRun>())
        jobs.push_back(std::get<StartRun>(order->order).task.step.job);
    CHECK(jobs == std::vector<uint64_t> { 2, 2, 2, 2 });
}

TEST_CASE("the jobs of a dropped queue still run, at the service that it had")
{
    ConfigurationFixture it;
    it.submit(JobsFixture::request(1, 1));
    auto next = it.state.configuration();
    next.set_version(2);
    next.clear_queues();
    it.leader.onCall(++it.lastHandle, PutConfiguration { next }, it.clock.now(), it.clock.wallNow());
    it.commitAndCollect();
    it.announceTo("a", "filling");
    CHECK(it.starts() == Executors { "a" });
}

// Guards against tickets of the former service that count as room for the step.
TEST_CASE("a step whose tickets are for a former service asks about the executors of the new one")
{
    ConfigurationFixture it(true);
    it.announceTo("former", "filling");
    it.announceTo("other", "printing");
    it.submit(JobsFixture::request(1, 1));
    it.passWithRenewals(Milliseconds(50));
    REQUIRE(it.adviceRequests.size() == 1);
    // The ticket is granted in the moment of the change, so that it is valid and not used.
    it.proposeQueue([](schema::JobQueue& queue) { queue.set_service("printing"); });
    it.leader.onAdvice(it.adviceRequests[0].number, true, { { "former", "ticket" } }, it.clock.now());
    it.commitAndCollect();
    it.adviceRequests.clear();
    it.passWithRenewals(Milliseconds(500));
    REQUIRE(!it.adviceRequests.empty());
    CHECK(it.adviceRequests[0].executors == Executors { "other" });
    it.leader.onAdvice(it.adviceRequests[0].number, true, { { "other", "ticket" } }, it.clock.now());
    it.commitAndCollect();
    CHECK(it.starts() == Executors { "other" });
}
