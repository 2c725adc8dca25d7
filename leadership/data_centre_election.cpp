#include "leadership/data_centre_election.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace teasel {

namespace {

    constexpr size_t s_maxRequestRounds = 8;

} // namespace

DataCentreElection::DataCentreElection(ElectionOptions options, Instant start)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_voter(m_options.voter, start)
    , m_fleetStateVotes(m_options.members.size() % 2 == 0)
    , m_voters(m_options.members.size() + (m_fleetStateVotes ? 1 : 0))
    , m_nextCampaign(start)
{
}

void DataCentreElection::onTick(Instant now, WallTime wallNow)
{
    if (m_leading && now >= m_leaseUntil)
        loseLeadership();
    if (m_campaigning && now >= m_campaignDeadline)
        abandonCampaign(now);
    if (m_leading || m_campaigning) {
        if (now >= m_nextRenewal)
            sendRequests(now);
        return;
    }
    const bool hasNoLeader = m_voter.holder(m_options.dataCentre, now).empty();
    if (hasNoLeader && !m_resigned && now >= m_nextCampaign)
        startCampaign(now, wallNow);
}

void DataCentreElection::startCampaign(Instant now, WallTime wallNow)
{
    // Instances store nothing on disk: epochs start from the wall time, so that they keep rising across restarts.
    const auto wallTime = static_cast<Epoch>(wallNow.time_since_epoch().count());
    m_highestSeenEpoch = std::max(m_highestSeenEpoch, m_voter.promisedEpoch(m_options.dataCentre));
    m_epoch = std::max(m_highestSeenEpoch + 1, wallTime);
    m_highestSeenEpoch = m_epoch;
    m_campaigning = true;
    m_campaignDeadline = now + m_options.campaignTimeout;
    m_rounds.clear();
    sendRequests(now);
}

void DataCentreElection::abandonCampaign(Instant now)
{
    m_campaigning = false;
    releaseAll({}, now);
    const auto delay = m_random.below(static_cast<uint64_t>(m_options.maxCampaignDelay.count()));
    m_nextCampaign = now + Duration(static_cast<int64_t>(delay));
}

void DataCentreElection::sendRequests(Instant now)
{
    m_nextRenewal = now + m_options.renewInterval;
    ++m_sequence;
    if (m_rounds.size() >= s_maxRequestRounds)
        m_rounds.clear();
    m_rounds[m_sequence].sentAt = now;
    schema::LeadershipMessage message;
    message.set_data_centre(m_options.dataCentre);
    message.set_epoch(m_epoch);
    message.mutable_request()->set_sequence(m_sequence);
    message.mutable_request()->set_renewal(m_leading);
    broadcast(message, now);
}

void DataCentreElection::broadcast(const schema::LeadershipMessage& message, Instant now)
{
    for (const auto& it : m_options.members) {
        if (it != m_options.self)
            m_actions.emplace_back(SendLeadership { it, message });
    }
    if (m_fleetStateVotes)
        m_actions.emplace_back(SendLeadership { {}, message });
    castOwnVote(message, now);
}

void DataCentreElection::castOwnVote(const schema::LeadershipMessage& message, Instant now)
{
    if (const auto answer = m_voter.onMessage(m_options.self, message, now))
        onReply(m_options.self, *answer, now);
}

void DataCentreElection::onMessage(std::string_view from, const schema::LeadershipMessage& message, Instant now)
{
    if (message.data_centre() != m_options.dataCentre)
        return;
    m_lastContactAt[std::string(from)] = now;
    if (message.has_reply()) {
        onReply(from, message, now);
        return;
    }
    m_highestSeenEpoch = std::max(m_highestSeenEpoch, message.epoch());
    if (auto answer = m_voter.onMessage(from, message, now))
        m_actions.emplace_back(SendLeadership { std::string(from), std::move(*answer) });
    // A leadership that was released in favour of this instance is taken over at once.
    if (message.has_release() && message.release().successor() == m_options.self)
        m_nextCampaign = now;
}

void DataCentreElection::onReply(std::string_view from, const schema::LeadershipMessage& message, Instant now)
{
    const auto& reply = message.reply();
    m_highestSeenEpoch = std::max(m_highestSeenEpoch, reply.seen_epoch());
    if (message.epoch() != m_epoch || !reply.granted() || (!m_leading && !m_campaigning))
        return;
    const auto it = m_rounds.find(reply.sequence());
    if (it == m_rounds.end())
        return;
    it->second.granted.insert(std::string(from));
    if (it->second.granted.size() >= majority())
        extendLease(it->second, now);
}

void DataCentreElection::extendLease(const RequestRound& round, Instant now)
{
    const auto until = round.sentAt + m_options.voter.lease - m_options.clockMargin;
    // An expired lease is not extended: another instance may have led since.
    if (until <= now || (m_leading && now >= m_leaseUntil))
        return;
    m_leaseUntil = std::max(m_leaseUntil, until);
    assertLeaseWithinPromises(now);
    if (m_leading)
        return;
    m_leading = true;
    m_campaigning = false;
    m_actions.emplace_back(LeadershipGained { m_epoch });
}

void DataCentreElection::assertLeaseWithinPromises(Instant now) const
{
    checkInvariant(m_leaseUntil <= now + m_options.voter.lease, "leadership lease ends before the votes that grant it",
        [&] { return fmt::format("{} us ahead", (m_leaseUntil - now).count()); });
}

void DataCentreElection::loseLeadership()
{
    m_leading = false;
    m_leaseUntil = {};
    m_actions.emplace_back(LeadershipLost {});
}

void DataCentreElection::resign(Instant now)
{
    m_resigned = true;
    if (!m_leading && !m_campaigning)
        return;
    std::string successor;
    Instant lastContactAt {};
    for (const auto& it : m_options.members) {
        const auto lastContact = m_lastContactAt.find(it);
        if (it != m_options.self && lastContact != m_lastContactAt.end() && lastContact->second > lastContactAt) {
            successor = it;
            lastContactAt = lastContact->second;
        }
    }
    const bool wasLeading = m_leading;
    m_campaigning = false;
    if (wasLeading)
        loseLeadership();
    releaseAll(successor, now);
}

void DataCentreElection::releaseAll(std::string_view successor, Instant now)
{
    schema::LeadershipMessage message;
    message.set_data_centre(m_options.dataCentre);
    message.set_epoch(m_epoch);
    message.mutable_release()->set_successor(std::string(successor));
    broadcast(message, now);
}

std::string_view DataCentreElection::leader(Instant now) const
{
    if (leads(now))
        return m_options.self;
    const auto votedFor = m_voter.holder(m_options.dataCentre, now);
    return votedFor == m_options.self ? std::string_view {} : votedFor;
}

Epoch DataCentreElection::leaderEpoch(Instant now) const
{
    return leads(now) ? m_epoch : m_voter.promisedEpoch(m_options.dataCentre);
}

std::vector<ElectionAction> DataCentreElection::takeActions() { return std::exchange(m_actions, {}); }

} // namespace teasel
