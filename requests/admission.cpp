#include "requests/admission.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds soonestRetry { 100 };
    constexpr Milliseconds latestRetry { 30'000 };
    constexpr double leastSlots = 0.05; // keeps a prediction finite

} // namespace

Milliseconds boundedRetryAfter(Duration wait)
{
    return std::clamp(std::chrono::duration_cast<Milliseconds>(wait), soonestRetry, latestRetry);
}

Duration predictedWait(const FairQueue& queue, TeamId team, size_t ahead, uint32_t totalSlots)
{
    const double slots = std::max(queue.expectedSlots(team, totalSlots), leastSlots);
    const auto service = static_cast<double>(queue.expectedService(team).count());
    return Duration(static_cast<int64_t>(static_cast<double>(ahead) * service / slots));
}

std::optional<Error> refusalFor(const FairQueue& queue, const Arrival& it, uint32_t totalSlots, Instant now)
{
    if (it.waitingInClass >= it.maxWaitingInClass) {
        const auto drain = predictedWait(queue, it.team, it.waitingInClass / 2 + 1, totalSlots);
        return Error { ErrorKind::QueueFull,
            fmt::format("{} requests of the team wait in this class", it.waitingInClass), boundedRetryAfter(drain) };
    }
    const auto wait = predictedWait(queue, it.team, queue.waitingUpTo(it.team, it.rank), totalSlots);
    if (now + wait <= it.deadline)
        return std::nullopt;
    const auto tooLate = now + wait - it.deadline;
    return Error { ErrorKind::DeadlineUnreachable,
        fmt::format("predicted wait {} ms, deadline in {} ms", std::chrono::duration_cast<Milliseconds>(wait).count(),
            millisecondsLeft(it.deadline, now)),
        boundedRetryAfter(tooLate) };
}

} // namespace teasel
