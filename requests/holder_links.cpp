#include "requests/holder_links.h"

#include <algorithm>

namespace teasel {

namespace {

    HolderLink makeLink(std::string name, uint64_t incarnation)
    {
        HolderLink link;
        link.name = std::move(name);
        link.incarnation = incarnation;
        return link;
    }

} // namespace

void HolderLinks::reset(Epoch epoch)
{
    m_epoch = epoch;
    for (auto& it : m_links)
        it = makeLink(it.name, 0);
}

HolderId HolderLinks::idOf(std::string_view holder)
{
    const auto [it, inserted] = m_byName.try_emplace(std::string(holder), static_cast<HolderId>(m_links.size()));
    if (inserted)
        m_links.push_back(makeLink(it->first, 0));
    return it->second;
}

const HolderLink* HolderLinks::find(const std::string& holder) const
{
    const auto it = m_byName.find(holder);
    return it == m_byName.end() ? nullptr : &m_links[it->second];
}

BatchStatus HolderLinks::receive(HolderId id, const schema::TicketBatch& batch, Instant now)
{
    auto& link = m_links[id];
    if (batch.epoch() != m_epoch || batch.holder_incarnation() < link.incarnation)
        return BatchStatus::Stale;
    if (batch.holder_incarnation() > link.incarnation)
        link = makeLink(link.name, batch.holder_incarnation());
    if (batch.batch() <= link.lastBatch)
        return BatchStatus::Stale;
    link.needsSend = true;
    if (!batch.full() && (!link.inSync || batch.batch() != link.lastBatch + 1)) {
        requestFullBatch(id);
        return BatchStatus::Gap;
    }
    link.lastBatch = batch.batch();
    link.acknowledgedGrants = std::max(link.acknowledgedGrants, batch.acknowledged_grants());
    while (!link.unconfirmed.empty() && link.unconfirmed.front().batch <= link.acknowledgedGrants)
        link.unconfirmed.pop_front();
    link.startedAt = now - Milliseconds(batch.holder_up_ms());
    if (!batch.full())
        return BatchStatus::Next;
    link.inSync = true;
    link.next.set_send_full(false);
    return BatchStatus::Full;
}

void HolderLinks::addGrant(HolderId id, schema::Grant grant)
{
    auto& link = m_links[id];
    *link.next.add_grants() = std::move(grant);
    link.needsSend = true;
}

void HolderLinks::addRefusal(HolderId id, schema::Refusal refusal)
{
    auto& link = m_links[id];
    *link.next.add_refusals() = std::move(refusal);
    link.needsSend = true;
}

void HolderLinks::requestFullBatch(HolderId id)
{
    m_links[id].next.set_send_full(true);
    m_links[id].needsSend = true;
}

void HolderLinks::onTick(Instant now)
{
    for (size_t n = 0; n < m_links.size(); ++n) {
        auto& link = m_links[n];
        if (link.unconfirmed.empty() || now < link.unconfirmed.front().sentAt + acknowledgementTimeout)
            continue;
        link.unconfirmed.front().sentAt = now;
        requestFullBatch(static_cast<HolderId>(n));
    }
}

std::vector<HolderLinks::Outgoing> HolderLinks::takeBatches(Instant now)
{
    std::vector<Outgoing> batches;
    for (auto& link : m_links) {
        if (!link.needsSend)
            continue;
        if (link.next.grants_size() + link.next.refusals_size() > 0)
            link.unconfirmed.push_back({ link.nextBatch, now });
        link.next.set_epoch(m_epoch);
        link.next.set_acknowledged_batch(link.lastBatch);
        link.next.set_holder_incarnation(link.incarnation);
        link.next.set_batch(link.nextBatch++);
        batches.push_back({ link.name, std::move(link.next) });
        link.next.Clear();
        link.needsSend = false;
    }
    return batches;
}

} // namespace teasel
