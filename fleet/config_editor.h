// Judges the edits of an operator's change, gives them ids and applies them all or none.
#pragma once

#include "core/result.h"
#include "fleet/config_table.h"

#include <absl/container/flat_hash_set.h>

#include <string>
#include <vector>

namespace teasel {

// What a change came to.
struct EditedChange {
    std::vector<schema::ConfigEdit> edits; // absolute, with ids and with what follows from them
    std::vector<TeamId> createdTeams; // in order of the edits
};

class ConfigEditor {
public:
    // `usedKeyIds` are the ids of all keys ever granted.
    ConfigEditor(ConfigTable& table, const absl::flat_hash_set<std::string>& usedKeyIds)
        : m_table(table)
        , m_usedKeyIds(usedKeyIds)
    {
    }

    // Applies the edits in order. On failure the table is as before and the
    // error names the edit; kinds are BadRequest, NotFound and RevisionConflict.
    Result<EditedChange> run(const google::protobuf::RepeatedPtrField<schema::ConfigEdit>&);

private:
    Result<void> edit(const schema::ConfigEdit&);
    Result<void> putTeam(schema::Team);
    Result<void> removeTeam(TeamId);
    Result<void> grantKey(const schema::Key&);
    Result<void> withdrawKey(const std::string& id);
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
    EditedChange m_done;
    std::vector<schema::ConfigEdit> m_inverse;
};

} // namespace teasel
