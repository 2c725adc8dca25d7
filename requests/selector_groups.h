// Groups of requests that may run on the same executors: one per selector and
// set of executors to avoid.
#pragma once

#include "core/result.h"
#include "requests/executor_set.h"
#include "requests/fair_queue.h"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class SelectorGroups {
public:
    // Gives the executors that a selector allows, or why it cannot be read.
    using Match = std::function<Result<ExecutorSet>(std::string_view selector)>;

    explicit SelectorGroups(Match);

    // The group of a selector without the executors to avoid. Each call is paired with one of `release`.
    Result<GroupId> acquire(std::string_view selector, std::vector<InstanceOrdinal> avoid);
    void release(GroupId);

    const ExecutorSet& allowed(GroupId id) const { return m_groups.at(id).allowed; }

    // Evaluates all selectors again, after executors or labels changed.
    void refresh();
    void clear();

private:
    struct Group {
        std::string key;
        std::string selector;
        std::vector<InstanceOrdinal> avoid;
        ExecutorSet allowed;
        size_t users = 0;
    };

    static std::string keyOf(std::string_view selector, const std::vector<InstanceOrdinal>& avoid);
    Result<void> evaluate(Group&);
    void forgetUnused();

    static constexpr size_t keptGroups = 256;

    Match m_match;
    absl::flat_hash_map<GroupId, Group> m_groups;
    absl::flat_hash_map<std::string, GroupId> m_byKey;
    GroupId m_next = 1;
};

} // namespace teasel
