#include "placement/report_reconciler.h"

#include "placement/job_limits.h"

#include <algorithm>
#include <fmt/format.h>

namespace teasel {

namespace {

    constexpr uint32_t maxOmittedReports = 10; // reports that may omit a start order after the worker received it
    constexpr uint64_t provenRunMs = 10'000; // a task that ran this long counts as a success of its worker

    bool isLive(schema::TaskState state)
    {
        return state == schema::TASK_STATE_STARTING || state == schema::TASK_STATE_RUNNING;
    }

    TaskOutcome outcomeOf(schema::TaskState state)
    {
        switch (state) {
        case schema::TASK_STATE_SUCCEEDED:
            return TaskOutcome::Succeeded;
        case schema::TASK_STATE_STOPPED:
            return TaskOutcome::Stopped;
        case schema::TASK_STATE_CHECKPOINTED:
            return TaskOutcome::Checkpointed;
        default:
            return TaskOutcome::Failed;
        }
    }

    InstanceLabels labelsOf(const schema::WorkerReport& report)
    {
        InstanceLabels labels;
        labels.scheme = report.scheme();
        labels.name = report.name();
        labels.rack = report.rack();
        labels.dataCentre = report.data_centre();
        labels.labels.assign(report.labels().begin(), report.labels().end());
        return labels;
    }

    // The attributes of a worker that selectors can match, as one string for comparison.
    std::string fingerprintOf(const schema::WorkerReport& report)
    {
        std::string text = fmt::format("{}\n{}", report.rack(), report.data_centre());
        for (const auto& it : report.labels())
            text += fmt::format("\n{}={}", it.key(), it.value());
        return text;
    }

} // namespace

WorkerId ReportReconciler::admit(const schema::WorkerReport& report)
{
    const std::string key = report.scheme() + "\n" + report.name();
    WorkerId id = m_state.workers.find(key);
    const bool isNew = id == noWorker;
    if (isNew)
        id = m_state.workers.add(key, report.name());
    auto& worker = m_state.workers.mutableAt(id);
    if (!isNew) {
        const bool isStale = report.incarnation() < worker.incarnation
            || (report.incarnation() == worker.incarnation && report.sequence() <= worker.reportSequence);
        if (isStale)
            return noWorker;
        if (report.incarnation() > worker.incarnation)
            orphanResidents(id);
    }
    worker.incarnation = report.incarnation();
    worker.reportSequence = report.sequence();
    updateWorker(id, report);
    return id;
}

void ReportReconciler::updateWorker(WorkerId id, const schema::WorkerReport& report)
{
    m_state.workers.setCapacity(id, toVector(report.capacity()));
    m_state.workers.setLeaving(id, report.leaving());
    std::string labelFingerprint = fingerprintOf(report);
    if (m_state.workers.at(id).labelFingerprint == labelFingerprint)
        return;
    m_state.workers.setRack(id, report.rack());
    m_state.workers.mutableAt(id).labelFingerprint = std::move(labelFingerprint);
    const auto outcome = valueOrError([&] { return m_state.labels.put(id, labelsOf(report)); });
    m_state.workers.mutableAt(id).labelled = std::holds_alternative<std::monostate>(outcome);
}

// The previous incarnation may still run its tasks until its lease expires.
void ReportReconciler::orphanResidents(WorkerId id)
{
    auto& worker = m_state.workers.mutableAt(id);
    for (auto& it : worker.residents) {
        if (!it.startSent)
            continue;
        it.phase = ResidentPhase::Orphaned;
        it.deadline = worker.leaseEnd;
        worker.hasOrphans = true;
    }
}

void ReportReconciler::reconcile(
    WorkerId id, const schema::WorkerReport& report, std::vector<schema::TaskKey>& acknowledged, Instant now)
{
    m_reportSequence = report.sequence();
    for (const auto& it : report.tasks()) {
        if (it.index() >= maxTaskIndices)
            continue;
        const TaskRef ref { m_state.tasks.intern(it.job_id(), now), it.index() };
        m_state.tasks.ensureTask(ref.job, ref.index);
        if (isLive(it.state())) {
            handleLiveTask(id, ref, it, now);
            continue;
        }
        handleEndedTask(id, ref, it, now);
        if (!mayAcknowledge(ref, it))
            continue;
        auto& key = acknowledged.emplace_back();
        key.set_job_id(it.job_id());
        key.set_index(it.index());
        key.set_attempt(it.attempt());
        key.set_attempt_epoch(it.attempt_epoch());
    }
    handleMissing(id, report, now);
}

void ReportReconciler::handleLiveTask(WorkerId id, const TaskRef& ref, const schema::TaskReport& report, Instant now)
{
    const Attempt attempt { report.attempt_epoch(), report.attempt() };
    auto* resident = m_state.workers.findResident(id, ref, attempt);
    if (!resident) {
        m_lifecycle.adopt(id, report, ref.job, now);
        resident = m_state.workers.findResident(id, ref, attempt);
        if (!resident)
            return;
    }
    resident->lastReportSequence = m_reportSequence;
    resident->used = toVector(report.used());
    resident->ranMs = report.ran_ms();
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        resident->peak.amounts[i] = std::max(resident->peak.amounts[i], resident->used.amounts[i]);
    if (!resident->proven && resident->ranMs >= provenRunMs) {
        resident->proven = true;
        m_state.quarantine.onOutcome(id, false, now);
        m_state.tasks.task(ref).failures = 0;
    }
    if (resident->phase == ResidentPhase::Running || resident->phase == ResidentPhase::Stopping)
        return;
    resident->phase = ResidentPhase::Running;
    auto& job = m_state.tasks.job(ref.job);
    auto& task = job.tasks[ref.index];
    const bool isCurrent = task.phase == TaskPhase::Placed && task.worker == id && task.attempt == attempt;
    // The task of a previous incarnation was abandoned in the meantime.
    if (!isCurrent)
        return m_lifecycle.abandon(id, static_cast<size_t>(resident - m_state.workers.at(id).residents.data()), now);
    if (!task.running) {
        task.running = true;
        ++job.counts.running;
    }
}

void ReportReconciler::handleEndedTask(WorkerId id, const TaskRef& ref, const schema::TaskReport& report, Instant now)
{
    const Attempt attempt { report.attempt_epoch(), report.attempt() };
    const TaskOutcome outcome = outcomeOf(report.state());
    const auto& residents = m_state.workers.at(id).residents;
    for (size_t i = 0; i < residents.size(); ++i) {
        if (residents[i].task != ref || residents[i].attempt != attempt)
            continue;
        const bool stopping = residents[i].phase == ResidentPhase::Stopping;
        if (outcome == TaskOutcome::Succeeded || (outcome == TaskOutcome::Failed && !stopping))
            m_state.quarantine.onOutcome(id, outcome == TaskOutcome::Failed, now);
        return m_lifecycle.onAttemptEnded(id, i, outcome, report.message(), now);
    }
    if (outcome == TaskOutcome::Succeeded)
        m_lifecycle.onUntrackedSuccess(ref, attempt, now);
}

// The worker keeps reporting a success until the job's record shows it, so that a
// new leader receives it too.
bool ReportReconciler::mayAcknowledge(const TaskRef& ref, const schema::TaskReport& report) const
{
    if (report.state() != schema::TASK_STATE_SUCCEEDED)
        return true;
    const auto& job = m_state.tasks.job(ref.job);
    if (!job.hasRecord)
        return job.closed;
    if (job.isService() || isTerminal(job.phase))
        return true;
    const auto& task = job.tasks[ref.index];
    if (job.isBatch())
        return task.durable;
    return task.phase != TaskPhase::Finished;
}

// Handles attempts that the worker should run but does not report.
void ReportReconciler::handleMissing(WorkerId id, const schema::WorkerReport& report, Instant now)
{
    const auto& residents = m_state.workers.at(id).residents;
    for (size_t i = residents.size(); i-- > 0;) {
        if (i < residents.size() && residents[i].lastReportSequence != report.sequence())
            handleMissingResident(id, i, report, now);
    }
}

void ReportReconciler::handleMissingResident(
    WorkerId id, size_t position, const schema::WorkerReport& report, Instant now)
{
    auto& resident = m_state.workers.mutableAt(id).residents[position];
    const bool ordersReceived = report.orders_epoch() == m_state.epoch && resident.orderSequence > 0
        && report.orders_applied() >= resident.orderSequence;
    switch (resident.phase) {
    case ResidentPhase::Orphaned:
    case ResidentPhase::Stopping:
        // Absence from a report confirms nothing; the worker reports every end explicitly.
        return;
    case ResidentPhase::Ordered:
        if (!ordersReceived || ++resident.omittedReports < maxOmittedReports)
            return;
        m_state.quarantine.onOutcome(id, true, now);
        return m_lifecycle.abandon(id, position, now);
    case ResidentPhase::Running:
        return m_lifecycle.abandon(id, position, now);
    }
}

void ReportReconciler::expireLeases(Instant now)
{
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        if (!m_state.workers.contains(id))
            continue;
        if (now >= m_state.workers.at(id).leaseEnd)
            removeWorker(id, now);
        else if (m_state.workers.at(id).hasOrphans)
            expireOrphans(id, now);
    }
}

void ReportReconciler::removeWorker(WorkerId id, Instant now)
{
    const auto& residents = m_state.workers.at(id).residents;
    while (!residents.empty())
        m_lifecycle.onAttemptEnded(id, residents.size() - 1, TaskOutcome::Lost, {}, now);
    m_state.dropClaimsOn(id);
    m_state.labels.remove(id);
    m_state.quarantine.remove(id);
    m_state.workers.remove(id);
    m_state.workPending = true;
}

void ReportReconciler::expireOrphans(WorkerId id, Instant now)
{
    const auto& residents = m_state.workers.at(id).residents;
    bool orphansRemain = false;
    for (size_t i = residents.size(); i-- > 0;) {
        if (i >= residents.size() || residents[i].phase != ResidentPhase::Orphaned)
            continue;
        if (now >= residents[i].deadline)
            m_lifecycle.onAttemptEnded(id, i, TaskOutcome::Lost, {}, now);
        else
            orphansRemain = true;
    }
    m_state.workers.mutableAt(id).hasOrphans = orphansRemain;
}

} // namespace teasel
