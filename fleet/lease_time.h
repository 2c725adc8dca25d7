// Arithmetic of leases between processes whose clocks run at slightly different rates.
#pragma once

#include "core/clock.h"

#include <chrono>

namespace teasel {

inline constexpr Duration::rep s_clockMarginDivisor = 1'000; // clocks may differ by one part in this
inline constexpr Duration s_clockMarginFloor = std::chrono::milliseconds(2);

// How long the giver of a lease waits for it to end on the holder's clock.
inline Duration withClockMargin(Duration lease) { return lease + lease / s_clockMarginDivisor + s_clockMarginFloor; }

// Whole milliseconds that cover all the time left until `end`.
inline uint64_t millisecondsCovering(Instant end, Instant now)
{
    if (end <= now)
        return 0;
    return static_cast<uint64_t>(std::chrono::ceil<Milliseconds>(end - now).count());
}

} // namespace teasel
