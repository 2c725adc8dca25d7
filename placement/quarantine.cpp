#include "placement/quarantine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasel {

void Quarantine::fade(Tally& tally, Instant now) const
{
    const auto passed = std::chrono::duration<double>(now - tally.asOf).count();
    const double factor = std::exp2(-passed / std::chrono::duration<double>(m_options.halfLife).count());
    tally.failures *= factor;
    tally.outcomes *= factor;
    tally.asOf = now;
}

bool Quarantine::isFarWorse(Record& record, Instant now)
{
    fade(record.tally, now);
    const auto& mine = record.tally;
    if (mine.outcomes < m_options.leastOutcomes || mine.failures < m_options.leastRate * mine.outcomes)
        return false;
    const double outcomes = m_fleet.outcomes - mine.outcomes;
    if (outcomes < m_options.leastOutcomes)
        return false;
    const double peers = std::max(0.0, m_fleet.failures - mine.failures) / outcomes;
    return mine.failures / mine.outcomes >= m_options.timesPeers * peers;
}

void Quarantine::putAside(WorkerId worker, Record& record, Instant now)
{
    const auto factor = int64_t { 1 } << std::min<uint32_t>(record.strikes, 10);
    record.until = now + std::min(m_options.firstPause * factor, m_options.mostPause);
    record.standing = Standing::Quarantined;
    ++record.strikes;
    m_changes.push_back({ worker, record.standing });
}

void Quarantine::onOutcome(WorkerId worker, bool failed, Instant now)
{
    auto& record = m_records[worker];
    fade(record.tally, now);
    fade(m_fleet, now);
    record.tally.outcomes += 1;
    m_fleet.outcomes += 1;
    record.tally.failures += failed ? 1 : 0;
    m_fleet.failures += failed ? 1 : 0;
    if (record.standing == Standing::Probing && !failed) {
        m_fleet.failures -= record.tally.failures;
        record = Record {};
        m_changes.push_back({ worker, Standing::Trusted });
        return;
    }
    const bool judged = record.standing == Standing::Probing || (record.standing == Standing::Trusted && failed);
    if (judged && (record.standing == Standing::Probing || isFarWorse(record, now)))
        putAside(worker, record, now);
}

void Quarantine::forget(WorkerId worker) { m_records.erase(worker); }

void Quarantine::clear()
{
    m_records.clear();
    m_changes.clear();
    m_fleet = {};
}

std::vector<Quarantine::Change> Quarantine::review(Instant now)
{
    for (auto& [worker, record] : m_records) {
        if (record.standing != Standing::Quarantined || record.until > now)
            continue;
        record.standing = Standing::Probing;
        m_changes.push_back({ worker, record.standing });
    }
    std::stable_sort(
        m_changes.begin(), m_changes.end(), [](const Change& a, const Change& b) { return a.worker < b.worker; });
    return std::exchange(m_changes, {});
}

Quarantine::Standing Quarantine::standing(WorkerId worker) const
{
    auto found = m_records.find(worker);
    return found == m_records.end() ? Standing::Trusted : found->second.standing;
}

} // namespace teasel
