// Percentiles of measured values.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace teasel::bench {

// The value below which this fraction of the values lies; 0 without values. Reorders the values.
inline double percentile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0.0;
    const auto n = static_cast<size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
}

} // namespace teasel::bench
