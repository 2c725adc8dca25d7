// What tasks of a team and job name have used, as quantiles.
#pragma once

#include "placement/placement_types.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <string_view>

namespace teasel {

// Counts of values on a logarithmic scale. Quantiles are accurate to a twentieth.
class QuantileSketch {
public:
    void add(int64_t value);
    // The value below which the fraction lies, rounded up; 0 without samples.
    int64_t quantile(double fraction) const;
    uint64_t samples() const { return m_samples; }

private:
    absl::btree_map<int32_t, uint64_t> m_counts;
    uint64_t m_samples = 0;
};

// Learns from ended tasks. Says nothing before it has seen enough of them.
class UsageEstimator {
public:
    void observe(TeamId, std::string_view jobName, const ResourceVector& peak, uint64_t ranMs);

    std::optional<ResourceVector> use(TeamId, std::string_view jobName, double fraction) const;
    std::optional<uint64_t> runMs(TeamId, std::string_view jobName, double fraction) const;

private:
    struct Key {
        TeamId team;
        std::string name;
        bool operator==(const Key&) const = default;
        template <class H> friend H AbslHashValue(H h, const Key& it) // NOLINT(readability-identifier-naming)
        {
            return H::combine(std::move(h), it.team, it.name);
        }
    };
    struct History {
        std::array<QuantileSketch, ResourceVector::kinds> use;
        QuantileSketch runMs;
    };
    const History* find(TeamId, std::string_view jobName) const;

    absl::flat_hash_map<Key, History> m_histories;
};

} // namespace teasel
