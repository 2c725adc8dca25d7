// Detects workers whose tasks fail far more often than on other workers.
#pragma once

#include "placement/placement_types.h"

#include <map>
#include <vector>

namespace teasel {

struct QuarantineOptions {
    double minOutcomes = 4; // decayed outcomes needed before a worker is evaluated
    double minFailureRate = 0.5; // minimum fraction of failures
    double peerRateMultiple = 3; // minimum ratio to the failure rate of all other workers
    Milliseconds halfLife { 60'000 }; // of recorded outcomes
    Milliseconds initialProbeDelay { 15'000 }; // delay before a probe; doubles after each failed one
    Milliseconds maxProbeDelay { 600'000 };
};

// Counts task outcomes per worker with exponential decay. A worker is quarantined
// when its failure rate far exceeds that of its peers, so a job that fails on
// every worker quarantines none. After a delay the worker is probed with a single
// task, whose outcome decides whether it returns to service.
class Quarantine {
public:
    enum class Status : uint8_t { Healthy, Quarantined, Probing };
    struct Change {
        WorkerId worker;
        Status status;
    };

    explicit Quarantine(QuarantineOptions options = {})
        : m_options(options)
    {
    }

    // Records the end of a task on the worker, or that a task has run long enough to count as a success.
    void onOutcome(WorkerId, bool failed, Instant now);
    void remove(WorkerId);
    void clear();

    // Starts the probes that are due, and returns all status changes since the last call.
    std::vector<Change> takeChanges(Instant now);
    Status status(WorkerId) const;

private:
    struct OutcomeCounts {
        double failures = 0;
        double outcomes = 0;
        Instant asOf {};
    };
    struct Record {
        OutcomeCounts counts;
        Status status = Status::Healthy;
        Instant probeAt {};
        uint32_t quarantines = 0;
    };

    void decay(OutcomeCounts&, Instant now) const;
    bool exceedsPeerFailureRate(Record&, Instant now);
    void startQuarantine(WorkerId, Record&, Instant now);

    QuarantineOptions m_options;
    std::map<WorkerId, Record> m_records;
    OutcomeCounts m_fleetCounts;
    std::vector<Change> m_changes;
};

} // namespace teasel
