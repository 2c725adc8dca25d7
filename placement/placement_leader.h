// Leader of the placement plane of one data centre.
#pragma once

#include "core/result.h"
#include "peer.pb.h"
#include "placement/feasibility.h"
#include "placement/gang_planner.h"
#include "placement/job_intake.h"
#include "placement/order_writer.h"
#include "placement/placement_pass.h"
#include "placement/placement_state.h"
#include "placement/preemption.h"
#include "placement/report_reconciler.h"
#include "placement/task_lifecycle.h"
#include "placement/task_mover.h"
#include "placement/usage_guard.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

// Decides which task runs on which worker. Does no I/O and reads no clock.
//
// Job records are durable and passed in by the host. Task placement is kept in
// memory only: a new leader rebuilds it from worker reports, and places no task
// until every worker has either reported to it or lost its lease.
class PlacementLeader {
public:
    // The name table must outlive the leader.
    PlacementLeader(PlacementOptions, NameTable&);
    PlacementLeader(const PlacementLeader&) = delete;
    PlacementLeader& operator=(const PlacementLeader&) = delete;

    // Clears all workers and jobs. The host must pass all job records again.
    void onBecameLeader(Epoch, Instant now);
    void onLostLeadership(Instant now);
    // Sets when the leadership lease expires. From `until` on no orders are issued
    // unless the lease is extended by another call. Without any call it never expires.
    void onLeadershipLease(Instant until) { m_state.authorityEnd = until; }

    void onTeams(std::span<const TaskTeamPolicy>, Instant now);
    // Applies new or changed job records. A record in a terminal phase stops the
    // job's tasks. After a full list, jobs that none of its parts contains are
    // treated as deleted.
    void onJobs(std::span<const schema::JobRecord>, Instant now, JobBatch = {});
    // Returns the orders for a worker. They carry no lease and epoch 0 when this is
    // not the leader or the report is older than one already processed.
    schema::WorkerOrders onReport(const schema::WorkerReport&, Instant now);
    // Workers that match any of the selectors get no new tasks. Replaces the previous list.
    void onDrains(std::span<const std::string> selectors, Instant now);
    // Updates the resource usage of another data centre.
    void onLoadSummary(const schema::LoadSummary&, Instant now);
    // Runs timers. Call at least four times a second.
    void onTick(Instant now);

    std::vector<PlacementAction> takeActions();

    // Current and wanted resources of each team in this data centre.
    std::vector<TeamTaskDemand> needs() const;
    // Returns the view of a job; without an id if the job is not known.
    schema::JobView jobView(std::string_view id) const;
    // Returns the jobs of a team, or of all teams if the id is 0, sorted by job id.
    std::vector<schema::JobView> jobViews(TeamId) const;

    // Checks whether the currently known workers could run the job if they were idle.
    // Fails with NeverPlaceable, naming the selector term or resource that excludes
    // the job, or with BadRequest if the specification is invalid.
    Result<void> checkFeasibility(const schema::JobSpec&);

    bool isRecovered(Instant now) const { return m_state.isRecovered(now); }
    PlacementStats stats() const;
    // For benchmarks and tests.
    const PlacementState& state() const { return m_state; }

private:
    void pass(Instant now, size_t jobBudget, bool mayPreempt);
    void runMaintenance(Instant now);
    void applyDrains();
    void checkGangs() const;
    void applyQuarantine(Instant now);
    void stopExcessTasks(Instant now);

    PlacementState m_state;
    TaskLifecycle m_lifecycle;
    ReportReconciler m_reconciler;
    OrderWriter m_orderWriter;
    PlacementPass m_pass;
    JobIntake m_intake;
    Preemption m_preemption;
    GangPlanner m_gangPlanner;
    TaskMover m_taskMover;
    UsageGuard m_usageGuard;
    Feasibility m_feasibility;
    std::vector<PlacementAction> m_actions;
    std::vector<std::string> m_drainSelectors;
    std::vector<JobOrdinal> m_blocked;
    std::vector<JobOrdinal> m_previouslyBlocked;
    Instant m_lastMaintenanceAt {};
    Instant m_lastFeasibilityCheckAt {};
    uint64_t m_drainLabelsVersion = 0; // label version at the last update of the drained workers; 0 forces an update
    bool m_recoveryHandled = false;
};

} // namespace teasel
