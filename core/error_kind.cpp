#include "core/error_kind.h"

#include <array>

namespace teasel {

namespace {

    constexpr std::array<ErrorAnswer, 27> answers { {
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
        { ErrorKind::QueueFull, "queue_full", 429, RunState::DidNotRun, 1'000, "come back after the time given" },
        { ErrorKind::DeadlineUnreachable, "deadline_unreachable", 429, RunState::DidNotRun, 1'000,
            "come back after the time given or allow a later deadline" },
        { ErrorKind::DeadlinePassed, "deadline_passed", 504, RunState::DidNotRun, 1'000,
            "come back after the time given" },
        { ErrorKind::NoEndpoint, "no_endpoint", 503, RunState::DidNotRun, 2'000,
            "come back after the time given or widen the selector" },
        { ErrorKind::CutOff, "cut_off", 503, RunState::DidNotRun, 2'000,
            "ask in another data centre or come back after the time given" },
        { ErrorKind::NoLeader, "no_leader", 503, RunState::DidNotRun, 1'000, "come back after the time given" },
        { ErrorKind::ShuttingDown, "shutting_down", 503, RunState::DidNotRun, 500, "ask another instance" },
        { ErrorKind::Cancelled, "cancelled", 499, RunState::DidNotRun, 0, "the caller gave it up" },
        { ErrorKind::AlreadyRunning, "already_running", 409, RunState::MayHaveRun, 2'000,
            "ask for the same request id later" },
        { ErrorKind::ExecutorUnreachable, "executor_unreachable", 502, RunState::DidNotRun, 1'000,
            "come back after the time given" },
        { ErrorKind::ExecutorFailed, "executor_failed", 502, RunState::MayHaveRun, 0,
            "find out whether it ran before sending it under a new id" },
        { ErrorKind::AnswerLost, "answer_lost", 502, RunState::MayHaveRun, 0,
            "find out whether it ran before sending it under a new id" },
        { ErrorKind::AnswerOverdue, "answer_overdue", 504, RunState::MayHaveRun, 0,
            "find out whether it ran before sending it under a new id" },
        { ErrorKind::StateUnavailable, "state_unavailable", 503, RunState::DidNotRun, 1'000,
            "come back after the time given" },
        { ErrorKind::StateFull, "state_full", 503, RunState::DidNotRun, 5'000, "come back after the time given" },
        { ErrorKind::Internal, "internal", 500, RunState::MayHaveRun, 0, "tell the operators, with the request id" },
        { ErrorKind::LimitReached, "limit_reached", 429, RunState::DidNotRun, 1'000,
            "come back after the time given or ask for a higher limit" },
        { ErrorKind::OutcomeUnknown, "outcome_unknown", 504, RunState::MayHaveRun, 1'000,
            "send it again with the same id: it takes effect once" },
    } };

    constexpr bool numbersMatchPlaces()
    {
        for (size_t n = 0; n < answers.size(); ++n) {
            if (static_cast<size_t>(answers[n].kind) != n)
                return false;
        }
        return true;
    }
    static_assert(numbersMatchPlaces(), "each row stands at its kind's number");

} // namespace

const ErrorAnswer& answerOf(ErrorKind kind)
{
    const auto place = static_cast<size_t>(kind);
    return answers[place < answers.size() ? place : static_cast<size_t>(ErrorKind::Internal)];
}

std::span<const ErrorAnswer> errorAnswers() { return answers; }

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
    return number < answers.size() ? answers[number].kind : ErrorKind::Internal;
}

} // namespace teasel
