// Labels of instances as sets of ordinals, for evaluation of selectors.
#pragma once

#include "common.pb.h"
#include "core/ids.h"
#include "naming/name_table.h"
#include "naming/selector.h"

#include <absl/container/flat_hash_map.h>
#include <google/protobuf/repeated_ptr_field.h>
#include <roaring/roaring.hh>

#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// What is known of an instance by name.
struct InstanceLabels {
    std::string scheme; // naming scheme of the names below; empty: the first
    std::string name;
    std::string rack;
    std::string dataCentre;
    std::vector<schema::Label> labels;
};

class LabelIndex {
public:
    explicit LabelIndex(NameTable& names)
        : m_names(names)
    {
    }

    // Adds an instance or replaces its labels. Fails with NotFound for an unknown scheme.
    Result<void> put(InstanceOrdinal, const InstanceLabels&);
    void remove(InstanceOrdinal);

    // The instances that the selector allows.
    Roaring matching(const CompiledSelector&) const;
    bool matches(const CompiledSelector&, InstanceOrdinal) const;

    // The term that alone rules out every instance, as text; empty if none does.
    std::string blockingTerm(const CompiledSelector&) const;

    const Roaring& all() const { return m_all; }

    // Grows with every change of labels.
    uint64_t version() const { return m_version; }

private:
    struct Posting {
        SubjectId key;
        uint64_t value;
        bool operator==(const Posting&) const = default;
        template <class H> friend H AbslHashValue(H h, const Posting& it) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), it.key, it.value);
        }
    };

    Roaring termMatches(const CompiledTerm&) const;

    NameTable& m_names;
    absl::flat_hash_map<Posting, Roaring> m_values;
    absl::flat_hash_map<SubjectId, Roaring> m_keys;
    absl::flat_hash_map<InstanceOrdinal, std::vector<Posting>> m_instances;
    Roaring m_all;
    uint64_t m_version = 1;
};

} // namespace teasel
