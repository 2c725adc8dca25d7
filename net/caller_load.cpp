#include "net/caller_load.h"

namespace teasel {

CallerLoad::Id CallerLoad::open(int fd)
{
    const auto id = ++m_lastId;
    auto& it = m_connections[id] = { fd, Phase::Idle, ++m_sequence };
    ++m_openCount;
    list(id, it);
    if (m_openCount > m_maxConnections)
        beginClosing(m_closable.begin()->second);
    return id;
}

void CallerLoad::close(Id id)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    unlist(id, it->second);
    m_bytes -= it->second.bytes;
    m_openCount -= it->second.isClosing ? 0 : 1;
    std::erase(m_closing, it->second.fd);
    m_connections.erase(it);
}

void CallerLoad::setPhase(Id id, Phase phase)
{
    auto& it = m_connections.at(id);
    unlist(id, it);
    it.phase = phase;
    it.hadRequest = it.hadRequest || phase != Phase::Idle;
    it.since = ++m_sequence;
    list(id, it);
}

bool CallerLoad::reserve(Id id, size_t bytes)
{
    auto& it = m_connections.at(id);
    if (it.isClosing)
        return false;
    unlist(id, it);
    it.bytes += bytes;
    m_bytes += bytes;
    list(id, it);
    while (m_bytes > m_maxBytes) {
        if (m_closableWithBytes.empty() || m_closableWithBytes.begin()->second == id) {
            unlist(id, it);
            it.bytes -= bytes;
            m_bytes -= bytes;
            list(id, it);
            return false;
        }
        beginClosing(m_closableWithBytes.begin()->second);
    }
    return true;
}

void CallerLoad::release(Id id)
{
    auto& it = m_connections.at(id);
    unlist(id, it);
    m_bytes -= std::exchange(it.bytes, 0);
    list(id, it);
}

std::vector<int> CallerLoad::idleAfterRequest() const
{
    std::vector<int> out;
    for (const auto& [id, it] : m_connections) {
        if (it.phase == Phase::Idle && it.hadRequest)
            out.push_back(it.fd);
    }
    return out;
}

void CallerLoad::list(Id id, const Connection& it)
{
    if (it.isClosing || it.phase == Phase::Waiting)
        return;
    m_closable.emplace(it.since, id);
    if (it.bytes > 0)
        m_closableWithBytes.emplace(it.since, id);
}

void CallerLoad::unlist(Id id, const Connection& it)
{
    m_closable.erase({ it.since, id });
    m_closableWithBytes.erase({ it.since, id });
}

void CallerLoad::beginClosing(Id id)
{
    auto& it = m_connections.at(id);
    unlist(id, it);
    it.isClosing = true;
    --m_openCount;
    m_bytes -= std::exchange(it.bytes, 0); // freed as soon as the server's thread notices
    m_closing.push_back(it.fd);
}

} // namespace teasel
