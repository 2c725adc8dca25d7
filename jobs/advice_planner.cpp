#include "jobs/advice_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace teasel {

namespace {

    constexpr size_t minExecutors = 8; // named in one call to the advice service
    // Factor on the number of executors that the expected grant ratio gives, since free capacity changes meanwhile.
    constexpr double margin = 1.6;
    constexpr double gangMargin = 4.0; // a gang needs free capacity on several granted executors at the same time
    constexpr size_t minGangExecutors = 24;
    constexpr size_t smallGangTasks = 3; // gangs up to this size fit almost anywhere
    constexpr int64_t unboundedTasks = 1'000'000;
    constexpr double horizonSeconds = 1.2; // in which a ticket requested now is used; half of a typical validity

    // Gangs that cannot assemble yet would otherwise keep all other steps without tickets.
    constexpr double maxGangShare = 0.5; // of the expected capacity

    // The smallest free share of any resource, including what is being freed.
    double freeShareOf(const CandidateExecutor& it)
    {
        const auto available = it.free + it.stopping;
        double out = 1;
        for (size_t n = 0; n < ResourceVector::kinds; ++n) {
            if (it.capacity.amounts[n] > 0)
                out = std::min(
                    out, static_cast<double>(available.amounts[n]) / static_cast<double>(it.capacity.amounts[n]));
        }
        return out;
    }

} // namespace

AdvicePlanner::AdvicePlanner(
    std::span<const CandidateExecutor> candidates, const AdviceTracker& advice, TasksOn tasksOn, Instant now)
    : m_candidates(candidates)
    , m_advice(advice)
    , m_tasksOn(std::move(tasksOn))
    , m_now(now)
    , m_capacity(candidates, m_tasksOn, horizonSeconds, maxGangShare)
{
}

const CandidateExecutor* AdvicePlanner::candidate(uint32_t number) const
{
    const auto it = std::lower_bound(m_candidates.begin(), m_candidates.end(), number,
        [](const CandidateExecutor& candidate, uint32_t n) { return candidate.number < n; });
    return it == m_candidates.end() || it->number != number ? nullptr : &*it;
}

int64_t AdvicePlanner::tasksThatFit(const ReadyStep& step, const CandidateExecutor& it) const
{
    const auto fits = step.need.copiesThatFitIn(it.free + it.stopping, unboundedTasks);
    if (fits == 0 || step.maxPerExecutor == 0)
        return fits;
    const auto held = static_cast<int64_t>(m_tasksOn(step.key, it.number));
    return std::min(fits, std::max<int64_t>(0, static_cast<int64_t>(step.maxPerExecutor) - held));
}

AdvicePlanner::GrantedCapacity AdvicePlanner::grantedCapacity(const ReadyStep& step)
{
    GrantedCapacity out;
    const auto* grants = m_advice.grants(step.key);
    if (grants == nullptr)
        return out;
    m_visits += grants->size();
    for (const auto& [number, ticket] : *grants) {
        const auto* it = candidate(number);
        // Grants outlast a change of the configuration that sends the queue elsewhere.
        if (it == nullptr || !canEverRun(step, *it))
            continue;
        const auto fits = tasksThatFit(step, *it);
        // A step must not depend on executors that fail, so others are asked about as well.
        if (it->isDegraded) {
            if (ticket.validUntil <= m_now && fits > 0)
                out.degraded.push_back(number);
        } else if (ticket.validUntil > m_now) {
            out.placeable += fits;
        } else if (fits > 0) {
            out.renewable += fits;
            out.expired.push_back(number);
        }
    }
    return out;
}

const std::vector<size_t>& AdvicePlanner::byFreeCapacity()
{
    if (!m_byFreeCapacity.empty())
        return m_byFreeCapacity;
    m_visits += m_candidates.size();
    std::vector<double> share;
    for (const auto& it : m_candidates)
        share.push_back(freeShareOf(it));
    m_byFreeCapacity.resize(m_candidates.size());
    std::iota(m_byFreeCapacity.begin(), m_byFreeCapacity.end(), 0);
    std::sort(m_byFreeCapacity.begin(), m_byFreeCapacity.end(),
        [&](size_t a, size_t b) { return share[a] != share[b] ? share[a] > share[b] : a > b; });
    return m_byFreeCapacity;
}

std::vector<uint32_t> AdvicePlanner::newExecutors(const ReadyStep& step, int64_t missing)
{
    const bool isWideGang = step.gang && step.waiting.size() > smallGangTasks;
    std::vector<const CandidateExecutor*> found;
    size_t wanted = isWideGang ? minGangExecutors : minExecutors;
    const auto* queried = m_advice.queriedExecutors(step.key);
    const auto consider = [&](size_t n, int64_t minTasks) {
        const auto& it = m_candidates[n];
        ++m_visits;
        if ((queried != nullptr && queried->contains(it.number)) || !canEverRun(step, it))
            return;
        const auto fits = tasksThatFit(step, it);
        if (fits < minTasks)
            return;
        if (found.empty()) {
            // Members of a gang must fit at the same time, so those that fit now count for little.
            const auto tasks = isWideGang ? static_cast<int64_t>(step.waiting.size()) : missing;
            const auto perExecutor = std::max<int64_t>(1, std::min(fits, tasks));
            const double expected = static_cast<double>(tasks) / static_cast<double>(perExecutor)
                / m_advice.grantRatio(step.queue) * (isWideGang ? gangMargin : margin);
            wanted = std::max(wanted, static_cast<size_t>(std::ceil(expected)));
        }
        found.push_back(&it);
    };
    const auto& order = byFreeCapacity();
    if (isWideGang) {
        for (size_t n = 0; n < order.size() && found.size() < wanted; ++n)
            consider(order[n], 0);
    } else {
        // The fullest executors with room, so that large free blocks remain for gangs; then any.
        for (size_t n = firstWithRoom(step) + 1; n > 0 && found.size() < wanted; --n)
            consider(order[n - 1], 1);
        if (found.empty()) {
            for (size_t n = 0; n < order.size() && found.size() < wanted; ++n)
                consider(order[n], 0);
        }
    }
    std::vector<uint32_t> out(found.size());
    std::transform(found.begin(), found.end(), out.begin(), [](const auto* it) { return it->number; });
    return out;
}

size_t AdvicePlanner::firstWithRoom(const ReadyStep& step)
{
    const auto& order = byFreeCapacity();
    const double need = step.need.dominantShareOf(m_candidates[order.front()].capacity);
    const auto end = std::partition_point(
        order.begin(), order.end(), [&](size_t n) { return freeShareOf(m_candidates[n]) >= need; });
    return end == order.begin() ? 0 : static_cast<size_t>(end - order.begin()) - 1;
}

std::vector<uint32_t> AdvicePlanner::executorsToQuery(const ReadyStep& step)
{
    auto granted = grantedCapacity(step);
    const auto missing = static_cast<int64_t>(step.waiting.size()) - granted.placeable;
    if (missing <= 0)
        return {};
    // Renew tickets only where that lets the step start: for a gang all of its tasks, otherwise at least one.
    std::vector<uint32_t> out;
    if (granted.renewable >= missing || (!step.gang && granted.renewable > 0))
        out = std::move(granted.expired);
    if (missing <= granted.renewable)
        return out;
    const auto others = newExecutors(step, missing - granted.renewable);
    out.insert(out.end(), others.begin(), others.end());
    return out.empty() ? granted.degraded : out;
}

} // namespace teasel
