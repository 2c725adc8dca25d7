#include "consensus/memory_log.h"

#include <utility>

namespace teasel {

MemoryLog::MemoryLog(schema::VoterSet bootstrap, schema::SnapshotMeta snapshot, std::vector<schema::LogRecord> records)
{
    if (snapshot.index() == 0)
        *snapshot.mutable_voters() = std::move(bootstrap);
    resetTo(snapshot);
    if (records.empty() || records.back().index() < m_snapshot.index())
        return;
    // The term before the first record is known only if the snapshot ends there; otherwise the first record becomes
    // the base, whose index and term are known.
    auto it = records.begin();
    if (it->index() != m_baseIndex + 1) {
        m_baseIndex = it->index();
        m_baseTerm = it->term();
        ++it;
    }
    for (; it != records.end(); ++it)
        append(std::move(*it));
}

std::optional<uint64_t> MemoryLog::termAt(uint64_t index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < firstIndex() || index > lastIndex())
        return std::nullopt;
    return at(index).term();
}

schema::SnapshotMeta MemoryLog::snapshotMetaAt(uint64_t index) const
{
    schema::SnapshotMeta meta;
    meta.set_index(index);
    meta.set_term(termAt(index).value_or(0));
    for (const auto& it : m_voters)
        if (it.index <= index)
            *meta.mutable_voters() = it.set;
    return meta;
}

void MemoryLog::append(schema::LogRecord record)
{
    if (record.has_voters() && record.index() > m_snapshot.index())
        m_voters.push_back({ record.index(), record.voters() });
    m_records.push_back(std::move(record));
}

void MemoryLog::truncateFrom(uint64_t index)
{
    while (lastIndex() >= index)
        m_records.pop_back();
    while (m_voters.size() > 1 && m_voters.back().index >= index)
        m_voters.pop_back();
}

void MemoryLog::compact(const schema::SnapshotMeta& snapshot, uint64_t firstIndex)
{
    m_snapshot = snapshot;
    std::erase_if(m_voters, [&](const VotersEntry& it) { return it.index <= snapshot.index(); });
    m_voters.insert(m_voters.begin(), { snapshot.index(), snapshot.voters() });
    while (!m_records.empty() && this->firstIndex() < firstIndex) {
        m_baseIndex = m_records.front().index();
        m_baseTerm = m_records.front().term();
        m_records.pop_front();
    }
}

void MemoryLog::resetTo(const schema::SnapshotMeta& snapshot)
{
    m_records.clear();
    m_baseIndex = snapshot.index();
    m_baseTerm = snapshot.term();
    m_snapshot = snapshot;
    m_voters.assign(1, { snapshot.index(), snapshot.voters() });
}

} // namespace teasel
