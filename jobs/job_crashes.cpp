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
        if (!run.isOpen() || ((run.isMoved || run.isRefused) && !run.isConfirmed))
            continue;
        // The crash came after the executor's last answer.
        const bool isNew = !run.hasWorkedBefore && executor.lastAnswerAt - run.startedAt < m_options.crashAtStartWindow;
        const bool isRunning = run.stage == RunStage::Running && run.isConfirmed;
        const bool isInherited = run.stage == RunStage::Inherited && run.isConfirmed;
        const bool mayBeCause = isNew || (!isRunning && !run.hasWorkedBefore);
        out.push_back({ key, run.run, isRunning || isInherited, isNew && isRunning, mayBeCause });
    }
    return out;
}

void JobLeader::recordCrash(LiveExecutor& executor, RunEvidence evidence)
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
    const bool hasLosses = recordLosses(executor, runs, evidence);
    const auto* state = executorState(executor.number);
    if (state == nullptr || (!hasLosses && executor.lostAt == Instant()))
        return;
    executor.lostAt = Instant();
    confirmLoss(state->record.id(), state->record.born_ms());
}

void JobLeader::confirmLoss(const std::string& executor, uint64_t bornMs)
{
    log("executor_loss_confirmed", { { "executor", executor }, { "born", std::to_string(bornMs) } });
    auto& crashed = *change().mutable_executor_crashed();
    crashed.set_executor(executor);
    crashed.set_born_ms(bornMs);
    m_batch.continuations.emplace_back(LossesChangedWhenCommitted {});
}

void JobLeader::confirmEarlierLosses(const schema::ExecutorRecord& record)
{
    for (const auto bornMs : m_state.lostIncarnations(record.id())) {
        if (bornMs < record.born_ms())
            confirmLoss(record.id(), bornMs);
    }
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
    if (recordLosses(executor, runsInCrash(executor), RunEvidence::LeaseExpired))
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
        log("run_lost",
            { { "task", taskText(it.task) }, { "run", std::to_string(it.run) }, { "executor", state->record.id() },
                { "evidence", std::string(toText(evidence)) }, { "may_be_cause", it.mayBeCause ? "true" : "false" },
                { "losses", std::to_string(task->losses + (it.mayBeCause ? 1 : 0)) } });
        auto& run = *lost.add_runs();
        fillRef(it.task, *run.mutable_task());
        run.set_run(it.run);
        run.set_may_be_cause(it.mayBeCause);
        m_lostTasks.insert(it.task);
    }
    if (lost.runs().empty())
        return false;
    lost.set_executor(state->record.id());
    lost.set_born_ms(state->record.born_ms());
    *change().mutable_executor_lost() = std::move(lost);
    m_batch.continuations.emplace_back(LossesChangedWhenCommitted {});
    return true;
}

void JobLeader::refuteLoss(LiveExecutor& executor, std::string_view reason)
{
    executor.lostAt = Instant();
    log("executor_loss_refuted",
        { { "executor", executorState(executor.number)->record.id() }, { "reason", std::string(reason) } });
    change().set_executor_returned(executor.number);
    m_batch.continuations.emplace_back(LossesChangedWhenCommitted {});
}

void JobLeader::holdStart(const TaskKey& key)
{
    if (m_heldTasks.insert(key).second)
        log("start_held", { { "task", taskText(key) }, { "reason", "its executors were lost and may have crashed" } });
}

void JobLeader::reviewLostTasks()
{
    if (!std::exchange(m_mustReviewLostTasks, false))
        return;
    const auto tasks = m_lostTasks; // The end of a job removes its tasks.
    for (const auto& it : tasks) {
        const auto* job = m_state.find(it.step.job);
        if (job != nullptr && job->hasEnded()) {
            onJobEnded(it.step.job);
            continue;
        }
        const auto* task = m_state.find(it);
        if (task != nullptr && !m_state.isStartHeld(it) && m_heldTasks.erase(it) > 0)
            updateWaitingTask(it);
        if (task == nullptr || task->done)
            m_lostTasks.erase(it);
    }
}

} // namespace teasel
