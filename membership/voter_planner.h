// Which instance should join, vote or leave next, as the leader of the
// replicated log sees it. One change at a time; a voter that has been silent
// is replaced by a caught-up learner before it is removed, so that the set is
// never smaller than it must be.
#pragma once

#include "consensus/replica.h"
#include "core/clock.h"

#include <absl/container/btree_map.h>

#include <optional>
#include <span>
#include <string>

namespace teasel {

struct VoterPlannerOptions {
    size_t toleratedLosses = 1; // of instances with a disk at once
    Milliseconds replaceAfter { 5'000 }; // a silent voter is replaced; longer than a restart
    Milliseconds forgetAfter { 15'000 }; // a silent learner is removed
};

class VoterPlanner {
public:
    explicit VoterPlanner(VoterPlannerOptions options)
        : m_options(options)
    {
    }

    // An instance of the core was heard of.
    void onHello(const std::string& instance, Instant now) { m_heard[instance] = now; }

    // The instance is about to stop for good or for a restart; it says hello again when it is back.
    void onStopping(const std::string& instance) { m_heard.erase(instance); }

    // Silence counts from now on, as for a new leader.
    void begin(const schema::VoterSet&, Instant now);

    std::optional<VoterChange> next(const schema::VoterSet&, const std::string& self, Instant now) const;

    std::vector<std::string> known() const;

private:
    Duration silence(const std::string& instance, Instant now) const;

    VoterPlannerOptions m_options;
    absl::btree_map<std::string, Instant> m_heard;
    Instant m_began {};
};

} // namespace teasel
