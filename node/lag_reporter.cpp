#include "node/lag_reporter.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

namespace {

    int64_t millis(Duration it) { return std::chrono::duration_cast<Milliseconds>(it).count(); }

    // One field for each stage: number, median and 95% quantile in milliseconds.
    std::string textOf(const LatencyHistogram& it)
    {
        return fmt::format("{}/{}/{}", it.count(), it.quantile(0.5).count(), it.quantile(0.95).count());
    }

} // namespace

void LagReporter::onBecameLeader(Instant now, Instant predecessorSeenAt)
{
    m_leadingSince = now;
    m_predecessorSeenAt = predecessorSeenAt;
    m_isTakeoverReported = false;
}

void LagReporter::onRound(Duration took)
{
    ++m_rounds;
    m_roundTime += took;
    m_longestRound = std::max(m_longestRound, took);
    m_context.metrics.controlTime(ControlWork::Planning).Observe(std::chrono::duration<double>(took).count());
}

void LagReporter::report(JobLeader& leader, const ControlLoopReport& loop)
{
    const auto seconds = [](Duration it) { return std::chrono::duration<double>(it).count(); };
    m_context.metrics.gauge(ProcessGauge::ControlWait).Set(seconds(loop.longestWait));
    m_context.metrics.gauge(ProcessGauge::ControlBatch).Set(seconds(loop.longestBatch));
    const auto& counters = leader.counters();
    m_context.log.countDroppedDetail(
        counters.omittedLines - std::exchange(m_reportedOmittedLines, counters.omittedLines));
    const auto visits = counters.planningVisits - std::exchange(m_reportedVisits, counters.planningVisits);
    const auto starts = counters.starts - std::exchange(m_reportedStarts, counters.starts);
    const auto rounds = std::exchange(m_rounds, 0);
    const auto roundTime = std::exchange(m_roundTime, Duration(0));
    const auto longestRound = std::exchange(m_longestRound, Duration(0));
    if (!leader.isLeading())
        return;
    m_context.log.info("leader_lag",
        { { "batches", loop.batches }, { "tasks", loop.tasks }, { "busy_ms", millis(loop.busy) },
            { "longest_batch_ms", millis(loop.longestBatch) }, { "longest_wait_ms", millis(loop.longestWait) },
            { "rounds", rounds }, { "rounds_ms", millis(roundTime) }, { "longest_round_ms", millis(longestRound) },
            { "visits", visits }, { "starts", starts },
            { "relaxed_starts_limit",
                leader.pace().isLagging() ? fmt::format("{:.0f}", leader.pace().startsPerSecond()) : "none" } });
    reportTakeover(leader);
    reportStages(leader);
}

void LagReporter::reportTakeover(const JobLeader& leader)
{
    if (m_isTakeoverReported || leader.firstStartAt() == Instant())
        return;
    m_isTakeoverReported = true;
    const auto withoutStarts = leader.firstStartAt() - std::min(m_predecessorSeenAt, m_leadingSince);
    m_context.metrics.gauge(ProcessGauge::TakeoverTime).Set(std::chrono::duration<double>(withoutStarts).count());
    m_context.log.info("takeover_finished",
        { { "predecessor_silent_ms", millis(m_leadingSince - m_predecessorSeenAt) },
            { "first_start_ms", millis(leader.firstStartAt() - m_leadingSince) },
            { "without_starts_ms", millis(withoutStarts) } });
}

std::string_view LagReporter::labelOf(const std::string& queue)
{
    if (m_labels.size() < StageLatencies::maxQueues)
        m_labels.insert(queue);
    return m_labels.contains(queue) ? std::string_view(queue) : StageLatencies::otherQueues;
}

void LagReporter::reportStages(JobLeader& leader)
{
    for (const auto& [queue, stages] : leader.takeStageLatencies()) {
        LogFields fields { { "queue", queue } };
        const auto label = labelOf(queue);
        for (size_t n = 0; n < stages.size(); ++n) {
            const auto& it = stages[n];
            if (it.count() == 0)
                continue;
            const auto stage = nameOf(static_cast<JobStage>(n));
            fields.emplace_back(stage, textOf(it));
            const auto buckets = it.buckets();
            m_context.metrics.jobStage(label, stage, LatencyHistogram::boundsMs)
                .ObserveMultiple(std::vector<double>(buckets.begin(), buckets.end()), it.totalSeconds());
        }
        m_context.log.infoWithFields("queue_latency", fields);
    }
}

} // namespace teasel
