#include "placement/placement_leader.h"

#include "core/invariant.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds feasibilityInterval { 5'000 };

} // namespace

PlacementLeader::PlacementLeader(PlacementOptions options, NameTable& names)
    : m_state(std::move(options), names)
    , m_lifecycle(m_state)
    , m_reconciler(m_state, m_lifecycle)
    , m_orderWriter(m_state)
    , m_pass(m_state, m_lifecycle)
    , m_intake(m_state, m_lifecycle)
    , m_preemption(m_state, m_lifecycle, m_pass)
    , m_gangPlanner(m_state, m_lifecycle, m_pass, m_preemption)
    , m_taskMover(m_state, m_lifecycle)
    , m_usageGuard(m_state, m_lifecycle)
    , m_feasibility(m_state, m_lifecycle)
{
}

void PlacementLeader::onBecameLeader(Epoch epoch, Instant now)
{
    m_state.clearClusterState();
    m_state.epoch = epoch;
    m_state.leading = true;
    m_state.jobsReceived = false;
    m_state.recoveredAt = now + m_state.options.workerLease + m_state.options.clockMargin;
    m_recoveryHandled = false;
    m_previouslyBlocked.clear();
    m_intake.discardFullList();
    m_actions.clear();
}

void PlacementLeader::onLostLeadership(Instant)
{
    m_state.leading = false;
    m_state.clearClusterState();
    m_actions.clear();
}

void PlacementLeader::onTeams(std::span<const TaskTeamPolicy> teams, Instant)
{
    m_state.shares.setTeams(teams);
    m_state.workPending = true;
}

void PlacementLeader::onJobs(std::span<const schema::JobRecord> records, Instant now, JobBatch batch)
{
    m_intake.handle(records, batch, now);
    if (m_state.mayIssueOrders(now))
        pass(now, m_state.options.jobsPerReport, true);
}

schema::WorkerOrders PlacementLeader::onReport(const schema::WorkerReport& report, Instant now)
{
    if (!m_state.mayIssueOrders(now))
        return {};
    const WorkerId id = m_reconciler.admit(report);
    if (id == noWorker) {
        ++m_state.stats.staleReports;
        return {};
    }
    ++m_state.stats.reports;
    std::vector<schema::TaskKey> acknowledged;
    m_reconciler.reconcile(id, report, acknowledged, now);
    m_usageGuard.enforce(id, now);
    applyQuarantine(now);
    if (m_state.workPending)
        pass(now, m_state.options.jobsPerReport, false);
    return m_orderWriter.write(id, acknowledged, now);
}

void PlacementLeader::onDrains(std::span<const std::string> selectors, Instant)
{
    m_drainSelectors.assign(selectors.begin(), selectors.end());
    m_drainLabelsVersion = 0;
}

void PlacementLeader::applyDrains()
{
    if (m_drainLabelsVersion == m_state.labels.version())
        return;
    m_drainLabelsVersion = m_state.labels.version();
    std::vector<bool> drained(m_state.workers.all().size(), false);
    for (const auto& it : m_drainSelectors) {
        const auto& selector = m_state.selectors.lookUp(it);
        // An empty selector matches every worker and would drain the whole fleet.
        if (selector.matchesAll || !selector.error.empty())
            continue;
        for (const WorkerId id : selector.allowed)
            drained[id] = true;
    }
    for (WorkerId id = 0; id < drained.size(); ++id) {
        if (m_state.workers.contains(id))
            m_state.workers.setDrained(id, drained[id]);
    }
}

void PlacementLeader::onLoadSummary(const schema::LoadSummary& summary, Instant)
{
    if (summary.data_centre() != m_state.options.dataCentre)
        m_state.shares.setRemoteUse(summary);
}

void PlacementLeader::onTick(Instant now)
{
    if (!m_state.mayIssueOrders(now))
        return;
    if (m_state.isRecovered(now) && !m_recoveryHandled) {
        m_recoveryHandled = true;
        m_intake.onRecovered(now);
    }
    m_reconciler.expireLeases(now);
    if (m_state.tasks.enqueueDelayed(now))
        m_state.workPending = true;
    const bool due = now >= m_lastMaintenanceAt + m_state.options.maintenanceInterval;
    if (due) {
        m_lastMaintenanceAt = now;
        runMaintenance(now);
    }
    if (due || m_state.workPending)
        pass(now, std::numeric_limits<size_t>::max(), due);
}

void PlacementLeader::runMaintenance(Instant now)
{
    applyDrains();
    applyQuarantine(now);
    m_intake.closeStaleJobs(now);
    if (m_state.isRecovered(now)) {
        checkGangs();
        m_taskMover.moveTasks(now);
        stopExcessTasks(now);
        m_gangPlanner.updateReservation(m_previouslyBlocked, now);
    }
    if (m_state.isRecovered(now) && now >= m_lastFeasibilityCheckAt + feasibilityInterval) {
        m_lastFeasibilityCheckAt = now;
        m_feasibility.failInfeasibleJobs(now);
    }
    m_intake.reportProgress(m_actions, now);
}

void PlacementLeader::checkGangs() const
{
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        if (!job.hasRecord || job.closed || !job.isGang())
            continue;
        const auto& counts = job.counts;
        checkInvariant(counts.placed == 0 || counts.placed + counts.finished == counts.wanted,
            "a gang is placed completely or not at all", [&] {
                return fmt::format(
                    "{}: {} placed and {} finished of {}", job.id, counts.placed, counts.finished, counts.wanted);
            });
    }
}

void PlacementLeader::applyQuarantine(Instant now)
{
    for (const auto& it : m_state.quarantine.takeChanges(now)) {
        if (!m_state.workers.contains(it.worker))
            continue;
        const bool restricted = it.status != Quarantine::Status::Healthy;
        const bool probing = it.status == Quarantine::Status::Probing;
        m_state.workers.setQuarantined(it.worker, restricted, probing);
        m_state.stats.quarantines += it.status == Quarantine::Status::Quarantined ? 1 : 0;
        m_state.stats.probes += probing ? 1 : 0;
        m_state.workPending = true;
    }
}

// Stops tasks of teams above their portion and of workers committed beyond their capacity.
// Both happen when a portion or a worker's capacity shrinks.
void PlacementLeader::stopExcessTasks(Instant now)
{
    for (const TeamId team : m_state.shares.teams()) {
        if (m_state.shares.excess(team) != ResourceVector {})
            m_preemption.stopTeamExcess(team, now);
    }
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        const auto& worker = m_state.workers.at(id);
        if (worker.inUse && !worker.committed.fitsIn(worker.capacity))
            m_preemption.stopWorkerExcess(id, now);
    }
}

void PlacementLeader::pass(Instant now, size_t jobBudget, bool mayPreempt)
{
    if (!m_state.isRecovered(now))
        return;
    applyDrains();
    m_state.shares.setTotalCapacity(m_state.workers.totalCapacity());
    m_preemption.placeClaimedTasks(now);
    m_blocked.clear();
    m_pass.run(now, jobBudget, m_blocked);
    m_gangPlanner.backfill(m_blocked, now);
    if (mayPreempt)
        m_preemption.run(m_blocked, now);
    m_previouslyBlocked = m_blocked;
}

std::vector<PlacementAction> PlacementLeader::takeActions() { return std::exchange(m_actions, {}); }

std::vector<TeamTaskDemand> PlacementLeader::needs() const
{
    std::vector<TeamTaskDemand> needs;
    for (const TeamId team : m_state.shares.teams()) {
        TeamTaskDemand need { team, m_state.shares.used(team), m_state.shares.used(team) };
        if (const auto* queue = m_state.tasks.queueOf(team)) {
            for (const auto& it : *queue) {
                const auto& job = m_state.tasks.job(it.job);
                need.wanted += job.need * job.tasksToStart();
            }
        }
        needs.push_back(need);
    }
    return needs;
}

schema::JobView PlacementLeader::jobView(std::string_view id) const
{
    schema::JobView view;
    const JobOrdinal ordinal = m_state.tasks.find(id);
    if (ordinal == noJob)
        return view;
    const auto& job = m_state.tasks.job(ordinal);
    view.set_job_id(job.id);
    view.set_name(job.spec.name());
    view.set_phase(job.phase);
    view.set_tasks(job.counts.wanted);
    view.set_running(job.counts.running);
    view.set_waiting(job.tasksToStart());
    view.set_finished(job.counts.finished);
    view.set_reason(job.reason.empty() ? job.waitReason : job.reason);
    view.set_team_id(job.team);
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        const auto& task = job.tasks[i];
        if (task.phase != TaskPhase::Placed)
            continue;
        auto* placed = view.add_placed();
        placed->set_index(i);
        placed->set_attempt(task.attempt.number);
        placed->set_worker(m_state.workers.at(task.worker).displayName);
        placed->set_state(task.running ? schema::TASK_STATE_RUNNING : schema::TASK_STATE_STARTING);
    }
    return view;
}

std::vector<schema::JobView> PlacementLeader::jobViews(TeamId team) const
{
    std::vector<schema::JobView> views;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        if (job.hasRecord && (team == 0 || job.team == team))
            views.push_back(jobView(job.id));
    }
    std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) { return a.job_id() < b.job_id(); });
    return views;
}

Result<void> PlacementLeader::checkFeasibility(const schema::JobSpec& spec) { return m_feasibility.check(spec); }

PlacementStats PlacementLeader::stats() const
{
    PlacementStats stats = m_state.stats;
    stats.workers = m_state.workers.size();
    stats.jobs = m_state.tasks.size();
    stats.tasksPlaced = m_state.workers.residents();
    for (const auto ordinal : m_state.tasks.ordinals())
        stats.tasksWaiting += m_state.tasks.job(ordinal).tasksToStart();
    return stats;
}

} // namespace teasel
