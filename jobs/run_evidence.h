// What shows that a run has ended or never began.
#pragma once

#include <cstdint>
#include <string_view>

namespace teasel {

enum class RunEvidence : uint8_t {
    NotSent = 0, // no byte of its start was sent
    Refused = 1, // the executor refused its start for a reason that holds for each copy of it
    EndListed = 2, // the executor listed its end
    AbsentWhileRunning = 3, // a listing lacks the run, which ran there before
    AbsentAfterStop = 4, // a listing that was requested after an answered stop lacks it
    AbsentAtTakeover = 5, // the first listing under this leader's fence lacks it
    AbsentAfterStartExpired = 6, // a listing that was requested after its start had expired lacks it
    LeaseExpired = 7, // the lease of the incarnation has expired
    IncarnationEnded = 8, // another incarnation has answered under its id; a further one may follow
    AddressTaken = 9, // an executor with another id answers at the address and refuses the start
    AbsentAfterRefusal = 10, // a listing that was requested after the executor had refused its start lacks it
};

constexpr std::string_view toText(RunEvidence it)
{
    switch (it) {
    case RunEvidence::NotSent:
        return "not_sent";
    case RunEvidence::Refused:
        return "refused";
    case RunEvidence::EndListed:
        return "end_listed";
    case RunEvidence::AbsentWhileRunning:
        return "absent_while_running";
    case RunEvidence::AbsentAfterStop:
        return "absent_after_stop";
    case RunEvidence::AbsentAtTakeover:
        return "absent_at_takeover";
    case RunEvidence::AbsentAfterStartExpired:
        return "absent_after_start_expired";
    case RunEvidence::LeaseExpired:
        return "lease_expired";
    case RunEvidence::IncarnationEnded:
        return "incarnation_ended";
    case RunEvidence::AddressTaken:
        return "address_taken";
    case RunEvidence::AbsentAfterRefusal:
        return "absent_after_refusal";
    }
    return "";
}

} // namespace teasel
