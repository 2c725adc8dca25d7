#include "jobs/executor_claims.h"

#include <utility>

namespace teasel {

ExecutorClaims::Key ExecutorClaims::keyOf(const ExecutorClaim& it)
{
    return { it.record.id(), it.record.born_ms(), it.record.address() };
}

uint32_t ExecutorClaims::add(ExecutorClaim claim)
{
    const auto [known, isNew] = m_numbers.try_emplace(keyOf(claim), m_lastNumber + 1);
    const auto number = known->second;
    if (isNew) {
        ++m_lastNumber;
        claim.nextProbeAt = claim.announcedAt;
        m_claims[number].claim = std::move(claim);
        if (m_claims.size() > maxClaims)
            remove(m_claims.begin()->first);
        return number;
    }
    auto& it = m_claims.at(number).claim;
    it.announcedAt = claim.announcedAt;
    if (claim.sequence > it.sequence) {
        it.record = std::move(claim.record);
        it.sequence = claim.sequence;
        it.coldUntil = claim.coldUntil;
    }
    return number;
}

ExecutorClaim* ExecutorClaims::find(uint32_t number)
{
    const auto it = m_claims.find(number);
    return it == m_claims.end() ? nullptr : &it->second.claim;
}

std::optional<uint32_t> ExecutorClaims::find(const std::string& id, uint64_t bornMs, const std::string& address) const
{
    const auto it = m_numbers.find(Key { id, bornMs, address });
    return it == m_numbers.end() ? std::nullopt : std::optional(it->second);
}

void ExecutorClaims::remove(uint32_t number)
{
    const auto it = m_claims.find(number);
    if (it == m_claims.end())
        return;
    m_numbers.erase(keyOf(it->second.claim));
    m_probes.erase(it->second.probe);
    m_claims.erase(it);
}

ExecutorClaim ExecutorClaims::take(uint32_t number)
{
    auto out = m_claims.at(number).claim;
    remove(number);
    return out;
}

void ExecutorClaims::clear()
{
    m_claims.clear();
    m_numbers.clear();
    m_probes.clear();
}

void ExecutorClaims::recordProbe(uint32_t number, uint64_t order, Instant now, Instant retryAt)
{
    auto& it = m_claims.at(number);
    m_probes.erase(it.probe);
    it.probe = order;
    it.claim.probedAt = now;
    it.claim.nextProbeAt = retryAt;
    m_probes[order] = number;
}

std::optional<uint32_t> ExecutorClaims::takeProbe(uint64_t order)
{
    const auto it = m_probes.find(order);
    if (it == m_probes.end())
        return std::nullopt;
    const auto number = it->second;
    m_probes.erase(it);
    m_claims.at(number).probe = 0;
    return number;
}

std::vector<uint32_t> ExecutorClaims::dueForProbe(Instant now) const
{
    std::vector<uint32_t> out;
    for (const auto& [number, it] : m_claims) {
        if (now >= it.claim.nextProbeAt)
            out.push_back(number);
    }
    return out;
}

std::vector<ExecutorClaim> ExecutorClaims::takeOlderThan(Instant time)
{
    std::vector<uint32_t> numbers;
    std::vector<ExecutorClaim> out;
    for (const auto& [number, it] : m_claims) {
        if (it.claim.announcedAt >= time)
            continue;
        numbers.push_back(number);
        out.push_back(it.claim);
    }
    for (const auto number : numbers)
        remove(number);
    return out;
}

} // namespace teasel
