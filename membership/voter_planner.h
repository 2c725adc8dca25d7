// Plans the next membership change of the replicated log on its leader: which instance to add as a learner, promote to
// voter or remove. One change at a time. A silent voter is replaced by a caught-up learner before it is removed, so
// that the number of voters never falls below the required one.
#pragma once

#include "consensus/replica.h"
#include "core/clock.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <span>
#include <string>

namespace teasel {

struct VoterPlannerOptions {
    size_t toleratedLosses = 1; // of instances with a disk, at the same time
    Milliseconds replaceAfter { 5'000 }; // a voter silent for longer is replaced; longer than a restart takes
    Milliseconds removeLearnerAfter { 15'000 }; // a learner silent for longer is removed
};

class VoterPlanner {
public:
    explicit VoterPlanner(VoterPlannerOptions options)
        : m_options(options)
    {
    }

    // Records a registration of a core instance.
    void onRegistration(const std::string& instance, Instant now) { m_lastContactAt[instance] = now; }

    // The instance is about to stop, either for good or for a restart; it registers again when it is back.
    void onStopping(const std::string& instance) { m_lastContactAt.erase(instance); }

    // Called on a new leader: silence of instances counts from now on.
    void onBecameLeader(const schema::VoterSet&, Instant now);

    std::optional<VoterChange> nextChange(const schema::VoterSet&, const std::string& self, Instant now) const;

    std::vector<std::string> knownInstances() const;

private:
    Duration timeSinceContact(const std::string& instance, Instant now) const;

    VoterPlannerOptions m_options;
    absl::btree_map<std::string, Instant> m_lastContactAt;
    Instant m_leaderSince {};
};

} // namespace teasel
