// Names of teams, instances and label keys in every naming scheme, over one space of ids.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet.pb.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>
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
//
// What a name means within one scheme, in this order: what the configuration
// says; the subject that the configuration gave this name to before it was
// renamed; a built-in label key; the derived id.
class NameTable {
public:
    // Replaces schemes and aliases by those of the configuration. Ids of
    // subjects that keep one of their names do not change.
    void configure(const schema::FleetConfig&);

    // The id of a scheme by its name; the empty name is the first scheme.
    Result<SchemeId> scheme(std::string_view name) const;

    // The subject that `name` means within one scheme, interned if unknown.
    SubjectId intern(schema::SubjectKind, SchemeId, std::string_view name);

    // The same without interning: the name stays unknown to resolve().
    SubjectId meaningIn(schema::SubjectKind, SchemeId, std::string_view name) const;

    // The id that a name gets by itself, whatever the configuration says.
    SubjectId derivedSubject(schema::SubjectKind, SchemeId, std::string_view name) const;

    // The subject that `name` or `scheme:name` means. An unqualified name that
    // means different subjects in two schemes fails with AmbiguousName and
    // lists the candidates; one that is known nowhere fails with NotFound.
    Result<SubjectId> resolve(schema::SubjectKind, std::string_view name) const;

    // As resolve(), but a name that is not known yet means what it will mean
    // when it is announced, in the first scheme unless qualified. An
    // unqualified name is looked up in `within` alone where that is given.
    Result<SubjectId> resolveOrExpect(
        schema::SubjectKind, std::string_view name, std::optional<SchemeId> within = std::nullopt);

    // Whether a name is neither qualified nor known in any scheme.
    bool isUnknown(schema::SubjectKind, std::string_view name) const;

    // The scheme that qualifies `scheme:name`; none if the name is unqualified.
    std::optional<SchemeId> qualifier(std::string_view name) const;

    // What an unqualified name means, one row for each scheme that knows it.
    std::vector<NameCandidate> candidates(schema::SubjectKind, std::string_view name) const;

    // The name of a subject in a scheme; empty if it has none there.
    std::string nameIn(SchemeId, schema::SubjectKind, SubjectId) const;

    // Grows with every change that may alter what a name means.
    uint64_t version() const { return m_version; }

    // Grows with every change of schemes and aliases.
    uint64_t configurationVersion() const { return m_configurationVersion; }

private:
    struct Key {
        schema::SubjectKind kind;
        SchemeId scheme; // 0 for the first scheme, whatever its id
        std::string name;
        bool operator==(const Key&) const = default;
        template <class H> friend H AbslHashValue(H h, const Key& key) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), static_cast<int>(key.kind), key.scheme, key.name);
        }
    };
    using Names = absl::flat_hash_map<Key, SubjectId>;

    // A subject in one scheme.
    struct Place {
        schema::SubjectKind kind;
        SchemeId scheme;
        SubjectId subject;
        bool operator==(const Place&) const = default;
        template <class H> friend H AbslHashValue(H h, const Place& it) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), static_cast<int>(it.kind), it.scheme, it.subject);
        }
    };
    using NamesBySubject = absl::flat_hash_map<Place, std::string>;

    // A name as written, split at its scheme.
    struct SplitName {
        std::optional<SchemeId> scheme;
        std::string_view name;
    };

    SchemeId normalized(SchemeId) const;
    std::string schemeName(SchemeId) const;
    SplitName split(std::string_view name) const;
    bool isKnown(const Key&) const;
    SubjectId meaningOf(const Key&) const;
    Names configuredNames(const schema::FleetConfig&) const;
    void keepFormerNames(const Names& before);
    void indexConfiguredNames();
    boost::leaf::error_id refuseAmbiguous(std::string_view name, std::span<const NameCandidate>) const;
    boost::leaf::error_id refuseUnknown(schema::SubjectKind, std::string_view name) const;

    std::vector<schema::Scheme> m_schemes; // in order of the configuration
    absl::flat_hash_map<std::string, SchemeId> m_schemeIds;
    Names m_configured;
    Names m_former; // names that renamed subjects had, until another subject gets them
    absl::flat_hash_set<Key> m_interned;
    NamesBySubject m_configuredNames;
    NamesBySubject m_internedNames; // by derived id
    absl::flat_hash_set<Key> m_expected; // unqualified names asked for; their meaning may change when announced
    uint64_t m_version = 1;
    uint64_t m_configurationVersion = 1;
};

} // namespace teasel
