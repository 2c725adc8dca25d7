// Whether a job that arrives can still meet its objective, for demand of up to
// twice the fleet for some seconds. A job that can't is refused at once with the
// time after which there is likely to be room; its caller loses little, and
// those that are accepted end in time.
#pragma once

#include "core/clock.h"

#include <absl/container/btree_map.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

// What a job wants of the fleet.
struct JobDemand {
    double coreMs = 0; // of all its tasks, as expected
    double slackMs = 0; // how long its first tasks may wait for the job to meet its objective
    uint32_t priority = 0;
    std::string team;
};

// What the fleet holds when a job arrives.
struct FleetLoad {
    double cores = 0; // usable
    double runningCoreMs = 0; // left of what runs
    double waitingCoreMs = 0; // of accepted work that must start before the job's last moment
};

struct AdmissionVerdict {
    bool isAccepted = true;
    Milliseconds retryAfter { 0 };
    double waitMs = 0; // expected until its tasks can start
};

class Admission {
public:
    // Teams' fair rates in jobs a second.
    void setWeights(absl::btree_map<std::string, double> weights);

    AdmissionVerdict decide(const JobDemand&, const FleetLoad&, Instant now);

private:
    struct Bucket {
        double weight = 1;
        double tokens = 0;
        Instant filledAt {};
    };

    // Whether the team keeps to its fair rate with this job; takes a token if so.
    bool takeToken(const std::string& team, Instant now);

    absl::btree_map<std::string, Bucket> m_buckets;
};

} // namespace teasel
