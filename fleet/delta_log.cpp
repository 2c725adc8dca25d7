#include "fleet/delta_log.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr size_t minWholeBytes = 64 << 10; // edits up to this size are always sent as such

} // namespace

schema::ConfigDelta fullDelta(const schema::FleetConfig& config, uint64_t digest)
{
    schema::ConfigDelta delta;
    delta.set_to_revision(config.revision());
    delta.set_digest(digest);
    *delta.mutable_whole() = config;
    return delta;
}

void DeltaLog::append(schema::ConfigDelta step)
{
    if (step.has_whole() || (!m_steps.empty() && m_steps.back().to_revision() != step.from_revision()))
        clear();
    if (step.has_whole())
        return;
    m_editCount += static_cast<size_t>(step.edits_size());
    m_steps.push_back(std::move(step));
    while (m_editCount > m_maxEdits && !m_steps.empty()) {
        m_editCount -= static_cast<size_t>(m_steps.front().edits_size());
        m_steps.pop_front();
    }
}

void DeltaLog::clear()
{
    m_steps.clear();
    m_editCount = 0;
}

schema::ConfigDelta DeltaLog::since(Revision from, const schema::FleetConfig& config, uint64_t digest) const
{
    schema::ConfigDelta delta;
    delta.set_from_revision(from);
    delta.set_to_revision(config.revision());
    delta.set_digest(digest);
    if (from == config.revision())
        return delta;
    const auto after = [](const schema::ConfigDelta& it, Revision revision) { return it.from_revision() < revision; };
    auto it = std::lower_bound(m_steps.begin(), m_steps.end(), from, after);
    if (it == m_steps.end() || it->from_revision() != from)
        return fullDelta(config, digest);
    size_t bytes = 0;
    for (auto step = it; step != m_steps.end(); ++step)
        bytes += step->ByteSizeLong();
    if (bytes > minWholeBytes && bytes > config.ByteSizeLong())
        return fullDelta(config, digest);
    for (; it != m_steps.end(); ++it)
        delta.mutable_edits()->MergeFrom(it->edits());
    return delta;
}

bool DeltaLog::covers(Revision revision, uint64_t digest) const
{
    const auto before = [](const schema::ConfigDelta& it, Revision value) { return it.to_revision() < value; };
    const auto it = std::lower_bound(m_steps.begin(), m_steps.end(), revision, before);
    return it != m_steps.end() && it->to_revision() == revision && it->digest() == digest;
}

} // namespace teasel
