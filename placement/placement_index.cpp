#include "placement/placement_index.h"

#include <bit>
#include <cmath>

namespace teasel {

namespace {

    constexpr uint32_t noGroup = std::numeric_limits<uint32_t>::max();
    constexpr uint32_t stepsPerDoubling = 4;
    constexpr uint32_t levelBits = 10;
    constexpr size_t maxMembersScored = 8;
    constexpr double acceleratorWeight = 4.0;
    constexpr double imbalanceWeight = 0.3;

    // Level of an amount on the logarithmic scale; 0 if the amount is zero.
    uint32_t levelOf(int64_t amount)
    {
        if (amount <= 0)
            return 0;
        const auto value = static_cast<uint64_t>(amount);
        const auto doubling = static_cast<uint32_t>(std::bit_width(value) - 1);
        if (doubling < 2)
            return 1 + doubling * stepsPerDoubling + (doubling == 1 ? static_cast<uint32_t>(value & 1) * 2 : 0);
        return 1 + doubling * stepsPerDoubling + static_cast<uint32_t>((value >> (doubling - 2)) & 3);
    }

    // The smallest amount of a level.
    int64_t amountAt(uint32_t level)
    {
        if (level == 0)
            return 0;
        const uint32_t doubling = (level - 1) / stepsPerDoubling;
        const uint32_t step = (level - 1) % stepsPerDoubling;
        const auto base = int64_t { 1 } << doubling;
        return base + base * step / stepsPerDoubling;
    }

} // namespace

uint32_t PlacementIndex::findOrAddGroup(const ResourceVector& free)
{
    uint32_t key = 0;
    std::array<uint32_t, ResourceVector::kinds> levels {};
    for (size_t i = 0; i < ResourceVector::kinds; ++i) {
        levels[i] = levelOf(free.amounts[i]);
        key = (key << levelBits) | levels[i];
    }
    auto [found, added] = m_groupOf.try_emplace(key, static_cast<uint32_t>(m_groups.size()));
    if (added) {
        Group group { key, {}, {}, {} };
        for (size_t i = 0; i < ResourceVector::kinds; ++i) {
            group.floor.amounts[i] = amountAt(levels[i]);
            group.ceiling.amounts[i] = levels[i] == 0 ? 0 : std::max(amountAt(levels[i] + 1), group.floor.amounts[i]);
        }
        m_groups.push_back(std::move(group));
    }
    return found->second;
}

void PlacementIndex::set(WorkerId worker, const ResourceVector& free)
{
    if (m_locations.size() <= worker)
        m_locations.resize(worker + 1, Location { noGroup, 0 });
    erase(worker);
    if (free.amounts[0] <= 0 && free.amounts[1] <= 0 && free.amounts[2] <= 0)
        return;
    const uint32_t position = findOrAddGroup(free);
    auto& members = m_groups[position].members;
    m_locations[worker] = { position, static_cast<uint32_t>(members.size()) };
    members.push_back({ worker, free });
}

void PlacementIndex::erase(WorkerId worker)
{
    if (m_locations.size() <= worker || m_locations[worker].group == noGroup)
        return;
    const Location location = m_locations[worker];
    auto& members = m_groups[location.group].members;
    members[location.position] = members.back();
    m_locations[members[location.position].worker].position = location.position;
    members.pop_back();
    m_locations[worker].group = noGroup;
    if (members.empty())
        removeGroup(location.group);
}

void PlacementIndex::removeGroup(uint32_t position)
{
    m_groupOf.erase(m_groups[position].key);
    if (position + 1 != m_groups.size()) {
        m_groups[position] = std::move(m_groups.back());
        m_groupOf[m_groups[position].key] = position;
        for (const auto& it : m_groups[position].members)
            m_locations[it.worker].group = position;
    }
    m_groups.pop_back();
}

// Scores a placement; lower is better. Prefers a small remainder, penalizes an
// unbalanced one, and keeps accelerators free for tasks that need them.
double PlacementIndex::score(const ResourceVector& free, const ResourceVector& need) const
{
    const auto remaining = [&](size_t i) {
        return static_cast<double>(free.amounts[i] - need.amounts[i])
            / static_cast<double>(std::max<int64_t>(1, m_scale.amounts[i]));
    };
    const double processors = remaining(0);
    const double memory = remaining(1);
    double total = processors + memory + imbalanceWeight * std::abs(processors - memory);
    if (free.amounts[2] > 0 && need.amounts[2] == 0)
        total += acceleratorWeight;
    else if (free.amounts[2] > 0)
        total += remaining(2);
    return total;
}

const PlacementIndex::Member* PlacementIndex::bestMember(
    const Group& group, const ResourceVector& need, Allowed allowed, size_t limit) const
{
    const Member* best = nullptr;
    double bestScore = 0;
    for (const auto& it : group.members) {
        if (!need.fitsIn(it.free) || !allowed(it.worker))
            continue;
        const double found = score(it.free, need);
        if (!best || found < bestScore) {
            best = &it;
            bestScore = found;
        }
        if (--limit == 0)
            break;
    }
    return best;
}

WorkerId PlacementIndex::findBest(const ResourceVector& need, Allowed allowed) const
{
    m_ranked.clear();
    for (uint32_t i = 0; i < m_groups.size(); ++i) {
        const auto& group = m_groups[i];
        if (need.fitsIn(group.ceiling))
            m_ranked.push_back({ score(group.floor, need), i });
    }
    std::make_heap(m_ranked.begin(), m_ranked.end(), [](const RankedGroup& a, const RankedGroup& b) { return b < a; });
    while (!m_ranked.empty()) {
        std::pop_heap(
            m_ranked.begin(), m_ranked.end(), [](const RankedGroup& a, const RankedGroup& b) { return b < a; });
        const auto next = m_ranked.back();
        m_ranked.pop_back();
        if (const auto* member = bestMember(m_groups[next.group], need, allowed, maxMembersScored))
            return member->worker;
    }
    return noWorker;
}

size_t PlacementIndex::bytes() const
{
    size_t sum = m_locations.capacity() * sizeof(Location) + m_groups.capacity() * sizeof(Group);
    for (const auto& it : m_groups)
        sum += it.members.capacity() * sizeof(Member);
    return sum;
}

} // namespace teasel
