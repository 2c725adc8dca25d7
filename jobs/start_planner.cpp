#include "jobs/start_planner.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace teasel {

namespace {

    constexpr int64_t unboundedTasks = 1'000'000;

    constexpr Milliseconds urgentSlack { 2'500 }; // less slack than several rounds of stops and ticket renewals take

    // Order in which steps are served; steps of equal rank are ordered by their latest start.
    enum class Rank : uint8_t {
        Lasting = 0, // a service is degraded while its task is missing; there are few of them
        MostUrgentQueue = 1, // needs little of the fleet and can wait least
        Urgent = 2, // also all gangs: capacity for them is hard to find, so they start searching early
        // Still of use: gangs, for which capacity does not come free by itself, and the most urgent queue, whose
        // callers wait for an answer.
        LateOfUse = 3,
        Relaxed = 4,
        Late = 5,
    };

    Rank rankOf(const ReadyStep& it, Instant now)
    {
        if (it.lasting)
            return Rank::Lasting;
        if (it.latestStart < now)
            return (it.gang || it.priority == 0) && now < it.expiresAt ? Rank::LateOfUse : Rank::Late;
        if (it.priority == 0)
            return Rank::MostUrgentQueue;
        return it.gang || it.latestStart - now < urgentSlack ? Rank::Urgent : Rank::Relaxed;
    }

} // namespace

bool isMostUrgent(const ReadyStep& it, Instant now) { return rankOf(it, now) <= Rank::MostUrgentQueue; }

void sortByUrgency(std::vector<const ReadyStep*>& steps, Instant now, std::span<const ReadyStep* const> contended)
{
    const absl::flat_hash_set<const ReadyStep*> isContended(contended.begin(), contended.end());
    using Place = std::tuple<Rank, bool, Instant, StepKey>;
    std::vector<std::pair<Place, const ReadyStep*>> ranked;
    ranked.reserve(steps.size());
    for (const auto* it : steps) {
        const bool isAfterOwed = it->isBorrowed && isContended.contains(it);
        ranked.emplace_back(Place { rankOf(*it, now), isAfterOwed, it->latestStart, it->key }, it);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::transform(ranked.begin(), ranked.end(), steps.begin(), [](const auto& it) { return it.second; });
}

void StartPlan::append(const StartPlan& other)
{
    starts.insert(starts.end(), other.starts.begin(), other.starts.end());
    stops.insert(stops.end(), other.stops.begin(), other.stops.end());
    visits += other.visits;
    relaxedStarts += other.relaxedStarts;
    examinedSteps += other.examinedSteps;
}

StartPlan StartPlanner::plan(std::span<const ReadyStep* const> steps, Instant now, uint64_t maxVisits)
{
    StartPlan out;
    for (const auto* it : steps) {
        if (out.visits >= maxVisits)
            break;
        ++out.examinedSteps;
        ++out.visits;
        if (!it->waiting.empty())
            planStep(*it, now, out);
    }
    return out;
}

StartPlanner::StartPlanner(
    std::vector<CandidateExecutor>& candidates, const StartConstraints& constraints, StartPlannerOptions options)
    : m_candidates(candidates)
    , m_constraints(constraints)
    , m_options(options)
    , m_capacityReserver(candidates, constraints, options.capacityReserver)
{
    for (size_t n = 0; n < candidates.size(); ++n) {
        m_indexOf[candidates[n].number] = n;
        for (size_t kind = 0; kind < ResourceVector::kinds; ++kind)
            m_largestFree.amounts[kind] = std::max(m_largestFree.amounts[kind], candidates[n].free.amounts[kind]);
    }
}

ResourceVector StartPlanner::reservedFree() const
{
    ResourceVector out;
    for (const auto n : m_capacityReserver.reserved())
        out += m_candidates[n].free;
    return out;
}

std::vector<size_t> StartPlanner::candidatesOf(const std::optional<std::vector<uint32_t>>& executors) const
{
    std::vector<size_t> out;
    if (!executors) {
        out.resize(m_candidates.size());
        std::iota(out.begin(), out.end(), 0);
        return out;
    }
    for (const auto number : *executors) {
        if (const auto it = m_indexOf.find(number); it != m_indexOf.end())
            out.push_back(it->second);
    }
    return out;
}

std::vector<StartPlanner::Placement> StartPlanner::placementsFor(
    const ReadyStep& step, Instant now, uint64_t& visits) const
{
    std::vector<Placement> out;
    if (!step.need.fitsIn(m_largestFree))
        return out;
    for (const auto n : candidatesOf(m_constraints.allowedNow(step))) {
        ++visits;
        const auto& candidate = m_candidates[n];
        if (!step.need.fitsIn(candidate.free) || !canEverRun(step, candidate))
            continue;
        if (m_capacityReserver.isReserved(n))
            continue;
        auto maxTasks = step.need.copiesThatFitIn(candidate.free, unboundedTasks);
        if (step.maxPerExecutor > 0)
            maxTasks = std::min<int64_t>(
                maxTasks, int64_t(step.maxPerExecutor) - m_constraints.tasksOn(step.key, candidate.number));
        if (maxTasks > 0)
            out.push_back({ n, maxTasks, scoreOf(step, candidate, now) });
    }
    std::sort(out.begin(), out.end(), [&](const Placement& a, const Placement& b) {
        return a.score != b.score ? a.score > b.score
                                  : m_candidates[a.candidate].number < m_candidates[b.candidate].number;
    });
    return out;
}

double StartPlanner::scoreOf(const ReadyStep& step, const CandidateExecutor& candidate, Instant now) const
{
    // Prefer fast executors near the data, more strongly the less time is left; then the fullest ones, which keeps
    // large free blocks for large tasks.
    double slowness = candidate.slowness;
    if (!step.dataRack.empty() && step.dataRack != candidate.rack)
        slowness *= m_options.remoteFactor;
    const double leftMs = std::chrono::duration<double, std::milli>(step.latestStart - now).count() + step.taskMs;
    const bool endsInTime = step.taskMs * slowness <= leftMs;
    const double fill = 1 - (candidate.free - step.need).dominantShareOf(candidate.capacity);
    return (endsInTime ? 4.0 : 0.0) - slowness + fill - (candidate.isDegraded ? 8.0 : 0.0);
}

void StartPlanner::restrictToOneRack(const ReadyStep& step, size_t wanted, std::vector<Placement>& placements) const
{
    if (!step.sameRack)
        return;
    absl::flat_hash_map<std::string_view, int64_t> tasksByRack;
    for (const auto& it : placements)
        tasksByRack[m_candidates[it.candidate].rack] += it.maxTasks;
    for (const auto& it : placements) {
        const auto rack = m_candidates[it.candidate].rack;
        if (tasksByRack[rack] < static_cast<int64_t>(wanted))
            continue;
        std::erase_if(placements, [&](const Placement& other) { return m_candidates[other.candidate].rack != rack; });
        return;
    }
}

void StartPlanner::planStep(const ReadyStep& step, Instant now, StartPlan& out)
{
    const auto wanted = m_constraints.tasksThatMayStart(step, m_plannedPerTeam[step.team]);
    if (wanted <= 0 || (step.gang && wanted < static_cast<int64_t>(step.count)))
        return;
    if (isMostUrgent(step, now))
        return planTasks(step, wanted, now, out);
    // A gang starts whole, also where that exceeds the limit.
    const auto left = m_constraints.relaxedStarts - m_relaxedStarts;
    if (left <= 0)
        return;
    const auto startsBefore = out.starts.size();
    planTasks(step, step.gang ? wanted : std::min(wanted, left), now, out);
    const auto planned = static_cast<int64_t>(out.starts.size() - startsBefore);
    m_relaxedStarts += planned;
    out.relaxedStarts += planned;
}

void StartPlanner::planTasks(const ReadyStep& step, int64_t wanted, Instant now, StartPlan& out)
{
    auto placements = placementsFor(step, now, out.visits);
    restrictToOneRack(step, static_cast<size_t>(wanted), placements);
    int64_t fits = 0;
    for (const auto& it : placements)
        fits += it.maxTasks;
    if (step.gang && fits < wanted) {
        reserveCapacity(step, wanted, now, out);
        return;
    }
    if (!step.gang && !step.suspects.empty()) {
        const auto suspects = static_cast<int64_t>(std::count_if(
            step.waiting.begin(), step.waiting.end(), [&](uint32_t it) { return step.suspects.contains(it); }));
        wanted -= planSuspects(step, wanted, placements, out);
        wanted = std::min(wanted, static_cast<int64_t>(step.waiting.size()) - suspects);
    }
    auto index = step.waiting.begin();
    for (auto& placement : placements) {
        for (; placement.maxTasks > 0 && wanted > 0; ++index) {
            if (!step.gang && step.suspects.contains(*index))
                continue;
            start(step, *index, placement, out);
            --wanted;
        }
        if (wanted <= 0)
            return;
    }
    reserveCapacity(step, wanted, now, out);
}

void StartPlanner::start(const ReadyStep& step, uint32_t index, Placement& placement, StartPlan& out)
{
    auto& candidate = m_candidates[placement.candidate];
    out.starts.push_back({ { step.key, index }, candidate.number });
    candidate.free -= step.need;
    m_plannedPerTeam[step.team] += step.need;
    --placement.maxTasks;
}

int64_t StartPlanner::planSuspects(
    const ReadyStep& step, int64_t wanted, std::vector<Placement>& placements, StartPlan& out)
{
    // One on each executor, so that a further crash tells which task causes it; on the emptiest ones, where a crash
    // ends the fewest runs.
    int64_t planned = 0;
    for (const auto index : step.waiting) {
        if (planned == wanted)
            break;
        if (!step.suspects.contains(index))
            continue;
        Placement* best = nullptr;
        for (auto& it : placements) {
            const auto& candidate = m_candidates[it.candidate];
            if (it.maxTasks == 0 || candidate.hasSuspect)
                continue;
            if (best == nullptr || candidate.free.amounts[0] > m_candidates[best->candidate].free.amounts[0])
                best = &it;
        }
        if (best == nullptr)
            break;
        start(step, index, *best, out);
        m_candidates[best->candidate].hasSuspect = true;
        ++planned;
    }
    return planned;
}

void StartPlanner::reserveCapacity(const ReadyStep& step, int64_t wanted, Instant now, StartPlan& out)
{
    if (rankOf(step, now) == Rank::Late)
        return;
    auto candidates = candidatesOf(m_constraints.allowedLater(step));
    std::erase_if(candidates, [&](size_t n) { return !canEverRun(step, m_candidates[n]); });
    out.visits += candidates.size();
    m_capacityReserver.reserveCapacity(step, wanted, candidates, now, out.stops);
}

} // namespace teasel
