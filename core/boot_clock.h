// The operating system's clocks, with a monotonic clock that also counts the
// time that the machine was suspended: a lease must not look valid after that.
#pragma once

#include "core/clock.h"

#include <ctime>

namespace teasel {

class BootClock final : public Clock {
public:
    Instant now() const override
    {
        timespec it {};
        clock_gettime(CLOCK_BOOTTIME, &it);
        return Instant(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec)));
    }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace teasel
