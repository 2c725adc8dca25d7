// Detects that the process did not run for some time, for example because its machine was suspended. What it reads
// right afterwards may have waited that long to be read.
#pragma once

#include "core/clock.h"

namespace teasel {

class StallDetector {
public:
    // `normalPause`: longest time between two activities of a process that runs.
    explicit StallDetector(Milliseconds normalPause)
        : m_normalPause(normalPause)
    {
    }

    // Must be called at least once in each normal pause, with a clock that includes suspensions.
    void onActivity(Instant now)
    {
        if (m_lastActivityAt != Instant() && now - m_lastActivityAt > m_normalPause) {
            m_stallBegan = m_lastActivityAt;
            m_stallEnded = now;
        }
        m_lastActivityAt = now;
    }

    // The longest time that something read now may have waited; 0 unless a stall has just ended.
    Duration possibleAge(Instant now) const
    {
        return m_stallEnded != Instant() && now - m_stallEnded <= catchUpTime ? now - m_stallBegan : Duration(0);
    }

private:
    // After a stall, until everything that arrived during it has been read.
    static constexpr Milliseconds catchUpTime { 500 };

    Milliseconds m_normalPause;
    Instant m_lastActivityAt {};
    Instant m_stallBegan {};
    Instant m_stallEnded {};
};

} // namespace teasel
