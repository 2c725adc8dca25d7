// Labels of executors, indexed by their ordinals in the pool, and the drain selectors that match them.
#pragma once

#include "naming/label_index.h"
#include "naming/name_table.h"
#include "naming/selector.h"
#include "requests.pb.h"
#include "requests/executor_set.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

class ExecutorLabels {
public:
    explicit ExecutorLabels(NameTable&);

    // Sets the labels of an executor. Returns false if the naming scheme of the announcement is unknown.
    bool put(InstanceOrdinal, const schema::ExecutorAnnounce&, std::string_view ownDataCentre);

    // Selectors are validated when the configuration is changed; one that cannot be compiled drains nothing.
    void setDrains(std::span<const std::string> selectors);
    ExecutorSet drained() const;

    const LabelIndex& index() const { return m_index; }
    uint64_t version() const { return m_index.version(); }
    void clear(size_t executors);

private:
    NameTable& m_names;
    LabelIndex m_index;
    std::vector<CompiledSelector> m_drains;
};

} // namespace teasel
