// A bit set of executor ordinals; availability checks take nanoseconds.
#pragma once

#include "core/ids.h"

#include <bit>
#include <cstdint>
#include <vector>

namespace teasel {

class ExecutorSet {
public:
    void insert(InstanceOrdinal n)
    {
        if (n / wordBits >= m_words.size())
            m_words.resize(n / wordBits + 1, 0);
        m_words[n / wordBits] |= uint64_t { 1 } << (n % wordBits);
    }

    void erase(InstanceOrdinal n)
    {
        if (n / wordBits < m_words.size())
            m_words[n / wordBits] &= ~(uint64_t { 1 } << (n % wordBits));
    }

    bool contains(InstanceOrdinal n) const
    {
        return n / wordBits < m_words.size() && (m_words[n / wordBits] >> (n % wordBits) & 1) != 0;
    }

    bool intersects(const ExecutorSet& other) const
    {
        for (size_t n = 0; n < m_words.size() && n < other.m_words.size(); ++n) {
            if ((m_words[n] & other.m_words[n]) != 0)
                return true;
        }
        return false;
    }

    bool empty() const
    {
        for (const auto it : m_words) {
            if (it != 0)
                return false;
        }
        return true;
    }

    // Calls `visit` with each executor that is in both sets.
    template <class Visit> void forEachCommon(const ExecutorSet& other, Visit&& visit) const
    {
        for (size_t n = 0; n < m_words.size() && n < other.m_words.size(); ++n) {
            for (auto word = m_words[n] & other.m_words[n]; word != 0; word &= word - 1)
                visit(static_cast<InstanceOrdinal>(n * wordBits + std::countr_zero(word)));
        }
    }

private:
    static constexpr size_t wordBits = 64;

    std::vector<uint64_t> m_words;
};

} // namespace teasel
