// The estimated speed of an executor.
#pragma once

#include <cstdint>

namespace teasel {

struct ExecutorSpeed {
    double factor = 1; // higher is faster; 1: the geometric mean of the executors that ran something lately
    double uncertainty = 0.4; // standard deviation of the natural logarithm of `factor`
    double slowProbability = 0; // that the executor is in a phase in which it is several times slower than usual
    uint32_t runs = 0; // 0: unknown
};

} // namespace teasel
