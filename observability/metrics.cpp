#include "observability/metrics.h"

#include <fmt/format.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace teasel {

namespace {

    using prometheus::BuildCounter;
    using prometheus::BuildGauge;
    using prometheus::BuildHistogram;

    struct MetricName {
        const char* name;
        const char* help;
    };

    constexpr std::array<MetricName, static_cast<size_t>(ProcessGauge::Count)> gaugeNames { {
        { "teasel_held_requests", "Requests whose callers wait here" },
        { "teasel_connections", "Open HTTP connections" },
        { "teasel_is_leader", "1 while this process leads" },
        { "teasel_epoch", "Epoch of the leader that this process follows" },
        { "teasel_revision", "Revision of the configuration in force here" },
        { "teasel_cut_off", "1 while the fleet state is out of reach" },
        { "teasel_slots_total", "Executor slots announced" },
        { "teasel_slots_in_use", "Executor slots in use" },
        { "teasel_executors", "Executors known" },
        { "teasel_workers", "Workers known" },
        { "teasel_waiting_tasks", "Tasks that wait for a worker" },
        { "teasel_running_tasks", "Tasks on workers" },
        { "teasel_authority_lease_left_seconds", "Time left of the lease on the configuration" },
        { "teasel_leadership_lease_left_seconds", "Time left of the data centre leader's lease" },
        { "teasel_log_records", "Records in the replicated log since its last snapshot" },
        { "teasel_runs_to_evacuate", "Runs left in evacuated data centres" },
        { "teasel_log_bytes", "Bytes of the replicated log's records in memory" },
        { "teasel_disk_bytes", "Bytes of the replicated log's files, with the snapshot" },
        { "teasel_control_wait_seconds", "Longest wait for the control thread in the last second" },
        { "teasel_control_batch_seconds", "Longest batch of the control thread in the last second" },
        { "teasel_takeover_seconds", "Time from the loss of the previous leader to the first start" },
    } };

    constexpr std::array<MetricName, static_cast<size_t>(ProcessCounter::Count)> counterNames { {
        { "teasel_late_answers_total", "Answers to attempts already closed, dropped" },
        { "teasel_retries_total", "Attempts after the first" },
        { "teasel_placements_total", "Tasks started" },
        { "teasel_task_moves_total", "Tasks placed again" },
        { "teasel_forwarded_total", "Requests sent to another data centre" },
        { "teasel_leader_changes_total", "Changes of leader seen" },
        { "teasel_configuration_changes_total", "Revisions of the configuration applied" },
        { "teasel_commits_total", "Commands committed by the replicated log" },
        { "teasel_snapshots_total", "Snapshots written" },
        { "teasel_evacuated_runs_total", "Runs stopped to move them out of an evacuated data centre" },
        { "teasel_messages_dropped_total", "Messages to other processes that were not sent" },
        { "teasel_messages_too_large_total", "Messages that were not sent because no peer would accept them" },
        { "teasel_callers_closed_total", "Callers' connections that were closed for want of room" },
    } };

    constexpr std::array<const char*, static_cast<size_t>(ControlWork::Count)> workNames { "requests", "placement",
        "leadership", "fleet_state", "planning" };
    constexpr std::array<const char*, static_cast<size_t>(MeteredResource::Count)> resourceNames { "milli_cpus",
        "memory_mib", "accelerators" };
    constexpr const char* otherName = "other";

    const Metrics::Histogram::BucketBoundaries waitBuckets { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
        0.5, 1, 2.5, 5, 10, 30, 60, 300 };
    const Metrics::Histogram::BucketBoundaries controlBuckets { 0.000005, 0.00001, 0.000025, 0.00005, 0.0001, 0.00025,
        0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.1, 0.5 };

    template <class Enum> constexpr size_t indexOf(Enum value) { return static_cast<size_t>(value); }

    prometheus::Family<Metrics::Gauge>& gauges(prometheus::Registry& registry, const char* name, const char* help)
    {
        return BuildGauge().Name(name).Help(help).Register(registry);
    }

    prometheus::Family<Metrics::Counter>& counters(prometheus::Registry& registry, const char* name, const char* help)
    {
        return BuildCounter().Name(name).Help(help).Register(registry);
    }

    prometheus::Family<Metrics::Histogram>& histograms(
        prometheus::Registry& registry, const char* name, const char* help)
    {
        return BuildHistogram().Name(name).Help(help).Register(registry);
    }

} // namespace

Metrics::Metrics()
    : m_waitingTime(histograms(m_registry, "teasel_waiting_seconds", "Time from arrival to the start"))
    , m_runningTime(histograms(m_registry, "teasel_running_seconds", "Time from the start to the answer"))
    , m_waiting(gauges(m_registry, "teasel_waiting_requests", "Requests that wait"))
    , m_arrived(counters(m_registry, "teasel_requests_total", "Requests that arrived"))
    , m_runningRequests(gauges(m_registry, "teasel_running_requests", "Requests running"))
    , m_requestPortion(gauges(m_registry, "teasel_portion_requests", "Portion of the team's limit of requests"))
    , m_taskUse(gauges(m_registry, "teasel_task_use", "Resources of running tasks"))
    , m_taskPortion(gauges(m_registry, "teasel_portion_tasks", "Portion of the team's limit of task resources"))
    , m_shareRatio(gauges(m_registry, "teasel_share_ratio", "Part in use over the part by share"))
    , m_packing(gauges(m_registry, "teasel_packing_ratio", "Committed over declared resources of workers"))
    , m_errors(counters(m_registry, "teasel_errors_total", "Errors answered"))
    , m_controlTime(histograms(m_registry, "teasel_control_seconds", "Time of one round of the control thread"))
    , m_jobStage(histograms(m_registry, "teasel_job_stage_seconds", "Time of jobs and runs in a stage at the leader"))
    , m_commitTime(histograms(m_registry, "teasel_commit_seconds", "Time from proposing a command to its commit")
                       .Add({}, waitBuckets))
{
    for (size_t n = 0; n < m_gauges.size(); ++n)
        m_gauges[n] = &gauges(m_registry, gaugeNames[n].name, gaugeNames[n].help).Add({});
    for (size_t n = 0; n < m_counters.size(); ++n)
        m_counters[n] = &counters(m_registry, counterNames[n].name, counterNames[n].help).Add({});
    for (size_t n = 0; n < m_controlHistograms.size(); ++n)
        m_controlHistograms[n] = &m_controlTime.Add({ { "work", workNames[n] } }, controlBuckets);
    for (size_t n = 0; n < m_packingGauges.size(); ++n)
        m_packingGauges[n] = &m_packing.Add({ { "resource", resourceNames[n] } });
}

Metrics::Histogram& Metrics::jobStage(std::string_view queue, std::string_view stage, std::span<const int64_t> boundsMs)
{
    constexpr double secondsPerMs = 0.001;
    Histogram::BucketBoundaries bounds;
    for (const auto it : boundsMs)
        bounds.push_back(static_cast<double>(it) * secondsPerMs);
    // The family returns the existing series for known labels.
    return m_jobStage.Add({ { "queue", std::string(queue) }, { "stage", std::string(stage) } }, bounds);
}

Metrics::TeamClassSeries Metrics::makeSeries(const std::string& team, const std::string& className)
{
    const prometheus::Labels labels { { "team", team }, { "class", className } };
    return { &m_waitingTime.Add(labels, waitBuckets), &m_runningTime.Add(labels, waitBuckets), &m_waiting.Add(labels),
        &m_arrived.Add(labels) };
}

Metrics::TeamSeries Metrics::makeSeries(const std::string& team)
{
    const prometheus::Labels labels { { "team", team } };
    TeamSeries series;
    series.runningRequests = &m_runningRequests.Add(labels);
    series.requestPortion = &m_requestPortion.Add(labels);
    series.shareRatio = &m_shareRatio.Add(labels);
    for (size_t n = 0; n < resourceNames.size(); ++n) {
        const prometheus::Labels both { { "team", team }, { "resource", resourceNames[n] } };
        series.taskUse[n] = &m_taskUse.Add(both);
        series.taskPortion[n] = &m_taskPortion.Add(both);
    }
    return series;
}

Metrics::TeamClassSeries Metrics::seriesOf(std::string_view team, std::string_view className)
{
    auto key = fmt::format("{}\n{}", team, className);
    const std::lock_guard lock(m_mutex);
    const auto it = m_teamClasses.find(key);
    if (it != m_teamClasses.end())
        return it->second;
    if (m_teamClasses.size() >= maxTeamSeries)
        return makeSeries(otherName, otherName);
    const auto series = makeSeries(std::string(team), std::string(className));
    m_teamClasses.emplace(std::move(key), series);
    return series;
}

Metrics::TeamSeries Metrics::seriesOf(std::string_view team)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_teams.find(std::string(team));
    if (it != m_teams.end())
        return it->second;
    if (m_teams.size() >= maxTeamSeries)
        return makeSeries(otherName);
    const auto series = makeSeries(std::string(team));
    m_teams.emplace(std::string(team), series);
    return series;
}

Metrics::Histogram& Metrics::waitingTime(std::string_view team, std::string_view className)
{
    return *seriesOf(team, className).waitingTime;
}

Metrics::Histogram& Metrics::runningTime(std::string_view team, std::string_view className)
{
    return *seriesOf(team, className).runningTime;
}

Metrics::Gauge& Metrics::waiting(std::string_view team, std::string_view className)
{
    return *seriesOf(team, className).waiting;
}

Metrics::Counter& Metrics::arrived(std::string_view team, std::string_view className)
{
    return *seriesOf(team, className).arrived;
}

Metrics::Gauge& Metrics::runningRequests(std::string_view team) { return *seriesOf(team).runningRequests; }

Metrics::Gauge& Metrics::requestPortion(std::string_view team) { return *seriesOf(team).requestPortion; }

Metrics::Gauge& Metrics::taskUse(std::string_view team, MeteredResource resource)
{
    return *seriesOf(team).taskUse.at(indexOf(resource));
}

Metrics::Gauge& Metrics::taskPortion(std::string_view team, MeteredResource resource)
{
    return *seriesOf(team).taskPortion.at(indexOf(resource));
}

Metrics::Gauge& Metrics::shareRatio(std::string_view team) { return *seriesOf(team).shareRatio; }

Metrics::Gauge& Metrics::packing(MeteredResource resource) { return *m_packingGauges.at(indexOf(resource)); }

Metrics::Counter& Metrics::errors(ErrorKind kind)
{
    const auto& info = errorInfo(kind);
    return m_errors.Add({ { "kind", std::string(info.name) }, { "run", std::string(nameOf(info.runState)) } });
}

Metrics::Gauge& Metrics::gauge(ProcessGauge which) { return *m_gauges.at(indexOf(which)); }

Metrics::Counter& Metrics::counter(ProcessCounter which) { return *m_counters.at(indexOf(which)); }

Metrics::Histogram& Metrics::controlTime(ControlWork work) { return *m_controlHistograms.at(indexOf(work)); }

std::string Metrics::renderMetrics() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, m_registry.Collect());
    return out.str();
}

} // namespace teasel
