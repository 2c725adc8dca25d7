// Admission control: decides on arrival whether a job can still meet its objective, for demand of up to twice the
// fleet for some seconds. An infeasible job is refused at once with the time after which capacity is likely: its
// caller loses little, and accepted jobs end in time.
#pragma once

#include "core/clock.h"
#include "placement/resource_vector.h"

#include <absl/container/btree_map.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

// What a job needs from the fleet.
struct JobDemand {
    ResourceVector initialNeed; // of all tasks that can start at once
    double slackMs = 0; // how long these tasks may wait for the job to meet its objective
    std::string team;
    bool isMostUrgent = false; // of a queue that is served before all others
};

// An amount of each resource per unit of time, in the units of ResourceVector.
using ResourceRate = std::array<double, ResourceVector::kinds>;

// State of the fleet when a job arrives.
struct FleetLoad {
    ResourceVector total; // of usable executors
    ResourceVector free;
    ResourceVector ahead; // of waiting tasks that are served before the job's
    ResourceRate freedPerSecond {}; // expected rate at which ending runs free capacity
};

// Why a job is refused.
enum class AdmissionReason : uint8_t {
    None = 0,
    Capacity = 1, // it, or a job accepted before it, could not end in time
    TeamCap = 2, // its team uses all that its cap allows for too long
    TeamWeight = 3, // its team is beyond its weight, and the fleet has nothing to lend
    Count = 4,
};

std::string_view nameOf(AdmissionReason);

struct AdmissionVerdict {
    bool isAccepted = true;
    bool isBorrowed = false; // its team is beyond its weight
    AdmissionReason reason = AdmissionReason::None;
    Milliseconds retryAfter { 0 };
    double waitMs = 0; // expected time until its tasks can start
};

class Admission {
public:
    // Sets the fair rate of each team, in jobs per second.
    void setWeights(const absl::btree_map<std::string, double>& weights);

    AdmissionVerdict decide(const JobDemand&, const FleetLoad&, Instant now);

private:
    struct Bucket {
        double weight = 1;
        double tokens = 0;
        Instant refilledAt {};
    };

    // Expected wait of the job's first tasks for capacity.
    static double expectedWaitMs(const JobDemand&, const FleetLoad&);

    // Consumes a token of the team; false if the job exceeds the team's fair rate.
    bool consumeToken(const std::string& team, Instant now);

    absl::btree_map<std::string, Bucket> m_buckets;
};

} // namespace teasel
