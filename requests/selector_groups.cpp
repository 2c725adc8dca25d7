#include "requests/selector_groups.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

SelectorGroups::SelectorGroups(Match match)
    : m_match(std::move(match))
{
}

std::string SelectorGroups::keyOf(std::string_view selector, const std::vector<InstanceOrdinal>& avoid)
{
    std::string key(selector);
    for (const auto it : avoid)
        key += fmt::format("\n{}", it);
    return key;
}

Result<GroupId> SelectorGroups::acquire(std::string_view selector, std::vector<InstanceOrdinal> avoid)
{
    std::sort(avoid.begin(), avoid.end());
    auto key = keyOf(selector, avoid);
    if (const auto it = m_byKey.find(key); it != m_byKey.end()) {
        ++m_groups.at(it->second).users;
        return it->second;
    }
    Group group { key, std::string(selector), std::move(avoid), {}, 1 };
    BOOST_LEAF_CHECK(evaluate(group));
    if (m_groups.size() >= keptGroups)
        forgetUnused();
    const auto id = m_next++;
    m_groups.emplace(id, std::move(group));
    m_byKey.emplace(std::move(key), id);
    return id;
}

void SelectorGroups::release(GroupId id)
{
    const auto it = m_groups.find(id);
    if (it != m_groups.end() && it->second.users > 0)
        --it->second.users;
}

Result<void> SelectorGroups::evaluate(Group& group)
{
    BOOST_LEAF_AUTO(allowed, m_match(group.selector));
    for (const auto it : group.avoid)
        allowed.erase(it);
    group.allowed = std::move(allowed);
    return {};
}

void SelectorGroups::refresh()
{
    for (auto& it : m_groups) {
        auto& group = it.second;
        const auto outcome = valueOrError([&] { return evaluate(group); });
        if (std::holds_alternative<Error>(outcome))
            group.allowed = {};
    }
}

void SelectorGroups::forgetUnused()
{
    absl::erase_if(m_byKey, [&](const auto& it) { return m_groups.at(it.second).users == 0; });
    absl::erase_if(m_groups, [](const auto& it) { return it.second.users == 0; });
}

void SelectorGroups::clear()
{
    m_groups.clear();
    m_byKey.clear();
}

} // namespace teasel
