#include "jobs/failure_comparison.h"

#include <optional>
#include <utility>

namespace teasel {

namespace {

    constexpr size_t maxFailuresKept = 32; // of one executor
    constexpr Milliseconds forgetInterval { 1'000 };
    constexpr size_t executorsThatProveFault = 2;

} // namespace

FailureComparison::FailureComparison(
    std::function<bool(const TaskKey&)> isDone, std::function<size_t(const StepKey&, const Executors&)> soundTasks)
    : m_isDone(std::move(isDone))
    , m_soundTasks(std::move(soundTasks))
{
}

void FailureComparison::recordFailure(uint32_t executor, const TaskKey& task, Instant now)
{
    forgetOld(now);
    auto& step = m_steps[task.step];
    step.byTask[task.index].insert(executor);
    step.executors.insert(executor);
    step.lastAt = now;
    auto& failures = m_failuresSinceSuccess[executor];
    failures.push_back({ task, now });
    if (failures.size() > maxFailuresKept)
        failures.pop_front();
}

void FailureComparison::clear()
{
    m_steps.clear();
    m_failuresSinceSuccess.clear();
    m_forgetAt = {};
}

size_t FailureComparison::failuresInRow(uint32_t executor, Instant now) const
{
    const auto found = m_failuresSinceSuccess.find(executor);
    if (found == m_failuresSinceSuccess.end())
        return 0;
    size_t out = 0;
    std::optional<uint64_t> lastJob;
    for (const auto& it : found->second) {
        if (now - it.at > memory || isTaskAtFault(it.task))
            continue;
        out += lastJob == it.task.step.job ? 0 : 1;
        lastJob = it.task.step.job;
    }
    return out;
}

bool FailureComparison::isTaskAtFault(const TaskKey& task) const
{
    const auto found = m_steps.find(task.step);
    if (found == m_steps.end() || m_isDone(task))
        return false;
    const auto& step = found->second;
    if (step.executors.size() < executorsThatProveFault)
        return false;
    const auto ofTask = step.byTask.find(task.index);
    if (ofTask != step.byTask.end() && ofTask->second.size() >= executorsThatProveFault)
        return true;
    return step.executors.size() > m_soundTasks(task.step, step.executors);
}

FailureComparison::Executors FailureComparison::executorsOf(const StepKey& step) const
{
    const auto found = m_steps.find(step);
    return found == m_steps.end() ? Executors() : found->second.executors;
}

void FailureComparison::forgetOld(Instant now)
{
    if (now < m_forgetAt)
        return;
    m_forgetAt = now + forgetInterval;
    absl::erase_if(m_steps, [&](const auto& it) { return now - it.second.lastAt > memory; });
}

} // namespace teasel
