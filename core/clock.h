// Time as the decision modules see it: readings are handed in, never taken.
#pragma once

#include <chrono>
#include <cstdint>

namespace teasel {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// A reading of a monotonic clock. Comparable only within one process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A reading of the calendar clock. Used for bounds on age and for people, never to order events.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// The source of time of a process. Implementations are safe to call from any thread.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
    virtual WallTime wallNow() const = 0;
};

// The clocks of the operating system.
class SystemClock final : public Clock {
public:
    Instant now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    }
};

// A clock that moves only when told to.
class ManualClock final : public Clock {
public:
    explicit ManualClock(Instant start = Instant(std::chrono::seconds(1'000)))
        : m_now(start)
    {
    }
    Instant now() const override { return m_now; }
    WallTime wallNow() const override
    {
        return WallTime(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()));
    }
    void advance(Duration step) { m_now += step; }

private:
    Instant m_now;
};

// Whole milliseconds left until `end`, 0 when it has passed.
inline uint64_t millisecondsLeft(Instant end, Instant now)
{
    if (end <= now)
        return 0;
    return static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(end - now).count());
}

} // namespace teasel
