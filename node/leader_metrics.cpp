#include "node/leader_metrics.h"

#include <functional>

namespace teasel {

namespace {

    using GaugeByResource = std::function<Metrics::Gauge&(MeteredResource)>;

    void setResourceGauges(const GaugeByResource& gauge, const schema::Resources& amounts)
    {
        gauge(MeteredResource::MilliCpus).Set(static_cast<double>(amounts.milli_cpus()));
        gauge(MeteredResource::MemoryMib).Set(static_cast<double>(amounts.memory_mib()));
        gauge(MeteredResource::Accelerators).Set(static_cast<double>(amounts.accelerators()));
    }

} // namespace

void reportLeaderMetrics(Metrics& metrics, const ConfigView& config, const schema::LoadSummary& load,
    std::span<const schema::Portion> portions, const PlacementStats& tasks)
{
    metrics.gauge(ProcessGauge::SlotsTotal).Set(load.total_slots());
    metrics.gauge(ProcessGauge::SlotsInUse).Set(load.total_slots() - load.free_slots());
    metrics.gauge(ProcessGauge::Workers).Set(static_cast<double>(tasks.workers));
    metrics.gauge(ProcessGauge::RunningTasks).Set(static_cast<double>(tasks.tasksPlaced));
    metrics.gauge(ProcessGauge::WaitingTasks).Set(static_cast<double>(tasks.tasksWaiting));
    for (const auto& it : load.teams()) {
        const auto* team = config.team(it.team_id());
        if (team == nullptr)
            continue;
        metrics.runningRequests(team->name()).Set(it.running());
        setResourceGauges(
            [&](MeteredResource resource) -> auto& { return metrics.taskUse(team->name(), resource); }, it.tasks());
    }
    for (const auto& it : portions) {
        const auto* team = config.team(it.team_id());
        if (team == nullptr)
            continue;
        metrics.requestPortion(team->name()).Set(it.requests());
        setResourceGauges(
            [&](MeteredResource resource) -> auto& { return metrics.taskPortion(team->name(), resource); }, it.tasks());
    }
}

} // namespace teasel
