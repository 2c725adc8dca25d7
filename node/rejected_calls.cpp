#include "node/rejected_calls.h"

#include <utility>

namespace teasel {

void RejectedCalls::add(const schema::CallOrigin& call, schema::RoutedAnswer answer)
{
    auto key = keyOf(call);
    if (!m_answers.emplace(key, std::move(answer)).second)
        return;
    m_order.push_back(std::move(key));
    if (m_order.size() > m_maxCalls) {
        m_answers.erase(m_order.front());
        m_order.pop_front();
    }
}

const schema::RoutedAnswer* RejectedCalls::find(const schema::CallOrigin& call) const
{
    const auto it = m_answers.find(keyOf(call));
    return it == m_answers.end() ? nullptr : &it->second;
}

void RejectedCalls::onBecameLeader()
{
    m_answers.clear();
    m_order.clear();
}

} // namespace teasel
