// Reconciles the leader's state of a worker with the worker's reports.
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

    // Returns the worker that sent a report, adding it if it is new; noWorker if the
    // report is older than one already processed.
    WorkerId admit(const schema::WorkerReport&);

    // Processes the tasks of an admitted report. Appends the ended attempts that the
    // worker need not report again to `acknowledged`.
    void reconcile(WorkerId, const schema::WorkerReport&, std::vector<schema::TaskKey>& acknowledged, Instant now);

    // Removes workers whose lease has expired, and releases their tasks.
    void expireLeases(Instant now);

private:
    void updateWorker(WorkerId, const schema::WorkerReport&);
    void orphanResidents(WorkerId);
    void handleLiveTask(WorkerId, const TaskRef&, const schema::TaskReport&, Instant now);
    void handleEndedTask(WorkerId, const TaskRef&, const schema::TaskReport&, Instant now);
    bool mayAcknowledge(const TaskRef&, const schema::TaskReport&) const;
    void handleMissing(WorkerId, const schema::WorkerReport&, Instant now);
    void handleMissingResident(WorkerId, size_t position, const schema::WorkerReport&, Instant now);
    void removeWorker(WorkerId, Instant now);
    void expireOrphans(WorkerId, Instant now);

    PlacementState& m_state;
    TaskLifecycle& m_lifecycle;
    uint64_t m_reportSequence = 0; // sequence of the report being processed
};

} // namespace teasel
