#include "requests/selector_groups.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

SelectorGroups::SelectorGroups(NameTable& names, const LabelIndex& labels)
    : m_names(names)
    , m_labels(labels)
{
}

std::string SelectorGroups::keyOf(std::string_view selector, const std::vector<InstanceOrdinal>& avoid) const
{
    auto key = fmt::format("{}\n{}", selector, selector.empty() ? 0 : m_names.version());
    for (const auto it : avoid)
        key += fmt::format(" {}", it);
    return key;
}

Result<GroupId> SelectorGroups::acquire(std::string_view selector, std::vector<InstanceOrdinal> avoid)
{
    if (selector.empty() && avoid.empty() && m_unrestricted != 0)
        return m_unrestricted;
    std::sort(avoid.begin(), avoid.end());
    const auto existing = m_byKey.find(keyOf(selector, avoid));
    if (existing != m_byKey.end()) {
        ++m_groups.at(existing->second).useCount;
        return existing->second;
    }
    Group group;
    if (!selector.empty()) {
        BOOST_LEAF_ASSIGN(group.selector, compileSelector(selector, m_names));
    }
    group.key = keyOf(selector, avoid); // compiling the selector may have added names, which changes the key
    group.avoid = std::move(avoid);
    group.useCount = 1;
    evaluate(group);
    if (m_groups.size() >= cleanupThreshold)
        removeUnused();
    const auto id = m_nextId++;
    if (selector.empty() && group.avoid.empty())
        m_unrestricted = id;
    m_byKey.emplace(group.key, id);
    m_groups.emplace(id, std::move(group));
    return id;
}

void SelectorGroups::release(GroupId id)
{
    const auto it = m_groups.find(id);
    if (id != m_unrestricted && it != m_groups.end() && it->second.useCount > 0)
        --it->second.useCount;
}

void SelectorGroups::evaluate(Group& group) const
{
    group.allowed = {};
    for (const auto it : m_labels.matching(group.selector))
        group.allowed.insert(it);
    for (const auto it : group.avoid)
        group.allowed.erase(it);
}

void SelectorGroups::refresh()
{
    if (m_labelsVersion == m_labels.version())
        return;
    m_labelsVersion = m_labels.version();
    for (auto& it : m_groups)
        evaluate(it.second);
}

std::vector<GroupId> SelectorGroups::disjointFrom(const ExecutorSet& executors) const
{
    std::vector<GroupId> found;
    for (const auto& [id, group] : m_groups) {
        if (group.useCount > 0 && !group.allowed.intersects(executors))
            found.push_back(id);
    }
    return found;
}

void SelectorGroups::removeUnused()
{
    std::erase_if(m_byKey, [&](const auto& it) { return m_groups.at(it.second).useCount == 0; });
    std::erase_if(m_groups, [](const auto& it) { return it.second.useCount == 0; });
}

void SelectorGroups::clear()
{
    m_groups.clear();
    m_byKey.clear();
    m_unrestricted = 0;
}

} // namespace teasel
