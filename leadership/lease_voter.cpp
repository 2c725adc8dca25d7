#include "leadership/lease_voter.h"

#include <algorithm>

namespace teasel {

LeaseVoter::LeaseVoter(LeaseVoterOptions options, Instant start)
    : m_options(options)
    , m_votesFrom(start + options.lease)
{
}

void LeaseVoter::restart(Instant now) { m_votesFrom = now + m_options.lease; }

std::optional<schema::LeadershipMessage> LeaseVoter::onMessage(
    std::string_view from, const schema::LeadershipMessage& message, Instant now)
{
    if (message.has_request())
        return answerRequest(from, message, now);
    if (message.has_release())
        handleRelease(from, message, now);
    return std::nullopt;
}

bool LeaseVoter::mayVoteFor(
    std::string_view candidate, Epoch epoch, bool renewal, const Promise& promise, Instant now) const
{
    if (now < m_votesFrom)
        return false;
    if (promise.holder == candidate && promise.epoch == epoch)
        return true;
    const bool expired = promise.expiresAt <= now;
    if (!expired && promise.holder != candidate)
        return false;
    if (promise.successorUntil > now && promise.successor != candidate)
        return false;
    // A leader renews without a gap, so no other instance can have led after it: a higher epoch seen here belongs to a
    // failed campaign.
    return epoch > promise.epoch || (renewal && expired);
}

schema::LeadershipMessage LeaseVoter::answerRequest(
    std::string_view from, const schema::LeadershipMessage& message, Instant now)
{
    auto& promise = m_promises[message.data_centre()];
    const bool granted = mayVoteFor(from, message.epoch(), message.request().renewal(), promise, now);
    if (granted) {
        promise.holder = from;
        promise.epoch = message.epoch();
        promise.expiresAt = now + m_options.lease;
        promise.successorUntil = {};
    }
    schema::LeadershipMessage answer;
    answer.set_data_centre(message.data_centre());
    answer.set_epoch(message.epoch());
    auto& reply = *answer.mutable_reply();
    reply.set_sequence(message.request().sequence());
    reply.set_granted(granted);
    reply.set_lease_ms(static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(m_options.lease).count()));
    reply.set_seen_epoch(promise.epoch);
    return answer;
}

void LeaseVoter::handleRelease(std::string_view from, const schema::LeadershipMessage& message, Instant now)
{
    const auto it = m_promises.find(message.data_centre());
    if (it == m_promises.end() || it->second.holder != from || it->second.epoch != message.epoch())
        return;
    it->second.expiresAt = now;
    it->second.successor = message.release().successor();
    if (!it->second.successor.empty())
        it->second.successorUntil = now + m_options.successorReservation;
}

std::string_view LeaseVoter::holder(std::string_view dataCentre, Instant now) const
{
    const auto it = m_promises.find(std::string(dataCentre));
    if (it == m_promises.end() || it->second.expiresAt <= now)
        return {};
    return it->second.holder;
}

Epoch LeaseVoter::promisedEpoch(std::string_view dataCentre) const
{
    const auto it = m_promises.find(std::string(dataCentre));
    return it == m_promises.end() ? 0 : it->second.epoch;
}

} // namespace teasel
