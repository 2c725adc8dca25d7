// The learned run times of one queue.
#pragma once

#include "runtimes/estimate.h"
#include "runtimes/name_map.h"
#include "runtimes/residual_histogram.h"
#include "runtimes/run_observation.h"
#include "runtimes/run_time_distribution.h"
#include "runtimes/run_time_summary.h"
#include "runtimes/shift_detector.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// Levels of a queue and its teams, and the distribution of what they do not explain. Logarithms throughout.
class QueueRunTimes {
public:
    struct Team {
        Estimate level { 0, teamVariance };
        Estimate slope { 0, teamSlopeVariance };
        double spread = 1;
        uint32_t runs = 0;
        uint32_t runsInWindow = 0;
        float share = 0; // of the queue's runs lately
        uint64_t lastRunAt = 0;
    };
    // What depends on the executor and its place.
    struct Place {
        double log = 0; // expected logarithm of the factor on the run time
        double variance = 0;
    };
    // A run before it is learned from.
    struct Reading {
        Team* team = nullptr;
        double dx = 0; // estimate relative to the reference
        double logMs = 0; // of the run at a place of factor 1
        double residual = 0; // relative to the prediction with the step's common factor
        double parameterVariance = 0; // of all terms except the place and the step
        double stepVariance = 0;
        double noise = 0; // variance of the run itself
        double effectiveNoise = 0; // `noise`, larger if runs of one step cannot be told apart
        double variance() const { return parameterVariance + stepVariance + noise; }
    };

    explicit QueueRunTimes(size_t maxTeams)
        : m_maxTeams(maxTeams)
    {
    }

    // Returns how far a run is from its prediction, and counts the run in the distributions. The result is valid until
    // the next call.
    Reading read(const RunObservation&, const Place&);
    // Moves the levels. `innovation` is the residual after the executor's phase is known, `variance` its total
    // variance, and `weight` (0 to 1) the probability that the run says something on its queue.
    void learn(const RunObservation&, const Reading&, double innovation, double variance, double weight);
    // Returns the factor by which the run times were found to have changed since the last call.
    std::optional<double> takeShift();

    RunTimeDistribution predict(std::string_view team, uint64_t estimateMs, uint64_t step) const;
    // Returns the prediction for a queue without runs.
    static RunTimeDistribution predictUnknown(uint64_t estimateMs);

    // Follows a division of the speeds of all executors by exp(`log`).
    void onSpeedsNormalized(double log);
    // Returns the memory of a queue without its teams.
    static constexpr size_t memoryBytes() { return sizeof(QueueRunTimes) + recentSteps * sizeof(Step); }
    uint64_t lastRunAt() const { return m_lastRunAt; }
    void setLastRunAt(uint64_t record) { m_lastRunAt = record; }
    uint64_t runs() const { return m_runs; }
    uint64_t completeRuns() const { return m_completeRuns; }
    uint64_t runsWithinMedian() const { return m_withinMedian; }
    uint64_t runsWithin90() const { return m_within90; }

    RunTimeSummary::Queue summarize() const;
    void restore(const RunTimeSummary::Queue&);

private:
    struct Step {
        uint64_t key = 0;
        Estimate common; // the deviation that the step's tasks share
        uint32_t runs = 0;
    };

    // Priors. Estimates are off by up to a factor of 2, and the run times of one kind have sigma 0.5.
    static constexpr double levelVariance = 0.5;
    static constexpr double slopeVariance = 0.06;
    static constexpr double defaultSlope = 0.8;
    static constexpr double teamVariance = 0.1;
    static constexpr double teamSlopeVariance = 0.03;
    static constexpr double defaultVariance = 0.36;
    static constexpr double defaultTaskVariance = 0.04;
    static constexpr size_t recentSteps = 256;

    Team& teamAt(std::string_view);
    Step* stepAt(uint64_t key);
    const Step* knownStep(uint64_t key) const;
    double influenceOf(const Team&) const;
    double clampDx(double dx) const;
    void begin(double logEstimate, bool hasEstimate, double logTook);
    void learnReference(double logEstimate, double influence);
    void detectMisfit(double scaled, double raw);
    void closeWindow();
    void evictTeams();

    size_t m_maxTeams;
    NameMap<Team> m_teams;
    std::vector<Step> m_steps; // by hash of the key; a newer step replaces an older one
    Estimate m_level { 0, levelVariance };
    Estimate m_slope { defaultSlope, slopeVariance };
    double m_reference = 0; // logarithm of the estimate at which the level holds
    double m_placeVariance = 0; // usual uncertainty of the place
    double m_referenceSpread = 0.5; // variance of estimates around the reference
    double m_variance = defaultVariance;
    double m_taskVariance = defaultTaskVariance;
    ResidualHistogram m_residuals;
    ResidualHistogram m_taskResiduals;

    double m_high = 0; // cumulative sums of innovations
    double m_low = 0;
    double m_recentInnovation = 0;
    ShiftDetector m_shiftDetector;
    std::optional<double> m_shift;

    uint64_t m_runs = 0;
    uint64_t m_lastRunAt = 0;
    uint32_t m_window = 0; // runs in the present window of shares
    size_t m_activeTeams = 1;
    uint64_t m_completeRuns = 0;
    uint64_t m_withinMedian = 0;
    uint64_t m_within90 = 0;
};

} // namespace teasel
