#include "placement/job_intake.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds closedJobRetention { 3'600'000 };

} // namespace

void JobIntake::restart()
{
    m_listed.clear();
    m_listing = false;
}

void JobIntake::take(std::span<const schema::JobRecord> records, JobBatch batch, Instant now)
{
    m_listing = m_listing || batch.whole;
    for (const auto& it : records) {
        takeOne(it, now);
        if (m_listing)
            m_listed.insert(it.id());
    }
    if (batch.more)
        return;
    m_state.jobsHeard = true;
    if (m_listing)
        dropMissing(now);
    restart();
}

// Jobs that the fleet state no longer has.
void JobIntake::dropMissing(Instant now)
{
    std::vector<JobOrdinal> gone;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        if (job.known && !m_listed.contains(job.id))
            gone.push_back(ordinal);
    }
    for (const auto ordinal : gone) {
        m_state.tasks.job(ordinal).closed = true;
        m_state.tasks.job(ordinal).phase = schema::JOB_PHASE_CANCELLED;
        m_state.dropClaimsOf(ordinal);
        m_lifecycle.stopAll(ordinal, now);
    }
}

void JobIntake::takeOne(const schema::JobRecord& record, Instant now)
{
    const bool mine = record.data_centre().empty() || record.data_centre() == m_state.options.dataCentre;
    // A job that is over is kept for a while: workers may still report its tasks.
    if (!mine && m_state.tasks.find(record.id()) == noJob)
        return;
    const JobOrdinal ordinal = m_state.tasks.intern(record.id(), now);
    auto& job = m_state.tasks.job(ordinal);
    const bool wasClosed = job.closed;
    const bool wasKnown = job.known;
    const uint32_t wantedBefore = job.counts.wanted;
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
    const bool resized = wasKnown && wantedBefore != job.counts.wanted;
    if (job.isGang() && m_state.settled(now) && (resized || isPartialGang(job)))
        m_lifecycle.restartGang(ordinal, false, now);
    enqueueTasks(job);
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

void JobIntake::enqueueTasks(Job& job)
{
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    for (uint32_t i = 0; i < indices; ++i) {
        const auto& task = job.tasks[i];
        // A task with failures waits for its own delay.
        if (task.phase == TaskPhase::Waiting && task.live == 0 && task.failures == 0)
            job.waiting.insert(i);
    }
    m_state.tasks.refreshQueue(job.ordinal);
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

bool JobIntake::isPartialGang(const Job& job)
{
    return job.isGang() && job.counts.placed > 0 && job.counts.placed + job.counts.finished < job.counts.wanted;
}

void JobIntake::onSettled(Instant now)
{
    std::vector<JobOrdinal> partial;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        if (job.known && !job.closed && isPartialGang(job))
            partial.push_back(ordinal);
    }
    for (const auto ordinal : partial)
        m_lifecycle.restartGang(ordinal, false, now);
    m_state.workPending = true;
}

} // namespace teasel
