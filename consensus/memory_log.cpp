#include "consensus/memory_log.h"

#include <algorithm>
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
    m_offsets.push_back(offsetAt(lastIndex()) + record.ByteSizeLong() + recordOverheadBytes);
    m_records.push_back(std::move(record));
}

uint64_t MemoryLog::offsetAt(uint64_t index) const
{
    if (index < firstIndex() || m_offsets.empty())
        return m_baseOffset;
    return m_offsets[std::min(index, lastIndex()) - firstIndex()];
}

uint64_t MemoryLog::bytesBetween(uint64_t index, uint64_t last) const
{
    return index >= last ? 0 : offsetAt(last) - offsetAt(index);
}

uint64_t MemoryLog::firstIndexWithin(uint64_t bytes, uint64_t last) const
{
    const auto end = offsetAt(last);
    // The offset before the first record that is kept.
    const auto from = end > bytes ? end - bytes : 0;
    if (m_baseOffset >= from)
        return firstIndex();
    const auto it = std::lower_bound(m_offsets.begin(), m_offsets.end(), from);
    return firstIndex() + static_cast<uint64_t>(it - m_offsets.begin()) + 1;
}

void MemoryLog::truncateFrom(uint64_t index)
{
    while (lastIndex() >= index) {
        m_records.pop_back();
        m_offsets.pop_back();
    }
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
        m_baseOffset = m_offsets.front();
        m_records.pop_front();
        m_offsets.pop_front();
    }
}

void MemoryLog::resetTo(const schema::SnapshotMeta& snapshot)
{
    m_records.clear();
    m_offsets.clear();
    m_baseOffset = 0;
    m_baseIndex = snapshot.index();
    m_baseTerm = snapshot.term();
    m_snapshot = snapshot;
    m_voters.assign(1, { snapshot.index(), snapshot.voters() });
}

} // namespace teasel
