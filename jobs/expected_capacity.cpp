#include "jobs/expected_capacity.h"

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr int64_t unboundedTasks = 1'000'000;

    ResourceVector share(const ResourceVector& it, double factor)
    {
        ResourceVector out;
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            out.amounts[n] = static_cast<int64_t>(static_cast<double>(it.amounts[n]) * factor);
        return out;
    }

    // A fleet without accelerators has none left from the start.
    bool isLeft(const ResourceVector& it) { return it.amounts[0] > 0 && it.amounts[1] > 0 && it.amounts[2] >= 0; }

    // The part of an amount, up to all of it, that is available.
    double partAvailable(const ResourceVector& amount, const ResourceVector& available)
    {
        double out = 1;
        for (size_t n = 0; n < ResourceVector::kinds; ++n) {
            if (amount.amounts[n] > 0)
                out = std::min(out,
                    static_cast<double>(std::max<int64_t>(0, available.amounts[n]))
                        / static_cast<double>(amount.amounts[n]));
        }
        return out;
    }

} // namespace

ExpectedCapacity::ExpectedCapacity(
    std::span<const CandidateExecutor> candidates, TasksOn tasksOn, double horizonSeconds, double maxGangShare)
    : m_candidates(candidates)
    , m_tasksOn(std::move(tasksOn))
    , m_maxGangShare(maxGangShare)
    , m_claimedByGangs(candidates.size())
    , m_hasNoRest(candidates.size())
{
    m_left.reserve(candidates.size());
    for (const auto& it : candidates) {
        Left left { it.free + it.stopping, {} };
        for (size_t n = 0; n < ResourceVector::kinds; ++n)
            left.soon.amounts[n] = static_cast<int64_t>(it.freedPerSecond[n] * horizonSeconds);
        m_totalLeft += left.now + left.soon;
        m_left.push_back(left);
    }
    m_comparisons += candidates.size();
}

bool ExpectedCapacity::isEmpty() const { return !isLeft(m_totalLeft); }

ExpectedCapacity::Group& ExpectedCapacity::groupOf(const ReadyStep& step)
{
    const auto [found, isNew] = m_groupByKey.try_emplace(constraintKeyOf(step), m_groups.size());
    if (!isNew)
        return m_groups[found->second];
    auto& group = m_groups.emplace_back();
    group.contains.resize(m_candidates.size());
    m_comparisons += m_candidates.size();
    ResourceVector total;
    for (size_t n = 0; n < m_candidates.size(); ++n) {
        const auto& it = m_candidates[n];
        if (!mayRunOn(step, it.service, it.region, *it.labels))
            continue;
        group.executors.push_back(n);
        group.contains[n] = true;
        group.heap.emplace_back(shareLeft(n), n);
        group.free += it.free;
        group.claimedByGangs += m_claimedByGangs[n];
        total += m_left[n].now + m_left[n].soon + m_claimedByGangs[n];
    }
    std::make_heap(group.heap.begin(), group.heap.end());
    group.gangLimit = share(total, m_maxGangShare);
    return group;
}

double ExpectedCapacity::shareLeft(size_t executor) const
{
    const auto& capacity = m_candidates[executor].capacity;
    double out = 1;
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        if (capacity.amounts[n] > 0)
            out = std::min(
                out, static_cast<double>(m_left[executor].now.amounts[n]) / static_cast<double>(capacity.amounts[n]));
    }
    return out;
}

void ExpectedCapacity::settleTop(Group& group)
{
    // What an executor has left only shrinks: an entry is outdated if it was pushed with more.
    while (true) {
        auto [pushed, executor] = group.heap.front();
        const double now = shareLeft(executor);
        if (now >= pushed)
            return;
        ++m_comparisons;
        std::pop_heap(group.heap.begin(), group.heap.end());
        group.heap.back() = { now, executor };
        std::push_heap(group.heap.begin(), group.heap.end());
    }
}

bool ExpectedCapacity::isUnplaceable(const Group& group, const ResourceVector& need)
{
    return std::any_of(
        group.unplaceable.begin(), group.unplaceable.end(), [&](const ResourceVector& it) { return it.fitsIn(need); });
}

bool ExpectedCapacity::isGangLimitReached(const Group& group) const
{
    return !isLeft(group.gangLimit - group.claimedByGangs);
}

int64_t ExpectedCapacity::fitting(const ReadyStep& step, size_t executor) const
{
    const auto fits = step.need.copiesThatFitIn(m_left[executor].now, unboundedTasks);
    if (fits == 0 || step.maxPerExecutor == 0)
        return fits;
    const auto held = static_cast<int64_t>(m_tasksOn(step.key, m_candidates[executor].number));
    return std::min(fits, std::max<int64_t>(0, static_cast<int64_t>(step.maxPerExecutor) - held));
}

ResourceVector ExpectedCapacity::restOf(size_t executor) const
{
    const auto& left = m_left[executor];
    const auto& capacity = m_candidates[executor].capacity;
    // What a mostly used executor has left becomes room for a task when one of its runs ends. On one that is mostly
    // free, a task that finds no room needs more than most of it.
    const bool isMostlyUsed
        = left.now.amounts[0] * 2 < capacity.amounts[0] || left.now.amounts[1] * 2 < capacity.amounts[1];
    return isMostlyUsed ? left.now + left.soon : left.soon;
}

bool ExpectedCapacity::hasRestFor(const ReadyStep& step, Group& group)
{
    auto& first = group.firstWithRest;
    while (first < group.executors.size() && m_hasNoRest[group.executors[first]])
        ++first;
    for (size_t n = first; n < group.executors.size(); ++n) {
        ++m_comparisons;
        const auto executor = group.executors[n];
        if (!m_hasNoRest[executor] && isLeft(restOf(executor)) && step.need.fitsIn(m_candidates[executor].capacity))
            return true;
    }
    return false;
}

bool ExpectedCapacity::hasRoomFor(const ReadyStep& step)
{
    auto& group = groupOf(step);
    ++m_comparisons;
    if (group.executors.empty() || (step.gang && isGangLimitReached(group)))
        return false;
    if (!isUnplaceable(group, step.need)) {
        settleTop(group);
        if (fitting(step, group.heap.front().second) > 0)
            return true;
        m_comparisons += group.executors.size();
        if (std::any_of(
                group.executors.begin(), group.executors.end(), [&](size_t it) { return fitting(step, it) > 0; }))
            return true;
        if (step.maxPerExecutor == 0)
            group.unplaceable.push_back(step.need);
    }
    return hasRestFor(step, group);
}

void ExpectedCapacity::take(const ReadyStep& step, size_t executor, const ResourceVector& amount, bool isSoon)
{
    auto& left = m_left[executor];
    (isSoon ? left.soon : left.now) -= amount;
    m_totalLeft -= amount;
    if (!step.gang)
        return;
    m_claimedByGangs[executor] += amount;
    for (auto& it : m_groups) {
        if (it.contains[executor])
            it.claimedByGangs += amount;
    }
}

int64_t ExpectedCapacity::claimNow(const ReadyStep& step, Group& group, int64_t tasks)
{
    std::vector<std::pair<double, size_t>> used;
    while (tasks > 0 && !group.heap.empty() && !(step.gang && isGangLimitReached(group))) {
        settleTop(group);
        const auto executor = group.heap.front().second;
        ++m_comparisons;
        const auto fits = std::min(tasks, fitting(step, executor));
        if (fits == 0)
            break;
        take(step, executor, step.need * fits, false);
        tasks -= fits;
        std::pop_heap(group.heap.begin(), group.heap.end());
        group.heap.pop_back();
        used.emplace_back(shareLeft(executor), executor);
    }
    for (const auto& it : used) {
        group.heap.push_back(it);
        std::push_heap(group.heap.begin(), group.heap.end());
    }
    return tasks;
}

int64_t ExpectedCapacity::claimEverywhere(const ReadyStep& step, Group& group, int64_t tasks)
{
    // The share left is that of the scarcest resource, so executors below the top may have room as well.
    m_comparisons += group.executors.size();
    for (const auto executor : group.executors) {
        if (tasks <= 0 || (step.gang && isGangLimitReached(group)))
            return tasks;
        const auto fits = std::min(tasks, fitting(step, executor));
        if (fits > 0)
            take(step, executor, step.need * fits, false);
        tasks -= fits;
    }
    if (tasks > 0 && step.maxPerExecutor == 0)
        group.unplaceable.push_back(step.need);
    return tasks;
}

void ExpectedCapacity::claimRest(const ReadyStep& step, Group& group, int64_t tasks)
{
    auto need = step.need * tasks;
    for (size_t n = group.firstWithRest; n < group.executors.size(); ++n) {
        if (step.gang && isGangLimitReached(group))
            return;
        const auto executor = group.executors[n];
        ++m_comparisons;
        if (m_hasNoRest[executor] || !step.need.fitsIn(m_candidates[executor].capacity))
            continue;
        const auto rest = restOf(executor);
        const double part = partAvailable(need, rest);
        const auto amount = share(need, part);
        const auto soon = smallestOf(amount, largestOf(m_left[executor].soon, {}));
        take(step, executor, soon, true);
        take(step, executor, amount - soon, false);
        if (part >= 1)
            return;
        need -= amount;
        m_hasNoRest[executor] = true; // one of the resources is used up
    }
}

void ExpectedCapacity::claim(const ReadyStep& step, int64_t tasks)
{
    auto& group = groupOf(step);
    if (group.executors.empty())
        return;
    if (!isUnplaceable(group, step.need)) {
        if (step.maxPerExecutor == 0)
            tasks = claimNow(step, group, tasks);
        if (tasks > 0 && !(step.gang && isGangLimitReached(group)))
            tasks = claimEverywhere(step, group, tasks);
    }
    if (tasks > 0)
        claimRest(step, group, tasks);
}

} // namespace teasel
