#include "placement/job_intake.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds closedJobRetention { 3'600'000 };

} // namespace

void JobIntake::discardFullList()
{
    m_listedIds.clear();
    m_receivingFullList = false;
}

void JobIntake::handle(std::span<const schema::JobRecord> records, JobBatch batch, Instant now)
{
    m_receivingFullList = m_receivingFullList || batch.replacesAll;
    for (const auto& it : records) {
        applyRecord(it, now);
        if (m_receivingFullList)
            m_listedIds.insert(it.id());
    }
    if (batch.hasMoreParts)
        return;
    m_state.jobsReceived = true;
    if (m_receivingFullList)
        closeMissingJobs(now);
    discardFullList();
}

// Closes jobs that the fleet state no longer contains.
void JobIntake::closeMissingJobs(Instant now)
{
    std::vector<JobOrdinal> missing;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        if (job.hasRecord && !m_listedIds.contains(job.id))
            missing.push_back(ordinal);
    }
    for (const auto ordinal : missing) {
        m_state.tasks.job(ordinal).closed = true;
        m_state.tasks.job(ordinal).phase = schema::JOB_PHASE_CANCELLED;
        m_state.dropClaimsOf(ordinal);
        m_lifecycle.stopAllTasks(ordinal, now);
    }
}

void JobIntake::applyRecord(const schema::JobRecord& record, Instant now)
{
    const bool isLocal = record.data_centre().empty() || record.data_centre() == m_state.options.dataCentre;
    // Records of other data centres only matter for jobs that are already in the table:
    // workers here may still report their tasks.
    if (!isLocal && m_state.tasks.find(record.id()) == noJob)
        return;
    const JobOrdinal ordinal = m_state.tasks.intern(record.id(), now);
    auto& job = m_state.tasks.job(ordinal);
    const bool wasClosed = job.closed;
    const bool hadRecord = job.hasRecord;
    const uint32_t wantedBefore = job.counts.wanted;
    m_state.tasks.apply(record, ordinal);
    job.closed = job.closed || !isLocal;
    if (job.closed && !wasClosed) {
        m_state.dropClaimsOf(ordinal);
        m_lifecycle.stopAllTasks(ordinal, now);
    }
    applyFinishedTasks(job, now);
    if (job.closed)
        return;
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    for (uint32_t i = indices; i < job.tasks.size(); ++i) {
        job.waiting.erase(i);
        m_lifecycle.stopTask({ ordinal, i }, now);
    }
    const bool resized = hadRecord && wantedBefore != job.counts.wanted;
    if (job.isGang() && m_state.isRecovered(now) && (resized || isPartialGang(job)))
        m_lifecycle.restartGang(ordinal, false, now);
    enqueueTasks(job);
    m_state.workPending = true;
}

void JobIntake::applyFinishedTasks(Job& job, Instant now)
{
    if (!job.isBatch())
        return;
    job.unreported = 0;
    for (uint32_t i = 0; i < job.tasks.size(); ++i) {
        const auto& task = job.tasks[i];
        if (task.durable && task.phase != TaskPhase::Finished)
            m_lifecycle.onUntrackedSuccess({ job.ordinal, i }, task.attempt, now);
        else if (!task.durable && task.phase == TaskPhase::Finished)
            ++job.unreported;
    }
}

void JobIntake::enqueueTasks(Job& job)
{
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    for (uint32_t i = 0; i < indices; ++i) {
        const auto& task = job.tasks[i];
        // A task that has failed is queued when its backoff ends.
        if (task.phase == TaskPhase::Waiting && task.liveAttempts == 0 && task.failures == 0)
            job.waiting.insert(i);
    }
    m_state.tasks.refreshQueue(job.ordinal);
}

void JobIntake::reportProgress(std::vector<PlacementAction>& actions, Instant now)
{
    for (const auto ordinal : m_state.tasks.ordinals()) {
        auto& job = m_state.tasks.job(ordinal);
        if (!job.hasRecord || isTerminal(job.phase))
            continue;
        if (job.pendingPhase == schema::JOB_PHASE_UNSPECIFIED && job.counts.running > 0
            && job.phase == schema::JOB_PHASE_PENDING)
            job.pendingPhase = schema::JOB_PHASE_RUNNING;
        if (job.pendingPhase == job.phase)
            job.pendingPhase = schema::JOB_PHASE_UNSPECIFIED;
        const bool due = job.reportedAt == Instant {} || now >= job.reportedAt + m_state.options.progressResendInterval;
        if (due && (job.unreported > 0 || job.pendingPhase != schema::JOB_PHASE_UNSPECIFIED))
            reportJobProgress(job, actions, now);
    }
}

void JobIntake::reportJobProgress(Job& job, std::vector<PlacementAction>& actions, Instant now)
{
    ReportProgress action;
    action.progress.set_id(job.id);
    action.progress.set_phase(job.pendingPhase);
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

bool JobIntake::hasLiveAttempts(const Job& job) const
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& it) { return it.liveAttempts > 0; });
}

void JobIntake::closeStaleJobs(Instant now)
{
    std::vector<JobOrdinal> expired;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        auto& job = m_state.tasks.job(ordinal);
        const bool unknownTooLong = !job.hasRecord && m_state.jobsReceived && m_state.isRecovered(now)
            && now >= std::max(job.firstSeen, m_state.recoveredAt) + m_state.options.unknownJobGrace;
        if (unknownTooLong && !job.closed) {
            job.closed = true;
            m_lifecycle.stopAllTasks(ordinal, now);
        }
        const bool noActiveRecord = !job.hasRecord || isTerminal(job.phase);
        if (job.closed && noActiveRecord && now >= job.firstSeen + closedJobRetention && !hasLiveAttempts(job))
            expired.push_back(ordinal);
    }
    for (const auto ordinal : expired) {
        m_state.dropClaimsOf(ordinal);
        m_state.tasks.erase(ordinal);
    }
}

bool JobIntake::isPartialGang(const Job& job)
{
    return job.isGang() && job.counts.placed > 0 && job.counts.placed + job.counts.finished < job.counts.wanted;
}

void JobIntake::onRecovered(Instant now)
{
    std::vector<JobOrdinal> partial;
    for (const auto ordinal : m_state.tasks.ordinals()) {
        const auto& job = m_state.tasks.job(ordinal);
        if (job.hasRecord && !job.closed && isPartialGang(job))
            partial.push_back(ordinal);
    }
    for (const auto ordinal : partial)
        m_lifecycle.restartGang(ordinal, false, now);
    m_state.workPending = true;
}

} // namespace teasel
