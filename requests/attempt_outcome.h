// The outcome of an attempt at an executor.
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <variant>

namespace teasel {

struct CompleteAnswer {
    uint32_t httpStatus = 200;
    std::string contentType;
    uint64_t bodyBytes = 0;
};
struct ConnectFailed { }; // no byte was sent
struct ExecutorRefused { }; // the executor reported that it did not run the request
struct FailedAfterSending { };
struct AnswerTruncated { };
struct DeadlineExceeded { };
using AttemptOutcome = std::variant<CompleteAnswer, ConnectFailed, ExecutorRefused, FailedAfterSending, AnswerTruncated,
    DeadlineExceeded>;

struct ExecutorResult {
    std::string attemptKey;
    AttemptOutcome outcome;
    Duration service { 0 }; // from the first byte sent to the last byte received
};

// An answer with this HTTP status or a higher one counts as a failure of the executor.
inline constexpr uint32_t serverErrorStatus = 500;

inline bool definitelyDidNotRun(const AttemptOutcome& outcome)
{
    return std::holds_alternative<ConnectFailed>(outcome) || std::holds_alternative<ExecutorRefused>(outcome);
}

} // namespace teasel
