#include "jobs/start_planner.h"

#include <algorithm>
#include <numeric>

namespace teasel {

namespace {

    constexpr double mostReservedShare = 0.4; // of the executors, held back for gangs at once
    constexpr int64_t unboundedTasks = 1'000'000;

    bool isLate(const ReadyStep& it, Instant now) { return it.latestStart < now; }

    // Whether `a` goes before `b`.
    bool goesBefore(const ReadyStep& a, const ReadyStep& b, Instant now)
    {
        if (isLate(a, now) != isLate(b, now))
            return isLate(b, now);
        // The most urgent queue wants little of the fleet and can wait least.
        if ((a.priority == 0) != (b.priority == 0))
            return a.priority == 0;
        if (a.latestStart != b.latestStart)
            return a.latestStart < b.latestStart;
        return a.key < b.key;
    }

} // namespace

void sortByUrgency(std::vector<const ReadyStep*>& steps, Instant now)
{
    std::sort(steps.begin(), steps.end(), [&](const auto* a, const auto* b) { return goesBefore(*a, *b, now); });
}

std::vector<PlannedStart> StartPlanner::plan(const std::vector<const ReadyStep*>& steps, Instant now)
{
    std::vector<PlannedStart> out;
    for (const auto* it : steps) {
        if (it->notBefore <= now && !it->waiting.empty())
            planStep(*it, now, out);
    }
    return out;
}

StartPlanner::StartPlanner(std::vector<ExecutorRoom>& rooms, const StartConstraints& constraints)
    : m_rooms(rooms)
    , m_constraints(constraints)
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

std::vector<StartPlanner::Place> StartPlanner::placesFor(const ReadyStep& step, Instant now) const
{
    std::vector<Place> out;
    if (!step.need.fitsIn(m_largestFree))
        return out;
    for (const auto n : roomsOf(m_constraints.allowedNow(step))) {
        const auto& room = m_rooms[n];
        if (!step.need.fitsIn(room.free) || !suits(step, room))
            continue;
        const auto reserved = m_reserved.find(room.number);
        if (reserved != m_reserved.end() && reserved->second < step.latestStart)
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
        slowness *= 1.5;
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

void StartPlanner::planStep(const ReadyStep& step, Instant now, std::vector<PlannedStart>& out)
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
    auto places = placesFor(step, now);
    keepWholeOnOneRack(step, static_cast<size_t>(wanted), places);
    int64_t fits = 0;
    for (const auto& it : places)
        fits += it.most;
    if (step.gang && fits < wanted) {
        reserveFor(step, now);
        return;
    }
    auto index = step.waiting.begin();
    for (const auto& place : places) {
        auto& room = m_rooms[place.room];
        for (int64_t n = 0; n < place.most && wanted > 0; ++n, --wanted, ++index) {
            out.push_back({ { step.key, *index }, room.number });
            room.free -= step.need;
            m_plannedOfTeam[step.team] += step.need;
        }
        if (wanted == 0)
            break;
    }
}

void StartPlanner::reserveFor(const ReadyStep& step, Instant now)
{
    if (!step.gang || isLate(step, now))
        return;
    struct Candidate {
        size_t room = 0;
        int64_t fits = 0; // tasks, soon
    };
    std::vector<Candidate> candidates;
    const auto most = static_cast<size_t>(static_cast<double>(m_rooms.size()) * mostReservedShare);
    if (m_reserved.size() >= most)
        return;
    for (const auto n : roomsOf(m_constraints.allowedLater(step))) {
        const auto& room = m_rooms[n];
        if (m_reserved.contains(room.number) || !suits(step, room))
            continue;
        auto fits = step.need.timesIn(room.free + room.soon, unboundedTasks);
        if (step.maxPerExecutor > 0)
            fits = std::min<int64_t>(fits, step.maxPerExecutor);
        if (fits > 0)
            candidates.push_back({ n, fits });
    }
    // Those that hold most of the gang first, so that few executors wait.
    std::stable_sort(
        candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) { return a.fits > b.fits; });
    auto wanted = static_cast<int64_t>(step.waiting.size());
    for (const auto& it : candidates) {
        if (wanted <= 0 || m_reserved.size() >= most)
            return;
        m_reserved[m_rooms[it.room].number] = step.latestStart;
        wanted -= it.fits;
    }
}

} // namespace teasel
