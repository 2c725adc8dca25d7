// JobState: crashes and losses of executors, and the tasks that may cause them.
#include "jobs/job_state.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds lossRetention = std::chrono::hours(1); // many times what a task takes to lose its executors

    bool isLastingTask(const JobRecord& job, const TaskKey& key)
    {
        return job.request.steps(static_cast<int>(key.step.step)).lasting();
    }

    // Lasting tasks lose many executors in their time, so that only crashes at their start may be their fault.
    uint32_t suspiciousCrashes(const TaskRecord& task, bool isLasting)
    {
        return isLasting ? task.crashesAtStart : task.crashes;
    }

} // namespace

bool JobState::isStartHeld(const TaskKey& key) const
{
    const auto* task = find(key);
    return task != nullptr && task->losses > 0
        && suspiciousCrashes(*task, isLastingTask(m_jobs.at(key.step.job), key)) + task->losses >= maxCrashes;
}

void JobState::giveUpIfDeadly(const TaskKey& key)
{
    const auto job = m_jobs.find(key.step.job);
    const auto* task = mutableTask(key);
    if (job == m_jobs.end() || job->second.hasEnded() || task == nullptr || task->done)
        return;
    const bool isLasting = isLastingTask(job->second, key);
    const bool isDeadly = task->crashesAtStart >= maxCrashesAtStart
        || suspiciousCrashes(*task, isLasting) + task->finalLosses >= maxCrashes;
    if (!isDeadly)
        return;
    job->second.failure = { key, "crashes", task->failures, task->crashes, task->crashesAtStart, task->finalLosses };
    endJob(job->second, JobPhase::Failed);
}

void JobState::applyCrashed(const schema::RunCrash& crash)
{
    const auto key = toKey(crash.task());
    const auto job = m_jobs.find(key.step.job);
    auto* task = mutableTask(key);
    if (job == m_jobs.end() || job->second.hasEnded() || task == nullptr || task->done
        || crash.run() <= task->lastCrashedRun || !(crash.proven() || crash.at_start()))
        return;
    task->lastCrashedRun = crash.run();
    ++task->crashes;
    task->crashesAtStart += crash.at_start() ? 1 : 0;
    for (auto& [incarnation, loss] : m_losses) {
        if (loss.runs.erase({ key, crash.run() }) == 0)
            continue;
        --task->losses;
        task->finalLosses -= loss.isRemoved ? 1 : 0;
    }
    giveUpIfDeadly(key);
}

void JobState::applyExecutorLost(const schema::ExecutorLoss& lost)
{
    auto loss = lost;
    loss.set_lost_at_ms(m_wallMs);
    loss.set_removed(false);
    addLosses(loss);
}

void JobState::addLosses(const schema::ExecutorLoss& lost)
{
    auto& loss = m_losses[{ lost.executor(), lost.born_ms() }];
    loss.lostAtMs = lost.lost_at_ms();
    loss.isRemoved = loss.isRemoved || lost.removed();
    for (const auto& it : lost.runs()) {
        const auto key = toKey(it.task());
        auto* task = mutableTask(key);
        // A start that was sent once is counted once, whichever incarnation it may have reached.
        if (task == nullptr || task->done || it.run() <= task->lastCrashedRun || isLostRun(key, it.run()))
            continue;
        loss.runs.emplace(key, it.run());
        ++task->losses;
        task->finalLosses += loss.isRemoved ? 1 : 0;
    }
    if (loss.runs.empty())
        m_losses.erase({ lost.executor(), lost.born_ms() });
}

bool JobState::isLostRun(const TaskKey& key, uint32_t run) const
{
    return std::any_of(m_losses.begin(), m_losses.end(), [&](const auto& it) {
        return it.second.runs.contains({ key, run });
    });
}

void JobState::applyExecutorReturned(uint32_t number)
{
    const auto executor = m_executors.find(number);
    if (executor == m_executors.end())
        return;
    const auto found = m_losses.find({ executor->second.record.id(), executor->second.record.born_ms() });
    if (found == m_losses.end())
        return;
    for (const auto& [key, run] : found->second.runs) {
        if (auto* task = mutableTask(key)) {
            --task->losses;
            task->finalLosses -= found->second.isRemoved ? 1 : 0;
        }
    }
    m_losses.erase(found);
}

void JobState::applyExecutorRemoved(uint32_t number)
{
    const auto executor = m_executors.find(number);
    if (executor == m_executors.end())
        return;
    const auto found = m_losses.find({ executor->second.record.id(), executor->second.record.born_ms() });
    m_executors.erase(executor);
    if (found == m_losses.end() || std::exchange(found->second.isRemoved, true))
        return;
    const auto runs = found->second.runs; // The end of a job changes the losses.
    for (const auto& [key, run] : runs) {
        auto* task = mutableTask(key);
        if (task == nullptr)
            continue;
        ++task->finalLosses;
        giveUpIfDeadly(key);
    }
}

void JobState::forgetLossesOf(uint64_t job)
{
    absl::erase_if(m_losses, [&](auto& it) {
        absl::erase_if(it.second.runs, [&](const auto& run) { return run.first.step.job == job; });
        return it.second.runs.empty();
    });
}

void JobState::forgetOldLosses()
{
    const auto kept = static_cast<uint64_t>(lossRetention.count());
    absl::erase_if(m_losses, [&](const auto& it) {
        if (it.second.lostAtMs + kept >= m_wallMs)
            return false;
        for (const auto& [key, run] : it.second.runs) {
            if (auto* task = mutableTask(key)) {
                --task->losses;
                task->finalLosses -= it.second.isRemoved ? 1 : 0;
            }
        }
        return true;
    });
}

} // namespace teasel
