// Quantiles of the resource usage and run time of past tasks, by team and job name.
#pragma once

#include "placement/placement_types.h"

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <string_view>

namespace teasel {

// Histogram on a logarithmic scale. Quantiles have a relative error of at most 5 %.
class QuantileSketch {
public:
    void add(int64_t value);
    // Returns the value below which the fraction of samples lies, rounded up; 0 without samples.
    int64_t quantile(double fraction) const;
    uint64_t samples() const { return m_samples; }

private:
    absl::btree_map<int32_t, uint64_t> m_counts;
    uint64_t m_samples = 0;
};

// Learns from ended tasks. Returns no estimate until there are enough samples.
class UsageEstimator {
public:
    void observe(TeamId, std::string_view jobName, const ResourceVector& peak, uint64_t ranMs);

    std::optional<ResourceVector> usageQuantile(TeamId, std::string_view jobName, double fraction) const;
    std::optional<uint64_t> runMsQuantile(TeamId, std::string_view jobName, double fraction) const;

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
        std::array<QuantileSketch, ResourceVector::kinds> usage;
        QuantileSketch runMs;
    };
    const History* find(TeamId, std::string_view jobName) const;

    absl::flat_hash_map<Key, History> m_histories;
};

} // namespace teasel
