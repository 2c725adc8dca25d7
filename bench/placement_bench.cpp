// Measures the cost of placement decisions for fleets of three sizes.
//
// Prints one line per metric: placement METRIC VALUE UNIT BOUND held|short
#include "core/random.h"
#include "placement/placement_leader.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace teasel;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr double tasksPerWorker = 12'000.0 / 680.0;
constexpr TeamId teamCount = 6;
constexpr int placementCount = 20'000;
bool allBoundsMet = true;

void print(const std::string& metric, double value, const char* unit, double bound, bool isUpperBound)
{
    const bool isMet = isUpperBound ? value <= bound : value >= bound;
    allBoundsMet = allBoundsMet && isMet;
    fmt::print("placement {} {:.3f} {} {}{} {}\n", metric, value, unit, isUpperBound ? "<=" : ">=", bound,
        isMet ? "held" : "short");
}

void printUnbounded(const std::string& metric, double value, const char* unit)
{
    fmt::print("placement {} {:.3f} {} - held\n", metric, value, unit);
}

schema::Resources makeResources(uint64_t milliCpus, uint64_t memoryMib)
{
    schema::Resources it;
    it.set_milli_cpus(milliCpus);
    it.set_memory_mib(memoryMib);
    return it;
}

double microsecondsSince(SteadyClock::time_point start)
{
    return std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count();
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(fraction * static_cast<double>(values.size() - 1))];
}

class Fleet {
public:
    explicit Fleet(size_t workers)
        : m_random(workers)
        , m_workers(workers)
    {
        PlacementOptions options;
        options.dataCentre = "dc";
        m_leader = std::make_unique<PlacementLeader>(options, m_names);
        m_leader->onBecameLeader(1, m_now);
        std::vector<TaskTeamPolicy> teams;
        for (TeamId id = 1; id <= teamCount; ++id)
            teams.push_back({ id, 1.0 + id, makeResources(1ULL << 40, 1ULL << 40) });
        m_leader->onTeams(teams, m_now);
        m_heapBefore = mallinfo2().uordblks;
        m_now += Milliseconds(11'000);
        for (size_t i = 0; i < workers; ++i)
            report(i);
        m_heapWorkers = mallinfo2().uordblks;
        m_leader->onTick(m_now);
        const auto tasks = static_cast<size_t>(tasksPerWorker * static_cast<double>(workers));
        while (m_running.size() < tasks)
            submit(1, schema::JOB_KIND_BATCH);
        m_heapTasks = mallinfo2().uordblks;
    }

    // Submits a job of random size. Returns the decision time in microseconds.
    double submit(uint32_t tasks, schema::JobKind kind)
    {
        schema::JobRecord record;
        record.set_id(fmt::format("job-{}", m_next++));
        record.set_team_id(static_cast<TeamId>(1 + m_random.below(teamCount)));
        record.set_data_centre("dc");
        record.set_phase(schema::JOB_PHASE_PENDING);
        auto& spec = *record.mutable_spec();
        spec.set_name("mixed");
        spec.set_kind(kind);
        spec.set_tasks(tasks);
        spec.set_rank(5);
        *spec.mutable_resources() = makeResources(500 * (1 + m_random.below(5)), 1'024 * (1 + m_random.below(10)));
        m_records.assign(1, record);
        const auto start = SteadyClock::now();
        m_leader->onJobs(m_records, m_now);
        const double elapsed = microsecondsSince(start);
        m_running.push_back(std::move(record));
        return elapsed;
    }

    void cancelOldest()
    {
        m_running.front().set_phase(schema::JOB_PHASE_CANCELLED);
        m_records.assign(1, m_running.front());
        m_running.pop_front();
        m_leader->onJobs(m_records, m_now);
    }

    void cancelNewest()
    {
        std::swap(m_running.front(), m_running.back());
        cancelOldest();
    }

    double report(size_t i)
    {
        schema::WorkerReport message;
        message.set_name(fmt::format("w{}", i));
        message.set_incarnation(1);
        message.set_sequence(++m_sequence);
        *message.mutable_capacity() = makeResources(32'000, 128 * 1'024);
        message.set_rack(fmt::format("rack-{}", i / 6));
        message.set_data_centre("dc");
        const auto id = m_leader->state().workers.find("\n" + message.name());
        if (id != noWorker) {
            for (const auto& it : m_leader->state().workers.at(id).residents) {
                auto& task = *message.add_tasks();
                task.set_job_id(m_leader->state().tasks.job(it.task.job).id);
                task.set_index(it.task.index);
                task.set_attempt(it.attempt.number);
                task.set_attempt_epoch(it.attempt.epoch);
                task.set_state(schema::TASK_STATE_RUNNING);
                *task.mutable_committed() = toMessage(it.committed);
                *task.mutable_used() = toMessage(it.committed);
            }
        }
        const auto start = SteadyClock::now();
        const auto orders = m_leader->onReport(message, m_now);
        return microsecondsSince(start);
    }

    size_t workers() const { return m_workers; }
    PlacementStats stats() const { return m_leader->stats(); }
    double bytesPerWorker() const
    {
        return static_cast<double>(m_heapWorkers - m_heapBefore) / static_cast<double>(m_workers);
    }
    double bytesPerTask() const
    {
        return static_cast<double>(m_heapTasks - m_heapWorkers) / static_cast<double>(m_running.size());
    }

private:
    Random m_random;
    size_t m_workers;
    Instant m_now { std::chrono::seconds(1'000) };
    NameTable m_names;
    std::unique_ptr<PlacementLeader> m_leader;
    std::deque<schema::JobRecord> m_running;
    std::vector<schema::JobRecord> m_records;
    uint64_t m_sequence = 0;
    uint64_t m_next = 0;
    size_t m_heapBefore = 0;
    size_t m_heapWorkers = 0;
    size_t m_heapTasks = 0;
};

// Prints all metrics for a fleet size. Returns the mean cost of one placement in microseconds.
double measure(size_t workers)
{
    Fleet fleet(workers);
    std::vector<double> costs;
    const auto before = fleet.stats().placements;
    for (int i = 0; i < placementCount; ++i) {
        costs.push_back(fleet.submit(1, schema::JOB_KIND_BATCH));
        fleet.cancelOldest();
    }
    const auto placed = static_cast<double>(fleet.stats().placements - before);
    double sum = 0;
    for (const double it : costs)
        sum += it;
    const auto name = [&](const char* what) { return fmt::format("{}_{}_workers", what, workers); };
    print(name("placements_per_second"), placed / sum * 1e6, "1/s", 20'000, false);
    print(name("placement_p99"), quantile(costs, 0.99) / 1e3, "ms", 1.0, true);
    std::vector<double> gangs;
    for (int i = 0; i < 50; ++i) {
        gangs.push_back(fleet.submit(64, schema::JOB_KIND_GANG));
        fleet.cancelNewest();
    }
    print(name("gang_of_64_worst"), quantile(gangs, 1.0) / 1e3, "ms", 5.0, true);
    std::vector<double> reports;
    for (size_t i = fleet.workers() - std::min<size_t>(fleet.workers(), 2'000); i < fleet.workers(); ++i)
        reports.push_back(fleet.report(i));
    printUnbounded(name("report_p50"), quantile(reports, 0.5), "us");
    printUnbounded(name("memory_per_worker"), fleet.bytesPerWorker(), "bytes");
    printUnbounded(name("memory_per_task"), fleet.bytesPerTask(), "bytes");
    return sum / placed;
}

} // namespace

int main()
{
    const double cost50 = measure(50);
    const double cost680 = measure(680);
    const double cost8800 = measure(8'800);
    print("growth_exponent_50_to_680", std::log(cost680 / cost50) / std::log(680.0 / 50.0), "exponent", 1.0, true);
    print(
        "growth_exponent_680_to_8800", std::log(cost8800 / cost680) / std::log(8'800.0 / 680.0), "exponent", 1.0, true);
    return allBoundsMet ? 0 : 1;
}
