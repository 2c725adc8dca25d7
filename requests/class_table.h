// Request classes. Each name gets a dense number that never changes.
#pragma once

#include "requests/ticket_table.h"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <vector>

namespace teasel {

struct ClassPolicy {
    std::string name;
    uint32_t rank = 0; // lower is more urgent
    uint32_t maxWaitingPerTeam = 0; // 0 means the default
};

class ClassTable {
public:
    // Replaces all policies. A class without a policy is the least urgent.
    void configure(std::span<const ClassPolicy>);

    ClassId idOf(const std::string& name);
    const ClassPolicy& at(ClassId id) const { return m_policies[id]; }

private:
    static constexpr uint32_t unknownClassRank = 1'000;

    std::vector<ClassPolicy> m_policies;
    absl::flat_hash_map<std::string, ClassId> m_ids;
};

} // namespace teasel
