#include "requests/remote_load.h"

namespace teasel {

void RemoteLoad::onSummary(const schema::LoadSummary& summary, FairQueue& queue, Instant now)
{
    auto& heard = m_summaries[summary.data_centre()];
    if (summary.epoch() < heard.summary.epoch())
        return;
    if (summary.epoch() == heard.summary.epoch() && now < heard.at + kept)
        charge(heard.summary, summary, queue, now);
    heard = { now, summary };
}

void RemoteLoad::charge(
    const schema::LoadSummary& before, const schema::LoadSummary& after, FairQueue& queue, Instant now)
{
    std::map<TeamId, uint64_t> used;
    for (const auto& it : before.teams())
        used[it.team_id()] = it.slot_ms();
    for (const auto& it : after.teams()) {
        const auto former = used.find(it.team_id());
        const auto since = former == used.end() ? 0 : former->second;
        if (it.slot_ms() > since)
            queue.onUsedElsewhere(it.team_id(), Milliseconds(it.slot_ms() - since), now);
    }
}

FleetSize RemoteLoad::fleetSize(uint32_t ownSlots, Instant now) const
{
    FleetSize size { ownSlots, ownSlots, 1 };
    for (const auto& it : m_summaries) {
        if (it.second.at + kept <= now)
            continue;
        size.allSlots += it.second.summary.total_slots();
        ++size.dataCentres;
    }
    return size;
}

} // namespace teasel
