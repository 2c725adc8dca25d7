#include "requests/executor_labels.h"

namespace teasel {

ExecutorLabels::ExecutorLabels(NameTable& names)
    : m_names(names)
    , m_index(names)
{
}

bool ExecutorLabels::put(InstanceOrdinal n, const schema::ExecutorAnnounce& announce, std::string_view ownDataCentre)
{
    const std::string dataCentre(announce.data_centre().empty() ? ownDataCentre : announce.data_centre());
    const InstanceLabels labels { announce.scheme(), announce.name(), "", dataCentre,
        { announce.labels().begin(), announce.labels().end() } };
    const auto outcome = valueOrError([&] { return m_index.put(n, labels); });
    return !std::holds_alternative<Error>(outcome);
}

void ExecutorLabels::setDrains(std::span<const std::string> selectors)
{
    m_drains.clear();
    for (const auto& it : selectors) {
        auto compiled = valueOrError([&] { return compileSelector(it, m_names); });
        if (auto* selector = std::get_if<CompiledSelector>(&compiled))
            m_drains.push_back(std::move(*selector));
    }
}

ExecutorSet ExecutorLabels::drained() const
{
    ExecutorSet drained;
    for (const auto& selector : m_drains) {
        for (const auto n : m_index.matching(selector))
            drained.insert(n);
    }
    return drained;
}

void ExecutorLabels::clear(size_t executors)
{
    for (InstanceOrdinal n = 0; n < executors; ++n)
        m_index.remove(n);
}

} // namespace teasel
