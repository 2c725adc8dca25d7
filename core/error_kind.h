// The closed list of error kinds, and what each one is answered with.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace teasel {

// Whether work that ends in an error was run. `DidNotRun` is a promise: no byte
// that could start the work went to an endpoint, or the endpoint said so itself.
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

// What a caller is told of one kind.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name;
    uint16_t httpStatus;
    RunState runState;
    uint32_t retryAfterMs; // 0: asking again does not help by itself
    std::string_view advice;
};

// The row of a kind. Unknown numbers get the row of Internal.
const ErrorAnswer& answerOf(ErrorKind);

// All rows, in order of their numbers.
std::span<const ErrorAnswer> errorAnswers();

std::string_view nameOf(RunState);

// The kind that a number from the wire stands for; Internal if there is none.
ErrorKind errorKindFromNumber(uint32_t);

} // namespace teasel
