#include "fleet/job_table.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

namespace {

    void mergeFinished(schema::JobRecord& job, const schema::JobProgress& progress)
    {
        auto& tasks = *job.mutable_finished_tasks();
        tasks.MergeFrom(progress.finished_tasks());
        std::sort(tasks.begin(), tasks.end());
        tasks.erase(std::unique(tasks.begin(), tasks.end()), tasks.end());
    }

} // namespace

bool hasEnded(const schema::JobRecord& job)
{
    return job.phase() == schema::JOB_PHASE_SUCCEEDED || job.phase() == schema::JOB_PHASE_FAILED
        || job.phase() == schema::JOB_PHASE_CANCELLED;
}

Result<schema::JobRecord> JobTable::submit(const schema::JobRecord& job, uint64_t wallMs)
{
    if (job.id().empty() || job.data_centre().empty())
        return fail(ErrorKind::BadRequest, "a job has an id and a data centre");
    if (const auto* known = find(job.id())) {
        if (known->team_id() != job.team_id())
            return fail(ErrorKind::BadRequest, "the job id is in use");
        return *known;
    }
    if (m_jobs.size() - m_ended.size() >= m_limits.maxJobs)
        return fail(ErrorKind::StateFull, "too many jobs");
    schema::JobRecord& stored = m_jobs[job.id()];
    stored = job;
    stored.set_submitted_wall_ms(wallMs);
    if (stored.phase() == schema::JOB_PHASE_UNSPECIFIED)
        stored.set_phase(schema::JOB_PHASE_PENDING);
    if (hasEnded(stored))
        m_ended.emplace_back(wallMs, job.id());
    touch(job.data_centre(), job.id());
    return stored;
}

Result<schema::JobRecord> JobTable::progress(const schema::JobProgress& progress, uint64_t wallMs)
{
    const auto it = m_jobs.find(progress.id());
    if (it == m_jobs.end())
        return fail(ErrorKind::NotFound, fmt::format("no job {}", progress.id()));
    schema::JobRecord& job = it->second;
    if (!progress.from_data_centre().empty() && progress.from_data_centre() != job.data_centre())
        return fail(ErrorKind::Forbidden, fmt::format("the job belongs to {}", job.data_centre()));
    if (hasEnded(job))
        return job;
    mergeFinished(job, progress);
    if (progress.phase() != schema::JOB_PHASE_UNSPECIFIED)
        job.set_phase(progress.phase());
    if (!progress.reason().empty())
        job.set_reason(progress.reason());
    const std::string& next = progress.move_to_data_centre();
    if (!next.empty() && next != job.data_centre()) {
        touch(job.data_centre(), job.id());
        job.set_data_centre(next);
    }
    touch(job.data_centre(), job.id());
    if (hasEnded(job))
        m_ended.emplace_back(wallMs, job.id());
    return job;
}

void JobTable::expire(uint64_t wallMs)
{
    const auto overdue = [&] {
        return m_ended.size() > m_limits.endedMaxJobs || m_ended.front().first + m_limits.endedMaxAgeMs < wallMs;
    };
    while (!m_ended.empty() && overdue()) {
        drop(m_ended.front().second);
        m_ended.pop_front();
    }
}

void JobTable::touch(const std::string& dataCentre, const std::string& id)
{
    DataCentre& rows = m_dataCentres[dataCentre];
    auto& version = rows.versionOf[id];
    rows.byVersion.erase(version);
    version = ++m_version;
    rows.byVersion[version] = id;
}

void JobTable::drop(const std::string& id)
{
    m_jobs.erase(id);
    for (auto& [name, rows] : m_dataCentres) {
        const auto it = rows.versionOf.find(id);
        if (it == rows.versionOf.end())
            continue;
        rows.droppedVersion = std::max(rows.droppedVersion, it->second);
        rows.byVersion.erase(it->second);
        rows.versionOf.erase(it);
    }
}

const schema::JobRecord* JobTable::find(const std::string& id) const
{
    const auto it = m_jobs.find(id);
    return it == m_jobs.end() ? nullptr : &it->second;
}

JobChanges JobTable::changedSince(const std::string& dataCentre, uint64_t version, size_t max, size_t maxBytes) const
{
    JobChanges changes;
    changes.version = version;
    changes.replacesAll = version == 0;
    const auto rows = m_dataCentres.find(dataCentre);
    if (rows == m_dataCentres.end())
        return changes;
    const DataCentre& own = rows->second;
    changes.replacesAll |= version < own.droppedVersion;
    auto it = changes.replacesAll ? own.byVersion.begin() : own.byVersion.upper_bound(version);
    size_t bytes = 0;
    for (; it != own.byVersion.end() && changes.jobs.size() < max && bytes < maxBytes; ++it) {
        const auto& job = m_jobs.at(it->second);
        bytes += job.ByteSizeLong();
        if (bytes > maxBytes && !changes.jobs.empty())
            break;
        changes.jobs.push_back(job);
        changes.version = it->first;
    }
    changes.more = it != own.byVersion.end();
    if (changes.more && changes.jobs.empty())
        changes.replacesAll = false;
    if (!changes.more)
        changes.version = std::max(changes.version, own.droppedVersion);
    return changes;
}

uint64_t JobTable::versionOf(const std::string& dataCentre) const
{
    const auto rows = m_dataCentres.find(dataCentre);
    if (rows == m_dataCentres.end())
        return 0;
    const DataCentre& own = rows->second;
    return own.byVersion.empty() ? own.droppedVersion : std::max(own.droppedVersion, own.byVersion.rbegin()->first);
}

void JobTable::writeTo(schema::FleetSnapshot& snapshot) const
{
    for (const auto& [id, job] : m_jobs)
        *snapshot.add_jobs() = job;
    for (const auto& [name, rows] : m_dataCentres) {
        for (const auto& [version, id] : rows.byVersion) {
            auto& row = *snapshot.add_job_versions();
            row.set_data_centre(name);
            row.set_job_id(id);
            row.set_version(version);
        }
        auto& dropped = *snapshot.add_dropped_job_versions();
        dropped.set_data_centre(name);
        dropped.set_version(rows.droppedVersion);
    }
    for (const auto& [wallMs, id] : m_ended) {
        auto& ended = *snapshot.add_ended_jobs();
        ended.set_job_id(id);
        ended.set_wall_ms(wallMs);
    }
    snapshot.set_jobs_version(m_version);
}

void JobTable::readFrom(const schema::FleetSnapshot& snapshot)
{
    m_jobs.clear();
    m_dataCentres.clear();
    m_ended.clear();
    for (const auto& it : snapshot.jobs())
        m_jobs[it.id()] = it;
    for (const auto& it : snapshot.job_versions()) {
        DataCentre& rows = m_dataCentres[it.data_centre()];
        rows.byVersion[it.version()] = it.job_id();
        rows.versionOf[it.job_id()] = it.version();
    }
    for (const auto& it : snapshot.dropped_job_versions())
        m_dataCentres[it.data_centre()].droppedVersion = it.version();
    for (const auto& it : snapshot.ended_jobs())
        m_ended.emplace_back(it.wall_ms(), it.job_id());
    m_version = snapshot.jobs_version();
}

} // namespace teasel
