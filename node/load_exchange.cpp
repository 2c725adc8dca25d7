#include "node/load_exchange.h"

#include <utility>

namespace teasel {

LoadExchange::LoadExchange(LoadExchangeOptions options, Send send, MakeSummary makeSummary)
    : m_options(std::move(options))
    , m_send(std::move(send))
    , m_makeSummary(std::move(makeSummary))
{
}

void LoadExchange::onSummary(std::string_view from, const schema::LoadSummary& summary, Instant now)
{
    m_leaders[summary.data_centre()] = { std::string(from), now };
}

void LoadExchange::onTick(Instant now)
{
    if (now < m_nextSend)
        return;
    m_nextSend = now + m_options.sendInterval;
    const auto summary = m_makeSummary();
    for (const auto& [dataCentre, members] : m_options.members) {
        if (dataCentre == m_options.dataCentre)
            continue;
        const auto known = m_leaders.find(dataCentre);
        if (known != m_leaders.end() && now - known->second.lastContactAt < m_options.leaderTimeout) {
            m_send(known->second.instance, summary);
            continue;
        }
        for (const auto& it : members)
            m_send(it, summary);
    }
}

} // namespace teasel
