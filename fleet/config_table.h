// The configuration as an indexed table whose digest is updated incrementally with each edit.
#pragma once

#include "core/ids.h"
#include "fleet.pb.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>

namespace teasel {

// Holds one FleetConfig. Edits are idempotent: applying the same sequence again ends in the same configuration.
// Edits are not validated here; ConfigEditor does that.
class ConfigTable {
public:
    ConfigTable() = default;
    explicit ConfigTable(schema::FleetConfig);

    // Adds, replaces or removes one row. Removing a row that does not exist changes nothing.
    void apply(const schema::ConfigEdit&);
    void setRevision(Revision);

    // Sets the next ids to assign, to roll back a change that failed part-way.
    void setNextIds(TeamId, SubjectId);
    void truncateSchemes(int count);

    const schema::FleetConfig& config() const { return m_config; }
    Revision revision() const { return m_config.revision(); }

    // A digest of the whole configuration. It does not depend on the order of the rows.
    uint64_t digest() const;

    const schema::Team* team(TeamId) const;
    const schema::Team* teamByName(std::string_view) const;
    const schema::Key* key(std::string_view id) const;
    const schema::RequestClass* requestClass(std::string_view name) const;
    const schema::Scheme* scheme(SchemeId) const;
    const schema::Alias* alias(const schema::Alias& like) const; // the alias with the same scheme, kind and subject
    const schema::Drain* drain(std::string_view id) const;
    size_t operatorKeyCount() const;

private:
    using Index = absl::flat_hash_map<std::string, int>;

    void advanceNextSubjectId(const schema::Alias&);
    template <class T> void put(google::protobuf::RepeatedPtrField<T>&, Index&, std::string key, const T&);
    template <class T> void remove(google::protobuf::RepeatedPtrField<T>&, Index&, const std::string& key);
    template <class T> void rebuild(const google::protobuf::RepeatedPtrField<T>&, Index&);
    template <class T>
    const T* find(const google::protobuf::RepeatedPtrField<T>&, const Index&, std::string_view key) const;

    schema::FleetConfig m_config;
    Index m_teams;
    Index m_keys;
    Index m_classes;
    Index m_schemes;
    Index m_aliases;
    Index m_drains;
    uint64_t m_rowHashSum = 0; // sum of the hashes of all rows, modulo 2^64
};

} // namespace teasel
