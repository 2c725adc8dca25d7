#include "placement/placement_pass.h"

#include <algorithm>
#include <cmath>

namespace teasel {

namespace {

    constexpr size_t mostMisses = 10'000;
    constexpr uint64_t fewAllowed = 64; // workers that are looked at one by one
    constexpr double perMille = 1'000.0;
    constexpr double reclaimQuantile = 0.95;
    constexpr uint32_t urgentRank = 0;

} // namespace

ResourceVector PlacementPass::commitmentFor(const Job& job) const
{
    ResourceVector commitment = job.need;
    for (size_t i = 0; i < ResourceVector::kinds; ++i)
        commitment.amounts[i] = std::max(commitment.amounts[i], job.peak.amounts[i]);
    if (!job.isBatch() || job.declaredOnly)
        return commitment;
    const auto use = m_state.usage.use(job.team, job.spec.name(), reclaimQuantile);
    if (!use)
        return commitment;
    constexpr size_t reclaimable = 2; // processors and memory
    for (size_t i = 0; i < reclaimable; ++i) {
        const auto wanted = static_cast<double>(use->amounts[i]) * m_state.options.reclaimPerMille / perMille;
        commitment.amounts[i] = std::min(commitment.amounts[i], static_cast<int64_t>(std::ceil(wanted)) + 1);
    }
    return commitment;
}

bool PlacementPass::missedBefore(const Job& job, const ResourceVector& need) const
{
    auto found = m_misses.find(Shape { job.spec.selector(), need });
    return found != m_misses.end() && found->second == m_state.workers.roomVersion();
}

void PlacementPass::noteMiss(const Job& job, const ResourceVector& need)
{
    if (m_misses.size() >= mostMisses)
        m_misses.clear();
    m_misses[Shape { job.spec.selector(), need }] = m_state.workers.roomVersion();
}

WorkerId PlacementPass::findWorker(const Job& job, uint32_t index, const ResourceVector& commitment)
{
    const auto& selector = m_state.selectors.lookUp(job.spec.selector());
    if (!selector.failure.empty())
        return noWorker;
    // With a single worker there is no other to go to.
    const WorkerId avoid = m_state.workers.size() > 1 ? job.tasks[index].avoid : noWorker;
    const auto allowed
        = [&](WorkerId id) { return id != avoid && (selector.everything || selector.allowed.contains(id)); };
    if (job.isService())
        return findSpread(job, commitment, allowed);
    if (selector.everything || selector.allowed.cardinality() > fewAllowed)
        return m_state.workers.best(commitment, allowed);
    return findAmong(selector.allowed, commitment, avoid);
}

// The fullest of a few workers that has room.
WorkerId PlacementPass::findAmong(const WorkerSet& candidates, const ResourceVector& commitment, WorkerId avoid) const
{
    WorkerId best = noWorker;
    int64_t least = 0;
    for (const WorkerId id : candidates) {
        const auto& worker = m_state.workers.at(id);
        const ResourceVector room = worker.available();
        if (id == avoid || !worker.takesWork() || !commitment.fitsIn(room))
            continue;
        if (best != noWorker && room.amounts[0] >= least)
            continue;
        best = id;
        least = room.amounts[0];
    }
    return best;
}

// Replicas of a service go to the racks and workers that have fewest of them.
WorkerId PlacementPass::findSpread(const Job& job, const ResourceVector& commitment, PlacementIndex::Allowed allowed)
{
    absl::flat_hash_map<RackId, uint32_t> racks;
    absl::flat_hash_map<WorkerId, uint32_t> workers;
    uint32_t most = 0;
    for (const auto& it : job.tasks) {
        if (it.phase != TaskPhase::Placed || it.moving)
            continue;
        most = std::max(most, ++racks[m_state.workers.at(it.worker).rack]);
        ++workers[it.worker];
    }
    const auto countIn = [](const auto& counts, auto key) {
        auto found = counts.find(key);
        return found == counts.end() ? 0U : found->second;
    };
    for (uint32_t level = 0; level <= most; ++level) {
        for (uint32_t onWorker = 0; onWorker <= level; ++onWorker) {
            const auto spread = [&](WorkerId id) {
                return allowed(id) && countIn(racks, m_state.workers.at(id).rack) <= level
                    && countIn(workers, id) <= onWorker;
            };
            if (const WorkerId found = m_state.workers.best(commitment, spread); found != noWorker)
                return found;
        }
    }
    return noWorker;
}

// Tasks lost with their workers are placed again at a bounded rate; urgent ones at once.
bool PlacementPass::isPaced(const Job& job, const Task& task, Instant now)
{
    if (!task.lost || job.spec.rank() == urgentRank)
        return false;
    const double rate = m_state.options.replacementsPerSecond;
    const double passed = std::chrono::duration<double>(now - m_tokensAt).count();
    m_replacementTokens = std::min(rate, m_replacementTokens + passed * rate);
    m_tokensAt = now;
    if (m_replacementTokens < 1) {
        ++m_state.stats.pacedSkips;
        m_state.workPending = true;
        return true;
    }
    m_replacementTokens -= 1;
    return false;
}

PlacementPass::Step PlacementPass::placeNext(Job& job, Instant now)
{
    if (now < job.notBefore)
        return Step::Stuck;
    if (job.isGang())
        return placeGang(job.ordinal, now) ? Step::Placed : Step::Stuck;
    const uint32_t index = *job.waiting.begin();
    const ResourceVector commitment = commitmentFor(job);
    if (missedBefore(job, commitment) || !m_state.shares.withinPortion(job.team, commitment))
        return Step::Stuck;
    if (isPaced(job, job.tasks[index], now))
        return Step::Stuck;
    const WorkerId worker = findWorker(job, index, commitment);
    if (worker == noWorker) {
        if (!job.isService() && job.tasks[index].avoid == noWorker)
            noteMiss(job, commitment);
        return Step::Stuck;
    }
    m_lifecycle.place({ job.ordinal, index }, worker, commitment, false, now);
    return Step::Placed;
}

bool PlacementPass::placeGang(JobOrdinal ordinal, Instant now)
{
    auto& job = m_state.tasks.job(ordinal);
    const uint32_t wanted = job.wantedStarts();
    if (wanted == 0 || job.waiting.size() < wanted || now < job.notBefore)
        return false;
    const ResourceVector commitment = commitmentFor(job);
    if (missedBefore(job, commitment) || !m_state.shares.withinPortion(job.team, commitment * wanted))
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
        job.stuckSince = {};
        ++m_state.stats.gangsPlaced;
        return true;
    }
    for (const auto& it : placed)
        m_lifecycle.takeBack(it);
    noteMiss(job, commitment);
    return false;
}

bool PlacementPass::advance(Cursor& cursor) const
{
    const auto* queue = m_state.tasks.queueOf(cursor.team);
    auto it = queue->upper_bound(cursor.key);
    if (it == queue->end())
        return false;
    cursor.key = *it;
    return true;
}

// The team that is served next: urgent work first, then by share.
PlacementPass::Cursor* PlacementPass::next()
{
    Cursor* best = nullptr;
    bool bestUrgent = false;
    double bestShare = 0;
    for (auto& it : m_cursors) {
        const bool urgent = it.key.rank == urgentRank;
        const double share = m_state.shares.weighted(it.team);
        const bool sooner = !best || (urgent != bestUrgent ? urgent : share < bestShare);
        if (!sooner)
            continue;
        best = &it;
        bestUrgent = urgent;
        bestShare = share;
    }
    return best;
}

void PlacementPass::run(Instant now, size_t jobBudget, std::vector<JobOrdinal>& stuck)
{
    ++m_state.stats.passes;
    m_state.workPending = false;
    m_cursors.clear();
    for (const auto& [team, queue] : m_state.tasks.queues()) {
        if (!queue.empty())
            m_cursors.push_back({ team, *queue.begin() });
    }
    std::sort(m_cursors.begin(), m_cursors.end(), [](const Cursor& a, const Cursor& b) { return a.team < b.team; });
    while (Cursor* cursor = next()) {
        auto& job = m_state.tasks.job(cursor->key.job);
        const Step step = job.queued ? placeNext(job, now) : Step::Stuck;
        if (step == Step::Placed && job.queued)
            continue;
        if (step == Step::Stuck) {
            stuck.push_back(job.ordinal);
            if (--jobBudget == 0) {
                m_state.workPending = true;
                return;
            }
        }
        if (!advance(*cursor)) {
            *cursor = m_cursors.back();
            m_cursors.pop_back();
        }
    }
}

} // namespace teasel
