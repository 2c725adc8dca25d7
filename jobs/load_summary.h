// Capacity and waiting demand of the fleet for admission control. Collecting them visits every executor and step, so a
// summary is reused for some milliseconds and extended by the jobs accepted meanwhile. Built for bursts of several
// hundred jobs a second on a thousand executors.
#pragma once

#include "core/clock.h"
#include "jobs/admission.h"
#include "placement/resource_vector.h"

#include <vector>

namespace teasel {

class LoadSummary {
public:
    struct Demand {
        Instant latestStart {}; // of the tasks, for their job to meet its objective
        ResourceVector need;
    };

    bool isOutdated(Instant now) const;

    // Replaces the contents. `fleet` holds everything but the demand ahead.
    void rebuild(const FleetLoad& fleet, std::vector<Demand>, Instant now);

    // Adds the demand of a job that was accepted after the last rebuild.
    void add(const Demand& it) { m_added.push_back(it); }

    void clear();

    // The load that a job with this latest start meets: the demand of all that starts no later is ahead of it.
    FleetLoad aheadOf(Instant latestStart) const;

private:
    bool m_isEmpty = true;
    Instant m_builtAt {};
    FleetLoad m_fleet;
    std::vector<Instant> m_latestStarts; // ascending
    std::vector<ResourceVector> m_cumulativeNeed; // of the demands up to the same index
    std::vector<Demand> m_added;
};

} // namespace teasel
