// Waiting time of the urgent class while two accounts flood, and the choice of
// executors against random and round robin.
#include "bench/request_fleet.h"

#include <algorithm>
#include <cmath>

namespace teasel::bench {

namespace {

    constexpr double bound = 50.0; // ms, of the urgent class at the 99th percentile
    constexpr Milliseconds warmUp { 5'000 };
    constexpr Milliseconds measured { 40'000 };
    constexpr double slots = 400;
    constexpr size_t endlessBacklog = 500; // of each flooding team in each data centre

    // A stream of requests of one team and class.
    struct Stream {
        TeamId team;
        std::string className;
        double load; // part of all slots, on average
        double serviceUs; // mean, exponential
        Milliseconds patience;
        bool floods;
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

    // Floods come in bursts of one second in four, four times as dense as their mean.
    double burst(const Stream& it, Instant now)
    {
        const auto phase = std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count() % 4'000;
        return !it.floods ? 1.0 : phase < 1'000 ? 4.0 : 0.0;
    }

    // The 99th percentile of the urgent class's wait, in ms.
    template <class Queue> double urgentWait(bool endless)
    {
        Random random(3);
        std::vector<TeamPolicy> teams;
        for (TeamId id = 1; id <= 6; ++id)
            teams.push_back({ id, id <= 2 ? 3.0 : 1.5, 1'000 });
        Fleet<Queue> fleet({ { "a", 13, 8 }, { "b", 13, 8 }, { "c", 12, 8 }, { "d", 12, 8 } }, teams,
            { { "weigh-check", 0, 100'000 }, { "label-run", 1, 100'000 }, { "batch-blend", 2, 100'000 } });
        const auto began = fleet.now();
        std::vector<double> waits;
        const double step = static_cast<double>(Fleet<Queue>::stepLength.count());
        while (fleet.now() < began + warmUp + measured) {
            for (const auto& it : streams()) {
                if (it.floods && endless) {
                    for (size_t centre = 0; centre < fleet.size(); ++centre) {
                        while (fleet.waiting(centre, it.team) < endlessBacklog)
                            fleet.submit(centre, it.team, it.className,
                                Duration(static_cast<int64_t>(exponential(random, it.serviceUs))), it.patience);
                    }
                    continue;
                }
                double due = it.load * slots / it.serviceUs * step * burst(it, fleet.now());
                for (; due > 0 && random.unit() < due; due -= 1.0)
                    fleet.submit(random.below(fleet.size()), it.team, it.className,
                        Duration(1 + static_cast<int64_t>(exponential(random, it.serviceUs))), it.patience);
            }
            const auto now = fleet.now();
            fleet.step(
                [&](const Job& job) {
                    if (job.className == "weigh-check" && now >= began + warmUp)
                        waits.push_back(static_cast<double>((fleet.now() - job.arrived).count()) / 1'000.0);
                },
                [&](const Job& job) {
                    if (job.className == "weigh-check")
                        waits.push_back(1e6); // a refusal counts as an endless wait
                });
        }
        return percentile(waits, 0.99);
    }

    // ---- Routing -------------------------------------------------------------

    enum class Rule : uint8_t {
        Expected = 0, // the product's
        Random = 1,
        RoundRobin = 2,
    };

    struct RoutingFigures {
        double meanMs = 0;
        double p99Ms = 0;
        double failedPercent = 0;
    };

    // One data centre at 70% of its slots. Two executors are four times slower,
    // one fails half of what it gets, at once.
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
            const double gapUs = meanUs / (0.7 * executors * perExecutor);
            auto arrival = m_clock.now();
            const auto end = m_clock.now() + Milliseconds(60'000);
            while (m_clock.now() < end) {
                const bool ends = !m_running.empty() && m_running.top().at <= arrival;
                const auto next = ends ? m_running.top().at : arrival;
                m_clock.advance(next - m_clock.now());
                m_pool.onTick(m_clock.now());
                if (m_clock.now() >= m_announced + Milliseconds(500))
                    announce();
                if (ends) {
                    endOne();
                } else {
                    m_waiting.push_back({ arrival, exponential(m_random, meanUs) });
                    arrival += Duration(1 + static_cast<int64_t>(exponential(m_random, gapUs)));
                }
                startAll();
            }
            double sum = 0;
            for (const auto it : m_responses)
                sum += it;
            const auto count = static_cast<double>(m_responses.size());
            return { sum / count, percentile(m_responses, 0.99), 100.0 * m_failed / (count + m_failed) };
        }

    private:
        static constexpr uint32_t executors = 13;
        static constexpr uint32_t perExecutor = 8;

        struct Waiting {
            Instant arrived;
            double serviceUs;
        };
        struct Running {
            Instant at;
            InstanceOrdinal executor;
            Instant arrived;
            Instant began;
            bool fails;
            bool operator>(const Running& other) const { return at > other.at; }
        };

        void announce()
        {
            m_announced = m_clock.now();
            for (uint32_t n = 0; n < executors; ++n) {
                schema::ExecutorAnnounce message;
                message.set_name(fmt::format("x{}", n));
                message.set_incarnation(1);
                message.set_slots(perExecutor);
                message.set_connections(64);
                m_pool.onAnnounce(message, m_clock.now());
            }
        }

        std::optional<InstanceOrdinal> choose()
        {
            if (m_rule == Rule::Expected)
                return m_pool.choose(m_all);
            std::vector<InstanceOrdinal> free;
            for (InstanceOrdinal n = 0; n < executors; ++n) {
                if (m_pool.at(n).inFlight < perExecutor)
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

        void startAll()
        {
            while (!m_waiting.empty()) {
                const auto n = choose();
                if (!n)
                    return;
                const auto it = m_waiting.front();
                m_waiting.pop_front();
                m_pool.take(*n);
                const bool fails = *n == 2 && m_random.chance(0.5);
                const double factor = *n < 2 ? 4.0 : 1.0;
                const auto service = Duration(1 + static_cast<int64_t>(fails ? 1'000 : it.serviceUs * factor));
                m_running.push({ m_clock.now() + service, *n, it.arrived, m_clock.now(), fails });
            }
        }

        void endOne()
        {
            const auto it = m_running.top();
            m_running.pop();
            m_pool.release(it.executor);
            if (m_rule == Rule::Expected)
                m_pool.onEnded(it.executor, { .failed = it.fails, .service = m_clock.now() - it.began }, m_clock.now());
            if (it.fails)
                m_failed += 1;
            else
                m_responses.push_back(static_cast<double>((m_clock.now() - it.arrived).count()) / 1'000.0);
        }

        Rule m_rule;
        Random m_random { 4 };
        ManualClock m_clock;
        ExecutorPool m_pool { 5 };
        ExecutorSet m_all;
        std::deque<Waiting> m_waiting;
        std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
        std::vector<double> m_responses;
        Instant m_announced {};
        InstanceOrdinal m_last = 0;
        double m_failed = 0;
    };

    bool compareRules()
    {
        const auto ours = RoutingRun(Rule::Expected).run();
        const auto random = RoutingRun(Rule::Random).run();
        const auto roundRobin = RoutingRun(Rule::RoundRobin).run();
        const auto baseline = [](const char* rule, const RoutingFigures& it) {
            reportBaseline("waiting", fmt::format("routing_mean_{}", rule), it.meanMs, "ms");
            reportBaseline("waiting", fmt::format("routing_p99_{}", rule), it.p99Ms, "ms");
            reportBaseline("waiting", fmt::format("routing_failed_{}", rule), it.failedPercent, "percent");
        };
        bool held
            = report("waiting", "routing_mean", ours.meanMs, "ms", std::min(random.meanMs, roundRobin.meanMs), true);
        held &= report("waiting", "routing_p99", ours.p99Ms, "ms", std::min(random.p99Ms, roundRobin.p99Ms), true);
        held &= report("waiting", "routing_failed", ours.failedPercent, "percent",
            std::min(random.failedPercent, roundRobin.failedPercent), true);
        baseline("random", random);
        baseline("round_robin", roundRobin);
        return held;
    }

} // namespace

} // namespace teasel::bench

int main()
{
    using namespace teasel::bench;
    bool held = report("waiting", "urgent_p99_at_95_percent", urgentWait<LeaderQueue>(false), "ms", bound, true);
    reportBaseline("waiting", "urgent_p99_at_95_percent_fifo", urgentWait<FifoQueue>(false), "ms");
    held &= report("waiting", "urgent_p99_endless_flood", urgentWait<LeaderQueue>(true), "ms", bound, true);
    reportBaseline("waiting", "urgent_p99_endless_flood_fifo", urgentWait<FifoQueue>(true), "ms");
    held &= compareRules();
    return held ? 0 : 1;
}
