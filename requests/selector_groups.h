// Groups of requests that may run on the same executors: one group per selector and
// set of executors to avoid. The label index uses the ordinals of the executor pool.
#pragma once

#include "core/result.h"
#include "naming/label_index.h"
#include "naming/name_table.h"
#include "naming/selector.h"
#include "requests/executor_set.h"
#include "requests/fair_queue.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class SelectorGroups {
public:
    SelectorGroups(NameTable&, const LabelIndex&);

    // Returns the group of the executors that match a selector, except the ones to
    // avoid. Names in the selector are resolved now; renaming them later does not
    // change the group. Fails like compileSelector. Each call must be paired with a
    // call of `release`.
    Result<GroupId> acquire(std::string_view selector, std::vector<InstanceOrdinal> avoid);
    void release(GroupId);

    const ExecutorSet& allowed(GroupId id) const { return m_groups.at(id).allowed; }

    // Groups in use that have no executor in common with this set.
    std::vector<GroupId> disjointFrom(const ExecutorSet&) const;

    // Re-evaluates all selectors if executors or labels have changed.
    void refresh();
    void clear();

private:
    struct Group {
        std::string key;
        CompiledSelector selector;
        std::vector<InstanceOrdinal> avoid;
        ExecutorSet allowed;
        size_t useCount = 0;
    };

    std::string keyOf(std::string_view selector, const std::vector<InstanceOrdinal>& avoid) const;
    void evaluate(Group&) const;
    void removeUnused();

    static constexpr size_t cleanupThreshold = 256;

    NameTable& m_names;
    const LabelIndex& m_labels;
    std::map<GroupId, Group> m_groups;
    std::map<std::string, GroupId> m_byKey;
    GroupId m_nextId = 1;
    GroupId m_unrestricted = 0; // group of the empty selector with no executor to avoid; never removed
    uint64_t m_labelsVersion = 0;
};

} // namespace teasel
