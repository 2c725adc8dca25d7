#include "jobs/configuration_index.h"

#include <algorithm>

namespace teasel {

void ConfigurationIndex::rebuild(const schema::JobConfiguration& configuration)
{
    m_queues.clear();
    m_teams.clear();
    m_keys.clear();
    for (const auto& it : configuration.queues())
        m_queues[it.host()].push_back(&it);
    for (auto& [host, queues] : m_queues) {
        std::stable_sort(queues.begin(), queues.end(),
            [](const auto* a, const auto* b) { return a->path_prefix().size() > b->path_prefix().size(); });
    }
    for (const auto& team : configuration.teams()) {
        m_teams.emplace(team.name(), &team);
        for (const auto& key : team.keys())
            m_keys.emplace(key, &team);
    }
}

const schema::JobQueue* ConfigurationIndex::findQueue(std::string_view host, std::string_view path) const
{
    const auto found = m_queues.find(host);
    if (found == m_queues.end())
        return nullptr;
    const auto& queues = found->second;
    const auto it = std::find_if(
        queues.begin(), queues.end(), [&](const auto* queue) { return path.starts_with(queue->path_prefix()); });
    return it == queues.end() ? nullptr : *it;
}

const schema::JobTeam* ConfigurationIndex::findTeam(std::string_view name) const
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? nullptr : it->second;
}

const schema::JobTeam* ConfigurationIndex::teamOfKey(std::string_view key) const
{
    if (key.empty())
        return nullptr;
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : it->second;
}

} // namespace teasel
