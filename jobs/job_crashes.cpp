// JobLeader: crashes of executors, and the tasks that may cause them. Such a task would crash one executor after the
// other, together with all that runs there.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

bool JobLeader::isSuspect(const TaskKey& key) const
{
    const auto* task = m_state.find(key);
    return task != nullptr && task->crashesAtStart > 0;
}

std::vector<CrashedRun> JobLeader::runsInCrash(const LiveExecutor& executor) const
{
    std::vector<CrashedRun> out;
    for (const auto& [key, run] : executor.runs) {
        const bool isUnsent = run.stage == RunStage::Committing || run.stage == RunStage::Ending;
        if (isUnsent || ((run.isMoved || run.isRefused) && !run.isConfirmed))
            continue;
        // The crash came after the executor's last answer.
        const bool isNew = executor.lastAnswerAt - run.startedAt < m_options.crashAtStartWindow;
        const bool isRunning = run.stage == RunStage::Running;
        const bool isShown = isRunning || (run.stage == RunStage::Inherited && run.isConfirmed);
        out.push_back({ key, run.run, isShown, isNew && isRunning, isNew || !isRunning });
    }
    return out;
}

void JobLeader::recordCrash(const LiveExecutor& executor, RunEvidence evidence)
{
    if (executor.isDraining || executor.hasLeft()) // It may have left as announced.
        return;
    auto runs = runsInCrash(executor);
    // A task under which an executor crashed before explains the crash; others that had just started are not suspected.
    const bool isExplained
        = std::any_of(runs.begin(), runs.end(), [&](const auto& it) { return it.isAtStart && isSuspect(it.task); });
    for (auto& it : runs) {
        it.isAtStart = it.isAtStart && (!isExplained || isSuspect(it.task));
        if (it.isShown)
            recordCrash(executor, it, evidence);
    }
    // Nothing shows whether the other starts had reached it.
    std::erase_if(runs, [](const auto& it) { return it.isShown; });
    recordLosses(executor, runs, evidence);
}

void JobLeader::recordCrash(const LiveExecutor& executor, const CrashedRun& it, RunEvidence evidence)
{
    const auto* task = m_state.find(it.task);
    if (task == nullptr || task->done)
        return;
    const auto* state = executorState(executor.number);
    log("run_crashed",
        { { "task", taskText(it.task) }, { "run", std::to_string(it.run) },
            { "executor", state == nullptr ? "" : state->record.id() }, { "evidence", std::string(toText(evidence)) },
            { "at_start", it.isAtStart ? "true" : "false" }, { "crashes", std::to_string(task->crashes + 1) },
            { "crashes_at_start", std::to_string(task->crashesAtStart + (it.isAtStart ? 1 : 0)) } });
    auto& crash = *change().mutable_crashed();
    fillRef(it.task, *crash.mutable_task());
    crash.set_run(it.run);
    crash.set_at_start(it.isAtStart);
    crash.set_proven(true);
    m_batch.continuations.emplace_back(CrashWhenCommitted { it.task.step.job });
}

void JobLeader::recordLapse(LiveExecutor& executor)
{
    if (executor.isDraining || executor.hasLeft()) // It may have left as announced.
        return;
    auto runs = runsInCrash(executor);
    std::erase_if(runs, [](const auto& it) { return !it.mayBeCause; });
    if (recordLosses(executor, runs, RunEvidence::LeaseExpired))
        executor.lostAt = m_now;
}

bool JobLeader::recordLosses(const LiveExecutor& executor, std::span<const CrashedRun> runs, RunEvidence evidence)
{
    const auto* state = executorState(executor.number);
    if (state == nullptr)
        return false;
    schema::ExecutorLoss lost;
    for (const auto& it : runs) {
        const auto* task = m_state.find(it.task);
        if (task == nullptr || task->done)
            continue;
        log("run_lost_at_start",
            { { "task", taskText(it.task) }, { "run", std::to_string(it.run) }, { "executor", state->record.id() },
                { "evidence", std::string(toText(evidence)) }, { "losses", std::to_string(task->losses + 1) } });
        auto& run = *lost.add_runs();
        fillRef(it.task, *run.mutable_task());
        run.set_run(it.run);
    }
    if (lost.runs().empty())
        return false;
    lost.set_executor(state->record.id());
    lost.set_born_ms(state->record.born_ms());
    *change().mutable_executor_lost() = std::move(lost);
    return true;
}

void JobLeader::refuteLoss(LiveExecutor& executor, const PendingOrder& order)
{
    // It may have answered an earlier order before it crashed.
    if (executor.lostAt == Instant() || order.sentAt < executor.lostAt)
        return;
    executor.lostAt = Instant();
    log("executor_loss_refuted", { { "executor", executorState(executor.number)->record.id() } });
    change().set_executor_returned(executor.number);
    m_batch.continuations.emplace_back(LossRefutedWhenCommitted {});
}

void JobLeader::holdStart(const TaskKey& key)
{
    if (m_heldTasks.insert(key).second)
        log("start_held", { { "task", taskText(key) }, { "reason", "its executors were lost and may have crashed" } });
}

void JobLeader::reviewHeldTasks()
{
    for (const auto& it : std::exchange(m_heldTasks, {})) {
        const auto* job = m_state.find(it.step.job);
        if (job != nullptr && job->hasEnded())
            onJobEnded(it.step.job);
        else if (job != nullptr)
            updateWaitingTask(it);
    }
}

} // namespace teasel
