// JobLeader: crashes of executors, and the tasks that may cause them. Such a task would crash one executor after the
// other, together with all that runs there.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds startBatchTime { 50 }; // within which starts that were planned together are sent

    bool isStartUnanswered(const LiveRun& it)
    {
        return it.stage == RunStage::Starting || it.stage == RunStage::UnknownOutcome;
    }

} // namespace

bool JobLeader::isSuspect(const TaskKey& key) const
{
    const auto* task = m_state.find(key);
    return task != nullptr && task->crashesAtStart > 0;
}

std::vector<CrashedRun> JobLeader::runsInCrash(const LiveExecutor& executor) const
{
    auto firstUnanswered = Instant::max();
    for (const auto& [key, run] : executor.runs) {
        if (isStartUnanswered(run))
            firstUnanswered = std::min(firstUnanswered, run.startedAt);
    }
    std::vector<CrashedRun> out;
    for (const auto& [key, run] : executor.runs) {
        if (!run.isOpen() || ((run.isMoved || run.isRefused) && !run.isConfirmed))
            continue;
        // Of the starts that it did not answer, only the first ones can have reached it.
        if (isStartUnanswered(run) && run.startedAt - firstUnanswered >= startBatchTime)
            continue;
        // The crash came after the executor's last answer.
        const bool isNew = executor.lastAnswerAt - run.startedAt < m_options.crashAtStartWindow;
        out.push_back({ key, run.run, isNew && run.stage == RunStage::Running });
    }
    return out;
}

void JobLeader::recordCrash(const LiveExecutor& executor, RunEvidence evidence)
{
    if (executor.isDraining) // It may have left as announced.
        return;
    const auto runs = runsInCrash(executor);
    // A task under which an executor crashed before explains the crash; others that had just started are not suspected.
    const bool isExplained
        = std::any_of(runs.begin(), runs.end(), [&](const auto& it) { return it.isAtStart && isSuspect(it.task); });
    for (const auto& it : runs)
        recordCrash(executor, { it.task, it.run, it.isAtStart && (!isExplained || isSuspect(it.task)) }, evidence);
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
    m_batch.continuations.emplace_back(CrashWhenCommitted { it.task.step.job });
}

} // namespace teasel
