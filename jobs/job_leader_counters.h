// Totals of the job plane's leader since the start of its process.
#pragma once

#include "jobs/admission.h"

#include <array>
#include <cstdint>

namespace teasel {

struct JobLeaderCounters {
    uint64_t accepted = 0;
    uint64_t refused = 0;
    std::array<uint64_t, static_cast<size_t>(AdmissionReason::Count)> refusedFor {}; // by reason
    uint64_t borrowed = 0; // accepted beyond the weight of their team
    uint64_t starts = 0;
    uint64_t startsRefused = 0;
    uint64_t unknownStartOutcomes = 0;
    uint64_t stops = 0;
    uint64_t preemptions = 0;
    uint64_t ends = 0;
    uint64_t renewals = 0;
    uint64_t adviceCalls = 0;
    uint64_t leaseExpiries = 0;
    uint64_t evacuatedRuns = 0; // runs that were stopped to move them out of an evacuated data centre
    uint64_t planningVisits = 0; // pairs of step and executor that planning examined
    uint64_t planningRounds = 0;
    uint64_t omittedLines = 0; // detail lines that were not produced
};

} // namespace teasel
