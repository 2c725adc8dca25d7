// Time types and clocks. Decision modules never read a clock themselves: callers pass the current time.
#pragma once

#include <chrono>
#include <cstdint>

namespace teasel {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

// A reading of a monotonic clock. Comparable only within one process.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A reading of the wall clock. Used to limit ages and for display, never to order events.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;

// The time source of a process. Implementations are thread-safe.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Instant now() const = 0;
    virtual WallTime wallNow() const = 0;
};

// The operating system's steady clock and wall clock.
class SystemClock final : public Clock {
public:
    Instant now() const override { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    }
};

// A clock for tests that moves only by advance(), which must not run concurrently with other calls.
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

// Whole milliseconds from `now` until `end`; 0 if `end` has passed.
inline uint64_t millisecondsLeft(Instant end, Instant now)
{
    if (end <= now)
        return 0;
    return static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(end - now).count());
}

} // namespace teasel
