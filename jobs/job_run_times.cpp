// JobLeader: what finished runs show about run times and executors.
#include "jobs/job_leader.h"
#include "jobs/run_time_messages.h"

#include <absl/hash/hash.h>

#include <algorithm>

namespace teasel {

namespace {

    constexpr double slownessWeight = 0.2; // weight of the newest run in the moving average
    constexpr double minSlowness = 0.3;
    constexpr double maxSlowness = 8.0;

    uint64_t stepHash(const StepKey& it) { return absl::HashOf(it.job, it.occurrence, it.step); }

} // namespace

double JobLeader::expectedMs(const schema::JobRequest& request, const schema::JobStep& step) const
{
    if (m_options.usesLearnedRunTimes)
        return m_runTimeModel.predict(request.queue(), request.team(), step.estimate_ms()).median();
    return m_runTimes.expectedMs(request.queue(), step.estimate_ms());
}

void JobLeader::restoreRunTimes()
{
    m_runTimeModel = {};
    m_runTimeModel.restore(fromMessage(m_state.runTimes()));
    m_nextRunTimeRecordAt = m_now + m_options.runTimeRecordInterval;
    m_hasNewRunTimes = false;
}

void JobLeader::recordLearnedRunTimes()
{
    if (!m_hasNewRunTimes || m_now < m_nextRunTimeRecordAt)
        return;
    m_nextRunTimeRecordAt = m_now + m_options.runTimeRecordInterval;
    m_hasNewRunTimes = false;
    *change().mutable_run_times() = toMessage(m_runTimeModel.summarize());
    for (const auto& it : m_runTimeModel.takeShifts())
        log("run_times_shifted",
            { { "queue", it.queue }, { "factor", std::to_string(it.factor) }, { "runs", std::to_string(it.runs) } });
    for (const auto& it : m_runTimeModel.calibration())
        log("run_times_calibration",
            { { "queue", it.queue }, { "runs", std::to_string(it.runs) },
                { "within_median", std::to_string(it.withinMedian) }, { "within_90", std::to_string(it.within90) } });
}

void JobLeader::learnRunTime(const LiveExecutor& executor, const TaskKey& key, const LiveRun& run, bool isComplete)
{
    if (!m_options.usesLearnedRunTimes && !m_options.usesLearnedSpeeds)
        return;
    const auto* job = m_state.find(key.step.job);
    const auto* state = executorState(executor.number);
    if (job == nullptr || job->hasEnded() || state == nullptr)
        return;
    const auto& spec = job->request.steps(static_cast<int>(key.step.step));
    if (spec.lasting())
        return;
    RunObservation it;
    it.queue = job->request.queue();
    it.team = job->request.team();
    it.executor = state->record.id();
    it.estimateMs = spec.estimate_ms();
    it.step = stepHash(key.step);
    it.tasks = spec.count();
    it.tookMs = std::chrono::duration<double, std::milli>(m_now - run.startedAt).count();
    it.isRemote = !spec.data_rack().empty() && spec.data_rack() != state->record.rack();
    it.isComplete = isComplete;
    it.isFromCheckpoint = !run.isFromStart;
    m_runTimeModel.record(it);
    m_hasNewRunTimes = true;
}

void JobLeader::recordRunTime(LiveExecutor& executor, const TaskKey& key, const LiveRun& run)
{
    m_failures.recordSuccess(executor.number);
    executor.quarantineCount = 0;
    const auto* job = m_state.find(key.step.job);
    if (!run.isFromStart || job == nullptr || job->hasEnded())
        return;
    learnRunTime(executor, key, run, true);
    if (m_options.usesLearnedSpeeds) {
        const auto* state = executorState(executor.number);
        executor.slowness = 1 / std::max(1 / maxSlowness, m_runTimeModel.speedOf(state->record.id()).factor);
    }
    const auto& spec = job->request.steps(static_cast<int>(key.step.step));
    const double took = std::chrono::duration<double, std::milli>(m_now - run.startedAt).count();
    const double expected = std::max(1.0, m_runTimes.expectedMs(job->request.queue(), spec.estimate_ms()));
    const double ratio = std::min(maxSlowness, std::max(minSlowness, took / expected));
    if (!m_options.usesLearnedSpeeds)
        executor.slowness += slownessWeight * (ratio - executor.slowness);
    m_runTimes.onDone(run.queue, spec.estimate_ms(), took);
}

} // namespace teasel
