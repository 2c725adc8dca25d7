#include "placement/report_reconciler.h"

#include <algorithm>
#include <fmt/format.h>

namespace teasel {

namespace {

    constexpr uint32_t mostRefusals = 10; // reports without a start that the worker has heard of
    constexpr uint64_t provenRunMs = 10'000;

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

    // Everything that selectors can see of a worker.
    std::string fingerprint(const schema::WorkerReport& report)
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
    auto& worker = m_state.workers.edit(id);
    if (!isNew) {
        const bool older = report.incarnation() < worker.incarnation
            || (report.incarnation() == worker.incarnation && report.sequence() <= worker.reportSequence);
        if (older)
            return noWorker;
        if (report.incarnation() > worker.incarnation)
            orphanResidents(id);
    }
    worker.incarnation = report.incarnation();
    worker.reportSequence = report.sequence();
    describeWorker(id, report);
    return id;
}

void ReportReconciler::describeWorker(WorkerId id, const schema::WorkerReport& report)
{
    m_state.workers.setCapacity(id, toVector(report.capacity()));
    m_state.workers.setLeaving(id, report.leaving());
    std::string described = fingerprint(report);
    if (m_state.workers.at(id).described == described)
        return;
    m_state.workers.setRack(id, report.rack());
    m_state.workers.edit(id).described = std::move(described);
    const auto outcome = valueOrError([&] { return m_state.labels.put(id, labelsOf(report)); });
    m_state.workers.edit(id).labelled = std::holds_alternative<std::monostate>(outcome);
}

// The former incarnation may still run its tasks until its lease is over.
void ReportReconciler::orphanResidents(WorkerId id)
{
    auto& worker = m_state.workers.edit(id);
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
    m_sequence = report.sequence();
    for (const auto& it : report.tasks()) {
        const TaskRef ref { m_state.tasks.intern(it.job_id(), now), it.index() };
        m_state.tasks.reach(ref.job, ref.index);
        if (isLive(it.state())) {
            takeLive(id, ref, it, now);
            continue;
        }
        takeEnd(id, ref, it, now);
        if (!mayAcknowledge(ref, it))
            continue;
        auto& key = acknowledged.emplace_back();
        key.set_job_id(it.job_id());
        key.set_index(it.index());
        key.set_attempt(it.attempt());
        key.set_attempt_epoch(it.attempt_epoch());
    }
    reviewMissing(id, report, now);
}

void ReportReconciler::takeLive(WorkerId id, const TaskRef& ref, const schema::TaskReport& report, Instant now)
{
    const Attempt attempt { report.attempt_epoch(), report.attempt() };
    auto* resident = m_state.workers.resident(id, ref, attempt);
    if (!resident) {
        m_lifecycle.adopt(id, report, ref.job, now);
        resident = m_state.workers.resident(id, ref, attempt);
        if (!resident)
            return;
    }
    resident->seenIn = m_sequence;
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
    const bool counts = task.phase == TaskPhase::Placed && task.worker == id && task.attempt == attempt;
    // A former incarnation's task, given up meanwhile.
    if (!counts)
        return m_lifecycle.giveUp(id, static_cast<size_t>(resident - m_state.workers.at(id).residents.data()), now);
    if (!task.running) {
        task.running = true;
        ++job.counts.running;
    }
}

void ReportReconciler::takeEnd(WorkerId id, const TaskRef& ref, const schema::TaskReport& report, Instant now)
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
        return m_lifecycle.ended(id, i, outcome, report.message(), now);
    }
    if (outcome == TaskOutcome::Succeeded)
        m_lifecycle.succeededElsewhere(ref, attempt, now);
}

// A success is kept by the worker until the job's record shows it, so that a
// new leader learns of it too.
bool ReportReconciler::mayAcknowledge(const TaskRef& ref, const schema::TaskReport& report) const
{
    if (report.state() != schema::TASK_STATE_SUCCEEDED)
        return true;
    const auto& job = m_state.tasks.job(ref.job);
    if (!job.known)
        return job.closed;
    if (job.isService() || isTerminal(job.phase))
        return true;
    const auto& task = job.tasks[ref.index];
    if (job.isBatch())
        return task.durable;
    return task.phase != TaskPhase::Finished;
}

// Looks at what the worker should hold and does not report.
void ReportReconciler::reviewMissing(WorkerId id, const schema::WorkerReport& report, Instant now)
{
    const auto& residents = m_state.workers.at(id).residents;
    for (size_t i = residents.size(); i-- > 0;) {
        if (i < residents.size() && residents[i].seenIn != report.sequence())
            reviewMissingOne(id, i, report, now);
    }
}

void ReportReconciler::reviewMissingOne(WorkerId id, size_t position, const schema::WorkerReport& report, Instant now)
{
    auto& resident = m_state.workers.edit(id).residents[position];
    const bool heard = report.orders_epoch() == m_state.epoch && resident.orderSequence > 0
        && report.orders_applied() >= resident.orderSequence;
    switch (resident.phase) {
    case ResidentPhase::Orphaned:
    case ResidentPhase::Stopping:
        // Being left out of a report confirms nothing; the worker says that a task has ended.
        return;
    case ResidentPhase::Ordered:
        if (!heard || ++resident.refusals < mostRefusals)
            return;
        m_state.quarantine.onOutcome(id, true, now);
        return m_lifecycle.giveUp(id, position, now);
    case ResidentPhase::Running:
        return m_lifecycle.giveUp(id, position, now);
    }
}

void ReportReconciler::expire(Instant now)
{
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        if (!m_state.workers.contains(id))
            continue;
        if (now >= m_state.workers.at(id).leaseEnd)
            forget(id, now);
        else if (m_state.workers.at(id).hasOrphans)
            expireOrphans(id, now);
    }
}

void ReportReconciler::forget(WorkerId id, Instant now)
{
    const auto& residents = m_state.workers.at(id).residents;
    while (!residents.empty())
        m_lifecycle.ended(id, residents.size() - 1, TaskOutcome::Lost, {}, now);
    m_state.dropClaimsOn(id);
    m_state.labels.remove(id);
    m_state.quarantine.forget(id);
    m_state.workers.remove(id);
    m_state.workPending = true;
}

void ReportReconciler::expireOrphans(WorkerId id, Instant now)
{
    const auto& residents = m_state.workers.at(id).residents;
    bool left = false;
    for (size_t i = residents.size(); i-- > 0;) {
        if (i >= residents.size() || residents[i].phase != ResidentPhase::Orphaned)
            continue;
        if (now >= residents[i].deadline)
            m_lifecycle.ended(id, i, TaskOutcome::Lost, {}, now);
        else
            left = true;
    }
    m_state.workers.edit(id).hasOrphans = left;
}

} // namespace teasel
