#include "placement/gang_planner.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds soon { 3'000 }; // room that is being made counts as there
    constexpr Milliseconds stopTime { 1'000 }; // until an ordered stop is confirmed
    constexpr Milliseconds overrunAllowance { 10'000 }; // for a task beyond its declared run time
    constexpr double runTimeQuantile = 0.9;

} // namespace

void GangPlanner::review(std::span<const JobOrdinal> stuck, Instant now)
{
    noteStuck(stuck, now);
    if (m_state.reservation.job != noJob) {
        const auto& job = m_state.tasks.job(m_state.reservation.job);
        if (job.closed || job.wantedStarts() == 0)
            m_state.dropReservation();
    }
    if (m_state.reservation.job == noJob) {
        const JobOrdinal next = longestWaiting();
        if (next == noJob)
            return endLending();
        auto& job = m_state.tasks.job(next);
        m_state.reservation.job = next;
        m_state.reservation.portion = m_pass.commitmentFor(job) * job.wantedStarts();
        m_state.shares.reserve(job.team, m_state.reservation.portion);
    }
    serveHolder(now);
}

// Without a reservation a backfilled task is like any other.
void GangPlanner::endLending()
{
    if (!std::exchange(m_lent, false))
        return;
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        for (auto& it : m_state.workers.edit(id).residents)
            it.backfilled = false;
    }
}

void GangPlanner::noteStuck(std::span<const JobOrdinal> stuck, Instant now)
{
    for (const auto ordinal : stuck) {
        auto& job = m_state.tasks.job(ordinal);
        if (job.isGang() && job.stuckSince == Instant {} && now >= job.notBefore)
            job.stuckSince = now;
    }
}

JobOrdinal GangPlanner::longestWaiting() const
{
    JobOrdinal best = noJob;
    for (const auto& [team, queue] : m_state.tasks.queues()) {
        for (const auto& it : queue) {
            const auto& job = m_state.tasks.job(it.job);
            if (!job.isGang() || job.stuckSince == Instant {})
                continue;
            const ResourceVector total = m_pass.commitmentFor(job) * job.wantedStarts();
            if (!total.fitsIn(m_state.shares.portion(team)))
                continue;
            const bool sooner = best == noJob || job.stuckSince < m_state.tasks.job(best).stuckSince
                || (job.stuckSince == m_state.tasks.job(best).stuckSince && job.ordinal < best);
            if (sooner)
                best = it.job;
        }
    }
    return best;
}

void GangPlanner::serveHolder(Instant now)
{
    const JobOrdinal ordinal = m_state.reservation.job;
    auto& job = m_state.tasks.job(ordinal);
    const ResourceVector need = m_pass.commitmentFor(job);
    const uint32_t wanted = job.wantedStarts();
    const ResourceVector portion = m_state.reservation.portion;
    m_state.dropReservation();
    if (m_pass.placeGang(ordinal, now))
        return;
    m_state.reservation = { ordinal, portion, Instant::max(), now };
    m_state.shares.reserve(job.team, portion);
    // Without its portion the gang could not use the room.
    if (!m_state.shares.withinPortion(job.team, {}))
        return;
    auto spots = plan(job, need, wanted, now);
    const auto ready = std::count_if(spots.begin(), spots.end(), [&](const Spot& it) { return it.at <= now + soon; });
    if (static_cast<size_t>(ready) < wanted) {
        preemptFor(job, need, wanted, wanted - static_cast<size_t>(ready), now);
        spots = plan(job, need, wanted, now);
    }
    if (spots.size() < wanted || spots.back().at == Instant::max())
        return;
    m_state.reservation.readyAt = spots.back().at;
    claimSpots(job, need, spots, now);
    if (spots.back().at <= now)
        stopBackfills(now);
}

Instant GangPlanner::endOf(const Resident& resident, Instant now) const
{
    const auto& job = m_state.tasks.job(resident.task.job);
    if (resident.backfilled)
        return now;
    if (resident.phase == ResidentPhase::Stopping)
        return now + stopTime;
    if (!job.known || job.isService())
        return Instant::max();
    Milliseconds run { static_cast<int64_t>(job.spec.run_ms()) };
    if (const auto learned = m_state.usage.runMs(job.team, job.spec.name(), runTimeQuantile))
        run = Milliseconds(static_cast<int64_t>(*learned));
    if (run.count() == 0)
        return Instant::max();
    return std::max(resident.placedAt + run, resident.placedAt + run < now ? now + overrunAllowance : now);
}

void GangPlanner::addSpots(
    std::vector<Spot>& spots, WorkerId id, const ResourceVector& need, uint32_t wanted, Instant now) const
{
    const auto& worker = m_state.workers.at(id);
    std::vector<End> ends;
    for (const auto& it : worker.residents)
        ends.push_back({ endOf(it, now), it.committed });
    std::sort(ends.begin(), ends.end(), [](const End& a, const End& b) { return a.at < b.at; });
    ResourceVector room = worker.capacity - worker.committed - worker.claimed;
    int64_t found = 0;
    const auto addUpTo = [&](Instant at) {
        for (const int64_t fits = need.timesIn(room, wanted); found < fits; ++found)
            spots.push_back({ at, id });
    };
    addUpTo(now);
    for (const auto& it : ends) {
        if (it.at == Instant::max())
            break;
        room += it.amount;
        addUpTo(it.at);
    }
}

// The earliest room for all tasks, by what running tasks declare.
std::vector<GangPlanner::Spot> GangPlanner::plan(
    const Job& job, const ResourceVector& need, uint32_t wanted, Instant now) const
{
    std::vector<Spot> spots;
    const auto& selector = m_state.selectors.lookUp(job.spec.selector());
    if (!selector.failure.empty())
        return spots;
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        const bool allowed = selector.everything || selector.allowed.contains(id);
        if (allowed && m_state.workers.at(id).takesWork())
            addSpots(spots, id, need, wanted, now);
    }
    std::sort(spots.begin(), spots.end());
    if (spots.size() > wanted)
        spots.resize(wanted);
    return spots;
}

void GangPlanner::preemptFor(const Job& job, const ResourceVector& need, uint32_t wanted, size_t missing, Instant now)
{
    for (size_t i = 0; i < missing; ++i) {
        if (!m_preemption.makeRoom(job, need, need * wanted, false, now))
            return;
    }
}

void GangPlanner::claimSpots(const Job& job, const ResourceVector& need, std::span<const Spot> spots, Instant now)
{
    std::vector<WorkerId> workers;
    for (const auto& it : spots)
        workers.push_back(it.worker);
    std::sort(workers.begin(), workers.end());
    for (size_t i = 0; i < workers.size();) {
        size_t end = i;
        while (end < workers.size() && workers[end] == workers[i])
            ++end;
        m_state.addClaim({ job.ordinal, workers[i], need, static_cast<uint32_t>(end - i), now });
        i = end;
    }
}

void GangPlanner::stopBackfills(Instant now)
{
    for (const auto& claim : m_state.claims) {
        if (claim.job != m_state.reservation.job)
            continue;
        std::vector<TaskRef> lent;
        for (const auto& it : m_state.workers.at(claim.worker).residents) {
            if (it.backfilled && it.phase != ResidentPhase::Stopping)
                lent.push_back(it.task);
        }
        for (const auto& it : lent) {
            ++m_state.stats.backfillsStopped;
            m_lifecycle.stopTask(it, now);
        }
    }
}

void GangPlanner::backfill(std::span<const JobOrdinal> stuck, Instant now)
{
    if (m_state.reservation.job == noJob || m_state.claims.empty())
        return;
    for (const auto ordinal : stuck) {
        auto& job = m_state.tasks.job(ordinal);
        if (!job.isBatch() || job.closed || job.spec.run_ms() == 0 || now < job.notBefore)
            continue;
        const auto run = Milliseconds(static_cast<int64_t>(job.spec.run_ms()));
        if (m_state.reservation.readyAt == Instant::max() || now + run > m_state.reservation.readyAt)
            continue;
        while (job.queued && backfillOne(job, now))
            continue;
    }
}

bool GangPlanner::backfillOne(Job& job, Instant now)
{
    const ResourceVector need = m_pass.commitmentFor(job);
    const auto& selector = m_state.selectors.lookUp(job.spec.selector());
    if (!selector.failure.empty() || !m_state.shares.withinPortion(job.team, need))
        return false;
    for (const auto& claim : m_state.claims) {
        const auto& worker = m_state.workers.at(claim.worker);
        const bool allowed = selector.everything || selector.allowed.contains(claim.worker);
        const bool lends = claim.job == m_state.reservation.job && allowed && worker.takesWork();
        const ResourceVector claimedByOthers = worker.claimed - claim.need * claim.tasks;
        if (!lends || !need.fitsIn(worker.uncommitted() - claimedByOthers))
            continue;
        ++m_state.stats.backfills;
        m_lent = true;
        m_lifecycle.place({ job.ordinal, *job.waiting.begin() }, claim.worker, need, true, now);
        return true;
    }
    return false;
}

} // namespace teasel
