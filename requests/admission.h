// Admission control: checks queue limits, and the predicted wait against the deadline.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"
#include "requests/fair_queue.h"

#include <optional>

namespace teasel {

// The properties of an arriving request that admission depends on.
struct Arrival {
    TeamId team = 0;
    uint32_t rank = 0;
    Instant deadline {};
    size_t waitingInClass = 0; // number of its team's requests that wait in its class
    uint32_t maxWaitingInClass = 0;
};

// Predicts the wait of a request behind `ahead` others of its team, from the observed
// service time and the number of slots that the team can expect.
Duration predictedWait(const FairQueue&, TeamId, size_t ahead, uint32_t totalSlots);

// Returns the error with which to refuse an arrival, including when to retry, or nullopt to admit it.
std::optional<Error> checkAdmission(const FairQueue&, const Arrival&, uint32_t totalSlots, Instant now);

// Clamps the time after which the caller is told to retry.
Milliseconds clampRetryAfter(Duration);

} // namespace teasel
