// Whether a job that arrives can still meet its objective, for demand of up to
// twice the fleet for some seconds. A job that can't is refused at once with the
// time after which there is likely to be room; its caller loses little, and
// those that are accepted end in time.
#pragma once

#include "core/clock.h"
#include "placement/resource_vector.h"

#include <absl/container/btree_map.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

// What a job wants of the fleet.
struct JobDemand {
    ResourceVector initialNeed; // of the tasks that can start at once
    double slackMs = 0; // how long these may wait for the job to meet its objective
    std::string team;
};

// An amount of each resource, in the units of ResourceVector.
using ResourceRate = std::array<double, ResourceVector::kinds>;

// What the fleet holds when a job arrives.
struct FleetLoad {
    ResourceVector total; // of usable executors
    ResourceVector free;
    ResourceVector ahead; // of waiting tasks that go before the job's
    ResourceRate freedPerSecond {}; // by the ends of what runs, as expected
};

struct AdmissionVerdict {
    bool isAccepted = true;
    Milliseconds retryAfter { 0 };
    double waitMs = 0; // expected until its tasks can start
};

class Admission {
public:
    // Teams' fair rates in jobs a second.
    void setWeights(const absl::btree_map<std::string, double>& weights);

    AdmissionVerdict decide(const JobDemand&, const FleetLoad&, Instant now);

private:
    struct Bucket {
        double weight = 1;
        double tokens = 0;
        Instant refilledAt {};
    };

    // How long the job's first tasks are likely to wait for room.
    static double expectedWaitMs(const JobDemand&, const FleetLoad&);

    // Whether the team keeps to its fair rate with this job; takes a token if so.
    bool consumeToken(const std::string& team, Instant now);

    absl::btree_map<std::string, Bucket> m_buckets;
};

} // namespace teasel
