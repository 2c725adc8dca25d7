// Errors and calibration of the model of run times, compared with callers' estimates, the regression of
// jobs/run_times.h, the last runs of each key, the best use of the estimate by one who knows all parameters, and an
// oracle that knows the length of each step; its costs and the size of its summary.
// Usage: bench-runtimes [--seed N] [--runs N]
#include "../tests/run_time_workload.h"
#include "jobs/run_times.h"
#include "runtimes/run_time_model.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <numeric>

namespace teasel {

namespace {

    // Absolute errors of logarithms, and the shares of runs within predicted quantiles.
    struct Figures {
        std::vector<double> errors;
        size_t within50 = 0;
        size_t within90 = 0;

        void add(double predictedMs, double tookMs) { errors.push_back(std::abs(std::log(predictedMs / tookMs))); }
        void count(double ms50, double ms90, double tookMs)
        {
            within50 += tookMs <= ms50 ? 1 : 0;
            within90 += tookMs <= ms90 ? 1 : 0;
        }
        double mean() const { return std::accumulate(errors.begin(), errors.end(), 0.0) / errors.size(); }
        double percentile(double share)
        {
            auto at = errors.begin() + static_cast<ptrdiff_t>(share * (errors.size() - 1));
            std::nth_element(errors.begin(), at, errors.end());
            return *at;
        }
    };

    // The regression in use today, with the moving average of the slowness of each executor (jobs/job_checks.cpp).
    class TodaysPrediction {
    public:
        double expectedMs(const WorkloadRun& it)
        {
            return m_times.expectedMs(it.observation.queue, it.observation.estimateMs) * slowness(it);
        }
        void record(const WorkloadRun& it)
        {
            const auto& run = it.observation;
            const double expected = m_times.expectedMs(run.queue, run.estimateMs);
            auto& slow = slowness(it);
            slow += 0.2 * (std::clamp(run.tookMs / expected, 0.3, 8.0) - slow);
            m_times.onDone(run.queue, run.estimateMs, run.tookMs);
        }

    private:
        double& slowness(const WorkloadRun& it) { return m_slowness.try_emplace(it.executor, 1).first->second; }

        RunTimes m_times;
        std::map<size_t, double> m_slowness;
    };

    // The last run times of each queue and team: what a quantile sketch of each key could say at best.
    class LastRuns {
    public:
        static constexpr size_t window = 200;
        static constexpr size_t minRuns = 5;

        // Returns the given quantiles; the estimate while there are fewer than 5 runs.
        std::pair<double, double> quantiles(const WorkloadRun& it, double low, double high)
        {
            std::vector<double> runs(at(it).begin(), at(it).end());
            if (runs.size() < minRuns)
                return { it.observation.estimateMs, it.observation.estimateMs * 2.0 };
            std::sort(runs.begin(), runs.end());
            const auto pick = [&](double share) { return runs[static_cast<size_t>(share * (runs.size() - 1))]; };
            return { pick(low), pick(high) };
        }
        void record(const WorkloadRun& it)
        {
            auto& runs = at(it);
            runs.push_back(it.observation.tookMs);
            if (runs.size() > window)
                runs.pop_front();
        }

    private:
        std::deque<double>& at(const WorkloadRun& it) { return m_runs[{ it.step.queue, it.step.team }]; }

        std::map<std::pair<size_t, size_t>, std::deque<double>> m_runs;
    };

    struct Scenario {
        std::string name;
        RunTimeWorkloadOptions options;
        size_t warmUp = 4'000; // runs that are not counted
        size_t runs = 30'000;
        double shiftAt = 0; // part of the counted runs after which the first queue grows by half; 0: never
        bool isShiftEstimated = false; // estimates grow too
    };

    // A task in a batch that is ordered by predictions.
    struct Ordered {
        double took;
        double predicted;
        bool isLiar;
    };

    // Mean time until the end of tasks that run one after the other, shortest prediction first.
    struct OrderFigures {
        double sum = 0;
        double honest = 0;
        size_t honestTasks = 0;
        size_t tasks = 0;

        void add(std::vector<Ordered> batch)
        {
            std::stable_sort(
                batch.begin(), batch.end(), [](const auto& a, const auto& b) { return a.predicted < b.predicted; });
            double now = 0;
            for (const auto& it : batch) {
                now += it.took;
                sum += now;
                ++tasks;
                if (!it.isLiar) {
                    honest += now;
                    ++honestTasks;
                }
            }
        }
        double mean() const { return sum / static_cast<double>(tasks); }
        double honestMean() const { return honest / static_cast<double>(std::max<size_t>(1, honestTasks)); }
    };

    enum Method : size_t {
        CallersEstimate = 0,
        Regression = 1,
        KeyRuns = 2,
        Model = 3,
        ModelWithStep = 4,
        BestOfEstimate = 5,
        Oracle = 6
    };
    constexpr const char* methodNames[]
        = { "estimate", "regression", "last runs of key", "model", "model, in step", "best of estimate", "oracle" };
    constexpr size_t methods = 7;

    bool runScenario(const Scenario& scenario)
    {
        RunTimeWorkload workload(scenario.options);
        RunTimeModel model;
        TodaysPrediction today;
        LastRuns lastRuns;
        Figures figures[methods];
        Figures honest[methods];
        OrderFigures orders[methods];
        std::vector<Ordered> batches[methods];
        Figures longest;
        size_t steps = 0;
        std::map<uint64_t, std::pair<double, double>> predictedLongest; // by step: 90% quantile, longest so far
        std::vector<RunTimeShift> shifts;
        double shiftFoundAfter = -1;
        size_t shiftedRuns = 0;
        bool isShifted = false;
        for (size_t n = 0; n < scenario.warmUp + scenario.runs; ++n) {
            if (scenario.shiftAt > 0 && !isShifted
                && n >= scenario.warmUp + static_cast<size_t>(scenario.shiftAt * scenario.runs)) {
                workload.shift(0, 1.5, scenario.isShiftEstimated);
                isShifted = true;
            }
            const auto run = workload.next();
            const auto& it = run.observation;
            if (n >= scenario.warmUp) {
                const double place = (it.isRemote ? model.remoteFactor() : 1) / model.speedOf(it.executor).factor;
                const auto fresh = model.predict(it.queue, it.team, it.estimateMs);
                const auto inStep = model.predict(it.queue, it.team, it.estimateMs, it.step);
                const auto [key50, key90] = lastRuns.quantiles(run, 0.5, 0.9);
                const double predicted[methods] = { static_cast<double>(it.estimateMs), today.expectedMs(run), key50,
                    fresh.median() * place, inStep.median() * place, run.step.expectedMs * run.placeFactor,
                    run.step.lengthMs * run.placeFactor };
                for (size_t m = 0; m < methods; ++m) {
                    figures[m].add(predicted[m], it.tookMs);
                    if (!run.step.isLiar)
                        honest[m].add(predicted[m], it.tookMs);
                    // Whole steps only: the order of tasks is decided before any of their step has ended.
                    if (run.step.ran == 0) {
                        batches[m].push_back({ it.tookMs, predicted[m], run.step.isLiar });
                        if (batches[m].size() == 50) {
                            orders[m].add(batches[m]);
                            batches[m].clear();
                        }
                    }
                }
                figures[KeyRuns].count(key50, key90, it.tookMs);
                figures[Model].count(fresh.quantile(0.5) * place, fresh.quantile(0.9) * place, it.tookMs);
                figures[ModelWithStep].count(inStep.quantile(0.5) * place, inStep.quantile(0.9) * place, it.tookMs);
                if (run.step.ran == 0)
                    predictedLongest[run.step.id] = { fresh.quantileOfLongest(0.9, it.tasks), 0 };
                if (const auto found = predictedLongest.find(run.step.id); found != predictedLongest.end()) {
                    found->second.second = std::max(found->second.second, it.tookMs / run.placeFactor);
                    if (run.step.ran + 1 == it.tasks) {
                        ++steps;
                        longest.within90 += found->second.second <= found->second.first ? 1 : 0;
                        predictedLongest.erase(found);
                    }
                }
            }
            model.record(it);
            today.record(run);
            lastRuns.record(run);
            shiftedRuns += isShifted && run.step.queue == 0 ? 1 : 0;
            for (auto& shift : model.takeShifts()) {
                if (isShifted && shiftFoundAfter < 0 && shift.queue == workload.queueName(0))
                    shiftFoundAfter = static_cast<double>(shiftedRuns);
                shifts.push_back(std::move(shift));
            }
        }
        fmt::print("\n{}\n", scenario.name);
        for (size_t m = 0; m < methods; ++m) {
            fmt::print(
                "  {:<17} error mean {:.3f} p90 {:.3f}", methodNames[m], figures[m].mean(), figures[m].percentile(0.9));
            if (scenario.options.liars > 0)
                fmt::print(" honest teams {:.3f}", honest[m].mean());
            if (orders[m].tasks > 0)
                fmt::print(" | order {:.3f}", orders[m].mean() / orders[Oracle].mean());
            if (scenario.options.liars > 0 && orders[m].tasks > 0)
                fmt::print(" honest {:.3f}", orders[m].honestMean() / orders[Oracle].honestMean());
            if (m == Model || m == ModelWithStep || m == KeyRuns)
                fmt::print(" | within 50%: {:.1f}%, 90%: {:.1f}%", 100.0 * figures[m].within50 / scenario.runs,
                    100.0 * figures[m].within90 / scenario.runs);
            fmt::print("\n");
        }
        fmt::print("  longest of a step within its 90% quantile: {:.1f}% of {} steps\n",
            100.0 * longest.within90 / static_cast<double>(std::max<size_t>(1, steps)), steps);
        fmt::print("  remote factor {:.2f} (true {:.2f}); shifts reported {}", model.remoteFactor(),
            scenario.options.remoteFactor, shifts.size());
        if (isShifted)
            fmt::print(", the true one after {:.0f} runs of its queue", shiftFoundAfter);
        double speedError = 0;
        double meanLog = 0;
        for (size_t n = 0; n < scenario.options.executors; ++n)
            meanLog += std::log(workload.usualSpeed(n)) / static_cast<double>(scenario.options.executors);
        for (size_t n = 0; n < scenario.options.executors; ++n)
            speedError += std::abs(std::log(model.speedOf(workload.executorName(n)).factor)
                              - std::log(workload.usualSpeed(n)) + meanLog)
                / static_cast<double>(scenario.options.executors);
        fmt::print("; speed error {:.3f}\n", speedError);
        const double share = 100.0 * figures[Model].within90 / scenario.runs;
        return scenario.warmUp == 0 || (share >= 85 && share <= 95);
    }

    // Runs of an executor until a slow phase and its end show in its speed.
    void runSlowPhases(double longShare, double slowFactor, uint64_t seed)
    {
        RunTimeWorkloadOptions options;
        options.seed = seed;
        options.speeds = { 0.8, 1.0, 1.25 };
        options.longShare = longShare;
        options.slowPhases = 0.002;
        options.slowFactor = slowFactor;
        RunTimeWorkload workload(options);
        RunTimeModel model;
        std::vector<size_t> since(options.executors, 0);
        std::vector<bool> wasSlow(options.executors, false);
        std::vector<bool> found(options.executors, true);
        std::vector<double> detections;
        std::vector<double> recoveries;
        size_t falseRuns = 0;
        size_t soundRuns = 0;
        for (size_t n = 0; n < 100'000; ++n) {
            const auto run = workload.next();
            model.record(run.observation);
            if (n < 5'000)
                continue;
            const size_t x = run.executor;
            if (run.isSlow != wasSlow[x]) {
                wasSlow[x] = run.isSlow;
                since[x] = 0;
                found[x] = false;
            }
            ++since[x];
            const bool seen = model.speedOf(run.observation.executor).slowProbability > 0.5;
            if (seen == run.isSlow && !found[x]) {
                found[x] = true;
                (run.isSlow ? detections : recoveries).push_back(static_cast<double>(since[x]));
            }
            if (!run.isSlow && found[x]) {
                ++soundRuns;
                falseRuns += seen ? 1 : 0;
            }
        }
        const auto at = [](std::vector<double>& all, double share) {
            std::sort(all.begin(), all.end());
            return all.empty() ? -1.0 : all[static_cast<size_t>(share * (all.size() - 1))];
        };
        fmt::print(
            "  {}x slower, long runs {:.0f}%: seen after {:.0f} runs (median; p90 {:.0f}), recovery after {:.0f} "
            "(p90 {:.0f}), sound executors taken for slow {:.2f}%; {} phases\n",
            slowFactor, 100 * longShare, at(detections, 0.5), at(detections, 0.9), at(recoveries, 0.5),
            at(recoveries, 0.9), 100.0 * falseRuns / soundRuns, detections.size());
    }

    // Runs until the speeds of a fleet of unequal executors are known, after `before` runs in which all were equal.
    void runFleet(size_t executors, size_t before, uint64_t seed)
    {
        RunTimeWorkloadOptions options;
        options.seed = seed;
        options.executors = executors;
        RunTimeWorkload workload(options);
        RunTimeModel model;
        for (size_t n = 0; n < before; ++n)
            model.record(workload.next().observation);
        workload.setSpeeds({ 0.7, 1.7 });
        fmt::print("  {} executors, half 0.7 and half 1.7, after {} runs at 1; on the right side of 1 after", executors,
            before);
        size_t next = 100;
        for (size_t n = 1; n <= 3'200; ++n) {
            model.record(workload.next().observation);
            if (n != next)
                continue;
            size_t right = 0;
            for (size_t x = 0; x < executors; ++x)
                right += (model.speedOf(workload.executorName(x)).factor > 1) == (workload.usualSpeed(x) > 1) ? 1 : 0;
            fmt::print(" {} runs {:.0f}%", n, 100.0 * right / executors);
            next *= 2;
        }
        fmt::print("\n");
    }

    void measureCosts(uint64_t seed)
    {
        RunTimeWorkloadOptions options;
        options.seed = seed;
        options.executors = 1'100;
        options.longShare = 0.03;
        RunTimeWorkload workload(options);
        std::vector<RunObservation> runs;
        for (size_t n = 0; n < 200'000; ++n)
            runs.push_back(workload.next().observation);
        RunTimeModel model;
        const auto measure = [&](const char* name, size_t count, const auto& call) {
            const auto start = std::chrono::steady_clock::now();
            for (size_t n = 0; n < count; ++n)
                call(runs[n]);
            const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - start;
            fmt::print("  {:<32} {:>6.0f} ns\n", name, took.count() / static_cast<double>(count));
        };
        double sum = 0;
        fmt::print("\ncosts (1,100 executors, 20 teams, 3 queues)\n");
        measure("record", runs.size(), [&](const auto& it) { model.record(it); });
        measure("predict and median", runs.size(),
            [&](const auto& it) { sum += model.predict(it.queue, it.team, it.estimateMs).median(); });
        measure("predict and remainingQuantile", runs.size(), [&](const auto& it) {
            sum += model.predict(it.queue, it.team, it.estimateMs).remainingQuantile(0.9, it.tookMs);
        });
        measure("predict and quantileOfLongest", runs.size(),
            [&](const auto& it) { sum += model.predict(it.queue, it.team, it.estimateMs).quantileOfLongest(0.9, 20); });
        measure("speedOf", runs.size(), [&](const auto& it) { sum += model.speedOf(it.executor).factor; });
        measure("summarize", 50, [&](const auto&) { sum += static_cast<double>(model.summarize().queues.size()); });
        auto summary = model.summarize();
        const size_t all = summary.bytes();
        summary.executors.clear();
        fmt::print("  summary {} bytes, {} without executors\n", all, summary.bytes());
        fmt::print("  memory in bytes without names: queue {}, team of a queue {}, executor {}\n",
            QueueRunTimes::memoryBytes(), sizeof(QueueRunTimes::Team) + sizeof(std::string),
            sizeof(ExecutorSpeeds::Entry) + sizeof(std::string));
        if (!std::isfinite(sum))
            fmt::print("  a prediction is not finite\n");
    }

    std::vector<Scenario> scenarios(uint64_t seed, size_t runs)
    {
        std::vector<Scenario> all;
        const auto add = [&](const char* name) -> Scenario& {
            all.push_back({ name, {}, 4'000, runs, 0, false });
            all.back().options.seed = seed;
            return all.back();
        };
        add("log-normal");
        add("heavy tails").options.longShare = 0.03;
        add("one queue grows by half, estimates stay").shiftAt = 0.5;
        auto& estimated = add("one queue grows by half, estimates grow too");
        estimated.shiftAt = 0.5;
        estimated.isShiftEstimated = true;
        add("speeds 0.7/0.7/1.7, remote 3").options.speeds = { 0.7, 0.7, 1.7 };
        all.back().options.remoteFactor = 3;
        add("speeds 0.8/1.0/1.25").options.speeds = { 0.8, 1.0, 1.25 };
        auto& few = add("few runs: the first 300 runs");
        few.warmUp = 0;
        few.runs = 300;
        add("4 of 20 teams with false estimates").options.liars = 4;
        add("heavy tails, step of a run not stated").options.longShare = 0.03;
        all.back().options.hasSteps = false;
        auto& everything = add("heavy tails, speeds 0.7/0.7/1.7, false estimates, slow phases");
        everything.options.longShare = 0.03;
        everything.options.speeds = { 0.7, 0.7, 1.7 };
        everything.options.liars = 4;
        everything.options.slowPhases = 0.001;
        return all;
    }

} // namespace

} // namespace teasel

int main(int argc, char** argv)
{
    uint64_t seed = 1;
    size_t runs = 30'000;
    CLI::App app("Errors and costs of the model of run times");
    app.add_option("--seed", seed);
    app.add_option("--runs", runs);
    CLI11_PARSE(app, argc, argv);
    bool passed = true;
    for (const auto& it : teasel::scenarios(seed, runs))
        passed &= teasel::runScenario(it);
    fmt::print("\nslow phases of executors\n");
    for (const double slowFactor : { 5.0, 7.5 }) {
        teasel::runSlowPhases(0, slowFactor, seed);
        teasel::runSlowPhases(0.03, slowFactor, seed);
    }
    fmt::print("\nunequal fleets\n");
    for (const size_t executors : { 60, 350 }) {
        for (const size_t before : { 0, 6'400 })
            teasel::runFleet(executors, before, seed);
    }
    teasel::measureCosts(seed);
    fmt::print("\n90% quantiles {}\n", passed ? "within 85 to 95%" : "OUTSIDE of 85 to 95%");
    return passed ? 0 : 1;
}
