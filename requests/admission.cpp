#include "requests/admission.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds minRetryAfter { 100 };
    constexpr Milliseconds maxRetryAfter { 30'000 };
    constexpr double minSlots = 0.05; // keeps predictions finite

} // namespace

Milliseconds clampRetryAfter(Duration wait)
{
    return std::clamp(std::chrono::duration_cast<Milliseconds>(wait), minRetryAfter, maxRetryAfter);
}

Duration predictedWait(const FairQueue& queue, TeamId team, size_t ahead, uint32_t totalSlots)
{
    const double slots = std::max(queue.expectedSlots(team, totalSlots), minSlots);
    const auto service = static_cast<double>(queue.expectedService(team).count());
    return Duration(static_cast<int64_t>(static_cast<double>(ahead) * service / slots));
}

std::optional<Error> checkAdmission(const FairQueue& queue, const Arrival& it, uint32_t totalSlots, Instant now)
{
    if (it.waitingInClass >= it.maxWaitingInClass) {
        const auto drainTime = predictedWait(queue, it.team, it.waitingInClass / 2 + 1, totalSlots);
        return Error { ErrorKind::QueueFull,
            fmt::format("{} requests of the team are already waiting in this class", it.waitingInClass),
            clampRetryAfter(drainTime) };
    }
    const auto wait = predictedWait(queue, it.team, queue.waitingUpTo(it.team, it.rank), totalSlots);
    if (now + wait <= it.deadline)
        return std::nullopt;
    const auto lateness = now + wait - it.deadline;
    return Error { ErrorKind::DeadlineUnreachable,
        fmt::format("predicted wait {} ms, deadline in {} ms", std::chrono::duration_cast<Milliseconds>(wait).count(),
            millisecondsLeft(it.deadline, now)),
        clampRetryAfter(lateness) };
}

} // namespace teasel
