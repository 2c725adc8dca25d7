// JobLeader: quarantine of executors that fail the tasks of several jobs.
#include "jobs/job_leader.h"

#include <algorithm>
#include <limits>

namespace teasel {

namespace {

    constexpr unsigned maxQuarantineDoublings = 2;
    // One in so many of the executors that may run a waiting task may be in quarantine. More failing ones have a cause
    // in common.
    constexpr size_t executorsPerQuarantine = 4;

} // namespace

size_t JobLeader::soundTasks(const StepKey& key, const FailureComparison::Executors& failing) const
{
    const auto* job = m_state.find(key.job);
    if (job == nullptr || (job->hasEnded() && job->phase != JobPhase::Completed))
        return 0;
    const auto open = job->open.find(key.occurrence);
    if (job->hasEnded() || open == job->open.end()) // All tasks of the occurrence are done.
        return std::numeric_limits<size_t>::max();
    size_t out = open->second.steps[key.step].doneTasks;
    for (const auto& it : m_runIndex.ofStep(key)) {
        const auto& runs = m_executors.at(it.executor).runs;
        const auto run = runs.find(it.task);
        const bool isRunning = run != runs.end() && run->second.stage == RunStage::Running;
        out += isRunning && !failing.contains(it.executor) ? 1 : 0;
    }
    return out;
}

bool JobLeader::hasSucceeded(const TaskKey& key) const
{
    const auto* job = m_state.find(key.step.job);
    const auto* task = m_state.find(key);
    return (task != nullptr && task->done) || (job != nullptr && job->phase == JobPhase::Completed);
}

void JobLeader::recordFailure(LiveExecutor& executor, const TaskKey& key, const LiveRun& run)
{
    m_failures.recordFailure(executor.number, key, m_now);
    for (const auto number : m_failures.executorsOf(key.step)) {
        auto* other = findExecutor(number);
        if (other == nullptr || other->quarantinedUntil <= m_now
            || m_failures.failuresInRow(number, m_now) >= m_options.quarantineFailures)
            continue;
        other->quarantineCount -= std::min(other->quarantineCount, 1U);
        endQuarantine(*other, "its tasks fail on other executors as well");
    }
    // Runs that were started before a quarantine say nothing about the time after it.
    if (run.startedAt < executor.quarantinedUntil || m_failures.isTaskAtFault(key))
        return;
    const auto failures = m_failures.failuresInRow(executor.number, m_now);
    if (failures < m_options.quarantineFailures)
        return;
    const auto time = m_options.quarantineTime * (1U << std::min(executor.quarantineCount, maxQuarantineDoublings));
    ++executor.quarantineCount;
    executor.quarantinedUntil = m_now + time;
    const auto* state = executorState(executor.number);
    log("executor_quarantined",
        { { "executor", state == nullptr ? "" : state->record.id() }, { "for_ms", std::to_string(time.count()) },
            { "failures_in_row", std::to_string(failures) } });
}

void JobLeader::endQuarantine(LiveExecutor& executor, std::string_view reason)
{
    executor.quarantinedUntil = m_now;
    m_mustPlan = true;
    const auto* state = executorState(executor.number);
    log("executor_quarantine_ended",
        { { "executor", state == nullptr ? "" : state->record.id() }, { "reason", std::string(reason) } });
}

void JobLeader::limitQuarantines()
{
    const auto mayRun = [this](const ReadyStep& step, const LiveExecutor& it) {
        const auto* state = executorState(it.number);
        return state != nullptr && mayRunOn(step, state->record.service(), regionOf(*state), state->record.labels());
    };
    std::vector<LiveExecutor*> quarantined;
    for (auto& [number, it] : m_executors) {
        if (it.quarantinedUntil > m_now && isInService(it) && !isEvacuated(it))
            quarantined.push_back(&it);
    }
    if (quarantined.empty())
        return;
    std::stable_sort(quarantined.begin(), quarantined.end(),
        [](const auto* a, const auto* b) { return a->quarantinedUntil < b->quarantinedUntil; });
    absl::flat_hash_set<std::string> examined;
    for (const auto& [key, step] : m_readySteps) {
        if (step.waiting.empty() || !examined.insert(constraintKeyOf(step)).second)
            continue;
        auto inQuarantine = quarantined;
        std::erase_if(inQuarantine,
            [&, &step = step](const auto* it) { return it->quarantinedUntil <= m_now || !mayRun(step, *it); });
        if (inQuarantine.empty())
            continue;
        const auto all = static_cast<size_t>(
            std::count_if(m_executors.begin(), m_executors.end(), [&, &step = step](const auto& it) {
                return isInService(it.second) && !isEvacuated(it.second) && mayRun(step, it.second);
            }));
        const auto allowed = std::min(std::max<size_t>(1, all / executorsPerQuarantine), all - 1);
        for (size_t n = 0; n + allowed < inQuarantine.size(); ++n)
            endQuarantine(*inQuarantine[n], "too few others are left for waiting tasks");
    }
}

} // namespace teasel
