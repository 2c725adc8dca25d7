// Whether a request is worth queueing: bounds of the queue and the predicted wait against the deadline.
#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result.h"
#include "requests/fair_queue.h"

#include <optional>

namespace teasel {

// What admission knows of an arriving request.
struct Arrival {
    TeamId team = 0;
    uint32_t rank = 0;
    Instant deadline {};
    size_t waitingInClass = 0; // of its team
    uint32_t maxWaitingInClass = 0;
};

// The wait of a request of the team behind `ahead` others, from the observed
// service time and the slots that the team can count on.
Duration predictedWait(const FairQueue&, TeamId, size_t ahead, uint32_t totalSlots);

// The error to refuse an arrival with, or nothing. Says when to come back.
std::optional<Error> checkAdmission(const FairQueue&, const Arrival&, uint32_t totalSlots, Instant now);

// When to come back, within sensible bounds.
Milliseconds clampRetryAfter(Duration);

} // namespace teasel
