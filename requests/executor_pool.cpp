#include "requests/executor_pool.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace teasel {

namespace {

    double average(double former, double sample, double weight)
    {
        return former == 0.0 ? sample : former + (sample - former) * weight;
    }

    void checkWithinCapacity(const Executor& it)
    {
        checkInvariant(it.inFlight < it.capacity, "executor_within_capacity",
            [&] { return fmt::format("{}: {} of {}", it.name, it.inFlight, it.capacity); });
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
    m_open = {};
    m_live = {};
    m_unknownInFlight = 0;
    m_totalSlots = 0;
}

InstanceOrdinal ExecutorPool::entryOf(const std::string& name)
{
    const auto [place, isNew] = m_byName.try_emplace(name, static_cast<InstanceOrdinal>(m_executors.size()));
    if (isNew)
        m_executors.emplace_back().name = name;
    return place->second;
}

InstanceOrdinal ExecutorPool::onAnnounce(const schema::ExecutorAnnounce& announce, Instant now)
{
    const auto n = entryOf(announce.name());
    auto& it = m_executors[n];
    if (announce.incarnation() < it.incarnation)
        return n;
    if (announce.incarnation() > it.incarnation) {
        it.incarnation = announce.incarnation();
        it.health = ExecutorHealth::Good;
        it.failuresInRow = 0;
        it.failureRate = 0.0;
        it.serviceUs = 0.0;
        it.leaving = false;
    }
    it.address = announce.address();
    it.capacity = std::min(announce.slots(), announce.connections());
    it.leaving = it.leaving || announce.leaving();
    it.lastHeard = now;
    it.live = !it.leaving;
    update(n);
    return n;
}

std::optional<InstanceOrdinal> ExecutorPool::find(std::string_view name) const
{
    const auto it = m_byName.find(std::string(name));
    return it == m_byName.end() ? std::nullopt : std::optional(it->second);
}

void ExecutorPool::take(InstanceOrdinal n)
{
    ++m_executors[n].inFlight;
    update(n);
}

void ExecutorPool::release(InstanceOrdinal n)
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
    ++it.failuresInRow;
    it.failureRate += (1.0 - it.failureRate) * averageWeight;
    const bool failsOften = it.failureRate > failureRateToSetAside;
    if (it.health == ExecutorHealth::Probing || it.failuresInRow >= failuresToSetAside || failsOften)
        setAside(it, now);
}

void ExecutorPool::onSuccess(Executor& it, Duration service, Instant now)
{
    const auto sample = static_cast<double>(service.count());
    it.failuresInRow = 0;
    it.failureRate -= it.failureRate * averageWeight;
    it.serviceUs = average(it.serviceUs, sample, averageWeight);
    m_peerServiceUs = average(m_peerServiceUs, sample, averageWeight / std::max<size_t>(1, m_executors.size()));
    ++it.successes;
    if (farSlowerThanPeers(it)) {
        setAside(it, now);
    } else if (it.health == ExecutorHealth::Probing) {
        it.health = ExecutorHealth::Good;
        it.setAsideTimes = 0;
        it.failureRate = 0.0;
    }
}

bool ExecutorPool::farSlowerThanPeers(const Executor& it) const
{
    return it.successes >= samplesToJudge && m_executors.size() > 1
        && it.serviceUs > slownessToSetAside * m_peerServiceUs;
}

void ExecutorPool::setAside(Executor& it, Instant now)
{
    if (it.health == ExecutorHealth::SetAside)
        return;
    const auto doublings = std::min<uint32_t>(it.setAsideTimes, 5);
    const auto pause = std::min<Milliseconds>(firstPause * (1 << doublings), longestPause);
    const auto jitter = Duration(m_random.below(static_cast<uint64_t>(Duration(pause).count() / 4) + 1));
    it.health = ExecutorHealth::SetAside;
    it.setAsideUntil = now + pause + jitter;
    it.failuresInRow = 0;
    it.successes = 0;
    it.serviceUs = 0.0;
    ++it.setAsideTimes;
    ++m_timesSetAside;
}

void ExecutorPool::setDrained(InstanceOrdinal n, bool drained)
{
    m_executors[n].drained = drained;
    update(n);
}

void ExecutorPool::setUnknownInFlight(InstanceOrdinal n, uint32_t unknown)
{
    auto& it = m_executors[n];
    m_unknownInFlight += unknown - it.unknownInFlight;
    it.unknownInFlight = unknown;
    update(n);
}

void ExecutorPool::onTick(Instant now)
{
    for (size_t n = 0; n < m_executors.size(); ++n) {
        auto& it = m_executors[n];
        const bool falls = it.live && now - it.lastHeard >= silenceBound;
        const bool rests = it.health == ExecutorHealth::SetAside && now >= it.setAsideUntil;
        if (falls)
            it.live = false;
        if (rests)
            it.health = ExecutorHealth::Probing;
        if (falls || rests)
            update(static_cast<InstanceOrdinal>(n));
    }
}

bool ExecutorPool::hasRoom(const Executor& it)
{
    const auto used = it.inFlight + it.unknownInFlight;
    switch (it.health) {
    case ExecutorHealth::Good:
        return used < it.capacity;
    case ExecutorHealth::Probing:
        return used == 0 && it.capacity > 0;
    case ExecutorHealth::SetAside:
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
    if (usable && hasRoom(it))
        m_open.insert(n);
    else
        m_open.erase(n);
}

double ExecutorPool::cost(const Executor& it) const
{
    const double service = it.serviceUs == 0.0 ? m_peerServiceUs : it.serviceUs;
    const double fill = static_cast<double>(it.inFlight + it.unknownInFlight + 1) / it.capacity;
    return (service + 1.0) * (1.0 + fill) / (1.0 - std::min(it.failureRate, 0.9));
}

std::optional<InstanceOrdinal> ExecutorPool::choose(const ExecutorSet& allowed) const
{
    std::optional<InstanceOrdinal> best;
    double bestCost = std::numeric_limits<double>::infinity();
    m_open.forEachCommon(allowed, [&](InstanceOrdinal n) {
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
    m_open.forEachCommon(m_live, [&](InstanceOrdinal n) {
        const auto& it = m_executors[n];
        free += it.health == ExecutorHealth::Good ? it.capacity - it.inFlight - it.unknownInFlight : 1;
    });
    return free;
}

} // namespace teasel
