// Names of teams, instances and label keys in every naming scheme, over one space of ids.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet.pb.h"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// One subject that a name could mean.
struct NameCandidate {
    SchemeId scheme = 0;
    SubjectId subject = 0;
};

// Resolves names. Configured aliases come from the fleet configuration; names
// that instances announce are interned beside them and get ids derived from
// (scheme, kind, name), so that every process derives the same id.
class NameTable {
public:
    // Replaces schemes and aliases by those of the configuration. Ids of
    // subjects that keep one of their names do not change.
    void configure(const schema::FleetConfig&);

    // The id of a scheme by its name; the empty name is the first scheme.
    Result<SchemeId> scheme(std::string_view name) const;

    // The subject that `name` means within one scheme, interned if unknown.
    SubjectId intern(schema::SubjectKind, SchemeId, std::string_view name);

    // The subject that `name` or `scheme:name` means. An unqualified name that
    // means different subjects in two schemes fails with AmbiguousName and
    // lists the candidates; one that is known nowhere fails with NotFound.
    Result<SubjectId> resolve(schema::SubjectKind, std::string_view name) const;

    // The name of a subject in a scheme; empty if it has none there.
    std::string nameIn(SchemeId, schema::SubjectKind, SubjectId) const;

    // Grows with every change that may alter what a name means.
    uint64_t version() const { return m_version; }

private:
    struct Key {
        schema::SubjectKind kind;
        SchemeId scheme;
        std::string name;
        bool operator==(const Key&) const = default;
        template <class H> friend H AbslHashValue(H h, const Key& key) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), static_cast<int>(key.kind), key.scheme, key.name);
        }
    };

    absl::flat_hash_map<std::string, SchemeId> m_schemes;
    std::vector<SchemeId> m_schemeOrder;
    absl::flat_hash_map<Key, SubjectId> m_configured;
    absl::flat_hash_map<Key, SubjectId> m_interned;
    uint64_t m_version = 1;
};

} // namespace teasel
