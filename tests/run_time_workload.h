// Synthetic runs for the test and the benchmark of the model of run times.
#pragma once

#include "core/random.h"
#include "runtimes/run_observation.h"

#include <fmt/format.h>

#include <cmath>
#include <string>
#include <vector>

namespace teasel {

struct RunTimeWorkloadOptions {
    size_t teams = 20;
    size_t executors = 60;
    std::vector<double> speeds { 1.0 }; // of the executors, in turn
    double sigma = 0.5; // of the lengths of a kind, in logarithms
    double estimateFactor = 2; // estimates are off by up to this
    double taskDifference = 0.3; // tasks of a step differ by up to this
    double longShare = 0; // of runs that take `longFactor` times as long
    double longFactor = 7;
    double remoteShare = 0.2;
    double remoteFactor = 1.5;
    uint32_t maxTasks = 8;
    bool hasSteps = true; // runs state their step
    size_t liars = 0; // the first teams: half of them state a tenth, the others anything from 1 to 1e9 ms
    double liarsShare = 0.3; // of the steps, if there are any
    double slowPhases = 0; // probability for each run that its executor becomes slower for a while
    double slowFactor = 5;
    size_t slowRuns = 30;
    uint64_t seed = 1;
};

// A step of which some tasks have not run yet.
struct WorkloadStep {
    uint64_t id = 0;
    size_t queue = 0;
    size_t team = 0;
    double lengthMs = 0; // of its tasks, before their differences
    double expectedMs = 0; // the best prediction from an honest estimate
    uint64_t estimateMs = 0;
    uint32_t tasks = 1;
    uint32_t ran = 0;
    bool isLiar = false;
};

struct WorkloadRun {
    WorkloadStep step;
    RunObservation observation; // its views are valid until the next call of next()
    double placeFactor = 1; // of the executor and the distance from the data
    size_t executor = 0;
    bool isSlow = false; // the executor is in a slow phase
};

class RunTimeWorkload {
public:
    explicit RunTimeWorkload(const RunTimeWorkloadOptions& options)
        : m_options(options)
        , m_random(options.seed)
        , m_slowLeft(options.executors, 0)
    {
        for (const double base : { 300.0, 1'200.0, 5'000.0 })
            m_bases.push_back(base);
        for (size_t n = 0; n < m_bases.size(); ++n)
            m_queueNames.push_back(fmt::format("queue-{}", n));
        for (size_t n = 0; n < options.teams; ++n) {
            m_teamNames.push_back(fmt::format("team-{:02}", n));
            m_teamFactors.push_back(std::exp(0.15 * normal()));
        }
        for (size_t n = 0; n < options.executors; ++n)
            m_executorNames.push_back(fmt::format("executor-{:04}", n));
        for (size_t n = 0; n < openSteps; ++n)
            m_open.push_back(newStep());
    }

    // Makes all later steps of a queue longer. Estimates follow if `isEstimated`.
    void shift(size_t queue, double factor, bool isEstimated)
    {
        m_bases[queue] *= factor;
        m_estimateFactors[queue] *= isEstimated ? 1 : 1 / factor;
    }
    void setSpeeds(std::vector<double> speeds) { m_options.speeds = std::move(speeds); }
    double usualSpeed(size_t executor) const { return m_options.speeds[executor % m_options.speeds.size()]; }
    const std::string& executorName(size_t n) const { return m_executorNames[n]; }
    const std::string& queueName(size_t n) const { return m_queueNames[n]; }
    const std::string& teamName(size_t n) const { return m_teamNames[n]; }

    // Returns the next run that ends. Steps are interleaved.
    WorkloadRun next()
    {
        const size_t n = m_random.below(m_open.size());
        if (m_open[n].ran == m_open[n].tasks)
            m_open[n] = newStep();
        auto& step = m_open[n];
        WorkloadRun out;
        out.executor = m_random.below(m_executorNames.size());
        auto& slow = m_slowLeft[out.executor];
        if (slow > 0)
            --slow;
        else if (m_random.chance(m_options.slowPhases))
            slow = m_options.slowRuns;
        out.isSlow = slow > 0;
        const bool isRemote = m_random.chance(m_options.remoteShare);
        out.placeFactor = (isRemote ? m_options.remoteFactor : 1) * (out.isSlow ? m_options.slowFactor : 1)
            / usualSpeed(out.executor);
        double took = step.lengthMs * (1 + m_options.taskDifference * (2 * m_random.unit() - 1)) * out.placeFactor;
        if (m_random.chance(m_options.longShare))
            took *= m_options.longFactor;
        out.step = step;
        auto& it = out.observation;
        it.queue = m_queueNames[step.queue];
        it.team = m_teamNames[step.team];
        it.executor = m_executorNames[out.executor];
        it.estimateMs = step.estimateMs;
        it.step = m_options.hasSteps ? step.id : 0;
        it.tasks = step.tasks;
        it.tookMs = took;
        it.isRemote = isRemote;
        ++step.ran;
        return out;
    }

private:
    static constexpr size_t openSteps = 40;

    double normal()
    {
        return std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(2 * 3.14159265358979 * m_random.unit());
    }

    WorkloadStep newStep()
    {
        WorkloadStep it;
        it.id = ++m_lastStep * 0x9E3779B97F4A7C15ULL;
        it.queue = m_random.below(m_bases.size());
        it.isLiar = m_options.liars > 0 && m_random.chance(m_options.liarsShare);
        it.team = it.isLiar ? m_random.below(m_options.liars)
                            : m_options.liars + m_random.below(m_options.teams - m_options.liars);
        const double usual = m_bases[it.queue] * m_teamFactors[it.team];
        it.lengthMs = usual * std::exp(m_options.sigma * normal());
        const double spread = std::log(m_options.estimateFactor);
        double estimate = it.lengthMs * m_estimateFactors[it.queue] * std::exp(spread * (2 * m_random.unit() - 1));
        const double error = spread * spread / 3; // variance of a uniform distribution
        const double slope = m_options.sigma * m_options.sigma / (m_options.sigma * m_options.sigma + error);
        it.expectedMs = usual * std::pow(estimate / m_estimateFactors[it.queue] / usual, it.isLiar ? 0 : slope);
        if (it.isLiar)
            estimate = it.team % 2 == 0 ? estimate / 10 : std::pow(10, 9 * m_random.unit());
        it.estimateMs = static_cast<uint64_t>(std::max(1.0, estimate));
        it.tasks = 1 + static_cast<uint32_t>(m_random.below(m_options.maxTasks));
        return it;
    }

    RunTimeWorkloadOptions m_options;
    Random m_random;
    std::vector<double> m_bases; // usual lengths by queue, in ms
    std::vector<double> m_estimateFactors { 1, 1, 1 };
    std::vector<double> m_teamFactors;
    std::vector<std::string> m_queueNames;
    std::vector<std::string> m_teamNames;
    std::vector<std::string> m_executorNames;
    std::vector<size_t> m_slowLeft;
    std::vector<WorkloadStep> m_open;
    uint64_t m_lastStep = 0;
};

} // namespace teasel
