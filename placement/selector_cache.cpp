#include "placement/selector_cache.h"

namespace teasel {

namespace {

    constexpr size_t maxEntries = 4'096;

} // namespace

const SelectorCache::Entry& SelectorCache::lookUp(std::string_view selector)
{
    if (selector.empty())
        return m_matchAll;
    if (m_entries.size() >= maxEntries && !m_entries.contains(std::string(selector)))
        m_entries.clear();
    auto& entry = m_entries[std::string(selector)];
    if (entry.compiled.text.empty() || !entry.error.empty())
        compile(entry, selector);
    if (entry.error.empty() && entry.labelsVersion != m_labels.version()) {
        entry.allowed = m_labels.matching(entry.compiled);
        entry.labelsVersion = m_labels.version();
    }
    return entry;
}

// A selector that compiled keeps its meaning when names change. One that failed
// to compile is retried after the name table has changed.
void SelectorCache::compile(Entry& entry, std::string_view selector)
{
    if (entry.namesVersion == m_names.version())
        return;
    auto outcome = valueOrError([&] { return compileSelector(selector, m_names); });
    entry.namesVersion = m_names.version();
    if (auto* error = std::get_if<Error>(&outcome)) {
        entry.error = error->message;
        return;
    }
    entry.error.clear();
    entry.compiled = std::get<0>(std::move(outcome));
    entry.compiled.text = selector;
    entry.labelsVersion = 0;
}

} // namespace teasel
