// JobLeader: the load that a submission meets, for admission control.
#include "jobs/job_leader.h"

#include <algorithm>

namespace teasel {

namespace {

    void add(const LiveExecutor& executor, FleetLoad& load)
    {
        load.total += executor.capacity;
        load.free += leftOf(executor.capacity, executor.used());
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            load.freedPerSecond[n] += executor.freedPerSecond[n];
    }

    // Whether the step may not use all executors of its service.
    bool isRestricted(const ReadyStep& it) { return !it.requiredLabel.empty() || !it.allowedRegions.empty(); }

} // namespace

JobDemand JobLeader::demandOf(const schema::JobRequest& request, const schema::JobQueue& queue) const
{
    JobDemand demand;
    demand.team = request.team();
    for (const auto& step : request.steps()) {
        if (step.depends_on().empty())
            demand.initialNeed += needOf(step) * static_cast<int64_t>(step.count());
    }
    const double pathMs = criticalPathMs(request, 0);
    demand.isMostUrgent = queue.priority() == 0;
    demand.slackMs = (queue.slack_factor() - 1) * pathMs + static_cast<double>(queue.target_latency_ms());
    return demand;
}

FleetLoad JobLeader::collectFleetLoad() const
{
    FleetLoad load;
    for (const auto& [number, it] : m_executors) {
        const auto* state = executorState(number);
        if (state != nullptr && isUsable(it) && !isEvacuated(it))
            add(it, load);
    }
    return load;
}

LoadSummary& JobLeader::summaryFor(const std::string& service)
{
    auto& summary = m_loadSummaries[service];
    if (!summary.isOutdated(m_now))
        return summary;
    // Late steps come after all steps that can still meet their objective.
    std::vector<const ReadyStep*> steps;
    for (const auto& [key, it] : m_readySteps) {
        if (it.latestStart >= m_now && !it.lasting && !it.waiting.empty() && it.service == service)
            steps.push_back(&it);
    }
    // What the executors that restricted steps may use can hold, by constraints.
    struct Usable {
        const ReadyStep* step = nullptr;
        ResourceVector left;
    };
    absl::btree_map<std::string, Usable> restricted;
    for (const auto* it : steps) {
        if (isRestricted(*it))
            restricted[constraintKeyOf(*it)].step = it;
    }
    FleetLoad load;
    for (const auto& [number, it] : m_executors) {
        const auto* state = executorState(number);
        if (state == nullptr || state->record.service() != service || !isUsable(it) || isEvacuated(it))
            continue;
        add(it, load);
        for (auto& [key, usable] : restricted) {
            if (mayRunOn(*usable.step, service, regionOf(*state), state->record.labels()))
                usable.left += it.capacity;
        }
    }
    std::vector<LoadSummary::Demand> demands;
    for (const auto* it : steps) {
        // A team at its cap uses no further capacity.
        auto need = it->need * tasksThatFitInCap(*it);
        if (isRestricted(*it)) {
            auto& left = restricted[constraintKeyOf(*it)].left;
            need = smallestOf(need, left);
            left -= need;
        }
        demands.push_back({ it->latestStart, need });
    }
    summary.rebuild(load, std::move(demands), m_now);
    return summary;
}

} // namespace teasel
