// JobLeader: evacuation of data centres.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds evacuationCheckInterval { 100 };
    constexpr uint32_t fullPercent = 100; // progress that a lasting task reports while it is at work

} // namespace

bool JobLeader::isEvacuated(const LiveExecutor& executor) const
{
    if (m_state.evacuations().empty())
        return false;
    const auto* state = executorState(executor.number);
    return state != nullptr && m_state.isEvacuated(state->record.zone());
}

void JobLeader::handleCall(uint64_t handle, OrderEvacuation& call)
{
    const auto& executors = m_state.executors();
    const bool isKnown = m_options.regions.contains(call.dataCentre)
        || std::any_of(executors.begin(), executors.end(),
            [&](const auto& it) { return it.second.record.zone() == call.dataCentre; });
    if (!isKnown) {
        log("evacuation_refused", { { "data_centre", call.dataCentre }, { "reason", "no such data centre" } });
        return answer(handle, { CallStatus::Unprocessable, "no such data centre" });
    }
    const auto proposed = m_proposedEvacuations.find(call.dataCentre);
    const bool wasActive = proposed != m_proposedEvacuations.end() && proposed->second;
    log(call.isActive ? "evacuation_ordered" : "evacuation_withdrawn",
        { { "data_centre", call.dataCentre }, { "repeated", wasActive == call.isActive ? "true" : "false" } });
    if (wasActive == call.isActive) { // The order may not be committed yet: the answer waits for it.
        m_batchContinuations.emplace_back(AnswerWhenCommitted { handle, {} });
        return;
    }
    m_proposedEvacuations[call.dataCentre] = call.isActive;
    auto& order = *change().mutable_evacuation();
    order.set_data_centre(call.dataCentre);
    order.set_active(call.isActive);
    order.set_ordered_at_ms(static_cast<uint64_t>(m_wall.time_since_epoch().count()));
    m_batchContinuations.emplace_back(EvacuationWhenCommitted { handle, call.dataCentre, call.isActive });
}

void JobLeader::execute(EvacuationWhenCommitted& it)
{
    m_nextEvacuationCheckAt = m_now;
    m_loadSummary.clear();
    m_mustPlan = true;
    log("evacuation_in_force", { { "data_centre", it.dataCentre }, { "active", it.isActive ? "true" : "false" } });
    answer(it.handle, {});
}

void JobLeader::handleCall(uint64_t handle, ListEvacuations&)
{
    CallAnswer reply;
    for (const auto& [dataCentre, it] : m_state.evacuations())
        reply.evacuations.push_back({ dataCentre, it.isActive, it.orderedAtMs });
    for (const auto& [number, executor] : m_executors) {
        const auto* state = executorState(number);
        const auto status = std::find_if(reply.evacuations.begin(), reply.evacuations.end(),
            [&](const auto& it) { return state != nullptr && it.dataCentre == state->record.zone(); });
        if (status == reply.evacuations.end())
            continue;
        for (const auto& [key, run] : executor.runs) {
            ++status->runs;
            const auto age = std::chrono::duration_cast<Milliseconds>(m_now - run.startedAt);
            status->oldestRunMs = std::max(status->oldestRunMs, static_cast<uint64_t>(age.count()));
            status->expectedEndMs
                = std::max(status->expectedEndMs, static_cast<uint64_t>(remainingMs(executor, key, run)));
        }
    }
    answer(handle, std::move(reply));
}

double JobLeader::remainingMs(const LiveExecutor& executor, const TaskKey& key, const LiveRun& run) const
{
    const auto step = m_readySteps.find(key.step);
    if (step == m_readySteps.end() || step->second.lasting)
        return 0;
    const double ranMs = std::chrono::duration<double, std::milli>(m_now - run.startedAt).count();
    return std::max(0.0, step->second.taskMs * executor.slowness - ranMs);
}

uint32_t JobLeader::unavailableTasks(const ReadyStep& step) const
{
    uint32_t available = 0;
    for (const auto& location : m_runIndex.ofStep(step.key)) {
        const auto& run = m_executors.at(location.executor).runs.at(location.task);
        available += run.stage == RunStage::Running && !run.mustStop && run.percent >= fullPercent ? 1 : 0;
    }
    return step.count - std::min(step.count, available);
}

void JobLeader::collectRunsToEvacuate(const LiveExecutor& executor, std::vector<EvacuationRun>& out) const
{
    for (const auto& [key, run] : executor.runs) {
        if (run.stage != RunStage::Running)
            continue;
        const auto step = m_readySteps.find(key.step);
        const auto* job = m_state.find(key.step.job);
        if (step == m_readySteps.end() || job == nullptr || job->hasEnded())
            continue;
        const auto& spec = job->request.steps(static_cast<int>(key.step.step));
        auto& it = out.emplace_back();
        it.task = key;
        it.executor = executor.number;
        it.need = run.need;
        it.remainingMs = remainingMs(executor, key, run);
        it.isGang = step->second.gang;
        it.isLasting = step->second.lasting;
        it.hasCheckpoint = step->second.checkpoints;
        it.isStopping = run.mustStop;
        it.unavailableTasks = it.isLasting ? unavailableTasks(step->second) : 0;
        it.mayMiss = spec.may_miss();
    }
}

void JobLeader::checkEvacuations()
{
    if (m_state.evacuations().empty() || m_now < m_nextEvacuationCheckAt)
        return;
    m_nextEvacuationCheckAt = m_now + evacuationCheckInterval;
    size_t runsLeft = 0;
    std::vector<EvacuationRun> runs;
    std::vector<ResourceVector> free;
    for (const auto& [number, it] : m_executors) {
        if (isEvacuated(it)) {
            runsLeft += it.runs.size();
            collectRunsToEvacuate(it, runs);
        } else if (isUsable(it)) {
            free.push_back(leftOf(it.capacity, it.used()));
        }
    }
    if (runsLeft == 0 && m_runsToEvacuate > 0)
        log("evacuation_completed", {});
    m_runsToEvacuate = runsLeft;
    const EvacuationPlanner planner({ m_options.evacuationTime });
    for (const auto n : planner.runsToStop(runs, free)) {
        auto& executor = m_executors.at(runs[n].executor);
        auto& run = executor.runs.at(runs[n].task);
        ++m_counters.evacuatedRuns;
        log("evacuation_run_moved",
            { { "task", taskText(runs[n].task) }, { "run", std::to_string(run.run) },
                { "executor", executorState(executor.number)->record.id() },
                { "remaining_ms", std::to_string(static_cast<int64_t>(runs[n].remainingMs)) },
                { "lasting", runs[n].isLasting ? "true" : "false" } });
        requestStop(executor, runs[n].task, run);
    }
}

} // namespace teasel
