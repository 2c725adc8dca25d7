#include "fleet/config_editor.h"

#include "fleet/key_material.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasel {

namespace {

    constexpr size_t s_hashBytes = 32;
    constexpr size_t s_maxNameLength = 128;

    Result<void> checkName(std::string_view what, const std::string& name)
    {
        if (name.empty() || name.size() > s_maxNameLength)
            return fail(
                ErrorKind::BadRequest, fmt::format("the name of a {} has 1 to {} bytes", what, s_maxNameLength));
        return {};
    }

} // namespace

Result<AppliedEdits> ConfigEditor::run(const google::protobuf::RepeatedPtrField<schema::ConfigEdit>& edits)
{
    const TeamId nextTeam = m_table.config().next_team_id();
    const SubjectId nextSubject = m_table.config().next_subject_id();
    const int schemes = m_table.config().schemes_size();
    const auto bytesBefore = m_table.config().ByteSizeLong();
    const auto rollBack = [&] {
        undo();
        m_table.truncateSchemes(schemes);
        m_table.setNextIds(nextTeam, nextSubject);
    };
    for (int i = 0; i < edits.size(); ++i) {
        auto outcome = valueOrError([&] { return edit(edits[i]); });
        if (const auto* error = std::get_if<Error>(&outcome)) {
            rollBack();
            return fail(error->kind, fmt::format("edit {}: {}", i + 1, error->message));
        }
    }
    // A configuration that was stored before there was this bound may shrink.
    const auto bytes = m_table.config().ByteSizeLong();
    if (bytes > m_maxConfigBytes && bytes > bytesBefore) {
        rollBack();
        return fail(ErrorKind::TooLarge,
            fmt::format("the configuration would have {} bytes, of at most {}", bytes, m_maxConfigBytes));
    }
    return std::move(m_applied);
}

Result<void> ConfigEditor::edit(const schema::ConfigEdit& edit)
{
    switch (edit.edit_case()) {
    case schema::ConfigEdit::kPutTeam:
        return putTeam(edit.put_team());
    case schema::ConfigEdit::kRemoveTeam:
        return removeTeam(edit.remove_team());
    case schema::ConfigEdit::kGrantKey:
        return grantKey(edit.grant_key());
    case schema::ConfigEdit::kWithdrawKey:
        return revokeKey(edit.withdraw_key());
    case schema::ConfigEdit::kPutClass:
        return putClass(edit.put_class());
    case schema::ConfigEdit::kRemoveClass:
        return removeClass(edit.remove_class());
    case schema::ConfigEdit::kPutScheme:
        return putScheme(edit.put_scheme());
    case schema::ConfigEdit::kPutAlias:
        return putAlias(edit.put_alias());
    case schema::ConfigEdit::kRemoveAlias:
        if (m_table.alias(edit.remove_alias()) == nullptr)
            return fail(ErrorKind::NotFound, "no such alias");
        apply(edit);
        return {};
    case schema::ConfigEdit::kPutDrain:
        BOOST_LEAF_CHECK(checkName("drain", edit.put_drain().id()));
        apply(edit);
        return {};
    case schema::ConfigEdit::kRemoveDrain:
        if (m_table.drain(edit.remove_drain()) == nullptr)
            return fail(ErrorKind::NotFound, "no such drain");
        apply(edit);
        return {};
    case schema::ConfigEdit::EDIT_NOT_SET:
        break;
    }
    return fail(ErrorKind::BadRequest, "an edit of an unknown kind");
}

Result<void> ConfigEditor::putTeam(schema::Team team)
{
    BOOST_LEAF_CHECK(checkName("team", team.name()));
    if (!std::isfinite(team.share()) || team.share() <= 0)
        return fail(ErrorKind::BadRequest, "a share is a number above 0");
    const schema::Team* sameName = m_table.teamByName(team.name());
    if (sameName != nullptr && sameName->id() != team.id())
        return fail(ErrorKind::RevisionConflict, fmt::format("team {} has this name already", sameName->id()));
    if (team.id() == 0) {
        team.set_id(std::max<TeamId>(1, m_table.config().next_team_id()));
        m_applied.createdTeams.push_back(team.id());
    } else if (m_table.team(team.id()) == nullptr) {
        return fail(ErrorKind::NotFound, fmt::format("no team {}", team.id()));
    }
    schema::ConfigEdit edit;
    *edit.mutable_put_team() = std::move(team);
    apply(std::move(edit));
    return {};
}

// Removing a team also revokes its keys.
Result<void> ConfigEditor::removeTeam(TeamId id)
{
    if (m_table.team(id) == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("no team {}", id));
    for (const auto& it : m_table.config().classes())
        if (it.open_team_id() == id)
            return fail(ErrorKind::BadRequest, fmt::format("class {} runs open work under this team", it.name()));
    std::vector<std::string> keys;
    for (const auto& it : m_table.config().keys())
        if (it.team_id() == id)
            keys.push_back(it.id());
    for (auto& it : keys) {
        schema::ConfigEdit edit;
        edit.set_withdraw_key(std::move(it));
        apply(std::move(edit));
    }
    schema::ConfigEdit edit;
    edit.set_remove_team(id);
    apply(std::move(edit));
    return {};
}

Result<void> ConfigEditor::grantKey(const schema::Key& key)
{
    if (!isValidKeyId(key.id()))
        return fail(ErrorKind::BadRequest, "a key id has letters, digits, '-' and '_', at most 64");
    if (m_usedKeyIds.contains(key.id()) || m_grantedKeyIds.contains(key.id()) || m_table.key(key.id()) != nullptr)
        return fail(ErrorKind::RevisionConflict, fmt::format("key id {} was granted before", key.id()));
    if (m_usedKeyIds.size() + m_grantedKeyIds.size() >= m_maxUsedKeyIds)
        return fail(ErrorKind::LimitReached, fmt::format("{} keys were granted, no more can be", m_maxUsedKeyIds));
    if (key.hash().size() != s_hashBytes || key.salt().empty())
        return fail(ErrorKind::BadRequest, "a key comes with a salt and a SHA-256 hash");
    if (key.role() == schema::ROLE_UNSPECIFIED)
        return fail(ErrorKind::BadRequest, "a key has a role");
    if (key.role() == schema::ROLE_SUBMITTER && m_table.team(key.team_id()) == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("no team {}", key.team_id()));
    schema::ConfigEdit edit;
    *edit.mutable_grant_key() = key;
    if (key.role() != schema::ROLE_SUBMITTER)
        edit.mutable_grant_key()->set_team_id(0);
    m_grantedKeyIds.insert(key.id());
    apply(std::move(edit));
    return {};
}

Result<void> ConfigEditor::revokeKey(const std::string& id)
{
    const schema::Key* key = m_table.key(id);
    if (key == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("no key {}", id));
    if (key->role() == schema::ROLE_OPERATOR && m_table.operatorKeyCount() == 1)
        return fail(ErrorKind::BadRequest, "the last operator key cannot be withdrawn");
    schema::ConfigEdit edit;
    edit.set_withdraw_key(id);
    apply(std::move(edit));
    return {};
}

Result<void> ConfigEditor::putClass(const schema::RequestClass& row)
{
    BOOST_LEAF_CHECK(checkName("class", row.name()));
    if (row.open_team_id() != 0 && m_table.team(row.open_team_id()) == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("no team {}", row.open_team_id()));
    schema::ConfigEdit edit;
    *edit.mutable_put_class() = row;
    apply(std::move(edit));
    return {};
}

Result<void> ConfigEditor::removeClass(const std::string& name)
{
    if (m_table.requestClass(name) == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("no class {}", name));
    schema::ConfigEdit edit;
    edit.set_remove_class(name);
    apply(std::move(edit));
    return {};
}

// Scheme ids are numbered from 0 without gaps. The next unused id adds a scheme.
Result<void> ConfigEditor::putScheme(schema::Scheme row)
{
    BOOST_LEAF_CHECK(checkName("scheme", row.name()));
    if (row.id() > static_cast<SchemeId>(m_table.config().schemes_size()))
        return fail(ErrorKind::BadRequest, fmt::format("the next scheme is {}", m_table.config().schemes_size()));
    for (const auto& it : m_table.config().schemes())
        if (it.name() == row.name() && it.id() != row.id())
            return fail(ErrorKind::RevisionConflict, fmt::format("scheme {} has this name already", it.id()));
    schema::ConfigEdit edit;
    *edit.mutable_put_scheme() = std::move(row);
    apply(std::move(edit));
    return {};
}

Result<void> ConfigEditor::checkAliasSubject(const schema::Alias& row) const
{
    if (row.kind() == schema::SUBJECT_KIND_UNSPECIFIED)
        return fail(ErrorKind::BadRequest, "an alias names a team, an instance or a label key");
    if (m_table.scheme(row.scheme_id()) == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("no scheme {}", row.scheme_id()));
    if (row.kind() == schema::SUBJECT_KIND_TEAM && m_table.team(static_cast<TeamId>(row.subject_id())) == nullptr)
        return fail(ErrorKind::NotFound, fmt::format("no team {}", row.subject_id()));
    for (const auto& it : m_table.config().aliases()) {
        const bool sameName = it.scheme_id() == row.scheme_id() && it.kind() == row.kind() && it.name() == row.name();
        if (sameName && it.subject_id() != row.subject_id())
            return fail(ErrorKind::RevisionConflict, fmt::format("subject {} has this name", it.subject_id()));
    }
    return {};
}

// An alias without a subject id creates a new subject.
Result<void> ConfigEditor::putAlias(schema::Alias row)
{
    BOOST_LEAF_CHECK(checkName("subject", row.name()));
    BOOST_LEAF_CHECK(checkAliasSubject(row));
    if (row.subject_id() == 0)
        row.set_subject_id(m_table.config().next_subject_id());
    schema::ConfigEdit edit;
    *edit.mutable_put_alias() = std::move(row);
    apply(std::move(edit));
    return {};
}

void ConfigEditor::apply(schema::ConfigEdit edit)
{
    m_undoEdits.push_back(inverseOf(edit));
    m_table.apply(edit);
    m_applied.edits.push_back(std::move(edit));
}

schema::ConfigEdit ConfigEditor::inverseOf(const schema::ConfigEdit& edit) const
{
    schema::ConfigEdit inverse;
    const auto restore = [](const auto* row, auto* slot) { *slot = *row; };
    if (edit.has_put_team()) {
        if (const auto* row = m_table.team(edit.put_team().id()))
            restore(row, inverse.mutable_put_team());
        else
            inverse.set_remove_team(edit.put_team().id());
    } else if (edit.edit_case() == schema::ConfigEdit::kRemoveTeam) {
        restore(m_table.team(edit.remove_team()), inverse.mutable_put_team());
    } else if (edit.has_grant_key()) {
        inverse.set_withdraw_key(edit.grant_key().id());
    } else if (edit.edit_case() == schema::ConfigEdit::kWithdrawKey) {
        restore(m_table.key(edit.withdraw_key()), inverse.mutable_grant_key());
    } else if (edit.has_put_class()) {
        if (const auto* row = m_table.requestClass(edit.put_class().name()))
            restore(row, inverse.mutable_put_class());
        else
            inverse.set_remove_class(edit.put_class().name());
    } else if (edit.edit_case() == schema::ConfigEdit::kRemoveClass) {
        restore(m_table.requestClass(edit.remove_class()), inverse.mutable_put_class());
    } else if (edit.has_put_scheme()) {
        if (const auto* row = m_table.scheme(edit.put_scheme().id()))
            restore(row, inverse.mutable_put_scheme());
    } else if (edit.has_put_alias()) {
        if (const auto* row = m_table.alias(edit.put_alias()))
            restore(row, inverse.mutable_put_alias());
        else
            *inverse.mutable_remove_alias() = edit.put_alias();
    } else if (edit.has_remove_alias()) {
        restore(m_table.alias(edit.remove_alias()), inverse.mutable_put_alias());
    } else if (edit.has_put_drain()) {
        if (const auto* row = m_table.drain(edit.put_drain().id()))
            restore(row, inverse.mutable_put_drain());
        else
            inverse.set_remove_drain(edit.put_drain().id());
    } else if (edit.edit_case() == schema::ConfigEdit::kRemoveDrain) {
        restore(m_table.drain(edit.remove_drain()), inverse.mutable_put_drain());
    }
    return inverse;
}

void ConfigEditor::undo()
{
    std::reverse(m_undoEdits.begin(), m_undoEdits.end());
    for (const auto& it : m_undoEdits)
        m_table.apply(it);
}

} // namespace teasel
