// The configuration as an entry instance knows it: brought up to date by deltas, asked for keys, teams and classes.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet/config_table.h"
#include "fleet/delta_log.h"

#include <string>
#include <string_view>

namespace teasel {

// Who a key belongs to.
struct KeyIdentity {
    std::string keyId;
    TeamId team = 0; // 0 for operators and viewers
    schema::Role role = schema::ROLE_UNSPECIFIED;
};

// Used on the control thread only.
class ConfigView {
public:
    // Brings the view to the delta's revision; one that it has already changes
    // nothing. Fails with RevisionConflict for a gap or a digest that differs;
    // after the latter the view is damaged until a whole configuration comes.
    Result<void> apply(const schema::ConfigDelta&);

    Revision revision() const { return m_table.revision(); }
    uint64_t digest() const { return m_table.digest(); }
    bool damaged() const { return m_damaged; }

    // The owner of a key `<id>.<secret>`. Fails with Unauthenticated; the time
    // taken does not tell an unknown id from a wrong secret.
    Result<KeyIdentity> identify(std::string_view bearerToken) const;

    // Whether a key is still in force.
    bool hasKey(std::string_view id) const { return m_table.key(id) != nullptr; }

    const schema::Team* team(TeamId id) const { return m_table.team(id); }
    const schema::RequestClass* requestClass(std::string_view name) const { return m_table.requestClass(name); }
    const schema::FleetConfig& config() const { return m_table.config(); }

    // What brings another holder of a revision with a digest to this view's.
    schema::ConfigDelta deltaFor(Revision, uint64_t digest) const;

private:
    Result<void> applyWhole(const schema::ConfigDelta&);
    Result<void> applyEdits(const schema::ConfigDelta&);
    Result<void> checkDigest(const schema::ConfigDelta&);

    static constexpr size_t s_maxDeltaEdits = 2'000;

    ConfigTable m_table;
    DeltaLog m_deltas { s_maxDeltaEdits };
    bool m_damaged = false;
};

} // namespace teasel
