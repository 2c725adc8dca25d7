#include "placement/placement_pass.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    constexpr size_t maxMisses = 10'000;
    constexpr uint64_t maxScannedWorkers = 64; // up to this many allowed workers are scanned without the index
    constexpr double perMille = 1'000.0;
    constexpr double reclaimQuantile = 0.95;
    constexpr uint32_t urgentRank = 0;

} // namespace

ResourceVector PlacementPass::commitmentFor(const Job& job) const
{
    ResourceVector commitment = job.need;
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        commitment.amounts[i] = std::max(commitment.amounts[i], job.peak.amounts[i]);
    if (!job.isBatch() || job.reclaimDisabled)
        return commitment;
    const auto usage = m_state.usage.usageQuantile(job.team, job.spec.name(), reclaimQuantile);
    if (!usage)
        return commitment;
    constexpr size_t reclaimable = 2; // only processors and memory; accelerators are never reclaimed
    for (size_t i = 0; i < reclaimable; ++i) {
        const auto wanted = static_cast<double>(usage->amounts[i]) * m_state.options.reclaimPerMille / perMille;
        commitment.amounts[i] = std::min(commitment.amounts[i], static_cast<int64_t>(std::ceil(wanted)) + 1);
    }
    return commitment;
}

bool PlacementPass::isKnownMiss(const Job& job, const ResourceVector& need) const
{
    auto found = m_misses.find(RequestShape { job.spec.selector(), need });
    return found != m_misses.end() && found->second == m_state.workers.capacityVersion();
}

void PlacementPass::recordMiss(const Job& job, const ResourceVector& need)
{
    if (m_misses.size() >= maxMisses)
        m_misses.clear();
    m_misses[RequestShape { job.spec.selector(), need }] = m_state.workers.capacityVersion();
}

WorkerId PlacementPass::findWorker(const Job& job, uint32_t index, const ResourceVector& commitment)
{
    const auto& selector = m_state.selectors.lookUp(job.spec.selector());
    if (!selector.error.empty())
        return noWorker;
    // A single worker cannot be avoided.
    const WorkerId avoid = m_state.workers.size() > 1 ? job.tasks[index].avoidWorker : noWorker;
    const auto allowed
        = [&](WorkerId id) { return id != avoid && (selector.matchesAll || selector.allowed.contains(id)); };
    if (job.isService())
        return findSpread(job, commitment, allowed);
    if (selector.matchesAll || selector.allowed.cardinality() > maxScannedWorkers)
        return m_state.workers.findBest(commitment, allowed);
    return findFullest(selector.allowed, commitment, avoid);
}

// Best fit by processors among a small set of workers.
WorkerId PlacementPass::findFullest(const WorkerSet& candidates, const ResourceVector& commitment, WorkerId avoid) const
{
    WorkerId best = noWorker;
    int64_t leastAvailable = 0;
    for (const WorkerId id : candidates) {
        const auto& worker = m_state.workers.at(id);
        const ResourceVector available = worker.available();
        if (id == avoid || !worker.acceptsTasks() || !commitment.fitsIn(available))
            continue;
        if (best != noWorker && available.amounts[0] >= leastAvailable)
            continue;
        best = id;
        leastAvailable = available.amounts[0];
    }
    return best;
}

// Spreads the replicas of a service: picks the rack, then the worker, with the fewest of them.
WorkerId PlacementPass::findSpread(const Job& job, const ResourceVector& commitment, PlacementIndex::Allowed allowed)
{
    absl::flat_hash_map<RackId, uint32_t> racks;
    absl::flat_hash_map<WorkerId, uint32_t> workers;
    uint32_t maxPerRack = 0;
    for (const auto& it : job.tasks) {
        if (it.phase != TaskPhase::Placed || it.moving)
            continue;
        maxPerRack = std::max(maxPerRack, ++racks[m_state.workers.at(it.worker).rack]);
        ++workers[it.worker];
    }
    const auto countIn = [](const auto& counts, auto key) {
        auto found = counts.find(key);
        return found == counts.end() ? 0U : found->second;
    };
    for (uint32_t level = 0; level <= maxPerRack; ++level) {
        for (uint32_t onWorker = 0; onWorker <= level; ++onWorker) {
            const auto spread = [&](WorkerId id) {
                return allowed(id) && countIn(racks, m_state.workers.at(id).rack) <= level
                    && countIn(workers, id) <= onWorker;
            };
            if (const WorkerId found = m_state.workers.findBest(commitment, spread); found != noWorker)
                return found;
        }
    }
    return noWorker;
}

// Limits the rate at which tasks of lost workers are placed again. Urgent tasks are exempt.
bool PlacementPass::isRateLimited(const Job& job, const Task& task, Instant now)
{
    if (!task.lost || job.spec.rank() == urgentRank)
        return false;
    const double rate = m_state.options.replacementsPerSecond;
    const double elapsed = std::chrono::duration<double>(now - m_tokensUpdatedAt).count();
    m_replacementTokens = std::min(rate, m_replacementTokens + elapsed * rate);
    m_tokensUpdatedAt = now;
    if (m_replacementTokens < 1) {
        ++m_state.stats.rateLimitedPlacements;
        m_state.workPending = true;
        return true;
    }
    m_replacementTokens -= 1;
    return false;
}

PlacementPass::PlacementResult PlacementPass::placeNext(Job& job, Instant now)
{
    if (now < job.notBefore)
        return PlacementResult::Blocked;
    if (job.isGang())
        return placeGang(job.ordinal, now) ? PlacementResult::Placed : PlacementResult::Blocked;
    const uint32_t index = *job.waiting.begin();
    const ResourceVector commitment = commitmentFor(job);
    if (isKnownMiss(job, commitment) || !m_state.shares.withinPortion(job.team, commitment))
        return PlacementResult::Blocked;
    if (isRateLimited(job, job.tasks[index], now))
        return PlacementResult::Blocked;
    const WorkerId worker = findWorker(job, index, commitment);
    if (worker == noWorker) {
        if (!job.isService() && job.tasks[index].avoidWorker == noWorker)
            recordMiss(job, commitment);
        return PlacementResult::Blocked;
    }
    m_lifecycle.place({ job.ordinal, index }, worker, commitment, false, now);
    return PlacementResult::Placed;
}

bool PlacementPass::placeGang(JobOrdinal ordinal, Instant now)
{
    auto& job = m_state.tasks.job(ordinal);
    const uint32_t wanted = job.tasksToStart();
    if (wanted == 0 || job.waiting.size() < wanted || now < job.notBefore)
        return false;
    const ResourceVector commitment = commitmentFor(job);
    if (isKnownMiss(job, commitment) || !m_state.shares.withinPortion(job.team, commitment * wanted))
        return false;
    std::vector<uint32_t> indices(job.waiting.begin(), std::next(job.waiting.begin(), wanted));
    std::vector<TaskRef> placed;
    for (const uint32_t index : indices) {
        const WorkerId worker = findWorker(job, index, commitment);
        if (worker == noWorker)
            break;
        placed.push_back({ ordinal, index });
        m_lifecycle.place(placed.back(), worker, commitment, false, now);
    }
    if (placed.size() == indices.size()) {
        job.blockedSince = {};
        ++m_state.stats.gangsPlaced;
        return true;
    }
    for (const auto& it : placed)
        m_lifecycle.undoPlacement(it);
    recordMiss(job, commitment);
    return false;
}

bool PlacementPass::advanceCursor(Cursor& cursor) const
{
    const auto* queue = m_state.tasks.queueOf(cursor.team);
    auto it = queue->upper_bound(cursor.key);
    if (it == queue->end())
        return false;
    cursor.key = *it;
    return true;
}

// Selects the team to serve next: teams with urgent work first, then the smallest weighted share.
PlacementPass::Cursor* PlacementPass::selectCursor()
{
    Cursor* best = nullptr;
    bool bestUrgent = false;
    double bestShare = 0;
    for (auto& it : m_cursors) {
        const bool urgent = it.key.rank == urgentRank;
        const double share = m_state.shares.weightedShare(it.team);
        const bool isPreferred = !best || (urgent != bestUrgent ? urgent : share < bestShare);
        if (!isPreferred)
            continue;
        best = &it;
        bestUrgent = urgent;
        bestShare = share;
    }
    return best;
}

void PlacementPass::run(Instant now, size_t jobBudget, std::vector<JobOrdinal>& blocked)
{
    ++m_state.stats.passes;
    m_state.workPending = false;
    m_cursors.clear();
    for (const auto& [team, queue] : m_state.tasks.queues()) {
        if (!queue.empty())
            m_cursors.push_back({ team, *queue.begin() });
    }
    std::sort(m_cursors.begin(), m_cursors.end(), [](const Cursor& a, const Cursor& b) { return a.team < b.team; });
    while (Cursor* cursor = selectCursor()) {
        auto& job = m_state.tasks.job(cursor->key.job);
        const PlacementResult result = job.queued ? placeNext(job, now) : PlacementResult::Blocked;
        if (result == PlacementResult::Placed && job.queued)
            continue;
        if (result == PlacementResult::Blocked) {
            blocked.push_back(job.ordinal);
            if (--jobBudget == 0) {
                m_state.workPending = true;
                return;
            }
        }
        if (!advanceCursor(*cursor)) {
            *cursor = m_cursors.back();
            m_cursors.pop_back();
        }
    }
}

} // namespace teasel
