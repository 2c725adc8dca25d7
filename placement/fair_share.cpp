#include "placement/fair_share.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr double leastShare = 1e-6;

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
        team.share = std::max(leastShare, it.share);
        team.portion = toVector(it.portion);
        team.portionKnown = it.portionKnown || team.portion != ResourceVector {};
    }
}

void FairShare::setElsewhere(const schema::LoadSummary& summary)
{
    auto& mine = m_elsewhere[summary.data_centre()];
    for (const auto& [id, used] : mine)
        m_teams[id].elsewhere -= used;
    mine.clear();
    for (const auto& it : summary.teams()) {
        const ResourceVector used = toVector(it.tasks());
        mine[it.team_id()] += used;
        m_teams[it.team_id()].elsewhere += used;
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

bool FairShare::withinPortion(TeamId id, const ResourceVector& more) const
{
    const auto* team = find(id);
    return team && team->share > 0 && (team->used + team->reserved + more).fitsIn(team->portion);
}

void FairShare::expect(TeamId id, const ResourceVector& amount) { m_teams[id].expected += amount; }

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

bool FairShare::withinPortionAfterClaims(TeamId id, const ResourceVector& more) const
{
    const auto* team = find(id);
    return team && withinPortion(id, team->claimed + more);
}

ResourceVector FairShare::excess(TeamId id) const
{
    const auto* team = find(id);
    ResourceVector over = team && team->portionKnown ? team->used - team->portion : ResourceVector {};
    for (auto& it : over.amounts)
        it = std::max<int64_t>(0, it);
    return over;
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

double FairShare::weighted(TeamId id, const ResourceVector& more) const
{
    const auto* team = find(id);
    if (!team)
        return more.dominantShareOf(m_total) / leastShare;
    return (team->used + team->expected + team->elsewhere + more).dominantShareOf(m_total)
        / std::max(leastShare, team->share);
}

bool FairShare::anyOtherAbove(TeamId id, double weightedShare) const
{
    return std::any_of(m_teams.begin(), m_teams.end(), [&](const auto& it) {
        return it.first != id && it.second.used != ResourceVector {} && weighted(it.first) > weightedShare;
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
