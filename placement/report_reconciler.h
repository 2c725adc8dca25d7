// Brings what a leader believes of a worker in line with what the worker reports.
#pragma once

#include "placement/placement_state.h"
#include "placement/task_lifecycle.h"

#include <vector>

namespace teasel {

class ReportReconciler {
public:
    ReportReconciler(PlacementState& state, TaskLifecycle& lifecycle)
        : m_state(state)
        , m_lifecycle(lifecycle)
    {
    }

    // The worker that a report is from, added if new; noWorker for a report
    // that is older than one already seen.
    WorkerId admit(const schema::WorkerReport&);

    // Takes the tasks of an admitted report. Ends that need not be reported
    // again are added to `acknowledged`.
    void reconcile(WorkerId, const schema::WorkerReport&, std::vector<schema::TaskKey>& acknowledged, Instant now);

    // Releases what workers held whose leases have run out.
    void expire(Instant now);

private:
    void describeWorker(WorkerId, const schema::WorkerReport&);
    void orphanResidents(WorkerId);
    void takeLive(WorkerId, const TaskRef&, const schema::TaskReport&, Instant now);
    void takeEnd(WorkerId, const TaskRef&, const schema::TaskReport&, Instant now);
    bool mayAcknowledge(const TaskRef&, const schema::TaskReport&) const;
    void reviewMissing(WorkerId, const schema::WorkerReport&, Instant now);
    void reviewMissingOne(WorkerId, size_t position, const schema::WorkerReport&, Instant now);
    void forget(WorkerId, Instant now);
    void expireOrphans(WorkerId, Instant now);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    uint64_t m_sequence = 0; // of the report in hand
};

} // namespace teasel
