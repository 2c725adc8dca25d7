// Validates the edits of an operator's change, assigns ids and applies either all edits or none.
#pragma once

#include "core/result.h"
#include "fleet/config_table.h"

#include <absl/container/flat_hash_set.h>

#include <string>
#include <vector>

namespace teasel {

// The edits that a change resulted in.
struct AppliedEdits {
    std::vector<schema::ConfigEdit> edits; // idempotent, with assigned ids and implied edits
    std::vector<TeamId> createdTeams; // in the order of the edits
};

class ConfigEditor {
public:
    // `usedKeyIds` holds the ids of granted keys, revoked ones included. With `maxUsedKeyIds` of them, no further key
    // is granted. No change makes a configuration larger that then has more than `maxConfigBytes`.
    ConfigEditor(ConfigTable& table, const absl::flat_hash_set<std::string>& usedKeyIds, size_t maxUsedKeyIds,
        size_t maxConfigBytes)
        : m_table(table)
        , m_usedKeyIds(usedKeyIds)
        , m_maxUsedKeyIds(maxUsedKeyIds)
        , m_maxConfigBytes(maxConfigBytes)
    {
    }

    // Applies the edits in order. On failure the table is rolled back and the error names the failed edit; its kind is
    // BadRequest, NotFound, RevisionConflict, LimitReached or TooLarge.
    Result<AppliedEdits> run(const google::protobuf::RepeatedPtrField<schema::ConfigEdit>&);

private:
    Result<void> edit(const schema::ConfigEdit&);
    Result<void> putTeam(schema::Team);
    Result<void> removeTeam(TeamId);
    Result<void> grantKey(const schema::Key&);
    Result<void> revokeKey(const std::string& id);
    Result<void> putClass(const schema::RequestClass&);
    Result<void> removeClass(const std::string& name);
    Result<void> putScheme(schema::Scheme);
    Result<void> putAlias(schema::Alias);
    Result<void> checkAliasSubject(const schema::Alias&) const;

    void apply(schema::ConfigEdit);
    schema::ConfigEdit inverseOf(const schema::ConfigEdit&) const;
    void undo();

    ConfigTable& m_table;
    const absl::flat_hash_set<std::string>& m_usedKeyIds;
    const size_t m_maxUsedKeyIds;
    const size_t m_maxConfigBytes;
    absl::flat_hash_set<std::string> m_grantedKeyIds; // by the edits of this change
    AppliedEdits m_applied;
    std::vector<schema::ConfigEdit> m_undoEdits;
};

} // namespace teasel
