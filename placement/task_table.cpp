#include "placement/task_table.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace teasel {

uint64_t specDigest(const schema::JobSpec& spec)
{
    const auto& need = spec.resources();
    const auto text = fmt::format(
        "{}/{}/{}/{}/{}", need.milli_cpus(), need.memory_mib(), need.accelerators(), spec.selector(), spec.payload());
    return XXH64(text.data(), text.size(), 0);
}

bool isTerminal(schema::JobPhase phase)
{
    return phase == schema::JOB_PHASE_SUCCEEDED || phase == schema::JOB_PHASE_FAILED
        || phase == schema::JOB_PHASE_CANCELLED;
}

uint32_t Job::tasksToStart() const
{
    if (!hasRecord || closed)
        return 0;
    return std::visit([&](const auto& it) { return it.tasksToStart(counts); }, policy);
}

JobOrdinal TaskTable::intern(std::string_view id, Instant now)
{
    auto [found, added] = m_byId.try_emplace(std::string(id), static_cast<JobOrdinal>(m_jobs.size()));
    if (!added)
        return found->second;
    if (m_free.empty()) {
        m_jobs.emplace_back();
    } else {
        found->second = m_free.back();
        m_free.pop_back();
        m_jobs[found->second] = Job {};
    }
    auto& job = m_jobs[found->second];
    job.ordinal = found->second;
    job.id = id;
    job.firstSeen = now;
    job.arrival = ++m_arrivals;
    m_inUse.insert(job.ordinal);
    return job.ordinal;
}

JobOrdinal TaskTable::find(std::string_view id) const
{
    auto found = m_byId.find(std::string(id));
    return found == m_byId.end() ? noJob : found->second;
}

void TaskTable::ensureTask(JobOrdinal ordinal, uint32_t index)
{
    auto& tasks = m_jobs[ordinal].tasks;
    if (tasks.size() <= index)
        tasks.resize(index + 1);
}

bool TaskTable::apply(const schema::JobRecord& record, JobOrdinal ordinal)
{
    auto& job = m_jobs[ordinal];
    const uint64_t digest = specDigest(record.spec());
    const bool changed = !job.hasRecord || digest != job.digest || job.counts.wanted != record.spec().tasks();
    removeFromQueue(job);
    job.hasRecord = true;
    job.spec = record.spec();
    job.team = record.team_id();
    job.need = toVector(record.spec().resources());
    job.digest = digest;
    job.phase = record.phase();
    job.closed = job.closed || isTerminal(record.phase());
    if (!record.reason().empty())
        job.reason = record.reason();
    job.policy = makeJobPolicy(record.spec());
    job.counts.wanted = record.spec().tasks();
    const uint32_t indices = std::visit([&](const auto& it) { return it.indices(job.counts.wanted); }, job.policy);
    if (!job.closed && job.tasks.size() < indices)
        job.tasks.resize(indices);
    for (const uint32_t index : record.finished_tasks()) {
        if (index >= job.tasks.size())
            continue;
        job.tasks[index].durable = true;
    }
    refreshQueue(ordinal);
    return changed;
}

void TaskTable::removeFromQueue(Job& job)
{
    if (!job.queued)
        return;
    m_queues[job.team].erase({ job.spec.rank(), job.arrival, job.ordinal });
    job.queued = false;
}

void TaskTable::erase(JobOrdinal ordinal)
{
    auto& job = m_jobs[ordinal];
    job.closed = true;
    refreshQueue(ordinal);
    m_byId.erase(job.id);
    m_inUse.erase(ordinal);
    job = Job {};
    m_free.push_back(ordinal);
}

void TaskTable::clear()
{
    m_jobs.clear();
    m_free.clear();
    m_byId.clear();
    m_inUse.clear();
    m_queues.clear();
    m_delays.clear();
}

void TaskTable::enqueue(const TaskRef& ref, Instant notBefore, Instant now)
{
    if (notBefore > now) {
        m_delays.insert({ notBefore, ref.job, ref.index });
        return;
    }
    m_jobs[ref.job].waiting.insert(ref.index);
    refreshQueue(ref.job);
}

void TaskTable::dequeue(const TaskRef& ref) { m_jobs[ref.job].waiting.erase(ref.index); }

void TaskTable::refreshQueue(JobOrdinal ordinal)
{
    auto& job = m_jobs[ordinal];
    const bool wanted = !job.waiting.empty() && job.tasksToStart() > job.openClaims;
    if (wanted == job.queued)
        return;
    if (!wanted)
        return removeFromQueue(job);
    m_queues[job.team].insert({ job.spec.rank(), job.arrival, ordinal });
    job.queued = true;
}

bool TaskTable::enqueueDelayed(Instant now)
{
    bool moved = false;
    while (!m_delays.empty() && m_delays.begin()->until <= now) {
        const Delay it = *m_delays.begin();
        m_delays.erase(m_delays.begin());
        auto& job = m_jobs[it.job];
        if (!m_inUse.contains(it.job) || it.index >= job.tasks.size())
            continue;
        const auto& task = job.tasks[it.index];
        if (task.phase != TaskPhase::Waiting || task.liveAttempts > 0)
            continue;
        enqueue({ it.job, it.index }, it.until, now);
        moved = true;
    }
    return moved;
}

const JobQueue* TaskTable::queueOf(TeamId team) const
{
    auto found = m_queues.find(team);
    return found == m_queues.end() ? nullptr : &found->second;
}

size_t TaskTable::bytes() const
{
    size_t sum = m_jobs.size() * sizeof(Job);
    for (const auto& it : m_jobs)
        sum += it.tasks.capacity() * sizeof(Task) + it.waiting.size() * sizeof(uint32_t) * 2;
    return sum;
}

} // namespace teasel
