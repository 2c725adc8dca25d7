// The operating system's clocks. The monotonic clock (CLOCK_BOOTTIME) includes the time during which the machine
// was suspended, so that a lease which expired in that time is not taken for valid afterwards.
#pragma once

#include "core/clock.h"

#include <ctime>

namespace teasel {

class BootClock final : public Clock {
public:
    Instant now() const override
    {
        timespec reading {};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return Instant(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec)));
    }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace teasel
