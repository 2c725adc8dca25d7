#include "fleet/config_table.h"

#include <xxhash.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace teasel {

namespace {

    std::string rowKey(const schema::Team& it) { return std::to_string(it.id()); }
    std::string rowKey(const schema::Key& it) { return it.id(); }
    std::string rowKey(const schema::RequestClass& it) { return it.name(); }
    std::string rowKey(const schema::Scheme& it) { return std::to_string(it.id()); }
    std::string rowKey(const schema::Drain& it) { return it.id(); }
    std::string rowKey(const schema::Alias& it)
    {
        return fmt::format("{}/{}/{}", it.scheme_id(), static_cast<int>(it.kind()), it.subject_id());
    }

    template <class T> uint64_t rowHash(const T& row)
    {
        const std::string bytes = T::descriptor()->name() + row.SerializeAsString();
        return XXH3_64bits(bytes.data(), bytes.size());
    }

} // namespace

ConfigTable::ConfigTable(schema::FleetConfig config)
    : m_config(std::move(config))
{
    rebuild(m_config.teams(), m_teams);
    rebuild(m_config.keys(), m_keys);
    rebuild(m_config.classes(), m_classes);
    rebuild(m_config.schemes(), m_schemes);
    rebuild(m_config.aliases(), m_aliases);
    rebuild(m_config.drains(), m_drains);
}

template <class T> void ConfigTable::rebuild(const google::protobuf::RepeatedPtrField<T>& rows, Index& index)
{
    for (int i = 0; i < rows.size(); ++i) {
        index[rowKey(rows[i])] = i;
        m_rowHashSum += rowHash(rows[i]);
    }
}

template <class T>
void ConfigTable::put(google::protobuf::RepeatedPtrField<T>& rows, Index& index, std::string key, const T& row)
{
    const auto [it, added] = index.try_emplace(std::move(key), rows.size());
    if (added) {
        *rows.Add() = row;
    } else {
        m_rowHashSum -= rowHash(rows[it->second]);
        rows[it->second] = row;
    }
    m_rowHashSum += rowHash(row);
}

template <class T>
void ConfigTable::remove(google::protobuf::RepeatedPtrField<T>& rows, Index& index, const std::string& key)
{
    const auto it = index.find(key);
    if (it == index.end())
        return;
    const int removed = it->second;
    m_rowHashSum -= rowHash(rows[removed]);
    rows.DeleteSubrange(removed, 1);
    index.erase(it);
    for (auto& [name, position] : index)
        if (position > removed)
            --position;
}

template <class T>
const T* ConfigTable::find(
    const google::protobuf::RepeatedPtrField<T>& rows, const Index& index, std::string_view key) const
{
    const auto it = index.find(std::string(key));
    return it == index.end() ? nullptr : &rows[it->second];
}

void ConfigTable::apply(const schema::ConfigEdit& edit)
{
    switch (edit.edit_case()) {
    case schema::ConfigEdit::kPutTeam:
        m_config.set_next_team_id(std::max(m_config.next_team_id(), edit.put_team().id() + 1));
        return put(*m_config.mutable_teams(), m_teams, rowKey(edit.put_team()), edit.put_team());
    case schema::ConfigEdit::kRemoveTeam:
        return remove(*m_config.mutable_teams(), m_teams, std::to_string(edit.remove_team()));
    case schema::ConfigEdit::kGrantKey:
        return put(*m_config.mutable_keys(), m_keys, rowKey(edit.grant_key()), edit.grant_key());
    case schema::ConfigEdit::kWithdrawKey:
        return remove(*m_config.mutable_keys(), m_keys, edit.withdraw_key());
    case schema::ConfigEdit::kPutClass:
        return put(*m_config.mutable_classes(), m_classes, rowKey(edit.put_class()), edit.put_class());
    case schema::ConfigEdit::kRemoveClass:
        return remove(*m_config.mutable_classes(), m_classes, edit.remove_class());
    case schema::ConfigEdit::kPutScheme:
        return put(*m_config.mutable_schemes(), m_schemes, rowKey(edit.put_scheme()), edit.put_scheme());
    case schema::ConfigEdit::kPutAlias:
        advanceNextSubjectId(edit.put_alias());
        return put(*m_config.mutable_aliases(), m_aliases, rowKey(edit.put_alias()), edit.put_alias());
    case schema::ConfigEdit::kRemoveAlias:
        return remove(*m_config.mutable_aliases(), m_aliases, rowKey(edit.remove_alias()));
    case schema::ConfigEdit::kPutDrain:
        return put(*m_config.mutable_drains(), m_drains, rowKey(edit.put_drain()), edit.put_drain());
    case schema::ConfigEdit::kRemoveDrain:
        return remove(*m_config.mutable_drains(), m_drains, edit.remove_drain());
    case schema::ConfigEdit::EDIT_NOT_SET:
        return;
    }
}

void ConfigTable::setRevision(Revision revision) { m_config.set_revision(revision); }

void ConfigTable::setNextIds(TeamId team, SubjectId subject)
{
    m_config.set_next_team_id(team);
    m_config.set_next_subject_id(subject);
}

void ConfigTable::truncateSchemes(int count)
{
    while (m_config.schemes_size() > count)
        remove(*m_config.mutable_schemes(), m_schemes, rowKey(m_config.schemes(m_config.schemes_size() - 1)));
}

// Subject ids of announced instances are hashes; only the next id in sequence advances the counter.
void ConfigTable::advanceNextSubjectId(const schema::Alias& alias)
{
    if (alias.subject_id() == m_config.next_subject_id())
        m_config.set_next_subject_id(alias.subject_id() + 1);
}

uint64_t ConfigTable::digest() const
{
    const std::array<uint64_t, 4> parts { m_rowHashSum, m_config.revision(), m_config.next_team_id(),
        m_config.next_subject_id() };
    return XXH3_64bits(parts.data(), sizeof(parts));
}

const schema::Team* ConfigTable::team(TeamId id) const { return find(m_config.teams(), m_teams, std::to_string(id)); }

const schema::Team* ConfigTable::teamByName(std::string_view name) const
{
    for (const auto& it : m_config.teams())
        if (it.name() == name)
            return &it;
    return nullptr;
}

const schema::Key* ConfigTable::key(std::string_view id) const { return find(m_config.keys(), m_keys, id); }

const schema::RequestClass* ConfigTable::requestClass(std::string_view name) const
{
    return find(m_config.classes(), m_classes, name);
}

const schema::Scheme* ConfigTable::scheme(SchemeId id) const
{
    return find(m_config.schemes(), m_schemes, std::to_string(id));
}

const schema::Alias* ConfigTable::alias(const schema::Alias& like) const
{
    return find(m_config.aliases(), m_aliases, rowKey(like));
}

const schema::Drain* ConfigTable::drain(std::string_view id) const { return find(m_config.drains(), m_drains, id); }

size_t ConfigTable::operatorKeyCount() const
{
    size_t n = 0;
    for (const auto& it : m_config.keys())
        n += it.role() == schema::ROLE_OPERATOR ? 1 : 0;
    return n;
}

} // namespace teasel
