#include "jobs/start_planner.h"

#include <algorithm>
#include <numeric>

namespace teasel {

namespace {

    constexpr int64_t unboundedTasks = 1'000'000;

    constexpr Milliseconds pressed { 2'500 }; // less slack than several rounds of stops and tickets take

    // In which order steps are served; within a rank, by the latest start.
    enum class Rank : uint8_t {
        MostUrgentQueue = 0, // wants little of the fleet and can wait least
        Pressed = 1, // also gangs, whose room is hard to find: they don't wait until they must
        LateGang = 2, // is still worth something, and its room never comes free by itself
        Relaxed = 3,
        Late = 4,
    };

    Rank rankOf(const ReadyStep& it, Instant now)
    {
        if (it.latestStart < now)
            return it.gang && now < it.worthlessAt ? Rank::LateGang : Rank::Late;
        if (it.priority == 0)
            return Rank::MostUrgentQueue;
        return it.gang || it.latestStart - now < pressed ? Rank::Pressed : Rank::Relaxed;
    }

    // Whether `a` goes before `b`.
    bool goesBefore(const ReadyStep& a, const ReadyStep& b, Instant now)
    {
        const auto rankA = rankOf(a, now);
        const auto rankB = rankOf(b, now);
        if (rankA != rankB)
            return rankA < rankB;
        if (a.latestStart != b.latestStart)
            return a.latestStart < b.latestStart;
        return a.key < b.key;
    }

} // namespace

void sortByUrgency(std::vector<const ReadyStep*>& steps, Instant now)
{
    std::sort(steps.begin(), steps.end(), [&](const auto* a, const auto* b) { return goesBefore(*a, *b, now); });
}

StartPlan StartPlanner::plan(const std::vector<const ReadyStep*>& steps, Instant now)
{
    StartPlan out;
    for (const auto* it : steps) {
        if (!it->waiting.empty())
            planStep(*it, now, out);
    }
    return out;
}

StartPlanner::StartPlanner(
    std::vector<ExecutorRoom>& rooms, const StartConstraints& constraints, StartPlannerOptions options)
    : m_rooms(rooms)
    , m_constraints(constraints)
    , m_options(options)
    , m_roomMaker(rooms, constraints, options.room)
{
    for (size_t n = 0; n < rooms.size(); ++n) {
        m_roomOf[rooms[n].number] = n;
        for (size_t kind = 0; kind < ResourceVector::kinds; ++kind)
            m_largestFree.amounts[kind] = std::max(m_largestFree.amounts[kind], rooms[n].free.amounts[kind]);
    }
}

std::vector<size_t> StartPlanner::roomsOf(const std::optional<std::vector<uint32_t>>& executors) const
{
    std::vector<size_t> out;
    if (!executors) {
        out.resize(m_rooms.size());
        std::iota(out.begin(), out.end(), 0);
        return out;
    }
    for (const auto number : *executors) {
        if (const auto it = m_roomOf.find(number); it != m_roomOf.end())
            out.push_back(it->second);
    }
    return out;
}

bool StartPlanner::suits(const ReadyStep& step, const ExecutorRoom& room) const
{
    if (room.service != step.service || !step.need.fitsIn(room.capacity))
        return false;
    return step.requiredLabel.empty()
        || std::find(room.labels->begin(), room.labels->end(), step.requiredLabel) != room.labels->end();
}

std::vector<StartPlanner::Place> StartPlanner::placesFor(const ReadyStep& step, Instant now, uint64_t& visits) const
{
    std::vector<Place> out;
    if (!step.need.fitsIn(m_largestFree))
        return out;
    for (const auto n : roomsOf(m_constraints.allowedNow(step))) {
        ++visits;
        const auto& room = m_rooms[n];
        if (!step.need.fitsIn(room.free) || !suits(step, room))
            continue;
        if (m_roomMaker.isKept(n))
            continue;
        auto most = step.need.timesIn(room.free, unboundedTasks);
        if (step.maxPerExecutor > 0)
            most = std::min<int64_t>(most, int64_t(step.maxPerExecutor) - m_constraints.countOn(step.key, room.number));
        if (most > 0)
            out.push_back({ n, most, scoreOf(step, room, now) });
    }
    std::sort(out.begin(), out.end(), [&](const Place& a, const Place& b) {
        return a.score != b.score ? a.score > b.score : m_rooms[a.room].number < m_rooms[b.room].number;
    });
    return out;
}

double StartPlanner::scoreOf(const ReadyStep& step, const ExecutorRoom& room, Instant now) const
{
    // Fast and near the data first, the more so the less time is left; then the
    // fullest, which keeps large holes for wide tasks.
    double slowness = room.slowness;
    if (!step.dataRack.empty() && step.dataRack != room.rack)
        slowness *= m_options.remoteFactor;
    const double leftMs = std::chrono::duration<double, std::milli>(step.latestStart - now).count() + step.taskMs;
    const bool endsInTime = step.taskMs * slowness <= leftMs;
    const double fill = 1 - (room.free - step.need).dominantShareOf(room.capacity);
    return (endsInTime ? 4.0 : 0.0) - slowness + fill - (room.isDegraded ? 8.0 : 0.0);
}

void StartPlanner::keepWholeOnOneRack(const ReadyStep& step, size_t wanted, std::vector<Place>& places) const
{
    if (!step.sameRack)
        return;
    absl::flat_hash_map<std::string_view, int64_t> room;
    for (const auto& it : places)
        room[m_rooms[it.room].rack] += it.most;
    for (const auto& it : places) {
        const auto rack = m_rooms[it.room].rack;
        if (room[rack] < static_cast<int64_t>(wanted))
            continue;
        std::erase_if(places, [&](const Place& other) { return m_rooms[other.room].rack != rack; });
        return;
    }
}

void StartPlanner::planStep(const ReadyStep& step, Instant now, StartPlan& out)
{
    const auto planned = m_plannedOfTeam[step.team];
    int64_t allowed = m_constraints.leftOfCap(step.team, step.need);
    for (size_t n = 0; n < ResourceVector::kinds; ++n) {
        if (step.need.amounts[n] > 0 && planned.amounts[n] > 0)
            allowed -= (planned.amounts[n] + step.need.amounts[n] - 1) / step.need.amounts[n];
    }
    auto wanted = std::min<int64_t>(allowed, static_cast<int64_t>(step.waiting.size()));
    if (wanted <= 0 || (step.gang && wanted < static_cast<int64_t>(step.count)))
        return;
    auto places = placesFor(step, now, out.visits);
    keepWholeOnOneRack(step, static_cast<size_t>(wanted), places);
    int64_t fits = 0;
    for (const auto& it : places)
        fits += it.most;
    if (step.gang && fits < wanted) {
        makeRoom(step, wanted, now, out);
        return;
    }
    auto index = step.waiting.begin();
    for (const auto& place : places) {
        auto& room = m_rooms[place.room];
        for (int64_t n = 0; n < place.most && wanted > 0; ++n, --wanted, ++index) {
            out.starts.push_back({ { step.key, *index }, room.number });
            room.free -= step.need;
            m_plannedOfTeam[step.team] += step.need;
        }
        if (wanted == 0)
            return;
    }
    makeRoom(step, wanted, now, out);
}

void StartPlanner::makeRoom(const ReadyStep& step, int64_t wanted, Instant now, StartPlan& out)
{
    if (rankOf(step, now) == Rank::Late)
        return;
    auto rooms = roomsOf(m_constraints.allowedLater(step));
    std::erase_if(rooms, [&](size_t n) { return !suits(step, m_rooms[n]); });
    out.visits += rooms.size();
    m_roomMaker.makeRoom(step, wanted, rooms, now, out.stops);
}

} // namespace teasel
