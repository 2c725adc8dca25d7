// The placement plane of one data centre, as its leader runs it.
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
// Jobs are durable records that are handed in; where their tasks are lives in
// memory. A new leader rebuilds it from what workers report, and places nothing
// before every worker has either reported to it or lost its lease.
class PlacementLeader {
public:
    // The name table must outlive the leader.
    PlacementLeader(PlacementOptions, NameTable&);
    PlacementLeader(const PlacementLeader&) = delete;
    PlacementLeader& operator=(const PlacementLeader&) = delete;

    // Forgets what it knew of workers and jobs: hand in all records again.
    void onBecameLeader(Epoch, Instant now);
    void onLostLeadership(Instant now);
    // No orders are given from `until` on, unless this is called again: the end
    // of the lease on leadership. Without a call there is no such end.
    void onAuthority(Instant until) { m_state.authorityEnd = until; }

    void onTeams(std::span<const TaskTeamPolicy>, Instant now);
    // New or changed records. One in a terminal phase stops what runs of its job.
    // Of a batch that is marked whole, jobs that are in no part of it are gone.
    void onJobs(std::span<const schema::JobRecord>, Instant now, JobBatch = {});
    // The reply has no lease and epoch 0 when this is not the leader or the
    // report is older than one already seen.
    schema::WorkerOrders onReport(const schema::WorkerReport&, Instant now);
    // Workers that match one of the selectors take no new work. Replaces the former list.
    void onDrains(std::span<const std::string> selectors, Instant now);
    // What another data centre uses.
    void onLoadSummary(const schema::LoadSummary&, Instant now);
    // Call at least four times a second.
    void onTick(Instant now);

    std::vector<PlacementAction> takeActions();

    // What the teams use and would like to use here.
    std::vector<TaskNeed> needs() const;
    // One job, or an empty view without an id.
    schema::JobView jobView(std::string_view id) const;
    // The jobs of a team; of all teams for 0.
    std::vector<schema::JobView> jobViews(TeamId) const;

    // Whether the workers known now could ever run the job. Fails with
    // NeverPlaceable and the term or the resource that rules it out, or with
    // BadRequest for a specification that makes no sense.
    Result<void> everPlaceable(const schema::JobSpec&);

    bool isSettled(Instant now) const { return m_state.settled(now); }
    PlacementStats stats() const;
    // For benchmarks and tests.
    const PlacementState& state() const { return m_state; }

private:
    void pass(Instant now, size_t jobBudget, bool mayPreempt);
    void upkeep(Instant now);
    void applyDrains();
    void checkGangs() const;
    void applyQuarantine(Instant now);
    void trimExcess(Instant now);

    PlacementState m_state;
    TaskLifecycle m_lifecycle;
    ReportReconciler m_reconciler;
    OrderWriter m_orders;
    PlacementPass m_pass;
    JobIntake m_intake;
    Preemption m_preemption;
    GangPlanner m_gangs;
    TaskMover m_mover;
    UsageGuard m_guard;
    Feasibility m_feasibility;
    std::vector<PlacementAction> m_actions;
    std::vector<std::string> m_drains;
    std::vector<JobOrdinal> m_stuck;
    std::vector<JobOrdinal> m_stuckBefore;
    Instant m_reviewedAt {};
    Instant m_checkedAt {};
    uint64_t m_drainsLabels = 0; // version of the labels that drains were applied to
    bool m_settledSeen = false;
};

} // namespace teasel
