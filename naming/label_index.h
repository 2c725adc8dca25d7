// Inverted index from labels to the instances that have them, used to evaluate selectors.
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

// The labels and built-in fields of one instance, by name.
struct InstanceLabels {
    std::string scheme; // naming scheme of the names below; empty: the first scheme
    std::string name;
    std::string rack;
    std::string dataCentre;

    // A label named like a built-in key is ignored if the field of that key is set; one named `instance` always is.
    std::vector<schema::Label> labels;
};

class LabelIndex {
public:
    explicit LabelIndex(NameTable& names)
        : m_names(names)
    {
    }

    // Adds an instance or replaces its labels. Fails with NotFound if the scheme is not known.
    Result<void> put(InstanceOrdinal, const InstanceLabels&);
    void remove(InstanceOrdinal);

    // Resolves all labels again after NameTable::configure(). put() calls it if the configuration has changed.
    void refresh();

    // Returns the instances that the selector allows. Provisional terms are resolved again on each call; if a name
    // in one has become ambiguous since compilation, the selector allows no instance.
    roaring::Roaring matching(const CompiledSelector&) const;
    bool matches(const CompiledSelector&, InstanceOrdinal) const;

    // The text of the first term that by itself excludes every instance; empty if there is none.
    std::string blockingTerm(const CompiledSelector&) const;

    const roaring::Roaring& all() const { return m_all; }

    // Increases with every change of labels.
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

    // One indexed instance.
    struct Instance {
        InstanceLabels labels;
        Postings postings; // sorted, without duplicates
    };

    // The instances that have the key or value of a term. Refers to a set of the index (`shared`) or owns a computed
    // set.
    struct TermSet {
        const roaring::Roaring* shared = nullptr;
        roaring::Roaring owned;
        bool includes = true; // whether the term allows the instances in the set (true) or excludes them

        const roaring::Roaring& get() const { return shared ? *shared : owned; }
    };

    Result<Postings> postingsOf(const InstanceLabels&);
    void addLabels(const InstanceLabels&, SchemeId, Postings&);
    void addPosting(SchemeId, std::string_view key, uint64_t value, Postings&);
    void replacePostings(InstanceOrdinal, const Postings& before, const Postings& after);
    void removeStalePostings(InstanceOrdinal, const Postings& before, const Postings& after);
    const roaring::Roaring* postingSet(SubjectId key, uint64_t value) const;
    const roaring::Roaring* keySet(SubjectId key) const;
    std::optional<CompiledTerm> resolveProvisional(const CompiledTerm&) const;
    TermSet termSetOf(const CompiledTerm&) const;
    TermSet termSetOfResolved(const CompiledTerm&) const;
    bool termMatches(const CompiledTerm&, InstanceOrdinal) const;
    void checkInstanceCount() const;

    NameTable& m_names;
    absl::flat_hash_map<Posting, roaring::Roaring> m_instancesByPosting;
    absl::flat_hash_map<SubjectId, roaring::Roaring> m_instancesByKey;
    std::map<InstanceOrdinal, Instance> m_instances;
    roaring::Roaring m_all;
    uint64_t m_version = 1;
    uint64_t m_configurationVersion = 0; // configuration version that the postings were resolved with
};

} // namespace teasel
