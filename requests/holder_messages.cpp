#include "requests/holder_messages.h"

namespace teasel {

schema::Ticket ticketOf(const HeldRequest& it, Instant now)
{
    schema::Ticket ticket;
    ticket.set_sequence(it.sequence);
    ticket.set_team_id(it.submission.team);
    ticket.set_class_name(it.submission.className);
    ticket.set_selector(it.submission.selector);
    ticket.set_deadline_left_ms(millisecondsLeft(it.submission.deadline, now));
    ticket.set_idempotent(it.submission.idempotent);
    ticket.set_attempt(it.attempt);
    for (const auto& name : it.avoid)
        ticket.add_avoid(name);
    ticket.set_body_bytes(static_cast<uint32_t>(it.submission.bodyBytes));
    ticket.set_key_id(it.submission.keyId);
    return ticket;
}

schema::Outstanding outstandingOf(const HeldRequest& it, Instant now)
{
    schema::Outstanding attempt;
    attempt.set_sequence(it.sequence);
    attempt.set_attempt(it.attempt);
    attempt.set_executor(it.executor);
    attempt.set_team_id(it.submission.team);
    attempt.set_class_name(it.submission.className);
    attempt.set_deadline_left_ms(millisecondsLeft(it.submission.deadline, now));
    return attempt;
}

schema::AttemptEnd endOf(const HeldRequest& it, const ExecutorResult* result, bool wantsRetry)
{
    schema::AttemptEnd end;
    end.set_sequence(it.sequence);
    end.set_attempt(it.attempt);
    end.set_executor(it.executor);
    end.set_wants_retry(wantsRetry);
    end.set_never_sent(!result);
    if (!result)
        return end;
    const auto* answer = std::get_if<CompleteAnswer>(&result->outcome);
    end.set_failed(!answer || answer->httpStatus >= serverErrorStatus);
    end.set_connect_failed(std::holds_alternative<ConnectFailed>(result->outcome));
    end.set_may_still_run(!answer && !definitelyDidNotRun(result->outcome));
    end.set_service_us(static_cast<uint64_t>(result->service.count()));
    return end;
}

schema::AttemptEnd endOfUnusedGrant(const schema::Grant& grant)
{
    schema::AttemptEnd end;
    end.set_sequence(grant.sequence());
    end.set_attempt(grant.attempt());
    end.set_executor(grant.executor());
    end.set_never_sent(true);
    return end;
}

} // namespace teasel
