// Steps that few executors may run, and the advice that other steps get.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

class RestrictedFixture : public JobsFixture {
public:
    RestrictedFixture()
        : JobsFixture(true)
    {
        // Another queue that is less urgent, and another team.
        configuration = state.configuration();
        configuration.set_version(2);
        auto& plain = *configuration.add_queues();
        plain = configuration.queues(0);
        plain.set_name("plain");
        plain.set_path_prefix("/plain/");
        plain.set_priority(1);
        auto& second = *configuration.add_teams();
        second.set_name("mill");
        second.add_keys("key-2");
        second.set_weight(100);
        put();
        for (int n = 0; n < 12; ++n)
            announceTo("x" + std::to_string(n), n < 2 ? "b" : "a");
    }

    void announceTo(const std::string& id, const std::string& label)
    {
        auto it = announcementOf(id);
        it.record.add_labels(label);
        it.record.mutable_capacity()->set_milli_cpus(32'000);
        it.record.mutable_capacity()->set_memory_mib(128'000);
        announce(std::move(it));
        answerRenewals({});
    }

    // Puts the configuration in force.
    void put()
    {
        leader.onCall(++lastHandle, PutConfiguration { configuration }, clock.now(), clock.wallNow());
        commitAndCollect();
        REQUIRE(answerTo(lastHandle)->status == CallStatus::Ok);
    }

    // Submits to the urgent queue of the first team.
    void submitUrgent(uint64_t id, uint32_t tasks, uint32_t milliCpus, const std::string& label)
    {
        auto job = request(id, tasks);
        job.mutable_steps(0)->set_required_label(label);
        job.mutable_steps(0)->set_estimate_ms(8'000);
        job.mutable_steps(0)->mutable_need()->set_milli_cpus(milliCpus);
        submit(std::move(job));
        REQUIRE(answerTo(lastHandle)->status == CallStatus::Accepted);
    }

    // Submits a small job of the second team to the other queue.
    void submitPlain(uint64_t id)
    {
        leader.onCall(++lastHandle, SubmitJob { "farm.example", "/plain/" + jobIdText(id), "key-2", request(id, 2) },
            clock.now(), clock.wallNow());
        commitAndCollect();
        REQUIRE(answerTo(lastHandle)->status == CallStatus::Accepted);
    }

    schema::JobConfiguration configuration;

    // Lets executors carry out their orders and answers all calls for advice with every executor that they name.
    // Returns the jobs that were asked about.
    std::vector<uint64_t> run(Milliseconds time)
    {
        std::vector<uint64_t> out;
        constexpr Milliseconds step { 10 };
        for (Milliseconds n { 0 }; n < time; n += step) {
            pass(step);
            executeOrders();
            for (const auto& it : std::exchange(adviceRequests, {})) {
                std::vector<std::pair<std::string, std::string>> granted;
                for (const auto& executor : it.executors)
                    granted.emplace_back(executor, "ticket");
                leader.onAdvice(it.number, true, granted, clock.now());
                commitAndCollect();
                out.push_back(it.step.job);
            }
        }
        return out;
    }

private:
    void executeOrders()
    {
        std::vector<SendOrder> due;
        std::erase_if(orders, [&](const auto& it) {
            const auto* renewal = std::get_if<RenewLease>(&it.order);
            const bool isDue = renewal == nullptr || clock.now() - sentAt[it.number] >= renewal->wait;
            if (isDue)
                due.push_back(it);
            return isDue;
        });
        for (const auto& it : due) {
            auto& running = m_runs[it.executorId];
            if (const auto* start = std::get_if<StartRun>(&it.order))
                running.push_back({ start->task, start->run, {} });
            if (std::holds_alternative<RenewLease>(it.order))
                answer(it, { OrderOutcome::Done, 0, 0, running, {}, true });
            else
                answer(it, { OrderOutcome::Done });
        }
    }

    std::map<std::string, std::vector<RunningTask>> m_runs;
};

} // namespace

// Guards against review/9: the waiting need of a step was counted against the whole fleet.
TEST_CASE("a step that any executor may run gets advice while urgent steps wait for few executors")
{
    RestrictedFixture it;
    it.submitUrgent(1, 60, 5'900, "b");
    it.submitUrgent(2, 60, 5'900, "b");
    it.run(Milliseconds(1'000));
    it.submitPlain(3);
    const auto asked = it.run(Milliseconds(1'000));
    CHECK(std::find(asked.begin(), asked.end(), 3) != asked.end());
}
