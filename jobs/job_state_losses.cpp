// JobState: crashes and losses of executors, and the tasks that may cause them.
#include "jobs/job_state.h"

#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds lossRetention = std::chrono::hours(1); // many times what a task takes to lose its executors

    bool isLastingTask(const JobRecord& job, const TaskKey& key)
    {
        return job.request.steps(static_cast<int>(key.step.step)).lasting();
    }

} // namespace

bool JobState::isStartHeld(const TaskKey& key) const
{
    const auto* task = find(key);
    return task != nullptr && task->losses > task->finalLosses && task->crashes + task->losses >= maxCrashes
        && !isLastingTask(m_jobs.at(key.step.job), key);
}

void JobState::giveUpIfDeadly(const TaskKey& key)
{
    const auto job = m_jobs.find(key.step.job);
    const auto* task = mutableTask(key);
    if (job == m_jobs.end() || job->second.hasEnded() || task == nullptr || task->done)
        return;
    // Lasting tasks lose many executors in their time, so that only crashes at their start may be their fault.
    const bool hasTooManyCrashes = !isLastingTask(job->second, key)
        && (task->crashes + task->finalLosses >= maxCrashes || task->unprovenCrashes >= maxCrashes);
    if (task->crashesAtStart < maxCrashesAtStart && !hasTooManyCrashes)
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
        || crash.run() <= task->lastCrashedRun)
        return;
    task->lastCrashedRun = crash.run();
    task->unprovenCrashes += crash.proven() ? 0 : 1;
    task->crashes += crash.proven() || crash.at_start() ? 1 : 0;
    task->crashesAtStart += crash.at_start() ? 1 : 0;
    dropLostRun({ key, crash.run() });
    giveUpIfDeadly(key);
}

void JobState::applyExecutorLost(const schema::ExecutorLoss& lost)
{
    dropOldLosses();
    addLoss(lost, m_wallMs, false);
}

void JobState::addLoss(const schema::ExecutorLoss& lost, uint64_t lostAtMs, bool isFinal)
{
    const IncarnationKey incarnation { lost.executor(), lost.born_ms() };
    for (const auto& it : lost.runs()) {
        const RunKey run { toKey(it.task()), it.run() };
        auto* task = mutableTask(run.first);
        // A start that was sent once counts once, whichever incarnation it may have reached.
        if (task == nullptr || !m_lostRuns.emplace(run, LostRunRecord { incarnation, it.may_be_cause() }).second)
            continue;
        const auto [loss, isNew] = m_losses.try_emplace(incarnation);
        if (isNew)
            loss->second = { lostAtMs, isFinal, {} };
        loss->second.runs.insert(run);
        task->losses += it.may_be_cause() ? 1 : 0;
        task->finalLosses += it.may_be_cause() && loss->second.isFinal ? 1 : 0;
    }
}

void JobState::dropLostRun(const RunKey& run)
{
    const auto lost = m_lostRuns.find(run);
    if (lost == m_lostRuns.end())
        return;
    const auto loss = m_losses.find(lost->second.incarnation);
    auto* task = mutableTask(run.first);
    if (task != nullptr && lost->second.mayBeCause) {
        --task->losses;
        task->finalLosses -= loss->second.isFinal ? 1 : 0;
    }
    m_lostRuns.erase(lost);
    loss->second.runs.erase(run);
    if (loss->second.runs.empty())
        m_losses.erase(loss);
}

void JobState::dropLoss(const IncarnationKey& incarnation)
{
    const auto loss = m_losses.find(incarnation);
    if (loss == m_losses.end())
        return;
    const auto runs = loss->second.runs; // The last one takes the record with it.
    for (const auto& it : runs)
        dropLostRun(it);
}

void JobState::dropLossesOf(uint64_t job)
{
    const RunKey first { { { job, 0, 0 }, 0 }, 0 };
    for (auto it = m_lostRuns.lower_bound(first); it != m_lostRuns.end() && it->first.first.step.job == job;
         it = m_lostRuns.lower_bound(first))
        dropLostRun(RunKey(it->first));
}

void JobState::dropOldLosses()
{
    const auto kept = static_cast<uint64_t>(lossRetention.count());
    std::vector<IncarnationKey> old;
    for (const auto& [incarnation, loss] : m_losses) {
        if (loss.lostAtMs + kept < m_wallMs)
            old.push_back(incarnation);
    }
    for (const auto& it : old)
        dropLoss(it);
}

void JobState::applyExecutorReturned(uint32_t number)
{
    const auto executor = m_executors.find(number);
    if (executor != m_executors.end())
        dropLoss({ executor->second.record.id(), executor->second.record.born_ms() });
}

void JobState::endIncarnation(const IncarnationKey& incarnation, bool hasSuccessor)
{
    const auto loss = m_losses.find(incarnation);
    if (loss == m_losses.end())
        return;
    const bool isNews = !std::exchange(loss->second.isFinal, true);
    // The end of a job changes the losses, and all counts must be right before the first one.
    const auto runs = loss->second.runs;
    for (const auto& it : runs) {
        auto* task = mutableTask(it.first);
        if (task == nullptr)
            continue;
        const bool mayBeCause = m_lostRuns.at(it).mayBeCause;
        task->finalLosses += isNews && mayBeCause ? 1 : 0;
        if (!hasSuccessor || (mayBeCause && !isLastingTask(m_jobs.at(it.first.step.job), it.first)))
            continue;
        dropLostRun(it);
        ++task->crashes;
        task->crashesAtStart += mayBeCause ? 1 : 0;
    }
    for (const auto& it : runs)
        giveUpIfDeadly(it.first);
}

void JobState::applyExecutorCrashed(const schema::ExecutorLoss& crashed)
{
    endIncarnation({ crashed.executor(), crashed.born_ms() }, true);
}

void JobState::applyExecutorRemoved(uint32_t number)
{
    const auto executor = m_executors.find(number);
    if (executor == m_executors.end())
        return;
    const auto& record = executor->second.record;
    const IncarnationKey incarnation { record.id(), record.born_ms() };
    if (record.draining()) // It may have left as announced.
        dropLoss(incarnation);
    else
        endIncarnation(incarnation, false);
    m_executors.erase(executor);
}

std::vector<uint64_t> JobState::lostIncarnations(const std::string& executor) const
{
    std::vector<uint64_t> out;
    for (auto it = m_losses.lower_bound({ executor, 0 }); it != m_losses.end() && it->first.first == executor; ++it)
        out.push_back(it->first.second);
    return out;
}

} // namespace teasel
