// What became of each request of a load run, and what the executors ran.
#pragma once

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace teasel {

enum class LoadEnd : uint8_t {
    Unknown = 0, // no answer by the end of the run
    Answered = 1,
    DidNotRun = 2, // refused, with the promise that it did not run
    MayHaveRun = 3, // refused without that promise
    Crossed = 4, // somebody else's answer
};

struct LoadRecord {
    std::string id;
    size_t account = 0;
    size_t requestClass = 0;
    LoadEnd end = LoadEnd::Unknown;
    std::string kind; // of the refusal
    Duration latency { 0 };
    unsigned cuts = 0; // connections that broke without a whole answer
    unsigned sends = 0;
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

// Breaches of what must hold, counted over all requests.
struct LoadBreaches {
    uint64_t doubled = 0; // ids that must not run twice and did
    uint64_t crossed = 0;
    uint64_t falseRefusals = 0; // refused as did_not_run, but ran
    uint64_t overSlots = 0;
    uint64_t lost = 0; // answered, but no executor ran it

    uint64_t total() const { return doubled + crossed + falseRefusals + overSlots + lost; }
};

struct RunsSeen {
    std::map<std::string, uint64_t> runs; // by request id
    uint64_t overSlots = 0;
    bool complete = true; // every executor could be asked
};

} // namespace teasel
