#include "fleet/portion_table.h"

#include "core/invariant.h"

#include <fmt/format.h>

#include <algorithm>

namespace teasel {

bool Amounts::fitsIn(const Amounts& other) const
{
    for (size_t i = 0; i < dimensions; ++i)
        if (values[i] > other.values[i])
            return false;
    return true;
}

bool Amounts::isZero() const { return *this == Amounts {}; }

Amounts& Amounts::operator+=(const Amounts& other)
{
    for (size_t i = 0; i < dimensions; ++i)
        values[i] += other.values[i];
    return *this;
}

Amounts& Amounts::operator-=(const Amounts& other)
{
    for (size_t i = 0; i < dimensions; ++i)
        values[i] -= std::min(values[i], other.values[i]);
    return *this;
}

Amounts elementwiseMax(const Amounts& a, const Amounts& b)
{
    Amounts result;
    for (size_t i = 0; i < Amounts::dimensions; ++i)
        result[i] = std::max(a[i], b[i]);
    return result;
}

Amounts elementwiseMin(const Amounts& a, const Amounts& b)
{
    Amounts result;
    for (size_t i = 0; i < Amounts::dimensions; ++i)
        result[i] = std::min(a[i], b[i]);
    return result;
}

Amounts toAmounts(uint32_t requests, const schema::Resources& tasks)
{
    return { { requests, tasks.milli_cpus(), tasks.memory_mib(), tasks.accelerators() } };
}

schema::Resources toResources(const Amounts& amounts)
{
    schema::Resources tasks;
    tasks.set_milli_cpus(amounts[1]);
    tasks.set_memory_mib(amounts[2]);
    tasks.set_accelerators(amounts[3]);
    return tasks;
}

Amounts limitOf(const schema::Team& team) { return toAmounts(team.request_limit(), team.task_limit()); }

Amounts amountsOf(const schema::Portion& row) { return toAmounts(row.requests(), row.tasks()); }

schema::Portion toPortion(std::string dataCentre, TeamId team, const Amounts& amounts)
{
    schema::Portion row;
    row.set_data_centre(std::move(dataCentre));
    row.set_team_id(team);
    row.set_requests(static_cast<uint32_t>(amounts[0]));
    *row.mutable_tasks() = toResources(amounts);
    return row;
}

std::string describe(const Amounts& amounts)
{
    return fmt::format(
        "{} requests, {} milli-cpus, {} MiB, {} accelerators", amounts[0], amounts[1], amounts[2], amounts[3]);
}

Result<void> PortionTable::apply(const schema::PortionUpdate& update)
{
    if (update.version() != m_version + 1)
        return fail(ErrorKind::RevisionConflict, fmt::format("portions are at version {}", m_version));
    absl::btree_map<TeamId, Amounts> sums;
    absl::btree_map<Key, Amounts> rows;
    for (const auto& it : update.portions())
        rows[{ it.data_centre(), it.team_id() }] = amountsOf(it);
    for (const auto& [key, amounts] : rows) {
        auto& total = sums.try_emplace(key.second, sum(key.second)).first->second;
        total -= portion(key.first, key.second);
        total += amounts;
    }
    for (const auto& [team, total] : sums)
        if (!total.fitsIn(elementwiseMax(limit(team), sum(team))))
            return fail(ErrorKind::LimitReached, fmt::format("portions of team {} would exceed its limit", team));
    ++m_version;
    for (const auto& [key, amounts] : rows) {
        m_rows[key] = { amounts, m_version };
        m_versions[key.first] = m_version;
    }
    for (const auto& [team, total] : sums) {
        auto& row = m_teams[team];
        row.sum = total;
        row.ceiling = elementwiseMin(row.ceiling, elementwiseMax(row.limit, total));
        checkSums(team);
    }
    return {};
}

void PortionTable::setLimit(TeamId team, const Amounts& limit)
{
    auto& row = m_teams[team];
    row.limit = limit;
    row.ceiling = elementwiseMax(limit, row.sum);
    checkSums(team);
}

void PortionTable::checkSums(TeamId team) const
{
    Amounts total;
    for (const auto& [key, row] : m_rows)
        if (key.second == team)
            total += row.amounts;
    const TeamSums& sums = m_teams.at(team);
    checkInvariant(total == sums.sum && total.fitsIn(sums.ceiling), "portions_within_limit",
        [&] { return fmt::format("team {}: {} of at most {}", team, describe(total), describe(sums.ceiling)); });
}

Amounts PortionTable::portion(const std::string& dataCentre, TeamId team) const
{
    const auto it = m_rows.find({ dataCentre, team });
    return it == m_rows.end() ? Amounts {} : it->second.amounts;
}

uint64_t PortionTable::rowVersion(const std::string& dataCentre, TeamId team) const
{
    const auto it = m_rows.find({ dataCentre, team });
    return it == m_rows.end() ? 0 : it->second.version;
}

Amounts PortionTable::sum(TeamId team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? Amounts {} : it->second.sum;
}

Amounts PortionTable::limit(TeamId team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? Amounts {} : it->second.limit;
}

bool PortionTable::withinLimit(TeamId team) const { return sum(team).fitsIn(limit(team)); }

uint64_t PortionTable::versionOf(const std::string& dataCentre) const
{
    const auto it = m_versions.find(dataCentre);
    return it == m_versions.end() ? 0 : it->second;
}

std::vector<schema::Portion> PortionTable::changedSince(const std::string& dataCentre, uint64_t version) const
{
    std::vector<schema::Portion> rows;
    for (auto it = m_rows.lower_bound({ dataCentre, 0 }); it != m_rows.end() && it->first.first == dataCentre; ++it) {
        if (it->second.version <= version)
            continue;
        rows.push_back(toPortion(dataCentre, it->first.second, it->second.amounts));
        rows.back().set_version(it->second.version);
    }
    return rows;
}

std::vector<schema::Portion> PortionTable::all() const
{
    std::vector<schema::Portion> rows;
    for (const auto& [key, row] : m_rows) {
        rows.push_back(toPortion(key.first, key.second, row.amounts));
        rows.back().set_version(row.version);
    }
    return rows;
}

std::vector<TeamId> PortionTable::teams() const
{
    std::vector<TeamId> ids;
    for (const auto& [team, sums] : m_teams)
        if (!sums.limit.isZero() || !sums.sum.isZero())
            ids.push_back(team);
    return ids;
}

void PortionTable::restore(const google::protobuf::RepeatedPtrField<schema::Portion>& rows, uint64_t version)
{
    m_rows.clear();
    m_versions.clear();
    for (auto& [team, sums] : m_teams)
        sums.sum = {};
    for (const auto& it : rows) {
        m_rows[{ it.data_centre(), it.team_id() }] = { amountsOf(it), it.version() };
        auto& latest = m_versions[it.data_centre()];
        latest = std::max(latest, it.version());
        m_teams[it.team_id()].sum += amountsOf(it);
    }
    for (auto& [team, sums] : m_teams)
        sums.ceiling = elementwiseMax(sums.limit, sums.sum);
    m_version = version;
}

} // namespace teasel
