#include "shares/team_shares.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teasel {

namespace {

    // Seconds of its weight that a team may use at once: arrivals are random, and callers come back together.
    constexpr double burstSeconds = 2;
    constexpr double minBurstJobs = 3;
    constexpr double borrowedHalfLifeSeconds = 5;

    double secondsBetween(Instant from, Instant to)
    {
        return std::max(0.0, std::chrono::duration<double>(to - from).count());
    }

    double depthOf(double weight) { return std::max(minBurstJobs, weight * burstSeconds); }

    Duration secondsToDuration(double seconds) { return Duration(static_cast<int64_t>(seconds * 1'000'000)); }

} // namespace

void TeamShares::setWeights(const absl::btree_map<std::string, double>& weights)
{
    absl::btree_map<std::string, Team, std::less<>> next;
    for (const auto& [name, weight] : weights) {
        const auto known = m_teams.find(name);
        auto& team = next[name];
        if (known != m_teams.end())
            team = known->second;
        else
            team.tokens = depthOf(weight);
        team.weight = weight;
        team.tokens = std::min(team.tokens, depthOf(weight));
    }
    m_teams = std::move(next);
}

double TeamShares::tokensAt(const Team& it, Instant now)
{
    if (it.refilledAt == Instant())
        return it.tokens;
    return std::min(depthOf(it.weight), it.tokens + secondsBetween(it.refilledAt, now) * it.weight);
}

double TeamShares::borrowedAt(const Team& it, Instant now)
{
    return it.borrowed * std::exp2(-secondsBetween(it.borrowedAt, now) / borrowedHalfLifeSeconds);
}

bool TeamShares::isOwed(std::string_view team, Instant now) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() || tokensAt(it->second, now) >= 1;
}

void TeamShares::recordAccepted(std::string_view team, bool isBorrowed, Instant at)
{
    const auto it = m_teams.find(team);
    if (it == m_teams.end())
        return;
    auto& share = it->second;
    share.tokens = tokensAt(share, at);
    share.refilledAt = std::max(share.refilledAt, at);
    if (!isBorrowed) {
        share.tokens = std::max(0.0, share.tokens - 1);
        return;
    }
    share.borrowed = borrowedAt(share, at) + 1;
    share.borrowedAt = at;
}

Duration TeamShares::reserveReturn(std::string_view team, Instant now)
{
    const auto it = m_teams.find(team);
    if (it == m_teams.end() || it->second.weight <= 0)
        return Duration(0);
    auto& next = it->second.nextReturnAt;
    next = std::max(next, now) + secondsToDuration(1 / it->second.weight);
    return next - now;
}

double TeamShares::borrowed(std::string_view team, Instant now) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? 0 : borrowedAt(it->second, now);
}

void TeamShares::clear() { m_teams.clear(); }

} // namespace teasel
