// The data centres' portions of every team's limits in the fleet state.
#pragma once

#include "core/ids.h"
#include "core/result.h"
#include "fleet.pb.h"

#include <absl/container/btree_map.h>

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace teasel {

// Amounts of the resources that a limit covers: requests, thousandths of a core, MiB of memory and accelerators.
struct Amounts {
    static constexpr size_t dimensions = 4;
    std::array<uint64_t, dimensions> values {};

    uint64_t& operator[](size_t i) { return values[i]; }
    uint64_t operator[](size_t i) const { return values[i]; }
    bool operator==(const Amounts&) const = default;
    bool fitsIn(const Amounts&) const; // whether no dimension exceeds the other's
    bool isZero() const;
    Amounts& operator+=(const Amounts&);
    Amounts& operator-=(const Amounts&); // saturates at 0
};

Amounts elementwiseMax(const Amounts&, const Amounts&);
Amounts elementwiseMin(const Amounts&, const Amounts&);
Amounts toAmounts(uint32_t requests, const schema::Resources&);
schema::Resources toResources(const Amounts&);
Amounts limitOf(const schema::Team&);
Amounts amountsOf(const schema::Portion&);
schema::Portion toPortion(std::string dataCentre, TeamId, const Amounts&);
std::string describe(const Amounts&);

// The portions of a team sum to at most its limit. If the limit was lowered below their sum, the sum may not grow.
class PortionTable {
public:
    // Applies an update that is based on the current version. Fails with RevisionConflict if it is based on another
    // version and with LimitReached if a team's sum would grow above its limit.
    Result<void> apply(const schema::PortionUpdate&);

    // Sets a team's limit. The limit of a removed team is zero.
    void setLimit(TeamId, const Amounts&);

    // Invalidates every update that is based on the current version, without changing amounts.
    void bumpVersion() { ++m_version; }

    Amounts portion(const std::string& dataCentre, TeamId) const;
    Amounts sum(TeamId) const;
    Amounts limit(TeamId) const;
    bool withinLimit(TeamId) const;

    // The version of the last update that changed a portion of the data centre.
    uint64_t versionOf(const std::string& dataCentre) const;
    uint64_t rowVersion(const std::string& dataCentre, TeamId) const;
    uint64_t version() const { return m_version; }

    // The portions of a data centre that changed after a version.
    std::vector<schema::Portion> changedSince(const std::string& dataCentre, uint64_t version) const;
    std::vector<schema::Portion> all() const;
    std::vector<TeamId> teams() const;

    void restore(const google::protobuf::RepeatedPtrField<schema::Portion>&, uint64_t version);

private:
    struct Row {
        Amounts amounts;
        uint64_t version = 0;
    };
    struct TeamSums {
        Amounts limit;
        Amounts sum;
        // Upper bound of the sum: falls towards the limit as the sum shrinks, rises only with the limit.
        Amounts ceiling;
    };
    using Key = std::pair<std::string, TeamId>;

    void checkSums(TeamId) const;

    absl::btree_map<Key, Row> m_rows;
    absl::btree_map<TeamId, TeamSums> m_teams;
    absl::btree_map<std::string, uint64_t> m_versions;
    uint64_t m_version = 0;
};

} // namespace teasel
