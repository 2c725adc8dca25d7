// Reports how far the leader of the job plane lags: its control thread, its rounds of planning, the stages of jobs and
// runs, and the time without starts after a change of leaders.
#pragma once

#include "jobs/job_leader.h"
#include "node/control_loop.h"
#include "node/process_context.h"

#include <absl/container/btree_set.h>

#include <string>
#include <string_view>

namespace teasel {

class LagReporter {
public:
    explicit LagReporter(ProcessContext context)
        : m_context(context)
    {
    }

    // `predecessorSeenAt`: the last contact with the previous leader.
    void onBecameLeader(Instant now, Instant predecessorSeenAt);
    void onRound(Duration);

    // Called about once a second. Writes lines only while this instance leads.
    void report(JobLeader&, const ControlLoopReport&);

private:
    void reportTakeover(const JobLeader&);
    void reportStages(JobLeader&);
    // The label of a queue's series: the number of series is limited.
    std::string_view labelOf(const std::string& queue);

    ProcessContext m_context;
    absl::btree_set<std::string> m_labels; // of queues
    Instant m_leadingSince {};
    Instant m_predecessorSeenAt {};
    bool m_isTakeoverReported = true;
    uint64_t m_rounds = 0;
    Duration m_roundTime { 0 };
    Duration m_longestRound { 0 };
    uint64_t m_reportedVisits = 0;
    uint64_t m_reportedStarts = 0;
    uint64_t m_reportedOmittedLines = 0;
};

} // namespace teasel
