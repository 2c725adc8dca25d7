// Pseudo-random numbers. The caller always provides the seed, so that runs can be reproduced.
#pragma once

#include <cstdint>
#include <random>

namespace teasel {

class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    // A uniformly distributed integer in [0, end); 0 if `end` is 0.
    uint64_t below(uint64_t end) { return end < 2 ? 0 : std::uniform_int_distribution<uint64_t>(0, end - 1)(m_engine); }

    // A uniformly distributed number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

    bool chance(double probability) { return unit() < probability; }

    std::mt19937_64& engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

} // namespace teasel
