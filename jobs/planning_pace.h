// Limits the work that the leader makes for itself, by the time that it takes: what a round of planning examines, the
// pause after it, and the starts of work that can wait. A start passes the leader's queue several times, so that a long
// queue makes all urgent jobs late.
#pragma once

#include "core/clock.h"

#include <cstdint>

namespace teasel {

class PlanningPace {
public:
    // How many pairs of step and executor the next round may examine.
    uint64_t maxVisits() const;

    // A round has been planned. Returns the time until the next one.
    Duration onRound(uint64_t visits);

    // How long the last round took.
    void onRoundMeasured(Duration);

    // How long an event takes now, from its arrival until what follows from it has been sent.
    void onLag(Duration, Instant now);

    // How many tasks may start now besides those of the most urgent queues; negative after a wide gang.
    int64_t relaxedStartsLeft(Instant now) const;
    void onRelaxedStarts(int64_t starts, Instant now);

    // Whether the starts of work that can wait are limited, and to how many in a second.
    bool isLagging() const { return m_startsPerSecond < maxStartsPerSecond; }
    double startsPerSecond() const { return m_startsPerSecond; }

private:
    static constexpr double initialVisitUs = 0.08;
    static constexpr double maxStartsPerSecond = 20'000; // in effect no limit

    uint64_t m_lastVisits = 0; // of the last round
    double m_visitUs = initialVisitUs; // expected time of one visit; a moving average
    double m_startsPerSecond = maxStartsPerSecond; // limit for work that can wait
    double m_budget = 0; // starts that the limit allowed at m_budgetAt
    Instant m_budgetAt {};
    double m_usualStartsPerSecond = 0; // starts of work that can wait; a moving average
    Instant m_lagCheckedAt {};
    Duration m_worstLag { 0 }; // since then
};

} // namespace teasel
