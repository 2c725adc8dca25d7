#include "jobs/stage_latencies.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasel {

namespace {

    constexpr std::array<std::string_view, static_cast<size_t>(JobStage::Count)> stageNames { "accepted", "advised",
        "assigned", "launched", "first_start", "answered", "recorded" };

} // namespace

std::string_view nameOf(JobStage it) { return stageNames[static_cast<size_t>(it) % stageNames.size()]; }

void LatencyHistogram::record(Duration it)
{
    const auto bound = std::lower_bound(
        boundsMs.begin(), boundsMs.end(), it, [](int64_t ms, Duration latency) { return Milliseconds(ms) < latency; });
    ++m_buckets[static_cast<size_t>(bound - boundsMs.begin())];
    ++m_count;
    m_totalSeconds += std::chrono::duration<double>(it).count();
    m_longest = std::max(m_longest, it);
}

Milliseconds LatencyHistogram::quantile(double q) const
{
    const auto longest = std::chrono::ceil<Milliseconds>(m_longest);
    auto left = static_cast<int64_t>(std::ceil(q * static_cast<double>(m_count)));
    for (size_t n = 0; n < boundsMs.size(); ++n) {
        left -= static_cast<int64_t>(m_buckets[n]);
        if (left <= 0)
            return std::min(longest, Milliseconds(boundsMs[n]));
    }
    return longest;
}

void StageLatencies::onSubmitted(uint64_t job, Instant now) { m_jobs[job] = { now, now, JobStage::Accepted }; }

void StageLatencies::onAccepted(uint64_t job, std::string_view queue, Instant now)
{
    finish(job, queue, JobStage::Accepted, now);
}

void StageLatencies::onAdvised(uint64_t job, std::string_view queue, Instant now)
{
    finish(job, queue, JobStage::Advised, now);
}

void StageLatencies::onAssigned(uint64_t job, std::string_view queue, Instant now)
{
    finish(job, queue, JobStage::Assigned, now);
}

void StageLatencies::onLaunched(uint64_t job, std::string_view queue, Instant now)
{
    finish(job, queue, JobStage::Launched, now);
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    record(queue, JobStage::FirstStart, now - found->second.submittedAt);
    m_jobs.erase(found);
}

void StageLatencies::finish(uint64_t job, std::string_view queue, JobStage stage, Instant now)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || found->second.stage > stage)
        return;
    record(queue, stage, now - found->second.reachedAt);
    found->second.reachedAt = now;
    found->second.stage = static_cast<JobStage>(static_cast<uint8_t>(stage) + 1);
}

void StageLatencies::record(std::string_view queue, JobStage stage, Duration it)
{
    auto found = m_queues.find(queue);
    if (found == m_queues.end())
        found = m_queues.try_emplace(std::string(m_queues.size() < maxQueues ? queue : otherQueues)).first;
    found->second[static_cast<size_t>(stage)].record(it);
}

void StageLatencies::clear()
{
    m_jobs.clear();
    m_queues.clear();
}

} // namespace teasel
