#include "membership/voter_planner.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds s_recentContact { 2'000 }; // instances register several times within this time

    bool contains(const google::protobuf::RepeatedPtrField<std::string>& list, const std::string& id)
    {
        return std::find(list.begin(), list.end(), id) != list.end();
    }

} // namespace

void VoterPlanner::onBecameLeader(const schema::VoterSet&, Instant now) { m_leaderSince = now; }

Duration VoterPlanner::timeSinceContact(const std::string& instance, Instant now) const
{
    const auto it = m_lastContactAt.find(instance);
    return now - std::max(m_leaderSince, it == m_lastContactAt.end() ? Instant() : it->second);
}

std::vector<std::string> VoterPlanner::knownInstances() const
{
    std::vector<std::string> instances;
    for (const auto& [id, lastContactAt] : m_lastContactAt)
        instances.push_back(id);
    return instances;
}

std::optional<VoterChange> VoterPlanner::nextChange(
    const schema::VoterSet& set, const std::string& self, Instant now) const
{
    using Kind = VoterChange::Kind;
    for (const auto& [id, lastContactAt] : m_lastContactAt) {
        if (now - lastContactAt <= s_recentContact && !contains(set.voters(), id) && !contains(set.learners(), id))
            return VoterChange { Kind::AddLearner, id };
    }
    const size_t requiredVoters = 2 * m_options.toleratedLosses + 1;
    const auto silentVoter = std::find_if(set.voters().begin(), set.voters().end(),
        [&](const auto& id) { return id != self && timeSinceContact(id, now) > m_options.replaceAfter; });
    const bool hasSilent = silentVoter != set.voters().end();
    const auto voters = static_cast<size_t>(set.voters_size());
    if (voters < requiredVoters || (hasSilent && voters == requiredVoters)) {
        const auto ready = std::find_if(set.learners().begin(), set.learners().end(), [&](const auto& id) {
            const auto it = m_lastContactAt.find(id);
            return it != m_lastContactAt.end() && now - it->second <= s_recentContact;
        });
        if (ready != set.learners().end())
            return VoterChange { Kind::Promote, *ready };
    }
    if (hasSilent && voters > requiredVoters)
        return VoterChange { Kind::Remove, *silentVoter };
    const auto silentLearner = std::find_if(set.learners().begin(), set.learners().end(),
        [&](const auto& id) { return timeSinceContact(id, now) > m_options.removeLearnerAfter; });
    if (silentLearner != set.learners().end())
        return VoterChange { Kind::Remove, *silentLearner };
    return std::nullopt;
}

} // namespace teasel
