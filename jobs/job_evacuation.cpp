// JobLeader: evacuation of data centres.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds evacuationCheckInterval { 100 };

} // namespace

bool JobLeader::isEvacuated(const LiveExecutor& executor) const
{
    if (m_state.evacuations().empty())
        return false;
    const auto* state = executorState(executor.number);
    return state != nullptr && m_state.isEvacuated(state->record.zone());
}

bool JobLeader::isKnownDataCentre(const std::string& name) const
{
    // An order that was accepted must be acknowledged again, also after all executors of the data centre are gone.
    if (m_options.regions.contains(name) || m_proposedEvacuations.contains(name))
        return true;
    const auto& executors = m_state.executors();
    return std::any_of(
        executors.begin(), executors.end(), [&](const auto& it) { return it.second.record.zone() == name; });
}

void JobLeader::handleCall(uint64_t handle, OrderEvacuation& call)
{
    if (!isKnownDataCentre(call.dataCentre)) {
        log("evacuation_refused", { { "data_centre", call.dataCentre }, { "reason", "no such data centre" } });
        return answer(handle, { CallStatus::Unprocessable, "no such data centre" });
    }
    const auto proposed = m_proposedEvacuations.find(call.dataCentre);
    const bool wasActive = proposed != m_proposedEvacuations.end() && proposed->second;
    log(call.isActive ? "evacuation_ordered" : "evacuation_withdrawn",
        { { "data_centre", call.dataCentre }, { "repeated", wasActive == call.isActive ? "true" : "false" } });
    if (wasActive == call.isActive) { // The order may not be committed yet: the answer waits for it.
        m_batch.continuations.emplace_back(AnswerWhenCommitted { handle, {} });
        return;
    }
    m_proposedEvacuations[call.dataCentre] = call.isActive;
    auto& order = *change().mutable_evacuation();
    order.set_data_centre(call.dataCentre);
    order.set_active(call.isActive);
    order.set_ordered_at_ms(static_cast<uint64_t>(m_wall.time_since_epoch().count()));
    m_batch.continuations.emplace_back(EvacuationWhenCommitted { handle, call.dataCentre, call.isActive });
}

void JobLeader::execute(EvacuationWhenCommitted& it)
{
    m_nextEvacuationCheckAt = m_now;
    m_loadSummaries.clear();
    m_forecastBuiltAt = {};
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
        available += run.stage == RunStage::Running && run.isListed && !run.mustStop ? 1 : 0;
    }
    return step.count - std::min(step.count, available);
}

void JobLeader::collectRunsToEvacuate(const LiveExecutor& executor, std::vector<EvacuationRun>& out,
    absl::btree_map<StepKey, uint32_t>& unavailable) const
{
    for (const auto& [key, run] : executor.runs) {
        if (run.stage != RunStage::Running)
            continue;
        const auto step = m_readySteps.find(key.step);
        const auto* job = m_state.find(key.step.job);
        if (step == m_readySteps.end() || job == nullptr || job->hasEnded())
            continue;
        auto& it = out.emplace_back();
        it.task = key;
        it.step = &step->second;
        it.executor = executor.number;
        it.need = run.need;
        it.remainingMs = remainingMs(executor, key, run);
        it.isStopping = run.mustStop;
        if (!step->second.lasting)
            continue;
        it.mayMiss = job->request.steps(static_cast<int>(key.step.step)).may_miss();
        const auto [counted, isNew] = unavailable.try_emplace(key.step);
        if (isNew)
            counted->second = unavailableTasks(step->second);
        it.unavailableTasks = counted->second;
    }
}

size_t JobLeader::runsToEvacuate() const
{
    size_t out = 0;
    for (const auto& [dataCentre, runs] : m_runsToEvacuate)
        out += runs;
    return out;
}

void JobLeader::countRunsToEvacuate()
{
    absl::btree_map<std::string, size_t, std::less<>> runsLeft;
    for (const auto& [dataCentre, it] : m_state.evacuations()) {
        if (it.isActive)
            runsLeft[dataCentre] = 0;
    }
    for (const auto& [number, it] : m_executors) {
        const auto* state = executorState(number);
        const auto found = state == nullptr ? runsLeft.end() : runsLeft.find(state->record.zone());
        if (found != runsLeft.end())
            found->second += it.runs.size();
    }
    for (const auto& [dataCentre, runs] : runsLeft) {
        const auto before = m_runsToEvacuate.find(dataCentre);
        if (runs == 0 && (before == m_runsToEvacuate.end() || before->second > 0))
            log("evacuation_completed", { { "data_centre", dataCentre } });
    }
    m_runsToEvacuate = std::move(runsLeft);
}

void JobLeader::checkEvacuations()
{
    if (m_state.evacuations().empty() || m_now < m_nextEvacuationCheckAt)
        return;
    m_nextEvacuationCheckAt = m_now + evacuationCheckInterval;
    countRunsToEvacuate();
    std::vector<EvacuationRun> runs;
    absl::btree_map<StepKey, uint32_t> unavailable;
    for (const auto& [number, it] : m_executors) {
        if (isEvacuated(it))
            collectRunsToEvacuate(it, runs, unavailable);
    }
    if (runs.empty())
        return;
    collectCandidates();
    const EvacuationPlanner planner({ m_options.evacuationTime });
    for (const auto n : planner.runsToStop(runs, m_candidates)) {
        auto& executor = m_executors.at(runs[n].executor);
        auto& run = executor.runs.at(runs[n].task);
        ++m_counters.evacuatedRuns;
        log("evacuation_run_moved",
            { { "task", taskText(runs[n].task) }, { "run", std::to_string(run.run) },
                { "executor", executorState(executor.number)->record.id() },
                { "remaining_ms", std::to_string(static_cast<int64_t>(runs[n].remainingMs)) },
                { "lasting", runs[n].step->lasting ? "true" : "false" } });
        requestStop(executor, runs[n].task, run);
    }
}

} // namespace teasel
