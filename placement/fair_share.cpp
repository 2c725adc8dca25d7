#include "placement/fair_share.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr double minShare = 1e-6;

} // namespace

const FairShare::Team* FairShare::find(TeamId id) const
{
    auto found = m_teams.find(id);
    return found == m_teams.end() ? nullptr : &found->second;
}

void FairShare::setTeams(std::span<const TaskTeamPolicy> policies)
{
    for (auto& [id, team] : m_teams) {
        team.share = 0;
        team.portion = {};
        team.portionKnown = false;
    }
    for (const auto& it : policies) {
        auto& team = m_teams[it.id];
        team.share = std::max(minShare, it.share);
        team.portion = toVector(it.portion);
        team.portionKnown = it.portionKnown || team.portion != ResourceVector {};
    }
}

void FairShare::setRemoteUse(const schema::LoadSummary& summary)
{
    auto& previous = m_remoteUse[summary.data_centre()];
    for (const auto& [id, used] : previous)
        m_teams[id].remoteUse -= used;
    previous.clear();
    for (const auto& it : summary.teams()) {
        const ResourceVector used = toVector(it.tasks());
        previous[it.team_id()] += used;
        m_teams[it.team_id()].remoteUse += used;
    }
}

void FairShare::clearUse()
{
    for (auto& [id, team] : m_teams) {
        team.used = {};
        team.reserved = {};
        team.claimed = {};
        team.expected = {};
    }
}

void FairShare::add(TeamId id, const ResourceVector& amount) { m_teams[id].used += amount; }

void FairShare::subtract(TeamId id, const ResourceVector& amount) { m_teams[id].used -= amount; }

bool FairShare::withinPortion(TeamId id, const ResourceVector& additional) const
{
    const auto* team = find(id);
    return team && team->share > 0 && (team->used + team->reserved + additional).fitsIn(team->portion);
}

void FairShare::addExpected(TeamId id, const ResourceVector& amount) { m_teams[id].expected += amount; }

void FairShare::claim(TeamId id, const ResourceVector& amount)
{
    m_teams[id].claimed += amount;
    m_teams[id].expected += amount;
}

void FairShare::unclaim(TeamId id, const ResourceVector& amount)
{
    m_teams[id].claimed -= amount;
    m_teams[id].expected -= amount;
}

bool FairShare::withinPortionAfterClaims(TeamId id, const ResourceVector& additional) const
{
    const auto* team = find(id);
    return team && withinPortion(id, team->claimed + additional);
}

ResourceVector FairShare::excess(TeamId id) const
{
    const auto* team = find(id);
    ResourceVector excessAmount = team && team->portionKnown ? team->used - team->portion : ResourceVector {};
    for (auto& it : excessAmount.amounts)
        it = std::max<int64_t>(0, it);
    return excessAmount;
}

ResourceVector FairShare::used(TeamId id) const
{
    const auto* team = find(id);
    return team ? team->used : ResourceVector {};
}

ResourceVector FairShare::portion(TeamId id) const
{
    const auto* team = find(id);
    return team ? team->portion : ResourceVector {};
}

double FairShare::weightedShare(TeamId id, const ResourceVector& additional) const
{
    const auto* team = find(id);
    if (!team)
        return additional.dominantShareOf(m_total) / minShare;
    return (team->used + team->expected + team->remoteUse + additional).dominantShareOf(m_total)
        / std::max(minShare, team->share);
}

bool FairShare::anyOtherTeamAbove(TeamId id, double share) const
{
    return std::any_of(m_teams.begin(), m_teams.end(), [&](const auto& it) {
        return it.first != id && it.second.used != ResourceVector {} && weightedShare(it.first) > share;
    });
}

void FairShare::reserve(TeamId id, const ResourceVector& amount) { m_teams[id].reserved += amount; }

void FairShare::unreserve(TeamId id, const ResourceVector& amount) { m_teams[id].reserved -= amount; }

std::vector<TeamId> FairShare::teams() const
{
    std::vector<TeamId> ids;
    for (const auto& [id, team] : m_teams)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace teasel
