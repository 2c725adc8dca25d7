#include "placement/selector_cache.h"

namespace teasel {

namespace {

    constexpr size_t mostEntries = 4'096;

} // namespace

const SelectorCache::Entry& SelectorCache::lookUp(std::string_view selector)
{
    if (selector.empty())
        return m_everything;
    if (m_entries.size() >= mostEntries && !m_entries.contains(std::string(selector)))
        m_entries.clear();
    auto& entry = m_entries[std::string(selector)];
    if (entry.compiled.text.empty() || !entry.failure.empty())
        compile(entry, selector);
    if (entry.failure.empty() && entry.labelsVersion != m_labels.version()) {
        entry.allowed = m_labels.matching(entry.compiled);
        entry.labelsVersion = m_labels.version();
    }
    return entry;
}

// A selector that compiled keeps its meaning when names change; one that did
// not is tried again when they have.
void SelectorCache::compile(Entry& entry, std::string_view selector)
{
    if (entry.namesVersion == m_names.version())
        return;
    auto outcome = valueOrError([&] { return compileSelector(selector, m_names); });
    entry.namesVersion = m_names.version();
    if (auto* error = std::get_if<Error>(&outcome)) {
        entry.failure = error->message;
        return;
    }
    entry.failure.clear();
    entry.compiled = std::get<0>(std::move(outcome));
    entry.compiled.text = selector;
    entry.labelsVersion = 0;
}

} // namespace teasel
