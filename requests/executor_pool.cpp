#include "requests/executor_pool.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace teasel {

namespace {

    double average(double previous, double sample, double weight)
    {
        return previous == 0.0 ? sample : previous + (sample - previous) * weight;
    }

    void checkWithinCapacity(const Executor& it)
    {
        checkInvariant(it.inFlight < it.capacity, "executor_within_capacity",
            [&] { return fmt::format("{}: {} of {} slots in use", it.name, it.inFlight, it.capacity); });
    }

} // namespace

ExecutorPool::ExecutorPool(uint64_t seed)
    : m_random(seed)
{
}

void ExecutorPool::clear()
{
    m_executors.clear();
    m_byName.clear();
    m_available = {};
    m_live = {};
    m_unattributedInFlight = 0;
    m_totalSlots = 0;
}

InstanceOrdinal ExecutorPool::ordinalOf(const std::string& name)
{
    const auto [found, inserted] = m_byName.try_emplace(name, static_cast<InstanceOrdinal>(m_executors.size()));
    if (inserted)
        m_executors.emplace_back().name = name;
    return found->second;
}

InstanceOrdinal ExecutorPool::onAnnounce(const schema::ExecutorAnnounce& announce, Instant now)
{
    const auto n = ordinalOf(announce.name());
    auto& it = m_executors[n];
    if (announce.incarnation() < it.incarnation)
        return n;
    if (announce.incarnation() > it.incarnation) {
        it.incarnation = announce.incarnation();
        it.health = ExecutorHealth::Healthy;
        it.consecutiveFailures = 0;
        it.failureRate = 0.0;
        it.serviceUs = 0.0;
        it.leaving = false;
    }
    it.address = announce.address();
    it.capacity = std::min(announce.slots(), announce.connections());
    it.leaving = it.leaving || announce.leaving();
    it.lastContactAt = now;
    it.live = !it.leaving;
    update(n);
    return n;
}

std::optional<InstanceOrdinal> ExecutorPool::find(std::string_view name) const
{
    const auto it = m_byName.find(std::string(name));
    return it == m_byName.end() ? std::nullopt : std::optional(it->second);
}

void ExecutorPool::acquireSlot(InstanceOrdinal n)
{
    ++m_executors[n].inFlight;
    update(n);
}

void ExecutorPool::releaseSlot(InstanceOrdinal n)
{
    auto& it = m_executors[n];
    checkInvariant(it.inFlight > 0, "released_slot_was_taken", [&] { return it.name; });
    --it.inFlight;
    update(n);
}

void ExecutorPool::onEnded(InstanceOrdinal n, const EndedAttempt& end, Instant now)
{
    if (end.neverSent)
        return;
    if (end.failed)
        onFailure(m_executors[n], now);
    else
        onSuccess(m_executors[n], end.service, now);
    update(n);
}

void ExecutorPool::onFailure(Executor& it, Instant now)
{
    ++it.consecutiveFailures;
    it.failureRate += (1.0 - it.failureRate) * averageWeight;
    const bool failsOften = it.failureRate > failureRateThreshold;
    if (it.health == ExecutorHealth::Probing || it.consecutiveFailures >= failureThreshold || failsOften)
        quarantine(it, now);
}

void ExecutorPool::onSuccess(Executor& it, Duration service, Instant now)
{
    const auto sample = static_cast<double>(service.count());
    it.consecutiveFailures = 0;
    it.failureRate -= it.failureRate * averageWeight;
    it.serviceUs = average(it.serviceUs, sample, averageWeight);
    m_peerServiceUs = average(m_peerServiceUs, sample, averageWeight / std::max<size_t>(1, m_executors.size()));
    ++it.successes;
    if (muchSlowerThanPeers(it)) {
        quarantine(it, now);
    } else if (it.health == ExecutorHealth::Probing) {
        it.health = ExecutorHealth::Healthy;
        it.consecutiveQuarantines = 0;
        it.failureRate = 0.0;
    }
}

bool ExecutorPool::muchSlowerThanPeers(const Executor& it) const
{
    return it.successes >= minSlownessSamples && m_executors.size() > 1
        && it.serviceUs > slownessThreshold * m_peerServiceUs;
}

void ExecutorPool::quarantine(Executor& it, Instant now)
{
    if (it.health == ExecutorHealth::Quarantined)
        return;
    const auto doublings = std::min<uint32_t>(it.consecutiveQuarantines, 5);
    const auto quarantineTime = std::min<Milliseconds>(minQuarantine * (1 << doublings), maxQuarantine);
    const auto jitter = Duration(m_random.below(static_cast<uint64_t>(Duration(quarantineTime).count() / 4) + 1));
    it.health = ExecutorHealth::Quarantined;
    it.quarantinedUntil = now + quarantineTime + jitter;
    it.consecutiveFailures = 0;
    it.successes = 0;
    it.serviceUs = 0.0;
    ++it.consecutiveQuarantines;
    ++m_quarantineCount;
}

void ExecutorPool::setDrained(const ExecutorSet& drained)
{
    for (InstanceOrdinal n = 0; n < m_executors.size(); ++n) {
        m_executors[n].drained = drained.contains(n);
        update(n);
    }
}

void ExecutorPool::setUnattributedInFlight(InstanceOrdinal n, uint32_t unattributed)
{
    auto& it = m_executors[n];
    m_unattributedInFlight += unattributed - it.unattributedInFlight;
    it.unattributedInFlight = unattributed;
    update(n);
}

void ExecutorPool::onTick(Instant now)
{
    for (size_t n = 0; n < m_executors.size(); ++n) {
        auto& it = m_executors[n];
        const bool timedOut = it.live && now - it.lastContactAt >= contactTimeout;
        const bool quarantineOver = it.health == ExecutorHealth::Quarantined && now >= it.quarantinedUntil;
        if (timedOut)
            it.live = false;
        if (quarantineOver)
            it.health = ExecutorHealth::Probing;
        if (timedOut || quarantineOver)
            update(static_cast<InstanceOrdinal>(n));
    }
}

bool ExecutorPool::hasFreeSlot(const Executor& it)
{
    const auto used = it.inFlight + it.unattributedInFlight;
    switch (it.health) {
    case ExecutorHealth::Healthy:
        return used < it.capacity;
    case ExecutorHealth::Probing:
        return used == 0 && it.capacity > 0;
    case ExecutorHealth::Quarantined:
        return false;
    }
    return false;
}

void ExecutorPool::update(InstanceOrdinal n)
{
    auto& it = m_executors[n];
    const bool usable = it.live && !it.drained;
    m_totalSlots -= it.countedSlots;
    it.countedSlots = usable ? it.capacity : 0;
    m_totalSlots += it.countedSlots;
    if (usable)
        m_live.insert(n);
    else
        m_live.erase(n);
    if (usable && hasFreeSlot(it))
        m_available.insert(n);
    else
        m_available.erase(n);
}

double ExecutorPool::cost(const Executor& it) const
{
    const double service = it.serviceUs == 0.0 ? m_peerServiceUs : it.serviceUs;
    const double fill = static_cast<double>(it.inFlight + it.unattributedInFlight + 1) / it.capacity;
    return (service + 1.0) * (1.0 + fill) / (1.0 - std::min(it.failureRate, 0.9));
}

std::optional<InstanceOrdinal> ExecutorPool::choose(const ExecutorSet& allowed) const
{
    std::optional<InstanceOrdinal> best;
    double bestCost = std::numeric_limits<double>::infinity();
    m_available.forEachCommon(allowed, [&](InstanceOrdinal n) {
        const double candidate = cost(m_executors[n]);
        if (candidate < bestCost) {
            bestCost = candidate;
            best = n;
        }
    });
    if (best)
        checkWithinCapacity(m_executors[*best]);
    return best;
}

uint32_t ExecutorPool::freeSlots() const
{
    uint32_t free = 0;
    m_available.forEachCommon(m_live, [&](InstanceOrdinal n) {
        const auto& it = m_executors[n];
        free += it.health == ExecutorHealth::Healthy ? it.capacity - it.inFlight - it.unattributedInFlight : 1;
    });
    return free;
}

} // namespace teasel
