// What became of an attempt at its executor.
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <variant>

namespace teasel {

struct WholeAnswer {
    uint32_t httpStatus = 200;
    std::string contentType;
    uint64_t bodyBytes = 0;
};
struct ConnectFailed { }; // no byte was sent
struct ExecutorRefused { }; // the executor says that it did not run it
struct FailedAfterSending { };
struct CutShort { };
struct Overdue { };
using AttemptOutcome = std::variant<WholeAnswer, ConnectFailed, ExecutorRefused, FailedAfterSending, CutShort, Overdue>;

struct ExecutorResult {
    std::string attemptKey;
    AttemptOutcome outcome;
    Duration service { 0 }; // from the first byte sent to the last one received
};

// From this HTTP status on, an answer counts as the executor's failure.
inline constexpr uint32_t serverErrorStatus = 500;

inline bool definitelyDidNotRun(const AttemptOutcome& outcome)
{
    return std::holds_alternative<ConnectFailed>(outcome) || std::holds_alternative<ExecutorRefused>(outcome);
}

} // namespace teasel
