#include "jobs/room_maker.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr double mostKeptShare = 0.4; // of the executors, held back for waiting steps at once
    constexpr int64_t unboundedTasks = 1'000'000;
    // With less time left than this a step doesn't wait for runs to end: a stop, its listing, and
    // a ticket that must be renewed meanwhile. Gangs never wait.
    constexpr Milliseconds pressed { 600 };
    // What a run that yields must have left beyond its restore: a ticket and a round of waiting.
    constexpr Milliseconds yieldSlack { 2'000 };

} // namespace

bool RoomMaker::isKept(size_t room) const { return m_kept.contains(room); }

bool RoomMaker::isPressed(const ReadyStep& step, Instant now) const
{
    return step.gang || step.latestStart - now < pressed;
}

int64_t RoomMaker::fits(const ReadyStep& step, const ExecutorRoom& it, const ResourceVector& room) const
{
    const auto n = step.need.timesIn(room, unboundedTasks);
    if (n == 0 || step.maxPerExecutor == 0)
        return n;
    const auto here = static_cast<int64_t>(m_constraints.countOn(step.key, it.number));
    return std::max<int64_t>(0, std::min<int64_t>(n, static_cast<int64_t>(step.maxPerExecutor) - here));
}

int64_t RoomMaker::claimedIn(size_t room, const std::vector<Claim>& claims)
{
    const auto it = std::find_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.room == room; });
    return it == claims.end() ? 0 : it->tasks;
}

int64_t RoomMaker::claim(const ReadyStep& step, int64_t wanted, std::span<const size_t> rooms, bool countSoon,
    std::vector<Claim>& claims) const
{
    std::vector<Claim> found;
    for (const auto n : rooms) {
        if (isKept(n))
            continue;
        const auto& room = m_rooms[n];
        auto space = room.free + room.stopping - room.claimed;
        if (countSoon)
            space += room.soon;
        if (const auto tasks = fits(step, room, space) - claimedIn(n, claims); tasks > 0)
            found.push_back({ n, tasks });
    }
    // Those that hold most first, so that few executors are kept.
    std::stable_sort(found.begin(), found.end(), [](const Claim& a, const Claim& b) { return a.tasks > b.tasks; });
    for (const auto& it : found) {
        if (wanted <= 0)
            break;
        const auto tasks = std::min(wanted, it.tasks);
        const auto known
            = std::find_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.room == it.room; });
        if (known == claims.end())
            claims.push_back({ it.room, tasks });
        else
            known->tasks += tasks;
        wanted -= tasks;
    }
    return wanted;
}

const std::vector<YieldingRun>& RoomMaker::yieldingIn(size_t room)
{
    const auto [it, isNew] = m_yielding.try_emplace(room);
    if (isNew)
        it->second = m_constraints.yielding(m_rooms[room].number);
    return it->second;
}

std::vector<RoomMaker::Yield> RoomMaker::yieldsOf(
    const ReadyStep& step, std::span<const size_t> rooms, const std::vector<Claim>& claims, Instant now)
{
    std::vector<Yield> out;
    for (const auto n : rooms) {
        if (isKept(n))
            continue;
        const auto& room = m_rooms[n];
        const auto& yielding = yieldingIn(n);
        if (yielding.empty())
            continue;
        Yield it { n, yielding, 0 };
        std::erase_if(it.runs, [&](const YieldingRun& run) {
            return run.latestStart - now < m_options.restoreTime + yieldSlack || run.latestStart < step.latestStart;
        });
        if (it.runs.empty())
            continue;
        auto space = room.free + room.stopping - room.claimed;
        for (const auto& run : it.runs)
            space += run.need;
        it.tasks = fits(step, room, space) - claimedIn(n, claims);
        if (it.tasks <= 0)
            continue;
        std::stable_sort(it.runs.begin(), it.runs.end(),
            [](const YieldingRun& a, const YieldingRun& b) { return a.latestStart > b.latestStart; });
        out.push_back(std::move(it));
    }
    std::stable_sort(out.begin(), out.end(), [](const Yield& a, const Yield& b) { return a.tasks > b.tasks; });
    return out;
}

void RoomMaker::stopFor(const ReadyStep& step, int64_t wanted, const std::vector<Yield>& yields,
    std::vector<Claim>& claims, std::vector<PlannedStop>& stops)
{
    for (const auto& it : yields) {
        if (wanted <= 0)
            return;
        auto& room = m_rooms[it.room];
        const auto before = claimedIn(it.room, claims);
        const auto tasks = std::min(wanted, it.tasks);
        for (const auto& run : it.runs) {
            if (fits(step, room, room.free + room.stopping - room.claimed) >= before + tasks)
                break;
            room.stopping += run.need;
            stops.push_back({ run.task, room.number, step.key });
            std::erase_if(m_yielding[it.room], [&](const YieldingRun& other) { return other.task == run.task; });
        }
        const auto known
            = std::find_if(claims.begin(), claims.end(), [&](const Claim& c) { return c.room == it.room; });
        if (known == claims.end())
            claims.push_back({ it.room, tasks });
        else
            known->tasks += tasks;
        wanted -= tasks;
    }
}

void RoomMaker::keep(const ReadyStep& step, const std::vector<Claim>& claims)
{
    for (const auto& it : claims) {
        m_rooms[it.room].claimed += step.need * it.tasks;
        m_kept.insert(it.room);
    }
}

void RoomMaker::makeRoom(
    const ReadyStep& step, int64_t wanted, std::span<const size_t> rooms, Instant now, std::vector<PlannedStop>& stops)
{
    const auto mostKept = static_cast<size_t>(static_cast<double>(m_rooms.size()) * mostKeptShare);
    const bool cannotWait = isPressed(step, now);
    if (m_kept.size() >= mostKept || !(step.gang || cannotWait))
        return;
    std::vector<Claim> claims;
    auto left = claim(step, wanted, rooms, false, claims);
    if (left > 0 && cannotWait) {
        const auto yields = yieldsOf(step, rooms, claims, now);
        int64_t most = 0;
        for (const auto& it : yields)
            most += it.tasks;
        if (!step.gang || most >= left) {
            stopFor(step, left, yields, claims, stops);
            left = 0;
        }
    }
    if (left > 0 && step.gang)
        claim(step, left, rooms, true, claims);
    keep(step, claims);
}

} // namespace teasel
