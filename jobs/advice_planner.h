// Chooses about which steps the advice service is asked in one round of planning, and which executors a call names.
// Answers load of several times what the fleet can start: tickets are requested only for steps that are expected to
// start before the tickets expire, so the cost of a round does not grow with the number of waiting steps.
#pragma once

#include "core/clock.h"
#include "jobs/advice_tracker.h"
#include "jobs/candidate_executor.h"
#include "jobs/expected_capacity.h"
#include "jobs/ready_step.h"

#include <cstdint>
#include <span>
#include <vector>

namespace teasel {

class AdvicePlanner {
public:
    using TasksOn = ExpectedCapacity::TasksOn;

    // The candidates are ordered by number.
    AdvicePlanner(std::span<const CandidateExecutor> candidates, const AdviceTracker&, TasksOn, Instant now);

    // What steps can expect within the time that a ticket is of use.
    ExpectedCapacity& capacity() { return m_capacity; }

    // The executors to name in a call about the step; empty if none is needed.
    std::vector<uint32_t> executorsToQuery(const ReadyStep&);

    // Examined pairs of step and executor: the cost of the round.
    uint64_t visits() const { return m_visits + m_capacity.visits(); }

private:
    // What the executors that the step was already granted allow.
    struct GrantedCapacity {
        int64_t placeable = 0; // tasks that fit on executors with a valid ticket
        int64_t renewable = 0; // tasks that fit on executors whose ticket has expired
        std::vector<uint32_t> expired; // these executors
        std::vector<uint32_t> degraded; // executors that failed recently and whose ticket has expired
    };

    GrantedCapacity grantedCapacity(const ReadyStep&);
    // Further tasks of the step that the executor can take.
    int64_t tasksThatFit(const ReadyStep&, const CandidateExecutor&) const;
    std::vector<uint32_t> newExecutors(const ReadyStep&, int64_t missing);
    // Position in byFreeCapacity() of the fullest candidate that may have room for a task of the step.
    size_t firstWithRoom(const ReadyStep&);
    const CandidateExecutor* candidate(uint32_t number) const;
    // Indices of the candidates, those with the largest free share first.
    const std::vector<size_t>& byFreeCapacity();

    std::span<const CandidateExecutor> m_candidates;
    const AdviceTracker& m_advice;
    TasksOn m_tasksOn;
    Instant m_now;
    ExpectedCapacity m_capacity;
    std::vector<size_t> m_byFreeCapacity; // empty until needed
    uint64_t m_visits = 0;
};

} // namespace teasel
