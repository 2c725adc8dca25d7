// Signed resource amounts with vector arithmetic.
#pragma once

#include "common.pb.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

#include <fmt/format.h>

namespace teasel {

// Amounts per kind: processors in milli-CPUs, memory in MiB, accelerators in devices.
struct ResourceVector {
    static constexpr size_t kinds = 3;
    std::array<int64_t, kinds> amounts {};

    bool operator==(const ResourceVector&) const = default;
    ResourceVector& operator+=(const ResourceVector& other)
    {
        for (size_t i = 0; i < kinds; ++i)
            amounts[i] += other.amounts[i];
        return *this;
    }
    ResourceVector& operator-=(const ResourceVector& other)
    {
        for (size_t i = 0; i < kinds; ++i)
            amounts[i] -= other.amounts[i];
        return *this;
    }
    friend ResourceVector operator+(ResourceVector a, const ResourceVector& b) { return a += b; }
    friend ResourceVector operator-(ResourceVector a, const ResourceVector& b) { return a -= b; }
    friend ResourceVector operator*(ResourceVector a, int64_t factor)
    {
        for (auto& it : a.amounts)
            it *= factor;
        return a;
    }

    // The larger amount of each kind.
    friend ResourceVector largestOf(ResourceVector a, const ResourceVector& b)
    {
        for (size_t i = 0; i < kinds; ++i)
            a.amounts[i] = std::max(a.amounts[i], b.amounts[i]);
        return a;
    }

    // The smaller amount of each kind.
    friend ResourceVector smallestOf(ResourceVector a, const ResourceVector& b)
    {
        for (size_t i = 0; i < kinds; ++i)
            a.amounts[i] = std::min(a.amounts[i], b.amounts[i]);
        return a;
    }

    // What is left of `total` without `used`, of each kind at least 0.
    friend ResourceVector leftOf(const ResourceVector& total, const ResourceVector& used)
    {
        return largestOf(total - used, {});
    }

    // Whether every amount is at most that of `capacity`.
    bool fitsIn(const ResourceVector& capacity) const
    {
        for (size_t i = 0; i < kinds; ++i) {
            if (amounts[i] > capacity.amounts[i])
                return false;
        }
        return true;
    }

    // The largest fraction of any kind in `total`; kinds with a total of zero are ignored.
    double dominantShareOf(const ResourceVector& total) const
    {
        double share = 0;
        for (size_t i = 0; i < kinds; ++i) {
            if (total.amounts[i] > 0)
                share = std::max(share, static_cast<double>(amounts[i]) / static_cast<double>(total.amounts[i]));
        }
        return share;
    }

    // How many copies of this fit into `capacity`, at most `limit`.
    int64_t copiesThatFitIn(const ResourceVector& capacity, int64_t limit) const
    {
        int64_t copies = limit;
        for (size_t i = 0; i < kinds; ++i) {
            if (amounts[i] > 0)
                copies = std::min(copies, std::max<int64_t>(0, capacity.amounts[i]) / amounts[i]);
        }
        return copies;
    }

    template <class H> friend H AbslHashValue(H h, const ResourceVector& it) // NOLINT(readability-identifier-naming)
    {
        return H::combine(std::move(h), it.amounts);
    }
};

inline ResourceVector toVector(const schema::Resources& it)
{
    return { { static_cast<int64_t>(it.milli_cpus()), static_cast<int64_t>(it.memory_mib()),
        static_cast<int64_t>(it.accelerators()) } };
}

inline schema::Resources toMessage(const ResourceVector& it)
{
    schema::Resources message;
    message.set_milli_cpus(static_cast<uint64_t>(std::max<int64_t>(0, it.amounts[0])));
    message.set_memory_mib(static_cast<uint64_t>(std::max<int64_t>(0, it.amounts[1])));
    message.set_accelerators(static_cast<uint64_t>(std::max<int64_t>(0, it.amounts[2])));
    return message;
}

inline std::string describe(const ResourceVector& it)
{
    return fmt::format("{} milli-CPUs, {} MiB, {} accelerators", it.amounts[0], it.amounts[1], it.amounts[2]);
}

} // namespace teasel
