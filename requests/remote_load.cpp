#include "requests/remote_load.h"

namespace teasel {

void RemoteLoad::onSummary(const schema::LoadSummary& summary, FairQueue& queue, Instant now)
{
    auto& received = m_summaries[summary.data_centre()];
    if (summary.epoch() < received.summary.epoch())
        return;
    if (summary.epoch() == received.summary.epoch() && now < received.receivedAt + summaryLifetime)
        chargeUsage(received.summary, summary, queue, now);
    received = { now, summary };
}

void RemoteLoad::chargeUsage(
    const schema::LoadSummary& before, const schema::LoadSummary& after, FairQueue& queue, Instant now)
{
    std::map<TeamId, uint64_t> used;
    for (const auto& it : before.teams())
        used[it.team_id()] = it.slot_ms();
    for (const auto& it : after.teams()) {
        const auto previous = used.find(it.team_id());
        const auto previousSlotMs = previous == used.end() ? 0 : previous->second;
        if (it.slot_ms() > previousSlotMs)
            queue.onRemoteUsage(it.team_id(), Milliseconds(it.slot_ms() - previousSlotMs), now);
    }
}

FleetSize RemoteLoad::fleetSize(uint32_t ownSlots, Instant now) const
{
    FleetSize size { ownSlots, ownSlots, 1 };
    for (const auto& it : m_summaries) {
        if (it.second.receivedAt + summaryLifetime <= now)
            continue;
        size.allSlots += it.second.summary.total_slots();
        ++size.dataCentres;
    }
    return size;
}

} // namespace teasel
