// Labels of instances as sets of ordinals, for evaluation of selectors.
#pragma once

#include "common.pb.h"
#include "core/ids.h"
#include "naming/bitmap.h"
#include "naming/name_table.h"
#include "naming/selector.h"

#include <absl/container/flat_hash_map.h>
#include <google/protobuf/repeated_ptr_field.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace teasel {

// What is known of an instance by name.
struct InstanceLabels {
    std::string scheme; // naming scheme of the names below; empty: the first
    std::string name;
    std::string rack;
    std::string dataCentre;
    std::vector<schema::Label> labels; // those named as a built-in key count only where its own field is empty
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

    // Resolves all labels again after NameTable::configure. put() does so too
    // where it finds the configuration changed.
    void refresh();

    // The instances that the selector allows. Names that it only expected are
    // looked up anew; one that has become ambiguous since allows nothing.
    roaring::Roaring matching(const CompiledSelector&) const;
    bool matches(const CompiledSelector&, InstanceOrdinal) const;

    // The term that alone rules out every instance, as text; empty if none does.
    std::string blockingTerm(const CompiledSelector&) const;

    const roaring::Roaring& all() const { return m_all; }

    // Grows with every change of labels.
    uint64_t version() const { return m_version; }

private:
    struct Posting {
        SubjectId key;
        uint64_t value;
        bool operator==(const Posting&) const = default;
        bool operator<(const Posting& other) const { return std::tie(key, value) < std::tie(other.key, other.value); }
        template <class H> friend H AbslHashValue(H h, const Posting& it) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), it.key, it.value);
        }
    };

    using Postings = std::vector<Posting>;

    // What is held of one instance.
    struct Instance {
        InstanceLabels labels;
        Postings postings; // sorted, each once
    };

    // The instances that have what a term names: a set of the index, or one of its own.
    struct TermSet {
        const roaring::Roaring* shared = nullptr;
        roaring::Roaring own;
        bool keeps = true; // false: instances in the set are left out

        const roaring::Roaring& get() const { return shared ? *shared : own; }
    };

    Result<Postings> postingsOf(const InstanceLabels&);
    void addLabels(const InstanceLabels&, SchemeId, Postings&);
    void addValue(SchemeId, std::string_view key, uint64_t value, Postings&);
    void replacePostings(InstanceOrdinal, const Postings& before, const Postings& after);
    void eraseFrom(InstanceOrdinal, const Postings& before, const Postings& after);
    const roaring::Roaring* postingSet(SubjectId key, uint64_t value) const;
    const roaring::Roaring* keySet(SubjectId key) const;
    std::optional<CompiledTerm> currentMeaning(const CompiledTerm&) const;
    TermSet setOf(const CompiledTerm&) const;
    TermSet setOfResolved(const CompiledTerm&) const;
    bool termMatches(const CompiledTerm&, InstanceOrdinal) const;
    void checkCounts() const;

    NameTable& m_names;
    absl::flat_hash_map<Posting, roaring::Roaring> m_values;
    absl::flat_hash_map<SubjectId, roaring::Roaring> m_keys;
    std::map<InstanceOrdinal, Instance> m_instances;
    roaring::Roaring m_all;
    uint64_t m_version = 1;
    uint64_t m_configurationVersion = 0; // of the names that the postings were resolved with
};

} // namespace teasel
