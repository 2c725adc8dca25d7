// Lease arithmetic between processes whose clocks run at slightly different rates.
#pragma once

#include "core/clock.h"

#include <chrono>

namespace teasel {

inline constexpr Duration::rep s_clockMarginDivisor = 1'000; // clock rates may differ by one part in 1,000
inline constexpr Duration s_clockMarginFloor = std::chrono::milliseconds(2);

// How long the grantor waits until a lease has certainly expired on the holder's clock.
inline Duration withClockMargin(Duration lease) { return lease + lease / s_clockMarginDivisor + s_clockMarginFloor; }

// The time left until `end` in milliseconds, rounded up.
inline uint64_t millisecondsLeftRoundedUp(Instant end, Instant now)
{
    if (end <= now)
        return 0;
    return static_cast<uint64_t>(std::chrono::ceil<Milliseconds>(end - now).count());
}

} // namespace teasel
