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
    , m_orders(m_state)
    , m_pass(m_state, m_lifecycle)
    , m_intake(m_state, m_lifecycle)
    , m_preemption(m_state, m_lifecycle, m_pass)
    , m_gangs(m_state, m_lifecycle, m_pass, m_preemption)
    , m_mover(m_state, m_lifecycle)
    , m_guard(m_state, m_lifecycle)
    , m_feasibility(m_state, m_lifecycle)
{
}

void PlacementLeader::onBecameLeader(Epoch epoch, Instant now)
{
    m_state.forgetAll();
    m_state.epoch = epoch;
    m_state.leading = true;
    m_state.jobsHeard = false;
    m_state.settledAt = now + m_state.options.workerLease + m_state.options.clockMargin;
    m_settledSeen = false;
    m_stuckBefore.clear();
    m_intake.restart();
    m_actions.clear();
}

void PlacementLeader::onLostLeadership(Instant)
{
    m_state.leading = false;
    m_state.forgetAll();
    m_actions.clear();
}

void PlacementLeader::onTeams(std::span<const TaskTeamPolicy> teams, Instant)
{
    m_state.shares.setTeams(teams);
    m_state.workPending = true;
}

void PlacementLeader::onJobs(std::span<const schema::JobRecord> records, Instant now, JobBatch batch)
{
    m_intake.take(records, batch, now);
    if (m_state.mayAct(now))
        pass(now, m_state.options.jobsPerReport, true);
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
    m_guard.review(id, now);
    applyQuarantine(now);
    if (m_state.workPending)
        pass(now, m_state.options.jobsPerReport, false);
    return m_orders.write(id, acknowledged, now);
}

void PlacementLeader::onDrains(std::span<const std::string> selectors, Instant)
{
    m_drains.assign(selectors.begin(), selectors.end());
    m_drainsLabels = 0;
}

void PlacementLeader::applyDrains()
{
    if (m_drainsLabels == m_state.labels.version())
        return;
    m_drainsLabels = m_state.labels.version();
    std::vector<bool> drained(m_state.workers.all().size(), false);
    for (const auto& it : m_drains) {
        const auto& selector = m_state.selectors.lookUp(it);
        // An empty selector would drain everything.
        if (selector.everything || !selector.failure.empty())
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
    const bool due = now >= m_reviewedAt + m_state.options.upkeepInterval;
    if (due) {
        m_reviewedAt = now;
        upkeep(now);
    }
    if (due || m_state.workPending)
        pass(now, std::numeric_limits<size_t>::max(), due);
}

void PlacementLeader::upkeep(Instant now)
{
    applyDrains();
    applyQuarantine(now);
    m_intake.review(now);
    if (m_state.settled(now)) {
        checkGangs();
        m_mover.review(now);
        trimExcess(now);
        m_gangs.review(m_stuckBefore, now);
    }
    if (m_state.settled(now) && now >= m_checkedAt + feasibilityInterval) {
        m_checkedAt = now;
        m_feasibility.review(now);
    }
    m_intake.report(m_actions, now);
}

void PlacementLeader::checkGangs() const
{
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        if (!job.known || job.closed || !job.isGang())
            continue;
        const auto& counts = job.counts;
        checkInvariant(counts.placed == 0 || counts.placed + counts.finished == counts.wanted,
            "a gang is placed whole or not at all",
            [&] { return fmt::format("{}: {} and {} of {}", job.id, counts.placed, counts.finished, counts.wanted); });
    }
}

void PlacementLeader::applyQuarantine(Instant now)
{
    for (const auto& it : m_state.quarantine.review(now)) {
        if (!m_state.workers.contains(it.worker))
            continue;
        const bool aside = it.standing != Quarantine::Standing::Trusted;
        const bool probing = it.standing == Quarantine::Standing::Probing;
        m_state.workers.setQuarantined(it.worker, aside, probing);
        m_state.stats.quarantines += it.standing == Quarantine::Standing::Quarantined ? 1 : 0;
        m_state.stats.probes += probing ? 1 : 0;
        m_state.workPending = true;
    }
}

// A portion or a worker that shrank below what is committed is made good by stopping tasks.
void PlacementLeader::trimExcess(Instant now)
{
    for (const TeamId team : m_state.shares.teams()) {
        if (m_state.shares.excess(team) != ResourceVector {})
            m_preemption.trim(team, now);
    }
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        const auto& worker = m_state.workers.at(id);
        if (worker.inUse && !worker.committed.fitsIn(worker.capacity))
            m_preemption.trimWorker(id, now);
    }
}

void PlacementLeader::pass(Instant now, size_t jobBudget, bool mayPreempt)
{
    if (!m_state.settled(now))
        return;
    applyDrains();
    m_state.shares.setTotal(m_state.workers.totalCapacity());
    m_preemption.useClaims(now);
    m_stuck.clear();
    m_pass.run(now, jobBudget, m_stuck);
    m_gangs.backfill(m_stuck, now);
    if (mayPreempt)
        m_preemption.run(m_stuck, now);
    m_stuckBefore = m_stuck;
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

Result<void> PlacementLeader::everPlaceable(const schema::JobSpec& spec) { return m_feasibility.check(spec); }

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
