// Caches compiled selectors and the workers that they match.
#pragma once

#include "naming/label_index.h"
#include "naming/selector.h"
#include "placement/placement_types.h"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace teasel {

// A set of workers, as returned by the label index.
using WorkerSet = std::remove_cvref_t<decltype(std::declval<const LabelIndex&>().all())>;

class SelectorCache {
public:
    struct Entry {
        CompiledSelector compiled;
        bool matchesAll = false; // true for the empty selector
        std::string error; // compilation error; empty if the selector compiled
        uint64_t namesVersion = 0;
        uint64_t labelsVersion = 0;
        WorkerSet allowed;
    };

    SelectorCache(NameTable& names, const LabelIndex& labels)
        : m_names(names)
        , m_labels(labels)
    {
    }

    // Returns a selector with its currently matching workers. The reference is valid until the next call.
    const Entry& lookUp(std::string_view selector);

private:
    void compile(Entry&, std::string_view selector);

    NameTable& m_names;
    const LabelIndex& m_labels;
    absl::flat_hash_map<std::string, Entry> m_entries;
    Entry m_matchAll { {}, true, {}, 0, 0, {} };
};

} // namespace teasel
