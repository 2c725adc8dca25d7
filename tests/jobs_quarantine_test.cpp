// Faulty executors are kept out of use; executors that were given faulty tasks are not.
#include "jobs_fixture.h"

#include <functional>
#include <set>

using namespace teasel;

namespace {

constexpr Milliseconds step { 20 };

// Executors that answer at once. Runs take a time and end as the test says.
class Fleet {
public:
    using Fails = std::function<bool(const std::string& executor, uint64_t job)>;

    Fleet(size_t executors, Fails fails, Milliseconds runTime = Milliseconds(200))
        : m_fails(std::move(fails))
        , m_runTime(runTime)
    {
        for (size_t n = 1; n <= executors; ++n) {
            auto it = JobsFixture::announcementOf("x" + std::to_string(n));
            if (n == 1)
                it.record.add_labels("rare");
            m_executors[it.record.id()];
            jobs.announce(std::move(it));
        }
        pass(Milliseconds(100));
    }

    void changeLeader() { jobs.leader.onBecameLeader(++m_fence, jobs.clock.now(), jobs.clock.wallNow()); }

    void submitLabelled(uint64_t id)
    {
        auto request = JobsFixture::request(id, 1);
        request.mutable_steps(0)->set_required_label("rare");
        jobs.submit(std::move(request));
    }

    void submit(uint64_t id, uint32_t tasks, bool onePerExecutor = true, bool lasting = false)
    {
        auto request = JobsFixture::request(id, tasks);
        request.mutable_steps(0)->mutable_need()->set_milli_cpus(500);
        request.mutable_steps(0)->set_max_per_executor(onePerExecutor ? 1 : 0);
        request.mutable_steps(0)->set_lasting(lasting);
        jobs.submit(std::move(request));
    }

    void pass(Milliseconds time)
    {
        for (Milliseconds n { 0 }; n < time; n += step) {
            jobs.pass(step);
            while (const auto stop = jobs.takeOrder<StopRun>())
                jobs.answer(*stop, { OrderOutcome::Done });
            while (const auto start = jobs.takeOrder<StartRun>())
                begin(*start);
            for (auto& [id, it] : m_executors)
                list(id, it);
        }
    }

    // Returns the longest time without a run of the job until it has ended.
    Duration longestIdle(uint64_t job, Milliseconds limit)
    {
        Duration longest {};
        auto since = jobs.clock.now();
        for (Milliseconds n { 0 }; n < limit && !jobs.state.find(job)->hasEnded(); n += step) {
            pass(step);
            if (isRunning(job))
                since = jobs.clock.now();
            longest = std::max(longest, jobs.clock.now() - since);
        }
        return longest;
    }

    bool isRunning(uint64_t job) const
    {
        return std::any_of(m_executors.begin(), m_executors.end(), [&](const auto& it) {
            return std::any_of(it.second.runs.begin(), it.second.runs.end(),
                [&](const auto& run) { return run.first.step.job == job; });
        });
    }

    size_t usable() const { return jobs.leader.usableExecutors(jobs.clock.now()); }
    JobPhase phase(uint64_t job) const { return jobs.state.find(job)->phase; }

    JobsFixture jobs;
    std::map<std::string, size_t> starts; // by executor

private:
    struct Run {
        uint32_t run = 0;
        Instant endsAt {};
    };
    struct Executor {
        std::map<TaskKey, Run> runs;
        std::vector<EndedTask> ended;
    };

    void begin(const SendOrder& order)
    {
        const auto& start = std::get<StartRun>(order.order);
        ++starts[order.executorId];
        m_executors[order.executorId].runs[start.task] = { start.run, jobs.clock.now() + m_runTime };
        jobs.answer(order, { OrderOutcome::Done });
    }

    void list(const std::string& id, Executor& executor)
    {
        std::erase_if(executor.runs, [&](const auto& it) {
            if (jobs.clock.now() < it.second.endsAt)
                return false;
            const auto outcome = m_fails(id, it.first.step.job) ? schema::RUN_OUTCOME_FAILED : schema::RUN_OUTCOME_DONE;
            executor.ended.push_back({ executor.ended.size() + 1, it.first, it.second.run, outcome, {} });
            return true;
        });
        std::vector<RunningTask> running;
        for (const auto& [task, run] : executor.runs)
            running.push_back({ task, run.run, {}, 0, -1 });
        while (const auto renewal = jobs.takeOrder<RenewLease>(id))
            jobs.answer(*renewal, { OrderOutcome::Done, 0, 0, running, executor.ended, true });
    }

    Fails m_fails;
    Milliseconds m_runTime;
    uint64_t m_fence = 1;
    std::map<std::string, Executor> m_executors;
};

constexpr uint64_t firstHopeless = 100;
constexpr uint64_t sound = 10;

bool isHopeless(uint64_t job) { return job >= firstHopeless; }

} // namespace

// Guards against a service without usable executors for 16 s at a time (LOST, review/15).
TEST_CASE("submissions that can never be done put no executor out of use")
{
    bool hasNewLeader = false;
    SUBCASE("under one leader") { }
    SUBCASE("around a change of leaders") { hasNewLeader = true; }
    for (const size_t executors : { 1, 2, 4, 8 }) {
        CAPTURE(executors);
        Fleet it(executors, [](const auto&, uint64_t job) { return isHopeless(job); });
        for (uint64_t n = 0; n < 7; ++n)
            it.submit(firstHopeless + n, static_cast<uint32_t>(executors));
        it.pass(Milliseconds(300));
        if (hasNewLeader)
            it.changeLeader();
        it.pass(Milliseconds(200));
        for (uint64_t n = 0; n < 3; ++n)
            it.submit(sound + n, static_cast<uint32_t>(executors));
        CHECK(it.longestIdle(sound, Milliseconds(30'000)) < Milliseconds(1'000));
        it.pass(Milliseconds(1'000));
        for (uint64_t n = 0; n < 3; ++n)
            CHECK(it.phase(sound + n) == JobPhase::Completed);
        for (uint64_t n = 0; n < 7; ++n)
            CHECK(it.phase(firstHopeless + n) == JobPhase::Failed);
    }
}

// Guards against tasks that last and are not restarted while all executors are in quarantine (LOST, review/3).
TEST_CASE("tasks that last and fail now and then are restarted at once")
{
    constexpr uint64_t jobs = 6;
    Fleet it(
        2, [](const auto&, uint64_t) { return true; }, Milliseconds(3'000));
    for (uint64_t n = 0; n < jobs; ++n)
        it.submit(sound + n, 1, false, true);
    it.pass(Milliseconds(100));
    std::map<uint64_t, Instant> lastRuns;
    for (Milliseconds time { 0 }; time < Milliseconds(60'000); time += step) {
        it.pass(step);
        for (uint64_t job = sound; job < sound + jobs; ++job) {
            if (it.isRunning(job) || time == Milliseconds(0))
                lastRuns[job] = it.jobs.clock.now();
            REQUIRE(it.jobs.clock.now() - lastRuns[job] < Milliseconds(1'000));
        }
    }
}

// Guards against an executor that fails all that it starts and stays in use.
TEST_CASE("executors that fail all that they start are put into quarantine, and no others")
{
    std::set<std::string> faulty { "x1" };
    uint32_t tasks = 4;
    bool isWide = false;
    SUBCASE("one") { }
    SUBCASE("two") { faulty.insert("x2"); }
    SUBCASE("two, under steps that use all executors")
    {
        faulty.insert("x2");
        tasks = 8;
        isWide = true;
    }
    Fleet it(8, [&](const auto& executor, uint64_t) { return faulty.contains(executor); });
    constexpr uint64_t firstJobs = 7; // which show that they are faulty
    uint64_t job = 0;
    while (job < firstJobs)
        it.submit(++job, tasks, isWide);
    it.pass(Milliseconds(1'000));
    const auto before = it.starts;
    while (job < 30) {
        it.submit(++job, 4, false);
        it.pass(Milliseconds(100));
    }
    for (const auto& id : faulty)
        CHECK(it.starts[id] == before.at(id));
    CHECK(it.usable() == 8 - faulty.size());
    it.pass(Milliseconds(2'000));
    for (; job > firstJobs; --job)
        CHECK(it.phase(job) == JobPhase::Completed);
    it.pass(Milliseconds(20'000));
    CHECK(it.usable() == 8);
}

// Guards against executors that are out of use for longer because runs from before their quarantine go on failing.
TEST_CASE("runs that were started before a quarantine do not extend it")
{
    Fleet it(8, [](const auto& executor, uint64_t) { return executor == "x1"; });
    for (uint64_t job = 1; job <= 10; ++job) {
        it.submit(job, 2, false);
        it.pass(step);
    }
    it.pass(Milliseconds(600));
    CHECK(it.usable() == 7);
    it.pass(Milliseconds(4'000));
    CHECK(it.usable() == 8);
}

// Guards against a service that loses its last usable executors while the others are in quarantine.
TEST_CASE("a quarantine ends when no other executor is left for what waits")
{
    Fleet it(2, [](const auto& executor, uint64_t) { return executor == "x1"; });
    for (uint64_t job = 1; job <= 6; ++job)
        it.submit(job, 2, false);
    it.pass(Milliseconds(600));
    CHECK(it.usable() == 1);
    it.jobs.announce("x2", 1, 2, true);
    it.pass(Milliseconds(100));
    CHECK(it.usable() == 0);
    it.submit(sound, 1);
    it.pass(Milliseconds(200));
    CHECK(it.usable() == 1);
}

// Guards against work that only one executor may run and that waits for its quarantine.
TEST_CASE("a quarantine ends when work waits that no other executor may run")
{
    Fleet it(8, [](const auto& executor, uint64_t) { return executor == "x1"; });
    for (uint64_t job = 1; job <= 7; ++job)
        it.submit(job, 2, false);
    it.pass(Milliseconds(600));
    CHECK(it.usable() == 7);
    it.submit(sound, 1, false);
    it.pass(Milliseconds(200));
    CHECK(it.usable() == 7);
    it.submitLabelled(sound + 1);
    it.pass(Milliseconds(100));
    CHECK(it.usable() == 8);
    CHECK(it.isRunning(sound + 1));
}
