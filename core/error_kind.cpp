#include "core/error_kind.h"

#include <array>

namespace teasel {

namespace {

    constexpr std::array<ErrorInfo, 27> errorInfos { {
        { ErrorKind::None, "none", 200, RunState::Ran, 0, "" },
        { ErrorKind::BadRequest, "bad_request", 400, RunState::DidNotRun, 0,
            "correct the request as the message says" },
        { ErrorKind::TooLarge, "too_large", 413, RunState::DidNotRun, 0, "send a smaller body or fewer headers" },
        { ErrorKind::Unauthenticated, "unauthenticated", 401, RunState::DidNotRun, 0,
            "send a valid key as a bearer token" },
        { ErrorKind::Forbidden, "forbidden", 403, RunState::DidNotRun, 0, "use a key whose role allows this" },
        { ErrorKind::NotFound, "not_found", 404, RunState::DidNotRun, 0, "check the name" },
        { ErrorKind::AmbiguousName, "ambiguous_name", 409, RunState::DidNotRun, 0, "qualify the name with its scheme" },
        { ErrorKind::RevisionConflict, "revision_conflict", 409, RunState::DidNotRun, 0,
            "read the configuration again and repeat the change on it" },
        { ErrorKind::NeverPlaceable, "never_placeable", 422, RunState::DidNotRun, 0,
            "change the selector or the resources named in the message" },
        { ErrorKind::QueueFull, "queue_full", 429, RunState::DidNotRun, 1'000, "retry after the given time" },
        { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 429, RunState::DidNotRun, 1'000,
            "retry after the given time or allow a later deadline" },
        { ErrorKind::DeadlinePassed, "deadline_passed", 504, RunState::DidNotRun, 1'000, "retry after the given time" },
        { ErrorKind::NoEndpoint, "no_endpoint", 503, RunState::DidNotRun, 2'000,
            "retry after the given time or widen the selector" },
        { ErrorKind::CutOff, "cut_off", 503, RunState::DidNotRun, 2'000,
            "use another data centre or retry after the given time" },
        { ErrorKind::NoLeader, "no_leader", 503, RunState::DidNotRun, 1'000, "retry after the given time" },
        { ErrorKind::ShuttingDown, "shutting_down", 503, RunState::DidNotRun, 500,
            "send the request to another instance" },
        { ErrorKind::Cancelled, "cancelled", 499, RunState::DidNotRun, 0, "the caller cancelled the request" },
        { ErrorKind::AlreadyRunning, "already_running", 409, RunState::MayHaveRun, 2'000,
            "query the same request id later" },
        { ErrorKind::ExecutorUnreachable, "executor_unreachable", 502, RunState::DidNotRun, 1'000,
            "retry after the given time" },
        { ErrorKind::ExecutorFailed, "executor_failed", 502, RunState::MayHaveRun, 0,
            "check whether it ran before sending it under a new id" },
        { ErrorKind::AnswerLost, "answer_lost", 502, RunState::MayHaveRun, 0,
            "check whether it ran before sending it under a new id" },
        { ErrorKind::AnswerOverdue, "answer_overdue", 504, RunState::MayHaveRun, 0,
            "check whether it ran before sending it under a new id" },
        { ErrorKind::StateUnavailable, "state_unavailable", 503, RunState::DidNotRun, 1'000,
            "retry after the given time" },
        { ErrorKind::StateFull, "state_full", 503, RunState::DidNotRun, 5'000, "retry after the given time" },
        { ErrorKind::Internal, "internal", 500, RunState::MayHaveRun, 0, "report the request id to the operators" },
        { ErrorKind::LimitReached, "limit_reached", 429, RunState::DidNotRun, 1'000,
            "retry after the given time or ask for a higher limit" },
        { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, RunState::MayHaveRun, 1'000,
            "repeat it with the same id: it takes effect only once" },
    } };

    constexpr bool rowsMatchKinds()
    {
        for (size_t n = 0; n < errorInfos.size(); ++n) {
            if (static_cast<size_t>(errorInfos[n].kind) != n)
                return false;
        }
        return true;
    }
    static_assert(rowsMatchKinds(), "each row's index must be the number of its kind");

} // namespace

const ErrorInfo& errorInfo(ErrorKind kind)
{
    const auto index = static_cast<size_t>(kind);
    return errorInfos[index < errorInfos.size() ? index : static_cast<size_t>(ErrorKind::Internal)];
}

std::span<const ErrorInfo> allErrorInfos() { return errorInfos; }

std::string_view nameOf(RunState state)
{
    switch (state) {
    case RunState::DidNotRun:
        return "did_not_run";
    case RunState::MayHaveRun:
        return "may_have_run";
    case RunState::Ran:
        return "ran";
    }
    return "may_have_run";
}

ErrorKind errorKindFromNumber(uint32_t number)
{
    return number < errorInfos.size() ? errorInfos[number].kind : ErrorKind::Internal;
}

} // namespace teasel
