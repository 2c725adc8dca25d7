#include "placement/preemption.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr uint32_t urgentRank = 0;
    constexpr Milliseconds claimTimeout { 15'000 };
    constexpr uint32_t maxChoices = 24; // limit of workers with suitable victims that are compared
    constexpr uint32_t losesWorkPenalty = 1;
    constexpr uint32_t servicePenalty = 10;
    constexpr uint32_t gangPenalty = 100;

} // namespace

void Preemption::placeClaimedTasks(Instant now)
{
    for (size_t i = m_state.claims.size(); i-- > 0;) {
        if (i >= m_state.claims.size())
            continue;
        const Claim claim = m_state.claims[i];
        auto& job = m_state.tasks.job(claim.job);
        if (job.isGang())
            continue;
        const auto& worker = m_state.workers.at(claim.worker);
        const bool wanted = !job.waiting.empty() && job.tasksToStart() > 0 && worker.acceptsTasks();
        const bool expired = now >= claim.createdAt + claimTimeout;
        const bool fits = claim.need.fitsIn(worker.uncommitted());
        if (wanted && !expired && !fits)
            continue;
        m_state.dropClaim(i);
        if (wanted && fits && m_state.shares.withinPortion(job.team, claim.need))
            m_lifecycle.place({ claim.job, *job.waiting.begin() }, claim.worker, claim.need, false, now);
    }
}

void Preemption::run(std::span<const JobOrdinal> blocked, Instant now)
{
    uint32_t remaining = m_state.options.preemptionsPerPass;
    for (const auto ordinal : blocked) {
        auto& job = m_state.tasks.job(ordinal);
        if (job.isGang() || !job.hasRecord || job.closed)
            continue;
        const ResourceVector need = m_pass.commitmentFor(job);
        while (remaining > 0 && job.queued && now >= job.notBefore) {
            if (!m_state.shares.withinPortionAfterClaims(job.team, need))
                break;
            --remaining;
            if (!freeCapacityFor(job, need, need, true, now))
                break;
        }
        if (remaining == 0)
            return;
    }
}

bool Preemption::isLessUrgent(const Job& job, const Job& other) const
{
    return job.team == other.team && other.spec.rank() == urgentRank && job.spec.rank() > urgentRank;
}

std::vector<Preemption::Victim> Preemption::candidates(const Job& job, const Worker& worker, double shareAfter) const
{
    std::vector<Victim> found;
    for (const auto& it : worker.residents) {
        const auto& other = m_state.tasks.job(it.task.job);
        const bool stoppable = it.phase == ResidentPhase::Ordered || it.phase == ResidentPhase::Running;
        if (!stoppable || !other.hasRecord || other.closed || other.ordinal == job.ordinal)
            continue;
        const bool sameTeam = other.team == job.team;
        if (sameTeam ? !isLessUrgent(other, job) : m_state.shares.weightedShare(other.team) <= shareAfter)
            continue;
        if (other.isService() && other.counts.running <= other.spec.min_available())
            continue;
        found.push_back({ it.task, it.attempt, other.team, it.committed, it.placedAt, penaltyOf(other) });
    }
    std::sort(found.begin(), found.end(), isCheaper);
    return found;
}

uint32_t Preemption::penaltyOf(const Job& job)
{
    uint32_t penalty = job.spec.can_checkpoint() ? 0 : losesWorkPenalty;
    penalty += job.isGang() ? gangPenalty : 0;
    penalty += job.isService() ? servicePenalty : 0;
    return penalty;
}

bool Preemption::isCheaper(const Victim& a, const Victim& b)
{
    return a.penalty != b.penalty ? a.penalty < b.penalty : a.placedAt > b.placedAt;
}

std::optional<Preemption::Choice> Preemption::choose(
    const Job& job, WorkerId id, const ResourceVector& need, double shareAfter, Instant now) const
{
    const auto& worker = m_state.workers.at(id);
    ResourceVector available = worker.capacity - worker.committed - worker.claimed;
    for (const auto& it : worker.residents) {
        if (it.phase == ResidentPhase::Stopping)
            available += it.committed;
    }
    Choice choice;
    choice.worker = id;
    absl::flat_hash_map<TeamId, ResourceVector> preempted;
    for (const auto& it : candidates(job, worker, shareAfter)) {
        if (need.fitsIn(available))
            break;
        // The victim's team must keep at least the share that the preempting team reaches.
        auto& sum = preempted[it.team];
        const ResourceVector after = ResourceVector {} - sum - it.amount;
        if (it.team != job.team && m_state.shares.weightedShare(it.team, after) < shareAfter)
            continue;
        sum += it.amount;
        available += it.amount;
        choice.victims.push_back(it);
    }
    if (!need.fitsIn(available))
        return std::nullopt;
    // Spare victims whose capacity is no longer needed after later ones were added.
    std::erase_if(choice.victims, [&](const Victim& it) {
        if (!need.fitsIn(available - it.amount))
            return false;
        available -= it.amount;
        return true;
    });
    for (const auto& it : choice.victims) {
        choice.penalty += it.penalty;
        choice.lostRunTime += now - it.placedAt;
    }
    return choice;
}

bool Preemption::isBetter(const Choice& a, const Choice& b)
{
    return a.penalty != b.penalty ? a.penalty < b.penalty : a.lostRunTime < b.lostRunTime;
}

bool Preemption::freeCapacityFor(
    const Job& job, const ResourceVector& need, const ResourceVector& additionalUse, bool claim, Instant now)
{
    const double shareAfter = m_state.shares.weightedShare(job.team, additionalUse);
    if (job.spec.rank() != urgentRank && !m_state.shares.anyOtherTeamAbove(job.team, shareAfter))
        return false;
    const auto& selector = m_state.selectors.lookUp(job.spec.selector());
    if (!selector.error.empty())
        return false;
    const auto workers = static_cast<WorkerId>(m_state.workers.all().size());
    const auto start = static_cast<WorkerId>(m_state.random.below(workers));
    uint32_t remainingWorkers = m_state.options.workersPerPreemption;
    uint32_t choices = 0;
    std::optional<Choice> best;
    for (WorkerId i = 0; i < workers && remainingWorkers > 0 && choices < maxChoices; ++i) {
        const WorkerId id = (start + i) % workers;
        const bool allowed = selector.matchesAll || selector.allowed.contains(id);
        if (!allowed || !m_state.workers.at(id).acceptsTasks())
            continue;
        --remainingWorkers;
        auto choice = choose(job, id, need, shareAfter, now);
        if (!choice || choice->victims.empty())
            continue;
        ++choices;
        if (!best || isBetter(*choice, *best))
            best = std::move(choice);
    }
    if (!best)
        return false;
    if (claim)
        m_state.addClaim({ job.ordinal, best->worker, need, 1, now });
    stopVictims(best->victims, now);
    return true;
}

void Preemption::stopVictims(std::span<const Victim> victims, Instant now)
{
    for (const auto& it : victims) {
        ++m_state.stats.preemptions;
        if (m_state.tasks.job(it.task.job).isGang())
            m_lifecycle.restartGang(it.task.job, false, now);
        else
            m_lifecycle.stopTask(it.task, now);
    }
}

void Preemption::addVictims(std::vector<Victim>& found, const Worker& worker, std::optional<TeamId> team) const
{
    for (const auto& it : worker.residents) {
        const bool stoppable = it.phase == ResidentPhase::Ordered || it.phase == ResidentPhase::Running;
        const auto& job = m_state.tasks.job(it.task.job);
        if (stoppable && job.hasRecord && (!team || it.team == *team))
            found.push_back({ it.task, it.attempt, it.team, it.committed, it.placedAt, penaltyOf(job) });
    }
}

void Preemption::stopUntilFits(std::vector<Victim>& victims, ResourceVector excess, Instant now)
{
    std::sort(victims.begin(), victims.end(), isCheaper);
    size_t n = 0;
    while (n < victims.size() && !excess.fitsIn({}))
        excess -= victims[n++].amount;
    stopVictims(std::span(victims).first(n), now);
}

void Preemption::stopTeamExcess(TeamId team, Instant now)
{
    ResourceVector excess = m_state.shares.used(team) - m_state.shares.portion(team);
    std::vector<Victim> victims;
    for (const auto& worker : m_state.workers.all()) {
        addVictims(victims, worker, team);
        for (const auto& it : worker.residents) {
            if (it.team == team && it.phase == ResidentPhase::Stopping)
                excess -= it.committed;
        }
    }
    stopUntilFits(victims, excess, now);
}

void Preemption::stopWorkerExcess(WorkerId id, Instant now)
{
    const auto& worker = m_state.workers.at(id);
    ResourceVector excess = worker.committed - worker.capacity;
    for (const auto& it : worker.residents) {
        if (it.phase == ResidentPhase::Stopping)
            excess -= it.committed;
    }
    std::vector<Victim> victims;
    addVictims(victims, worker, std::nullopt);
    stopUntilFits(victims, excess, now);
}

} // namespace teasel
