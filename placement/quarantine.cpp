#include "placement/quarantine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasel {

void Quarantine::decay(OutcomeCounts& counts, Instant now) const
{
    const auto passed = std::chrono::duration<double>(now - counts.asOf).count();
    const double factor = std::exp2(-passed / std::chrono::duration<double>(m_options.halfLife).count());
    counts.failures *= factor;
    counts.outcomes *= factor;
    counts.asOf = now;
}

bool Quarantine::exceedsPeerFailureRate(Record& record, Instant now)
{
    decay(record.counts, now);
    const auto& own = record.counts;
    if (own.outcomes < m_options.minOutcomes || own.failures < m_options.minFailureRate * own.outcomes)
        return false;
    const double outcomes = m_fleetCounts.outcomes - own.outcomes;
    if (outcomes < m_options.minOutcomes)
        return false;
    const double peerRate = std::max(0.0, m_fleetCounts.failures - own.failures) / outcomes;
    return own.failures / own.outcomes >= m_options.peerRateMultiple * peerRate;
}

void Quarantine::startQuarantine(WorkerId worker, Record& record, Instant now)
{
    const auto factor = int64_t { 1 } << std::min<uint32_t>(record.quarantines, 10);
    record.probeAt = now + std::min(m_options.initialProbeDelay * factor, m_options.maxProbeDelay);
    record.status = Status::Quarantined;
    ++record.quarantines;
    m_changes.push_back({ worker, record.status });
}

void Quarantine::onOutcome(WorkerId worker, bool failed, Instant now)
{
    auto& record = m_records[worker];
    decay(record.counts, now);
    decay(m_fleetCounts, now);
    record.counts.outcomes += 1;
    m_fleetCounts.outcomes += 1;
    record.counts.failures += failed ? 1 : 0;
    m_fleetCounts.failures += failed ? 1 : 0;
    if (record.status == Status::Probing && !failed) {
        m_fleetCounts.failures -= record.counts.failures;
        record = Record {};
        m_changes.push_back({ worker, Status::Healthy });
        return;
    }
    const bool evaluate = record.status == Status::Probing || (record.status == Status::Healthy && failed);
    if (evaluate && (record.status == Status::Probing || exceedsPeerFailureRate(record, now)))
        startQuarantine(worker, record, now);
}

void Quarantine::remove(WorkerId worker) { m_records.erase(worker); }

void Quarantine::clear()
{
    m_records.clear();
    m_changes.clear();
    m_fleetCounts = {};
}

std::vector<Quarantine::Change> Quarantine::takeChanges(Instant now)
{
    for (auto& [worker, record] : m_records) {
        if (record.status != Status::Quarantined || record.probeAt > now)
            continue;
        record.status = Status::Probing;
        m_changes.push_back({ worker, record.status });
    }
    std::stable_sort(
        m_changes.begin(), m_changes.end(), [](const Change& a, const Change& b) { return a.worker < b.worker; });
    return std::exchange(m_changes, {});
}

Quarantine::Status Quarantine::status(WorkerId worker) const
{
    auto found = m_records.find(worker);
    return found == m_records.end() ? Status::Healthy : found->second.status;
}

} // namespace teasel
