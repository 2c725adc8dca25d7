// The complete list of error kinds, with the name, HTTP status and advice of each.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace teasel {

// Whether work that ended in an error was run. `DidNotRun` is a guarantee: either no byte that could start the
// work was sent to an endpoint, or the endpoint itself reported that it did not run.
enum class RunState : uint8_t {
    DidNotRun = 0,
    MayHaveRun = 1,
    Ran = 2,
};

// Every way in which a request, a job or an operator's change can fail.
enum class ErrorKind : uint8_t {
    None = 0,
    BadRequest = 1,
    TooLarge = 2,
    Unauthenticated = 3,
    Forbidden = 4,
    NotFound = 5,
    AmbiguousName = 6,
    RevisionConflict = 7,
    NeverPlaceable = 8,
    QueueFull = 9,
    DeadlineUnreachable = 10,
    DeadlinePassed = 11,
    NoEndpoint = 12,
    CutOff = 13,
    NoLeader = 14,
    ShuttingDown = 15,
    Cancelled = 16,
    AlreadyRunning = 17,
    ExecutorUnreachable = 18,
    ExecutorFailed = 19,
    AnswerLost = 20,
    AnswerOverdue = 21,
    StateUnavailable = 22,
    StateFull = 23,
    Internal = 24,
    LimitReached = 25,
    OutcomeUnknown = 26,
};

// How errors of one kind are reported to callers.
struct ErrorInfo {
    ErrorKind kind;
    std::string_view name;
    uint16_t httpStatus;
    RunState runState;
    uint32_t retryAfterMs; // 0: a retry does not help by itself
    std::string_view advice;
};

// The description of a kind; that of Internal for a value outside the enumeration.
const ErrorInfo& errorInfo(ErrorKind);

// The descriptions of all kinds, in the order of the enumeration.
std::span<const ErrorInfo> allErrorInfos();

std::string_view nameOf(RunState);

// Converts a number from the wire to its kind; unknown numbers become Internal.
ErrorKind errorKindFromNumber(uint32_t);

} // namespace teasel
