#include "requests/class_table.h"

namespace teasel {

void ClassTable::configure(std::span<const ClassPolicy> classes)
{
    for (auto& it : m_policies)
        it = { it.name, unknownClassRank, 0 };
    for (const auto& it : classes)
        m_policies[idOf(it.name)] = it;
}

ClassId ClassTable::idOf(const std::string& name)
{
    const auto [it, inserted] = m_ids.try_emplace(name, static_cast<ClassId>(m_policies.size()));
    if (inserted)
        m_policies.push_back({ name, unknownClassRank, 0 });
    return it->second;
}

} // namespace teasel
