#include "placement/placement_leader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace teasel {

PlacementLeader::PlacementLeader(PlacementOptions options, NameTable& names)
    : m_state(std::move(options), names)
    , m_lifecycle(m_state)
    , m_reconciler(m_state, m_lifecycle)
    , m_orders(m_state)
    , m_pass(m_state, m_lifecycle)
    , m_intake(m_state, m_lifecycle)
{
}

void PlacementLeader::onBecameLeader(Epoch epoch, Instant now)
{
    m_state.forgetPlaces();
    m_state.epoch = epoch;
    m_state.leading = true;
    m_state.jobsHeard = false;
    m_state.settledAt = now + m_state.options.workerLease + m_state.options.clockMargin;
    m_settledSeen = false;
    m_actions.clear();
}

void PlacementLeader::onLostLeadership(Instant)
{
    m_state.leading = false;
    m_state.forgetPlaces();
    m_actions.clear();
}

void PlacementLeader::onTeams(std::span<const TaskTeamPolicy> teams, Instant)
{
    m_state.shares.setTeams(teams);
    m_state.workPending = true;
}

void PlacementLeader::onJobs(std::span<const schema::JobRecord> records, Instant now)
{
    m_intake.take(records, now);
    if (m_state.mayAct(now))
        pass(now, m_state.options.jobsPerReport);
}

schema::WorkerOrders PlacementLeader::onReport(const schema::WorkerReport& report, Instant now)
{
    if (!m_state.mayAct(now))
        return {};
    const WorkerId id = m_reconciler.admit(report);
    if (id == noWorker) {
        ++m_state.stats.staleReports;
        return {};
    }
    ++m_state.stats.reports;
    std::vector<schema::TaskKey> acknowledged;
    m_reconciler.reconcile(id, report, acknowledged, now);
    if (m_state.workPending)
        pass(now, m_state.options.jobsPerReport);
    return m_orders.write(id, acknowledged, now);
}

void PlacementLeader::onDrains(std::span<const std::string> selectors, Instant)
{
    m_drains.assign(selectors.begin(), selectors.end());
}

void PlacementLeader::onLoadSummary(const schema::LoadSummary& summary, Instant)
{
    m_state.shares.setElsewhere(summary);
}

void PlacementLeader::onTick(Instant now)
{
    if (!m_state.mayAct(now))
        return;
    if (m_state.settled(now) && !m_settledSeen) {
        m_settledSeen = true;
        m_intake.onSettled(now);
    }
    m_reconciler.expire(now);
    if (m_state.tasks.moveDelayed(now))
        m_state.workPending = true;
    if (now >= m_reviewedAt + m_state.options.upkeepInterval) {
        m_reviewedAt = now;
        m_intake.review(now);
        m_intake.report(m_actions, now);
    }
    pass(now, std::numeric_limits<size_t>::max());
}

void PlacementLeader::pass(Instant now, size_t jobBudget)
{
    if (!m_state.settled(now))
        return;
    m_state.shares.setTotal(m_state.workers.totalCapacity());
    m_stuck.clear();
    m_pass.run(now, jobBudget, m_stuck);
}

std::vector<PlacementAction> PlacementLeader::takeActions() { return std::exchange(m_actions, {}); }

std::vector<TaskNeed> PlacementLeader::needs() const
{
    std::vector<TaskNeed> needs;
    for (const TeamId team : m_state.shares.teams()) {
        TaskNeed need { team, m_state.shares.used(team), m_state.shares.used(team) };
        if (const auto* queue = m_state.tasks.queueOf(team)) {
            for (const auto& it : *queue) {
                const auto& job = m_state.tasks.job(it.job);
                need.wanted += job.need * job.wantedStarts();
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
    view.set_waiting(job.wantedStarts());
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
        if (job.known && (team == 0 || job.team == team))
            views.push_back(jobView(job.id));
    }
    std::sort(views.begin(), views.end(), [](const auto& a, const auto& b) { return a.job_id() < b.job_id(); });
    return views;
}

Result<void> PlacementLeader::everPlaceable(const schema::JobSpec& spec)
{
    if (spec.tasks() == 0)
        return fail(ErrorKind::BadRequest, "a job has at least one task");
    return {};
}

PlacementStats PlacementLeader::stats() const
{
    PlacementStats stats = m_state.stats;
    stats.workers = m_state.workers.size();
    stats.jobs = m_state.tasks.size();
    stats.tasksPlaced = m_state.workers.residents();
    for (const auto ordinal : m_state.tasks.ordinals())
        stats.tasksWaiting += m_state.tasks.job(ordinal).wantedStarts();
    return stats;
}

} // namespace teasel
