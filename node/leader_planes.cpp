#include "node/leader_planes.h"

#include <absl/container/btree_map.h>

#include <utility>

namespace teasel {

namespace {

    // Longer than a leader change; a member renews its lease four times a second.
    constexpr Duration memberTimeout = std::chrono::seconds(3);

} // namespace

LeaderPlanes::LeaderPlanes(
    DispatchOptions dispatch, PlacementOptions placement, NameTable& names, SendGrantBatch sendGrants, Propose propose)
    : m_dispatch(std::move(dispatch), names)
    , m_placement(std::move(placement), names)
    , m_sendGrants(std::move(sendGrants))
    , m_propose(std::move(propose))
{
}

void LeaderPlanes::onLeadershipGained(Epoch epoch, Instant now)
{
    m_lastContactAt.clear();
    m_dispatch.onBecameLeader(epoch, now);
    m_placement.onBecameLeader(epoch, now);
}

void LeaderPlanes::onLeadershipLost(Instant now)
{
    m_dispatch.onLostLeadership(now);
    m_placement.onLostLeadership(now);
}

void LeaderPlanes::setLeaseExpiry(Instant expiry)
{
    m_dispatch.onLeadershipLease(expiry);
    m_placement.onLeadershipLease(expiry);
}

void LeaderPlanes::onConfig(const ConfigView& config, std::span<const schema::Portion> portions, Instant now)
{
    absl::btree_map<TeamId, const schema::Portion*> byTeam;
    for (const auto& it : portions)
        byTeam[it.team_id()] = &it;

    std::vector<TeamPolicy> teams;
    std::vector<TaskTeamPolicy> taskTeams;
    for (const auto& team : config.config().teams()) {
        const auto found = byTeam.find(team.id());
        const auto* portion = found == byTeam.end() ? nullptr : found->second;
        teams.push_back({ team.id(), team.share(), portion == nullptr ? 0 : portion->requests() });
        const bool known = portion != nullptr;
        taskTeams.push_back({ team.id(), team.share(), known ? portion->tasks() : schema::Resources(), known });
    }
    std::vector<ClassPolicy> classes;
    for (const auto& it : config.config().classes())
        classes.push_back({ it.name(), it.rank(), it.max_waiting_per_team() });
    std::vector<std::string> drains;
    for (const auto& it : config.config().drains())
        drains.push_back(it.selector());

    m_dispatch.onTeams(teams, now);
    m_dispatch.onClasses(classes, now);
    m_dispatch.onDrains(drains, now);
    m_placement.onTeams(taskTeams, now);
    m_placement.onDrains(drains, now);
}

void LeaderPlanes::onJobs(std::span<const schema::JobRecord> jobs, JobBatch batch, Instant now)
{
    m_placement.onJobs(jobs, now, batch);
}

void LeaderPlanes::onMemberContact(std::string_view member, Instant now) { m_lastContactAt[std::string(member)] = now; }

void LeaderPlanes::dropSilentMembers(Instant now)
{
    std::vector<std::string> silent;
    for (const auto& [member, lastContactAt] : m_lastContactAt) {
        if (now - lastContactAt > memberTimeout)
            silent.push_back(member);
    }
    for (const auto& it : silent) {
        m_lastContactAt.erase(it);
        m_dispatch.onHolderLost(it, now);
    }
}

void LeaderPlanes::onLoadSummary(const schema::LoadSummary& summary, Instant now)
{
    m_dispatch.onLoadSummary(summary, now);
    m_placement.onLoadSummary(summary, now);
}

std::vector<schema::PortionNeed> LeaderPlanes::needs() const
{
    absl::btree_map<TeamId, schema::PortionNeed> byTeam;
    for (const auto& it : m_dispatch.needs()) {
        auto& need = byTeam[it.team];
        need.set_requests_in_use(it.inUse);
        need.set_requests_wanted(it.wanted);
    }
    for (const auto& it : m_placement.needs()) {
        auto& need = byTeam[it.team];
        *need.mutable_tasks_in_use() = toMessage(it.inUse);
        *need.mutable_tasks_wanted() = toMessage(it.wanted);
    }
    std::vector<schema::PortionNeed> out;
    for (auto& [team, need] : byTeam) {
        need.set_team_id(team);
        out.push_back(std::move(need));
    }
    return out;
}

schema::LoadSummary LeaderPlanes::loadSummary() const
{
    auto summary = m_dispatch.loadSummary();
    absl::btree_map<TeamId, ResourceVector> tasks;
    for (const auto& it : m_placement.needs())
        tasks[it.team] = it.inUse;
    for (auto& it : *summary.mutable_teams()) {
        if (const auto found = tasks.find(it.team_id()); found != tasks.end()) {
            *it.mutable_tasks() = toMessage(found->second);
            tasks.erase(found);
        }
    }
    for (const auto& [team, inUse] : tasks) {
        auto& added = *summary.add_teams();
        added.set_team_id(team);
        *added.mutable_tasks() = toMessage(inUse);
    }
    return summary;
}

void LeaderPlanes::onTick(Instant now)
{
    dropSilentMembers(now);
    m_dispatch.onTick(now);
    m_placement.onTick(now);
}

void LeaderPlanes::executeActions(Instant now)
{
    for (auto& it : m_dispatch.takeActions(now))
        m_sendGrants(std::get<SendGrants>(it).holder, std::get<SendGrants>(it).batch);
    executePlacementActions();
}

void LeaderPlanes::executePlacementActions()
{
    for (auto& it : m_placement.takeActions()) {
        schema::Command command;
        *command.mutable_job_progress() = std::move(std::get<ReportProgress>(it).progress);
        m_propose(std::move(command));
    }
}

} // namespace teasel
