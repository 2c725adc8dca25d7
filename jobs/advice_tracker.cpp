#include "jobs/advice_tracker.h"

#include "jobs/lease_clock.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace teasel {

namespace {

    // Added to a call's cost to give its timeout; covers lost packets and a slow instance.
    constexpr Milliseconds callSlack { 1'200 };
    constexpr Milliseconds overdueAfter { 120 }; // added to a call's cost; several round trips between regions
    // An instance with a longer backlog gets no calls; they wait in the leader, where the most urgent step goes
    // first.
    constexpr Milliseconds maxBacklog { 60 };
    constexpr Milliseconds longCallCost { 150 }; // calls of a higher cost leave some instances free for short ones
    constexpr size_t instancesPerReserved = 4;
    constexpr Milliseconds unresponsiveBackoff { 1'500 }; // how long an instance with an overdue answer is avoided
    constexpr Milliseconds ticketMargin { 150 }; // safety margin: a start must arrive while the ticket is valid
    constexpr Milliseconds firstRetry { 100 }; // delay after a failed call; doubled with each further failure
    constexpr unsigned maxRetryDoublings = 4;
    constexpr double priorRatio = 0.5; // prior for the grant ratio, until there are answers
    constexpr double priorWeight = 20; // weight of the prior, in queried executors

} // namespace

void AdviceTracker::setInstances(std::vector<std::string> instances)
{
    absl::btree_map<std::string, Instant> next;
    for (auto& it : instances) {
        const auto known = m_busyUntil.find(it);
        next.emplace(std::move(it), known == m_busyUntil.end() ? Instant() : known->second);
    }
    m_busyUntil = std::move(next);
}

std::string_view AdviceTracker::ticketFor(const StepKey& step, uint32_t executor, Instant now) const
{
    const auto it = m_steps.find(step);
    if (it == m_steps.end())
        return {};
    const auto ticket = it->second.granted.find(executor);
    if (ticket == it->second.granted.end() || ticket->second.validUntil <= now)
        return {};
    return ticket->second.text;
}

Instant AdviceTracker::ticketExpiry(const StepKey& step, uint32_t executor) const
{
    const auto it = m_steps.find(step);
    if (it == m_steps.end())
        return {};
    const auto ticket = it->second.granted.find(executor);
    return ticket == it->second.granted.end() ? Instant() : ticket->second.expiresAt;
}

std::vector<uint32_t> AdviceTracker::executorsWithTicket(const StepKey& step, Instant now) const
{
    std::vector<uint32_t> out;
    const auto it = m_steps.find(step);
    if (it == m_steps.end())
        return out;
    for (const auto& [executor, ticket] : it->second.granted) {
        if (ticket.validUntil > now)
            out.push_back(executor);
    }
    return out;
}

std::vector<uint32_t> AdviceTracker::grantedExecutors(const StepKey& step) const
{
    std::vector<uint32_t> out;
    const auto it = m_steps.find(step);
    if (it == m_steps.end())
        return out;
    for (const auto& [executor, ticket] : it->second.granted)
        out.push_back(executor);
    return out;
}

const absl::btree_map<uint32_t, AdviceTracker::Ticket>* AdviceTracker::grants(const StepKey& step) const
{
    const auto it = m_steps.find(step);
    return it == m_steps.end() ? nullptr : &it->second.granted;
}

const absl::btree_set<uint32_t>* AdviceTracker::queriedExecutors(const StepKey& step) const
{
    const auto it = m_steps.find(step);
    return it == m_steps.end() ? nullptr : &it->second.queried;
}

bool AdviceTracker::isRequestPending(const StepKey& step, Instant now) const
{
    const auto it = m_steps.find(step);
    return it != m_steps.end()
        && ((it->second.openCalls > 0 && now < it->second.overdueAt) || it->second.retryAt > now);
}

size_t AdviceTracker::reservedInstances(Milliseconds cost) const
{
    return cost > longCallCost && m_busyUntil.size() > 1
        ? std::max<size_t>(1, m_busyUntil.size() / instancesPerReserved)
        : 0;
}

bool AdviceTracker::hasFreeInstance(Milliseconds cost, Instant now) const
{
    const auto reserved = static_cast<std::ptrdiff_t>(reservedInstances(cost));
    return std::any_of(std::next(m_busyUntil.begin(), reserved), m_busyUntil.end(),
        [&](const auto& it) { return it.second <= now + maxBacklog; });
}

std::optional<AdviceTracker::Request> AdviceTracker::beginCall(
    const StepKey& step, std::vector<uint32_t> executors, Milliseconds cost, Instant now)
{
    const auto least
        = std::min_element(std::next(m_busyUntil.begin(), static_cast<std::ptrdiff_t>(reservedInstances(cost))),
            m_busyUntil.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (least == m_busyUntil.end() || least->second > now + maxBacklog)
        return std::nullopt;
    const auto starts = std::max(now, least->second);
    least->second = starts + cost;
    Call call { step, std::move(executors), least->first, cost, now, starts + cost + overdueAfter,
        starts + cost + callSlack };
    auto& advice = m_steps[step];
    ++advice.openCalls;
    advice.overdueAt = call.overdueAt;
    const Request request { ++m_lastNumber, call.instance,
        std::chrono::duration_cast<Milliseconds>(call.timeoutAt - now) };
    m_calls.emplace(request.number, std::move(call));
    return request;
}

void AdviceTracker::endCall(uint64_t number, bool answered, std::span<const std::pair<uint32_t, std::string>> granted,
    Milliseconds valid, Instant now)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    const auto call = std::move(found->second);
    m_calls.erase(found);
    release(call, answered, now);
    const auto step = m_steps.find(call.step);
    if (step == m_steps.end())
        return;
    if (answered) {
        step->second.queried.insert(call.executors.begin(), call.executors.end());
        for (const auto& [executor, ticket] : granted)
            step->second.granted[executor] = { ticket, now + valid - ticketMargin, now + longestValidity(valid) };
    }
}

std::optional<StepKey> AdviceTracker::stepOf(uint64_t number) const
{
    const auto it = m_calls.find(number);
    return it == m_calls.end() ? std::nullopt : std::optional(it->second.step);
}

size_t AdviceTracker::queriedCount(uint64_t number) const
{
    const auto it = m_calls.find(number);
    return it == m_calls.end() ? 0 : it->second.executors.size();
}

void AdviceTracker::release(const Call& call, bool answered, Instant now)
{
    if (const auto step = m_steps.find(call.step); step != m_steps.end()) {
        auto& it = step->second;
        --it.openCalls;
        it.failures = answered ? 0 : it.failures + 1;
        if (!answered && it.openCalls == 0)
            it.retryAt = now + firstRetry * (1U << std::min(it.failures - 1, maxRetryDoublings));
    }
    if (!answered)
        return;
    // Correct the estimate: an instance without other open calls is idle.
    const bool isAlone = std::none_of(
        m_calls.begin(), m_calls.end(), [&](const auto& it) { return it.second.instance == call.instance; });
    const auto instance = m_busyUntil.find(call.instance);
    if (isAlone && instance != m_busyUntil.end())
        instance->second = std::min(instance->second, now);
}

void AdviceTracker::expire(Instant now)
{
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        auto& open = it->second;
        if (open.overdueAt <= now && !std::exchange(open.isOverdue, true)) {
            if (const auto instance = m_busyUntil.find(open.instance); instance != m_busyUntil.end())
                instance->second = now + unresponsiveBackoff;
        }
        if (open.timeoutAt > now) {
            ++it;
            continue;
        }
        const auto call = std::move(open);
        it = m_calls.erase(it);
        release(call, false, now);
    }
}

void AdviceTracker::forgetJob(uint64_t job)
{
    const auto first = m_steps.lower_bound({ job, 0, 0 });
    auto last = first;
    while (last != m_steps.end() && last->first.job == job)
        ++last;
    m_steps.erase(first, last);
}

void AdviceTracker::clear()
{
    m_steps.clear();
    m_calls.clear();
    m_grantCounts.clear();
    for (auto& [instance, busyUntil] : m_busyUntil)
        busyUntil = Instant();
}

double AdviceTracker::grantRatio(std::string_view queue) const
{
    const auto it = m_grantCounts.find(queue);
    const auto counts = it == m_grantCounts.end() ? GrantCounts {} : it->second;
    return (counts.granted + priorRatio * priorWeight) / (counts.queried + priorWeight);
}

void AdviceTracker::recordAnswer(std::string_view queue, size_t queried, size_t granted)
{
    auto& counts = m_grantCounts[std::string(queue)];
    counts.queried += static_cast<double>(queried);
    counts.granted += static_cast<double>(granted);
}

} // namespace teasel
