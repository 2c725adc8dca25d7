// The outcome of each request of a load run, and the runs that the executors counted.
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace teasel {

enum class LoadOutcome : uint8_t {
    Unknown = 0, // no answer before the load run ended
    Answered = 1,
    DidNotRun = 2, // refused; the answer states that it did not run
    MayHaveRun = 3, // refused; the answer does not rule out that it ran
    WrongAnswer = 4, // the answer belongs to another request
};

struct LoadRecord {
    std::string id;
    size_t accountIndex = 0;
    size_t classIndex = 0;
    LoadOutcome outcome = LoadOutcome::Unknown;
    std::string refusalKind; // error kind of the refusal, or `status_N` without one
    Duration latency { 0 };
    std::string lastServer; // host:port
    unsigned sends = 0;
};

// A connection that broke before the answer was complete.
struct BrokenConnection {
    std::string requestId;
    std::string server; // host:port
    std::string error;
    WallTime brokenAt {};
    Duration duration { 0 }; // of the call
};

// Counts per account and class.
struct LoadRow {
    uint64_t sent = 0;
    uint64_t answered = 0;
    uint64_t refused = 0;
    uint64_t mayHaveRun = 0;
    uint64_t unknown = 0;
    std::vector<int64_t> latenciesUs;
};

// Violated guarantees, counted over all requests.
struct LoadViolations {
    uint64_t duplicateRuns = 0; // request ids that must run at most once but ran more often
    uint64_t wrongAnswers = 0; // answers that belong to another request
    uint64_t falseRefusals = 0; // refused with did_not_run, but ran
    uint64_t overSlots = 0; // requests that an executor received beyond its slots
    uint64_t answeredWithoutRun = 0; // answered, but not run by any executor

    uint64_t total() const { return duplicateRuns + wrongAnswers + falseRefusals + overSlots + answeredWithoutRun; }
};

// The runs that the executors counted.
struct ExecutorRuns {
    std::map<std::string, uint64_t> runs; // by request id
    uint64_t overSlots = 0;
    bool complete = true; // false: some executor did not answer
};

} // namespace teasel
