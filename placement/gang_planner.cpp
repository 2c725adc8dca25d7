#include "placement/gang_planner.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr Milliseconds imminent { 3'000 }; // capacity that becomes free within this time counts as available
    constexpr Milliseconds expectedStopTime { 1'000 }; // estimated time from a stop order to its confirmation
    constexpr Milliseconds overrunAllowance { 10'000 }; // estimated remaining time of a task that exceeds its run time
    constexpr double runTimeQuantile = 0.9;

} // namespace

void GangPlanner::updateReservation(std::span<const JobOrdinal> blocked, Instant now)
{
    recordBlockedGangs(blocked, now);
    if (m_state.reservation.job != noJob) {
        const auto& job = m_state.tasks.job(m_state.reservation.job);
        if (job.closed || job.tasksToStart() == 0)
            m_state.dropReservation();
    }
    if (m_state.reservation.job == noJob) {
        const JobOrdinal next = longestBlockedGang();
        if (next == noJob)
            return clearBackfillMarks();
        auto& job = m_state.tasks.job(next);
        m_state.reservation.job = next;
        m_state.reservation.portion = m_pass.commitmentFor(job) * job.tasksToStart();
        m_state.shares.reserve(job.team, m_state.reservation.portion);
    }
    placeOrReserve(now);
}

// Without a reservation, backfilled tasks are treated like all others.
void GangPlanner::clearBackfillMarks()
{
    if (!std::exchange(m_hasBackfills, false))
        return;
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        for (auto& it : m_state.workers.mutableAt(id).residents)
            it.backfilled = false;
    }
}

void GangPlanner::recordBlockedGangs(std::span<const JobOrdinal> blocked, Instant now)
{
    for (const auto ordinal : blocked) {
        auto& job = m_state.tasks.job(ordinal);
        if (job.isGang() && job.blockedSince == Instant {} && now >= job.notBefore)
            job.blockedSince = now;
    }
}

JobOrdinal GangPlanner::longestBlockedGang() const
{
    JobOrdinal best = noJob;
    for (const auto& [team, queue] : m_state.tasks.queues()) {
        for (const auto& it : queue) {
            const auto& job = m_state.tasks.job(it.job);
            if (!job.isGang() || job.blockedSince == Instant {})
                continue;
            const ResourceVector total = m_pass.commitmentFor(job) * job.tasksToStart();
            if (!total.fitsIn(m_state.shares.portion(team)))
                continue;
            const bool isEarlier = best == noJob || job.blockedSince < m_state.tasks.job(best).blockedSince
                || (job.blockedSince == m_state.tasks.job(best).blockedSince && job.ordinal < best);
            if (isEarlier)
                best = it.job;
        }
    }
    return best;
}

void GangPlanner::placeOrReserve(Instant now)
{
    const JobOrdinal ordinal = m_state.reservation.job;
    auto& job = m_state.tasks.job(ordinal);
    const ResourceVector need = m_pass.commitmentFor(job);
    const uint32_t wanted = job.tasksToStart();
    const ResourceVector portion = m_state.reservation.portion;
    m_state.dropReservation();
    if (m_pass.placeGang(ordinal, now))
        return;
    m_state.reservation = { ordinal, portion, Instant::max(), now };
    m_state.shares.reserve(job.team, portion);
    // While the team's portion is too small the gang could not use the capacity.
    if (!m_state.shares.withinPortion(job.team, {}))
        return;
    auto slots = planSlots(job, need, wanted, now);
    const auto ready
        = std::count_if(slots.begin(), slots.end(), [&](const Slot& it) { return it.at <= now + imminent; });
    if (static_cast<size_t>(ready) < wanted) {
        preemptFor(job, need, wanted, wanted - static_cast<size_t>(ready), now);
        slots = planSlots(job, need, wanted, now);
    }
    if (slots.size() < wanted || slots.back().at == Instant::max())
        return;
    m_state.reservation.readyAt = slots.back().at;
    claimSlots(job, need, slots, now);
    if (slots.back().at <= now)
        stopBackfills(now);
}

Instant GangPlanner::expectedEnd(const Resident& resident, Instant now) const
{
    const auto& job = m_state.tasks.job(resident.task.job);
    if (resident.backfilled)
        return now;
    if (resident.phase == ResidentPhase::Stopping)
        return now + expectedStopTime;
    if (!job.hasRecord || job.isService())
        return Instant::max();
    Milliseconds runTime { static_cast<int64_t>(job.spec.run_ms()) };
    if (const auto learned = m_state.usage.runMsQuantile(job.team, job.spec.name(), runTimeQuantile))
        runTime = Milliseconds(static_cast<int64_t>(*learned));
    if (runTime.count() == 0)
        return Instant::max();
    return std::max(resident.placedAt + runTime, resident.placedAt + runTime < now ? now + overrunAllowance : now);
}

void GangPlanner::addSlots(
    std::vector<Slot>& slots, WorkerId id, const ResourceVector& need, uint32_t wanted, Instant now) const
{
    const auto& worker = m_state.workers.at(id);
    std::vector<Release> releases;
    for (const auto& it : worker.residents)
        releases.push_back({ expectedEnd(it, now), it.committed });
    std::sort(releases.begin(), releases.end(), [](const Release& a, const Release& b) { return a.at < b.at; });
    ResourceVector available = worker.capacity - worker.committed - worker.claimed;
    int64_t found = 0;
    const auto addUpTo = [&](Instant at) {
        for (const int64_t fits = need.copiesThatFitIn(available, wanted); found < fits; ++found)
            slots.push_back({ at, id });
    };
    addUpTo(now);
    for (const auto& it : releases) {
        if (it.at == Instant::max())
            break;
        available += it.amount;
        addUpTo(it.at);
    }
}

// Finds the earliest slots for all tasks, from the expected ends of running tasks.
std::vector<GangPlanner::Slot> GangPlanner::planSlots(
    const Job& job, const ResourceVector& need, uint32_t wanted, Instant now) const
{
    std::vector<Slot> slots;
    const auto& selector = m_state.selectors.lookUp(job.spec.selector());
    if (!selector.error.empty())
        return slots;
    for (WorkerId id = 0; id < m_state.workers.all().size(); ++id) {
        const bool allowed = selector.matchesAll || selector.allowed.contains(id);
        if (allowed && m_state.workers.at(id).acceptsTasks())
            addSlots(slots, id, need, wanted, now);
    }
    std::sort(slots.begin(), slots.end());
    if (slots.size() > wanted)
        slots.resize(wanted);
    return slots;
}

void GangPlanner::preemptFor(const Job& job, const ResourceVector& need, uint32_t wanted, size_t missing, Instant now)
{
    for (size_t i = 0; i < missing; ++i) {
        if (!m_preemption.freeCapacityFor(job, need, need * wanted, false, now))
            return;
    }
}

void GangPlanner::claimSlots(const Job& job, const ResourceVector& need, std::span<const Slot> slots, Instant now)
{
    std::vector<WorkerId> workers;
    for (const auto& it : slots)
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
        std::vector<TaskRef> backfilled;
        for (const auto& it : m_state.workers.at(claim.worker).residents) {
            if (it.backfilled && it.phase != ResidentPhase::Stopping)
                backfilled.push_back(it.task);
        }
        for (const auto& it : backfilled) {
            ++m_state.stats.backfillsStopped;
            m_lifecycle.stopTask(it, now);
        }
    }
}

void GangPlanner::backfill(std::span<const JobOrdinal> blocked, Instant now)
{
    if (m_state.reservation.job == noJob || m_state.claims.empty())
        return;
    for (const auto ordinal : blocked) {
        auto& job = m_state.tasks.job(ordinal);
        if (!job.isBatch() || job.closed || job.spec.run_ms() == 0 || now < job.notBefore)
            continue;
        const auto runTime = Milliseconds(static_cast<int64_t>(job.spec.run_ms()));
        if (m_state.reservation.readyAt == Instant::max() || now + runTime > m_state.reservation.readyAt)
            continue;
        while (job.queued && backfillOne(job, now))
            continue;
    }
}

bool GangPlanner::backfillOne(Job& job, Instant now)
{
    const ResourceVector need = m_pass.commitmentFor(job);
    const auto& selector = m_state.selectors.lookUp(job.spec.selector());
    if (!selector.error.empty() || !m_state.shares.withinPortion(job.team, need))
        return false;
    for (const auto& claim : m_state.claims) {
        const auto& worker = m_state.workers.at(claim.worker);
        const bool allowed = selector.matchesAll || selector.allowed.contains(claim.worker);
        const bool usable = claim.job == m_state.reservation.job && allowed && worker.acceptsTasks();
        const ResourceVector claimedByOthers = worker.claimed - claim.need * claim.tasks;
        if (!usable || !need.fitsIn(worker.uncommitted() - claimedByOthers))
            continue;
        ++m_state.stats.backfills;
        m_hasBackfills = true;
        m_lifecycle.place({ job.ordinal, *job.waiting.begin() }, claim.worker, need, true, now);
        return true;
    }
    return false;
}

} // namespace teasel
