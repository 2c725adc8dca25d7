// Maps the names of teams, instances and label keys in all naming schemes to ids of one common id space.
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

// A subject that a name may refer to.
struct NameCandidate {
    SchemeId scheme = 0;
    SubjectId subject = 0;
};

// Resolves names to subject ids. Team names and aliases come from the fleet configuration. Names that instances
// announce are interned in addition and get an id derived from (scheme, kind, name), so that every process derives the
// same id.
//
// Within one scheme, a name refers to the first of these that exists:
// 1. the subject that has this name in the configuration;
// 2. the subject that had this name in the configuration before it was renamed;
// 3. the built-in label key of this name;
// 4. the subject with the derived id.
class NameTable {
public:
    // Replaces all schemes, team names and aliases with those of the configuration. The ids of subjects that keep at
    // least one of their names do not change.
    void configure(const schema::FleetConfig&);

    // Looks up a scheme by its name; the empty name refers to the first scheme. Fails with NotFound.
    Result<SchemeId> scheme(std::string_view name) const;

    // Returns the subject that `name` refers to within one scheme, and interns the name so that resolve() finds it.
    SubjectId intern(schema::SubjectKind, SchemeId, std::string_view name);

    // The same without interning: a name that resolve() does not know stays unknown to it.
    SubjectId subjectIn(schema::SubjectKind, SchemeId, std::string_view name) const;

    // The id derived from kind, scheme and name, regardless of the teams and aliases in the configuration.
    SubjectId derivedSubject(schema::SubjectKind, SchemeId, std::string_view name) const;

    // Returns the subject that `name` or `scheme:name` refers to. Fails with AmbiguousName and the list of candidates
    // if an unqualified name refers to different subjects in two schemes, and with NotFound if the name is not known.
    Result<SubjectId> resolve(schema::SubjectKind, std::string_view name) const;

    // Like resolve(), but accepts a name that is not known yet: it gets the subject that it will refer to once it is
    // announced, in the first scheme unless it is qualified. If `within` is given, an unqualified name is looked up in
    // that scheme only.
    Result<SubjectId> resolveOrDerive(
        schema::SubjectKind, std::string_view name, std::optional<SchemeId> within = std::nullopt);

    // Whether a name is unqualified and not known in any scheme.
    bool isUnknown(schema::SubjectKind, std::string_view name) const;

    // The scheme of `scheme:name`; nullopt if the name is unqualified.
    std::optional<SchemeId> qualifier(std::string_view name) const;

    // The subjects that an unqualified name may refer to, one for each scheme that knows the name.
    std::vector<NameCandidate> candidates(schema::SubjectKind, std::string_view name) const;

    // The name of a subject in a scheme; empty if it has no name there.
    std::string nameIn(SchemeId, schema::SubjectKind, SubjectId) const;

    // Increases whenever the subject of some name may have changed.
    uint64_t version() const { return m_version; }

    // Increases whenever schemes, team names or aliases change.
    uint64_t configurationVersion() const { return m_configurationVersion; }

private:
    struct Key {
        schema::SubjectKind kind;
        SchemeId scheme; // normalized: 0 stands for the first scheme, whatever its id
        std::string name;
        bool operator==(const Key&) const = default;
        template <class H> friend H AbslHashValue(H h, const Key& key) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), static_cast<int>(key.kind), key.scheme, key.name);
        }
    };
    using SubjectByName = absl::flat_hash_map<Key, SubjectId>;

    // A subject together with a scheme in which it may have a name.
    struct SchemeSubject {
        schema::SubjectKind kind;
        SchemeId scheme;
        SubjectId subject;
        bool operator==(const SchemeSubject&) const = default;
        template <class H> friend H AbslHashValue(H h, const SchemeSubject& it) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), static_cast<int>(it.kind), it.scheme, it.subject);
        }
    };
    using NameBySubject = absl::flat_hash_map<SchemeSubject, std::string>;

    // A name as written, split into its scheme qualifier and the rest.
    struct NameParts {
        std::optional<SchemeId> scheme;
        std::string_view name;
    };

    SchemeId normalizedScheme(SchemeId) const;
    std::string schemeName(SchemeId) const;
    NameParts splitQualifier(std::string_view name) const;
    bool isKnown(const Key&) const;
    SubjectId subjectOf(const Key&) const;
    SubjectByName configuredNames(const schema::FleetConfig&) const;
    void keepPreviousNames(const SubjectByName& before);
    void indexConfiguredNames();
    boost::leaf::error_id ambiguousNameError(std::string_view name, std::span<const NameCandidate>) const;
    boost::leaf::error_id unknownNameError(schema::SubjectKind, std::string_view name) const;

    std::vector<schema::Scheme> m_schemes; // in the order of the configuration
    absl::flat_hash_map<std::string, SchemeId> m_schemeIds;
    SubjectByName m_subjectByConfiguredName;

    // Previous names of renamed subjects, kept until another subject gets the name.
    SubjectByName m_subjectByPreviousName;

    absl::flat_hash_set<Key> m_internedKeys;
    NameBySubject m_configuredNameBySubject;
    NameBySubject m_internedNameBySubject; // keyed by derived id

    // Unqualified names that resolveOrDerive() has looked up since the last change of the configuration. Announcing one
    // may change its subject.
    absl::flat_hash_set<Key> m_lookedUpNames;

    uint64_t m_version = 1;
    uint64_t m_configurationVersion = 1;
};

} // namespace teasel
