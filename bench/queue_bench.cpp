// Measures the cost of a queue decision: one request ends, another arrives and one is granted.
#include "bench/request_fleet.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ctime>

namespace teasel::bench {

namespace {

    // CPU time of this thread, which does not include time used by other programs on the machine.
    double threadCpuUs()
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
    }

    struct Figures {
        double perSecond = 0; // decisions per second of CPU time
        double p99Us = 0;
        double meanUs = 0;
    };

    // Simulates a fully loaded data centre with a constant number of waiting requests, including message handling.
    class SteadyQueue {
    public:
        SteadyQueue(uint32_t teams, uint32_t waiting)
            : m_teams(teams)
            , m_leader(DispatchOptions { .dataCentre = "a", .members = { "h" }, .defaultMaxWaitingPerTeam = 1'000'000 },
                  m_names)
        {
            m_leader.onBecameLeader(1, m_clock.now());
            std::vector<TeamPolicy> policies;
            for (TeamId id = 1; id <= teams; ++id)
                policies.push_back({ id, 1.0 + id % 4, 100'000 });
            m_leader.onTeams(policies, m_clock.now());
            const std::vector<ClassPolicy> classes { { "c0", 0, 1'000'000 }, { "c1", 1, 1'000'000 },
                { "c2", 2, 1'000'000 } };
            m_leader.onClasses(classes, m_clock.now());
            schema::TicketBatch batch;
            batch.set_full(true);
            exchange(batch);
            announce();
            batch.Clear();
            for (uint32_t n = 0; n < waiting + slots; ++n)
                addTicket(batch);
            exchange(batch);
        }

        Figures measure(uint32_t decisions)
        {
            std::vector<double> times;
            times.reserve(decisions);
            double total = 0;
            std::vector<schema::TicketBatch> batches(batchCount);
            for (uint32_t n = 0; n < decisions; n += batchCount) {
                for (auto& it : batches)
                    prepare(it);
                const double startedAt = threadCpuUs();
                if (n % announceInterval == 0)
                    announce();
                for (auto& it : batches)
                    times.push_back(decide(it));
                m_leader.onTick(m_clock.now());
                total += threadCpuUs() - startedAt;
            }
            return { decisions / total * 1e6, percentile(times, 0.99), total / decisions };
        }

    private:
        static constexpr uint32_t batchCount = 200;
        static constexpr uint32_t announceInterval = 100'000; // in decisions; half a second of simulated time
        static constexpr uint32_t executors = 50;
        static constexpr uint32_t slotsPerExecutor = 8;
        static constexpr uint32_t slots = executors * slotsPerExecutor;

        // Fills `batch` with the end of one request and the arrival of another.
        void prepare(schema::TicketBatch& batch)
        {
            batch.Clear();
            addTicket(batch);
            auto* end = batch.add_ends();
            end->set_sequence(m_running.front());
            end->set_attempt(1);
            end->set_service_us(2'000);
            m_running.pop_front();
        }

        // Returns the elapsed time in microseconds.
        double decide(schema::TicketBatch& batch)
        {
            m_clock.advance(Duration(5));
            const auto startedAt = std::chrono::steady_clock::now();
            exchange(batch);
            const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - startedAt;
            return elapsed.count();
        }

        void addTicket(schema::TicketBatch& batch)
        {
            auto* ticket = batch.add_tickets();
            ticket->set_sequence(m_sequence++);
            ticket->set_attempt(1);
            ticket->set_team_id(1 + static_cast<TeamId>(m_random.below(m_teams)));
            ticket->set_class_name(classNames[m_random.below(3)]);
            ticket->set_deadline_left_ms(3'000'000 + m_random.below(600'000));
        }

        void exchange(schema::TicketBatch& batch)
        {
            batch.set_epoch(1);
            batch.set_batch(++m_batch);
            batch.set_holder_incarnation(1);
            batch.set_acknowledged_grants(m_lastGrantBatch);
            batch.set_holder_up_ms(3'600'000);
            m_leader.onTickets("h", batch, m_clock.now());
            for (const auto& it : m_leader.takeActions(m_clock.now())) {
                const auto& grants = std::get<SendGrants>(it).batch;
                m_lastGrantBatch = grants.batch();
                for (const auto& grant : grants.grants())
                    m_running.push_back(grant.sequence());
            }
        }

        void announce()
        {
            for (uint32_t n = 0; n < executors; ++n) {
                schema::ExecutorAnnounce message;
                message.set_name(fmt::format("x{}", n));
                message.set_incarnation(1);
                message.set_slots(slotsPerExecutor);
                message.set_connections(64);
                m_leader.onAnnounce(message, m_clock.now());
            }
        }

        static constexpr const char* classNames[] = { "c0", "c1", "c2" };

        uint32_t m_teams;
        ManualClock m_clock;
        NameTable m_names;
        DispatchLeader m_leader;
        Random m_random { 6 };
        std::deque<uint64_t> m_running;
        uint64_t m_sequence = 1;
        uint64_t m_batch = 0;
        uint64_t m_lastGrantBatch = 0;
    };

    constexpr uint32_t decisions = 300'000;

    Figures measure(uint32_t teams, uint32_t waiting) { return SteadyQueue(teams, waiting).measure(decisions); }

    // Returns the lowest cost of several runs, because other programs on the machine can only increase it.
    double minMeanCost(uint32_t teams, uint32_t waiting)
    {
        double minCost = measure(teams, waiting).meanUs;
        for (int n = 0; n < 2; ++n)
            minCost = std::min(minCost, measure(teams, waiting).meanUs);
        return minCost;
    }

    // Reports how much the cost grows with a count; the bound is the growth of the count's logarithm.
    bool reportGrowth(const std::string& name, double small, double large, double smallCount, double largeCount)
    {
        const double maxGrowth = std::log2(largeCount) / std::log2(smallCount);
        return report("queue", name, large / small, "times", maxGrowth, true);
    }

} // namespace

} // namespace teasel::bench

int main()
{
    using namespace teasel::bench;
    const auto figures = measure(140, 10'000);
    bool passed = report("queue", "decisions_per_second", figures.perSecond, "1/s", 200'000, false);
    passed &= report("queue", "decision_p99", figures.p99Us, "us", 100, true);
    passed &= reportGrowth(
        "cost_growth_waiting_1k_to_100k", minMeanCost(140, 1'000), minMeanCost(140, 100'000), 1'000, 100'000);
    passed
        &= reportGrowth("cost_growth_teams_14_to_1400", minMeanCost(14, 10'000), minMeanCost(1'400, 10'000), 14, 1'400);
    return passed ? 0 : 1;
}
