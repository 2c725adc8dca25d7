// The data centres' portions of every team's limits, as the fleet state holds them.
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

// Amounts of what a limit covers: requests, thousandths of a core, MiB of memory and accelerators.
struct Amounts {
    static constexpr size_t dimensions = 4;
    std::array<uint64_t, dimensions> values {};

    uint64_t& operator[](size_t i) { return values[i]; }
    uint64_t operator[](size_t i) const { return values[i]; }
    bool operator==(const Amounts&) const = default;
    bool fitsIn(const Amounts&) const; // in every dimension
    bool isZero() const;
    Amounts& operator+=(const Amounts&);
    Amounts& operator-=(const Amounts&);
};

Amounts largest(const Amounts&, const Amounts&);
Amounts smallest(const Amounts&, const Amounts&);
Amounts toAmounts(uint32_t requests, const schema::Resources&);
schema::Resources toResources(const Amounts&);
Amounts limitOf(const schema::Team&);
Amounts amountsOf(const schema::Portion&);
schema::Portion toPortion(std::string dataCentre, TeamId, const Amounts&);
std::string describe(const Amounts&);

// Portions of a team sum to at most its limit, or, where the limit was lowered
// below their sum, to no more than they did then.
class PortionTable {
public:
    // Applies an update made on the version before. Fails with RevisionConflict
    // for another version and with LimitReached if a sum would grow above its limit.
    Result<void> apply(const schema::PortionUpdate&);

    // Sets a team's limit; a team that is gone has none.
    void setLimit(TeamId, const Amounts&);

    // Makes every update fail that was made before, without a change of amounts.
    void bumpVersion() { ++m_version; }

    Amounts portion(const std::string& dataCentre, TeamId) const;
    Amounts sum(TeamId) const;
    Amounts limit(TeamId) const;
    bool withinLimit(TeamId) const;

    // Version of the last update that changed a portion of the data centre.
    uint64_t versionOf(const std::string& dataCentre) const;
    uint64_t rowVersion(const std::string& dataCentre, TeamId) const;
    uint64_t version() const { return m_version; }

    // Rows of a data centre that changed after a version.
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
        Amounts ceiling; // sum may not exceed this; falls to the limit and rises only with it
    };
    using Key = std::pair<std::string, TeamId>;

    void checkSums(TeamId) const;

    absl::btree_map<Key, Row> m_rows;
    absl::btree_map<TeamId, TeamSums> m_teams;
    absl::btree_map<std::string, uint64_t> m_versions;
    uint64_t m_version = 0;
};

} // namespace teasel
