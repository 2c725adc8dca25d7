#include "placement/order_writer.h"

namespace teasel {

schema::WorkerOrders OrderWriter::write(WorkerId id, std::span<const schema::TaskKey> acknowledged, Instant now)
{
    auto& worker = m_state.workers.mutableAt(id);
    schema::WorkerOrders orders;
    orders.set_epoch(m_state.epoch);
    orders.set_incarnation(worker.incarnation);
    orders.set_sequence(++m_state.orderSequence);
    orders.set_lease_ms(static_cast<uint64_t>(m_state.options.workerLease.count()));
    orders.set_next_ms(static_cast<uint64_t>(m_state.options.reportInterval.count()));
    worker.leaseEnd = now + m_state.options.workerLease + m_state.options.clockMargin;
    for (const auto& it : acknowledged)
        *orders.add_acknowledged_ends() = it;
    for (auto& it : worker.residents) {
        if (it.phase == ResidentPhase::Ordered)
            addStart(orders, it);
        else if (it.phase == ResidentPhase::Stopping)
            addStop(orders, it, now);
        else if (it.throttledTo)
            addThrottle(orders, it);
    }
    return orders;
}

void OrderWriter::addStart(schema::WorkerOrders& orders, Resident& resident) const
{
    const auto& job = m_state.tasks.job(resident.task.job);
    const auto& task = job.tasks[resident.task.index];
    auto* start = orders.add_starts();
    start->set_job_id(job.id);
    start->set_index(resident.task.index);
    start->set_attempt(resident.attempt.number);
    *start->mutable_resources() = toMessage(resident.committed);
    start->set_team_id(resident.team);
    start->set_payload(job.spec.payload());
    start->set_from_checkpoint(task.checkpointed);
    start->set_run_ms(job.spec.run_ms());
    start->set_spec_digest(resident.specDigest);
    resident.startSent = true;
    if (resident.orderSequence == 0)
        resident.orderSequence = orders.sequence();
}

schema::StopTask* OrderWriter::newStop(schema::WorkerOrders& orders, const Resident& resident) const
{
    auto* stop = orders.add_stops();
    stop->set_job_id(m_state.tasks.job(resident.task.job).id);
    stop->set_index(resident.task.index);
    stop->set_attempt(resident.attempt.number);
    stop->set_attempt_epoch(resident.attempt.epoch);
    return stop;
}

void OrderWriter::addStop(schema::WorkerOrders& orders, Resident& resident, Instant now) const
{
    // A checkpoint past its deadline becomes a plain stop.
    if (resident.stopManner == schema::STOP_MANNER_CHECKPOINT && now >= resident.deadline)
        resident.stopManner = schema::STOP_MANNER_STOP;
    newStop(orders, resident)->set_manner(resident.stopManner);
    if (resident.orderSequence == 0)
        resident.orderSequence = orders.sequence();
}

void OrderWriter::addThrottle(schema::WorkerOrders& orders, const Resident& resident) const
{
    auto* stop = newStop(orders, resident);
    stop->set_manner(schema::STOP_MANNER_THROTTLE);
    *stop->mutable_throttle_to() = toMessage(*resident.throttledTo);
}

} // namespace teasel
