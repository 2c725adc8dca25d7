// An entry instance's copy of the configuration: updated by deltas, queried for keys, teams and classes.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet/config_table.h"
#include "fleet/delta_log.h"

#include <string>
#include <string_view>

namespace teasel {

// The owner and role of a key.
struct KeyIdentity {
    std::string keyId;
    TeamId team = 0; // 0 for operator and viewer keys
    schema::Role role = schema::ROLE_UNSPECIFIED;
};

// Not thread-safe: used only on the control thread.
class ConfigView {
public:
    // Updates the view to the delta's revision. A delta to an earlier revision changes nothing. Fails with
    // RevisionConflict if the delta does not follow the view's revision or if the digests differ; after a digest
    // mismatch the view is inconsistent until it receives a full configuration.
    Result<void> apply(const schema::ConfigDelta&);

    Revision revision() const { return m_table.revision(); }
    uint64_t digest() const { return m_table.digest(); }
    bool isInconsistent() const { return m_isInconsistent; }

    // The owner of the key in a token `<id>.<secret>`. Fails with Unauthenticated. An unknown id takes as long as a
    // wrong secret, so that timing does not reveal which ids exist.
    Result<KeyIdentity> identify(std::string_view bearerToken) const;

    // Whether a key is in force, that is, granted and not revoked.
    bool hasKey(std::string_view id) const { return m_table.key(id) != nullptr; }

    const schema::Team* team(TeamId id) const { return m_table.team(id); }
    const schema::RequestClass* requestClass(std::string_view name) const { return m_table.requestClass(name); }
    const schema::FleetConfig& config() const { return m_table.config(); }

    // The delta that updates another holder, with the given revision and digest, to this view's revision.
    schema::ConfigDelta deltaFor(Revision, uint64_t digest) const;

private:
    Result<void> applyFull(const schema::ConfigDelta&);
    Result<void> applyEdits(const schema::ConfigDelta&);
    Result<void> checkDigest(const schema::ConfigDelta&);

    static constexpr size_t s_maxDeltaEdits = 2'000;

    ConfigTable m_table;
    DeltaLog m_deltas { s_maxDeltaEdits };
    bool m_isInconsistent = false;
};

} // namespace teasel
