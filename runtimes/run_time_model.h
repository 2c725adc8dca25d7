// Learns run times from finished runs.
#pragma once

#include "runtimes/executor_speed.h"
#include "runtimes/executor_speeds.h"
#include "runtimes/name_map.h"
#include "runtimes/queue_run_times.h"
#include "runtimes/run_observation.h"
#include "runtimes/run_time_distribution.h"
#include "runtimes/run_time_summary.h"

#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// A queue whose run times changed by more than a quarter.
struct RunTimeShift {
    std::string queue;
    double factor = 1; // new level of the run times over the earlier one
    uint64_t runs = 0; // number of runs of the queue when the shift was established
};

// How well the predictions of a queue hold; complete runs only.
struct RunTimeCalibration {
    std::string queue;
    uint64_t runs = 0;
    uint64_t withinMedian = 0; // runs that ended within their predicted 50% quantile
    uint64_t within90 = 0; // within their 90% quantile
};

// log run time = level of the queue + level of the team + slope * log estimate + step - log speed of the executor
// + remote factor + noise. Every term has a variance; a run moves each term by its share of the total variance, so that
// terms with few runs learn fast and shrink toward the level above them (design/run-times.md).
//
// Does no I/O, reads no clock, and does not throw for any input. Not thread-safe. record() and predict() take constant
// time, except that eviction and normalisation pass over all executors once in several hundred records.
class RunTimeModel {
public:
    static constexpr size_t maxQueues = 64; // the ones used least recently are evicted, as for teams and executors
    static constexpr size_t maxTeams = 512; // of a queue
    static constexpr size_t maxExecutors = 4'096;

    RunTimeModel();

    // Learns from the end of a run. Runs from a checkpoint, and times that are negative or not finite,
    // are ignored. Times and estimates are clamped to 1 ms to 7 days.
    void record(const RunObservation&);
    // Predicts the run time of a task. `step` as in RunObservation: if tasks of the same step have ended, their
    // common deviation from the estimate is taken into account. Without any runs the median is the estimate, and
    // 1 s if there is no estimate either.
    RunTimeDistribution predict(
        std::string_view queue, std::string_view team, uint64_t estimateMs, uint64_t step = 0) const;
    // Returns the speed of an executor; factor 1 if it is unknown.
    ExecutorSpeed speedOf(std::string_view executor) const { return m_executors.speedOf(executor); }
    // Returns the factor on the run time of a task away from its data.
    double remoteFactor() const;

    // Forgets an executor, such as one that left for good.
    void eraseExecutor(std::string_view executor) { m_executors.erase(executor); }

    // Returns the shifts found since the last call.
    std::vector<RunTimeShift> takeShifts();
    // Returns counts since the model was created; they are not part of the summary.
    std::vector<RunTimeCalibration> calibration() const;

    RunTimeSummary summarize() const;
    // Replaces the state by a summary. Values out of range are clamped.
    void restore(const RunTimeSummary&);

private:
    QueueRunTimes& queueAt(std::string_view);
    void normalize();

    NameMap<QueueRunTimes> m_queues;
    ExecutorSpeeds m_executors;
    Estimate m_remote; // logarithm of the factor
    std::vector<RunTimeShift> m_shifts;
    uint64_t m_records = 0;
};

} // namespace teasel
