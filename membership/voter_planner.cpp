#include "membership/voter_planner.h"

#include <algorithm>

namespace teasel {

namespace {

    constexpr Milliseconds recentHello { 2'000 }; // several missed hellos

    bool contains(const google::protobuf::RepeatedPtrField<std::string>& list, const std::string& id)
    {
        return std::find(list.begin(), list.end(), id) != list.end();
    }

} // namespace

void VoterPlanner::begin(const schema::VoterSet&, Instant now) { m_began = now; }

Duration VoterPlanner::silence(const std::string& instance, Instant now) const
{
    const auto it = m_heard.find(instance);
    return now - std::max(m_began, it == m_heard.end() ? Instant() : it->second);
}

std::vector<std::string> VoterPlanner::known() const
{
    std::vector<std::string> out;
    for (const auto& [id, heard] : m_heard)
        out.push_back(id);
    return out;
}

std::optional<VoterChange> VoterPlanner::next(const schema::VoterSet& set, const std::string& self, Instant now) const
{
    using Kind = VoterChange::Kind;
    for (const auto& [id, heard] : m_heard) {
        if (now - heard <= recentHello && !contains(set.voters(), id) && !contains(set.learners(), id))
            return VoterChange { Kind::AddLearner, id };
    }
    const size_t wanted = 2 * m_options.toleratedLosses + 1;
    const auto silentVoter = std::find_if(set.voters().begin(), set.voters().end(),
        [&](const auto& id) { return id != self && silence(id, now) > m_options.replaceAfter; });
    const bool hasSilent = silentVoter != set.voters().end();
    const auto voters = static_cast<size_t>(set.voters_size());
    if (voters < wanted || (hasSilent && voters == wanted)) {
        const auto ready = std::find_if(set.learners().begin(), set.learners().end(), [&](const auto& id) {
            const auto it = m_heard.find(id);
            return it != m_heard.end() && now - it->second <= recentHello;
        });
        if (ready != set.learners().end())
            return VoterChange { Kind::Promote, *ready };
    }
    if (hasSilent && voters > wanted)
        return VoterChange { Kind::Remove, *silentVoter };
    const auto silentLearner = std::find_if(set.learners().begin(), set.learners().end(),
        [&](const auto& id) { return silence(id, now) > m_options.forgetAfter; });
    if (silentLearner != set.learners().end())
        return VoterChange { Kind::Remove, *silentLearner };
    return std::nullopt;
}

} // namespace teasel
