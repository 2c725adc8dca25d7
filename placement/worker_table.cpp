#include "placement/worker_table.h"

#include "core/invariant.h"

#include <fmt/format.h>

namespace teasel {

ResourceVector Worker::available() const
{
    ResourceVector remaining = capacity - committed - claimed;
    for (auto& it : remaining.amounts)
        it = std::max<int64_t>(0, it);
    return remaining;
}

WorkerId WorkerTable::find(std::string_view name) const
{
    auto found = m_byName.find(std::string(name));
    return found == m_byName.end() ? noWorker : found->second;
}

WorkerId WorkerTable::add(std::string name, std::string displayName)
{
    WorkerId id = static_cast<WorkerId>(m_workers.size());
    if (m_free.empty()) {
        m_workers.emplace_back();
    } else {
        id = m_free.back();
        m_free.pop_back();
        m_workers[id] = Worker {};
    }
    m_byName.emplace(name, id);
    auto& worker = m_workers[id];
    worker.name = std::move(name);
    worker.displayName = std::move(displayName);
    worker.inUse = true;
    return id;
}

void WorkerTable::remove(WorkerId id)
{
    auto& worker = m_workers[id];
    checkInvariant(worker.residents.empty(), "a removed worker has no tasks",
        [&] { return fmt::format("{} has {}", worker.name, worker.residents.size()); });
    m_total -= worker.capacity;
    m_byName.erase(worker.name);
    m_index.erase(id);
    worker = Worker {};
    m_free.push_back(id);
}

void WorkerTable::clear() { *this = WorkerTable(); }

void WorkerTable::setCapacity(WorkerId id, const ResourceVector& capacity)
{
    auto& worker = m_workers[id];
    if (worker.capacity == capacity)
        return;
    m_total -= worker.capacity;
    m_total += capacity;
    worker.capacity = capacity;
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        m_largestCapacity.amounts[i] = std::max(m_largestCapacity.amounts[i], capacity.amounts[i]);
    m_index.setScale(m_largestCapacity);
    ++m_capacityVersion;
    updateIndex(id);
}

void WorkerTable::setRack(WorkerId id, std::string_view rack)
{
    const auto next = static_cast<RackId>(m_racks.size());
    m_workers[id].rack = m_racks.try_emplace(std::string(rack), next).first->second;
}

void WorkerTable::setLeaving(WorkerId id, bool leaving)
{
    if (m_workers[id].leaving == leaving)
        return;
    m_workers[id].leaving = leaving;
    ++m_capacityVersion;
    updateIndex(id);
}

void WorkerTable::setDrained(WorkerId id, bool drained)
{
    if (m_workers[id].drained == drained)
        return;
    m_workers[id].drained = drained;
    ++m_capacityVersion;
    updateIndex(id);
}

void WorkerTable::setQuarantined(WorkerId id, bool quarantined, bool probing)
{
    m_workers[id].quarantined = quarantined;
    m_workers[id].probing = probing;
    ++m_capacityVersion;
    updateIndex(id);
}

void WorkerTable::updateIndex(WorkerId id)
{
    const auto& worker = m_workers[id];
    if (worker.acceptsTasks())
        m_index.set(id, worker.available());
    else
        m_index.erase(id);
}

void WorkerTable::checkCommitted(const Worker& worker) const
{
    ResourceVector sum;
    for (const auto& it : worker.residents)
        sum += it.committed;
    checkInvariant(sum == worker.committed, "a worker's commitment equals the sum over its tasks", [&] {
        return fmt::format("{}: sum is {}, commitment is {}", worker.name, describe(sum), describe(worker.committed));
    });
}

void WorkerTable::add(Worker& worker, const Resident& resident)
{
    worker.committed += resident.committed;
    worker.residents.push_back(resident);
    ++m_residents;
    checkCommitted(worker);
}

void WorkerTable::commit(WorkerId id, const Resident& resident)
{
    auto& worker = m_workers[id];
    add(worker, resident);
    checkInvariant(worker.committed.fitsIn(worker.capacity), "no worker is committed beyond its capacity", [&] {
        return fmt::format(
            "{}: committed {}, capacity {}", worker.name, describe(worker.committed), describe(worker.capacity));
    });
    updateIndex(id);
}

void WorkerTable::adopt(WorkerId id, const Resident& resident)
{
    add(m_workers[id], resident);
    updateIndex(id);
}

Resident WorkerTable::release(WorkerId id, size_t position)
{
    auto& worker = m_workers[id];
    Resident resident = worker.residents[position];
    if (position + 1 != worker.residents.size())
        worker.residents[position] = worker.residents.back();
    worker.residents.pop_back();
    worker.committed -= resident.committed;
    --m_residents;
    ++m_capacityVersion;
    checkCommitted(worker);
    updateIndex(id);
    return resident;
}

Resident* WorkerTable::findResident(WorkerId id, const TaskRef& task, const Attempt& attempt)
{
    for (auto& it : m_workers[id].residents) {
        if (it.task == task && it.attempt == attempt)
            return &it;
    }
    return nullptr;
}

const Resident* WorkerTable::findResident(WorkerId id, const TaskRef& task, const Attempt& attempt) const
{
    for (const auto& it : m_workers[id].residents) {
        if (it.task == task && it.attempt == attempt)
            return &it;
    }
    return nullptr;
}

void WorkerTable::claim(WorkerId id, const ResourceVector& amount)
{
    m_workers[id].claimed += amount;
    updateIndex(id);
}

void WorkerTable::unclaim(WorkerId id, const ResourceVector& amount)
{
    m_workers[id].claimed -= amount;
    ++m_capacityVersion;
    updateIndex(id);
}

size_t WorkerTable::bytes() const
{
    size_t sum = m_workers.capacity() * sizeof(Worker) + m_index.bytes();
    for (const auto& it : m_workers)
        sum += it.residents.capacity() * sizeof(Resident) + it.name.capacity() * 2 + it.displayName.capacity();
    return sum;
}

} // namespace teasel
