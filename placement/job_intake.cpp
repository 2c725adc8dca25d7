#include "placement/job_intake.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds closedJobRetention { 60'000 };

} // namespace

void JobIntake::take(std::span<const schema::JobRecord> records, Instant now)
{
    m_state.jobsHeard = true;
    for (const auto& it : records)
        takeOne(it, now);
}

void JobIntake::takeOne(const schema::JobRecord& record, Instant now)
{
    const bool mine = record.data_centre().empty() || record.data_centre() == m_state.options.dataCentre;
    if (m_state.tasks.find(record.id()) == noJob && (!mine || isTerminal(record.phase())))
        return;
    const JobOrdinal ordinal = m_state.tasks.intern(record.id(), now);
    auto& job = m_state.tasks.job(ordinal);
    const bool wasClosed = job.closed;
    m_state.tasks.apply(record, ordinal);
    job.closed = job.closed || !mine;
    if (job.closed && !wasClosed) {
        m_state.dropClaimsOf(ordinal);
        m_lifecycle.stopAll(ordinal, now);
    }
    markDurable(job, now);
    if (job.closed)
        return;
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    for (uint32_t i = indices; i < job.tasks.size(); ++i) {
        job.waiting.erase(i);
        m_lifecycle.stopTask({ ordinal, i }, now);
    }
    enqueueTasks(job, now);
    m_state.workPending = true;
}

void JobIntake::markDurable(Job& job, Instant now)
{
    if (!job.isBatch())
        return;
    job.unreported = 0;
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        const auto& task = job.tasks[i];
        if (task.durable && task.phase != TaskPhase::Finished)
            m_lifecycle.succeededElsewhere({ job.ordinal, i }, task.attempt, now);
        else if (!task.durable && task.phase == TaskPhase::Finished)
            ++job.unreported;
    }
}

void JobIntake::enqueueTasks(Job& job, Instant now)
{
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    for (uint32_t i = 0; i < indices; ++i) {
        const auto& task = job.tasks[i];
        // A task with failures waits for its own delay.
        if (task.phase == TaskPhase::Waiting && task.live == 0 && task.failures == 0)
            job.waiting.insert(i);
    }
    m_state.tasks.refreshQueue(job.ordinal);
    (void)now;
}

void JobIntake::report(std::vector<PlacementAction>& actions, Instant now)
{
    for (const auto ordinal : m_state.tasks.ordinals()) {
        auto& job = m_state.tasks.job(ordinal);
        if (!job.known || isTerminal(job.phase))
            continue;
        if (job.wantedPhase == schema::JOB_PHASE_UNSPECIFIED && job.counts.running > 0
            && job.phase == schema::JOB_PHASE_PENDING)
            job.wantedPhase = schema::JOB_PHASE_RUNNING;
        if (job.wantedPhase == job.phase)
            job.wantedPhase = schema::JOB_PHASE_UNSPECIFIED;
        const bool due = job.reportedAt == Instant {} || now >= job.reportedAt + m_state.options.progressRepeat;
        if (due && (job.unreported > 0 || job.wantedPhase != schema::JOB_PHASE_UNSPECIFIED))
            reportOne(job, actions, now);
    }
}

void JobIntake::reportOne(Job& job, std::vector<PlacementAction>& actions, Instant now)
{
    ReportProgress action;
    action.progress.set_id(job.id);
    action.progress.set_phase(job.wantedPhase);
    action.progress.set_reason(job.reason);
    if (job.isBatch()) {
        for (uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].phase == TaskPhase::Finished && !job.tasks[i].durable)
                action.progress.add_finished_tasks(i);
        }
    }
    job.reportedAt = now;
    actions.emplace_back(std::move(action));
}

bool JobIntake::holdsAnything(const Job& job) const
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& it) { return it.live > 0; });
}

void JobIntake::review(Instant now)
{
    std::vector<JobOrdinal> over;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        auto& job = m_state.tasks.job(ordinal);
        const bool unknownForLong = !job.known && m_state.jobsHeard && m_state.settled(now)
            && now >= std::max(job.firstSeen, m_state.settledAt) + m_state.options.unknownJobGrace;
        if (unknownForLong && !job.closed) {
            job.closed = true;
            m_lifecycle.stopAll(ordinal, now);
        }
        const bool recordIsOver = !job.known || isTerminal(job.phase);
        if (job.closed && recordIsOver && now >= job.firstSeen + closedJobRetention && !holdsAnything(job))
            over.push_back(ordinal);
    }
    for (const auto ordinal : over) {
        m_state.dropClaimsOf(ordinal);
        m_state.tasks.erase(ordinal);
    }
}

void JobIntake::onSettled(Instant now)
{
    std::vector<JobOrdinal> partial;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        const bool whole = job.counts.placed == 0 || job.counts.placed + job.counts.finished >= job.counts.wanted;
        if (job.known && !job.closed && job.isGang() && !whole)
            partial.push_back(ordinal);
    }
    for (const auto ordinal : partial)
        m_lifecycle.restartGang(ordinal, false, now);
    m_state.workPending = true;
}

} // namespace teasel
