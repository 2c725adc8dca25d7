// Measures the waiting time of the urgent class while two teams flood the fleet, and
// compares the selection of executors with random and round robin.
#include "bench/request_fleet.h"

#include <algorithm>
#include <cmath>

namespace teasel::bench {

namespace {

    constexpr double maxUrgentWaitMs = 50.0; // 99th percentile
    constexpr Milliseconds warmUpPeriod { 5'000 };
    constexpr Milliseconds measurementPeriod { 40'000 };
    constexpr double slots = 400; // in all data centres
    constexpr size_t floodBacklog = 500; // waiting requests of each flooding team in each data centre

    // The requests of one team and class.
    struct Stream {
        TeamId team;
        std::string className;
        double load; // mean number of used slots, as a fraction of all slots
        double serviceUs; // mean of an exponential distribution
        Milliseconds timeout;
        bool isFlood;
    };

    std::vector<Stream> streams()
    {
        std::vector<Stream> all;
        for (TeamId team = 3; team <= 6; ++team) {
            all.push_back({ team, "weigh-check", 0.025, 10'000, Milliseconds(2'000), false });
            all.push_back({ team, "label-run", 0.0875, 40'000, Milliseconds(30'000), false });
        }
        all.push_back({ 1, "label-run", 0.25, 40'000, Milliseconds(120'000), true });
        all.push_back({ 2, "batch-blend", 0.25, 200'000, Milliseconds(120'000), true });
        return all;
    }

    double exponential(Random& random, double mean) { return -mean * std::log(1.0 - random.unit()); }

    // Floods arrive in bursts: four times the mean rate for one second in every four, and nothing otherwise.
    double burstFactor(const Stream& it, Instant now)
    {
        const auto phase = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() % 4'000;
        return !it.isFlood ? 1.0 : phase < 1'000 ? 4.0 : 0.0;
    }

    // Returns the 99th percentile of the urgent class's waiting time, in ms.
    template <class Queue> double urgentWait(bool endlessFlood)
    {
        Random random(3);
        std::vector<TeamPolicy> teams;
        for (TeamId id = 1; id <= 6; ++id)
            teams.push_back({ id, id <= 2 ? 3.0 : 1.5, 1'000 });
        Fleet<Queue> fleet({ { "a", 13, 8 }, { "b", 13, 8 }, { "c", 12, 8 }, { "d", 12, 8 } }, teams,
            { { "weigh-check", 0, 100'000 }, { "label-run", 1, 100'000 }, { "batch-blend", 2, 100'000 } });
        const auto startedAt = fleet.now();
        std::vector<double> waits;
        const double step = static_cast<double>(Fleet<Queue>::stepLength.count());
        while (fleet.now() < startedAt + warmUpPeriod + measurementPeriod) {
            for (const auto& it : streams()) {
                if (it.isFlood && endlessFlood) {
                    for (size_t dataCentre = 0; dataCentre < fleet.size(); ++dataCentre) {
                        while (fleet.waiting(dataCentre, it.team) < floodBacklog)
                            fleet.submit(dataCentre, it.team, it.className,
                                Duration(static_cast<int64_t>(exponential(random, it.serviceUs))), it.timeout);
                    }
                    continue;
                }
                double expectedArrivals = it.load * slots / it.serviceUs * step * burstFactor(it, fleet.now());
                for (; expectedArrivals > 0 && random.unit() < expectedArrivals; expectedArrivals -= 1.0)
                    fleet.submit(random.below(fleet.size()), it.team, it.className,
                        Duration(1 + static_cast<int64_t>(exponential(random, it.serviceUs))), it.timeout);
            }
            const auto now = fleet.now();
            fleet.step(
                [&](const Job& job) {
                    if (job.className == "weigh-check" && now >= startedAt + warmUpPeriod)
                        waits.push_back(static_cast<double>((fleet.now() - job.arrivedAt).count()) / 1'000.0);
                },
                [&](const Job& job) {
                    if (job.className == "weigh-check")
                        waits.push_back(1e6); // a refusal counts as an unbounded wait
                });
        }
        return percentile(waits, 0.99);
    }

    // ---- Routing -------------------------------------------------------------

    enum class Rule : uint8_t {
        ExpectedCost = 0, // the rule of ExecutorPool
        Random = 1,
        RoundRobin = 2,
    };

    struct RoutingFigures {
        double meanMs = 0;
        double p99Ms = 0;
        double failedPercent = 0;
    };

    // Simulates one data centre at 70% load. Two executors are four times slower than
    // the others; one fails half of its requests immediately.
    class RoutingRun {
    public:
        explicit RoutingRun(Rule rule)
            : m_rule(rule)
        {
            for (InstanceOrdinal n = 0; n < executors; ++n)
                m_all.insert(n);
            announce();
        }

        RoutingFigures run()
        {
            const double meanUs = 20'000;
            const double gapUs = meanUs / (0.7 * executors * slotsPerExecutor);
            auto arrival = m_clock.now();
            const auto end = m_clock.now() + Milliseconds(60'000);
            while (m_clock.now() < end) {
                const bool attemptEnds = !m_running.empty() && m_running.top().endsAt <= arrival;
                const auto next = attemptEnds ? m_running.top().endsAt : arrival;
                m_clock.advance(next - m_clock.now());
                m_pool.onTick(m_clock.now());
                if (m_clock.now() >= m_lastAnnounceAt + Milliseconds(500))
                    announce();
                if (attemptEnds) {
                    endAttempt();
                } else {
                    m_waiting.push_back({ arrival, exponential(m_random, meanUs) });
                    arrival += Duration(1 + static_cast<int64_t>(exponential(m_random, gapUs)));
                }
                startWaiting();
            }
            double sum = 0;
            for (const auto it : m_responses)
                sum += it;
            const auto count = static_cast<double>(m_responses.size());
            return { sum / count, percentile(m_responses, 0.99), 100.0 * m_failed / (count + m_failed) };
        }

    private:
        static constexpr uint32_t executors = 13;
        static constexpr uint32_t slotsPerExecutor = 8;

        struct WaitingRequest {
            Instant arrivedAt;
            double serviceUs;
        };
        struct RunningAttempt {
            Instant endsAt;
            InstanceOrdinal executor;
            Instant arrivedAt;
            Instant startedAt;
            bool fails;
            bool operator>(const RunningAttempt& other) const { return endsAt > other.endsAt; }
        };

        void announce()
        {
            m_lastAnnounceAt = m_clock.now();
            for (uint32_t n = 0; n < executors; ++n) {
                schema::ExecutorAnnounce message;
                message.set_name(fmt::format("x{}", n));
                message.set_incarnation(1);
                message.set_slots(slotsPerExecutor);
                message.set_connections(64);
                m_pool.onAnnounce(message, m_clock.now());
            }
        }

        std::optional<InstanceOrdinal> choose()
        {
            if (m_rule == Rule::ExpectedCost)
                return m_pool.choose(m_all);
            std::vector<InstanceOrdinal> free;
            for (InstanceOrdinal n = 0; n < executors; ++n) {
                if (m_pool.at(n).inFlight < slotsPerExecutor)
                    free.push_back(n);
            }
            if (free.empty())
                return std::nullopt;
            if (m_rule == Rule::Random)
                return free[m_random.below(free.size())];
            const auto after = std::upper_bound(free.begin(), free.end(), m_last);
            m_last = after == free.end() ? free.front() : *after;
            return m_last;
        }

        void startWaiting()
        {
            while (!m_waiting.empty()) {
                const auto n = choose();
                if (!n)
                    return;
                const auto it = m_waiting.front();
                m_waiting.pop_front();
                m_pool.acquireSlot(*n);
                const bool fails = *n == 2 && m_random.chance(0.5);
                const double factor = *n < 2 ? 4.0 : 1.0;
                const auto service = Duration(1 + static_cast<int64_t>(fails ? 1'000 : it.serviceUs * factor));
                m_running.push({ m_clock.now() + service, *n, it.arrivedAt, m_clock.now(), fails });
            }
        }

        void endAttempt()
        {
            const auto it = m_running.top();
            m_running.pop();
            m_pool.releaseSlot(it.executor);
            if (m_rule == Rule::ExpectedCost)
                m_pool.onEnded(
                    it.executor, { .failed = it.fails, .service = m_clock.now() - it.startedAt }, m_clock.now());
            if (it.fails)
                m_failed += 1;
            else
                m_responses.push_back(static_cast<double>((m_clock.now() - it.arrivedAt).count()) / 1'000.0);
        }

        Rule m_rule;
        Random m_random { 4 };
        ManualClock m_clock;
        ExecutorPool m_pool { 5 };
        ExecutorSet m_all;
        std::deque<WaitingRequest> m_waiting;
        std::priority_queue<RunningAttempt, std::vector<RunningAttempt>, std::greater<>> m_running;
        std::vector<double> m_responses;
        Instant m_lastAnnounceAt {};
        InstanceOrdinal m_last = 0;
        double m_failed = 0;
    };

    bool compareRules()
    {
        const auto expectedCost = RoutingRun(Rule::ExpectedCost).run();
        const auto random = RoutingRun(Rule::Random).run();
        const auto roundRobin = RoutingRun(Rule::RoundRobin).run();
        const auto baseline = [](const char* rule, const RoutingFigures& it) {
            reportBaseline("waiting", fmt::format("routing_mean_{}", rule), it.meanMs, "ms");
            reportBaseline("waiting", fmt::format("routing_p99_{}", rule), it.p99Ms, "ms");
            reportBaseline("waiting", fmt::format("routing_failed_{}", rule), it.failedPercent, "percent");
        };
        bool passed = report(
            "waiting", "routing_mean", expectedCost.meanMs, "ms", std::min(random.meanMs, roundRobin.meanMs), true);
        passed &= report(
            "waiting", "routing_p99", expectedCost.p99Ms, "ms", std::min(random.p99Ms, roundRobin.p99Ms), true);
        passed &= report("waiting", "routing_failed", expectedCost.failedPercent, "percent",
            std::min(random.failedPercent, roundRobin.failedPercent), true);
        baseline("random", random);
        baseline("round_robin", roundRobin);
        return passed;
    }

} // namespace

} // namespace teasel::bench

int main()
{
    using namespace teasel::bench;
    bool passed
        = report("waiting", "urgent_p99_at_95_percent", urgentWait<LeaderQueue>(false), "ms", maxUrgentWaitMs, true);
    reportBaseline("waiting", "urgent_p99_at_95_percent_fifo", urgentWait<FifoQueue>(false), "ms");
    passed &= report("waiting", "urgent_p99_endless_flood", urgentWait<LeaderQueue>(true), "ms", maxUrgentWaitMs, true);
    reportBaseline("waiting", "urgent_p99_endless_flood_fifo", urgentWait<FifoQueue>(true), "ms");
    passed &= compareRules();
    return passed ? 0 : 1;
}
