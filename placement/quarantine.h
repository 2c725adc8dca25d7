// Keeps work away from workers that fail far more of it than their peers.
#pragma once

#include "placement/placement_types.h"

#include <map>
#include <vector>

namespace teasel {

struct QuarantineOptions {
    double leastOutcomes = 4; // before a worker is judged
    double leastRate = 0.5; // of failures
    double timesPeers = 3; // above the rate of all others
    Milliseconds halfLife { 60'000 }; // of what is remembered
    Milliseconds firstPause { 15'000 }; // before a probe; doubles after each failed one
    Milliseconds mostPause { 600'000 };
};

// Counts outcomes by worker, fading with time. A worker is quarantined by its
// rate of failures against that of its peers, so that a job that fails
// everywhere puts no worker aside. After a pause it gets a single task; how
// that goes decides.
class Quarantine {
public:
    enum class Standing : uint8_t { Trusted, Quarantined, Probing };
    struct Change {
        WorkerId worker;
        Standing standing;
    };

    explicit Quarantine(QuarantineOptions options = {})
        : m_options(options)
    {
    }

    // An end of a task on the worker, or proof that one runs well.
    void onOutcome(WorkerId, bool failed, Instant now);
    void forget(WorkerId);
    void clear();

    // Changes since the last call, with pauses that are over.
    std::vector<Change> review(Instant now);
    Standing standing(WorkerId) const;

private:
    struct Tally {
        double failures = 0;
        double outcomes = 0;
        Instant asOf {};
    };
    struct Record {
        Tally tally;
        Standing standing = Standing::Trusted;
        Instant until {};
        uint32_t strikes = 0;
    };

    void fade(Tally&, Instant now) const;
    bool isFarWorse(Record&, Instant now);
    void putAside(WorkerId, Record&, Instant now);

    QuarantineOptions m_options;
    std::map<WorkerId, Record> m_records;
    Tally m_fleet;
    std::vector<Change> m_changes;
};

} // namespace teasel
