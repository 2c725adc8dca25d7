// The load that a stand-in caller generates: servers, accounts, request classes and rate; read from a JSON file.
#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teasel {

struct LoadAccount {
    std::string name;
    std::string key;
    double weight = 1;
};

struct LoadClass {
    std::string name;
    double weight = 1;
    bool idempotent = true;
    uint64_t deadlineMs = 2'000;
    uint64_t bodyBytes = 200;
    std::string selector;
};

struct LoadPlan {
    std::vector<std::string> servers; // host:port of entry instances
    std::vector<std::string> executors; // host:port; queried at the end for the requests that they ran
    std::vector<LoadAccount> accounts;
    std::vector<LoadClass> classes;
    double rate = 100; // requests per second
    double seconds = 10;
    uint64_t seed = 1;
};

// Fails with BadRequest if the file can't be read or is not a valid plan.
Result<LoadPlan> readLoadPlan(std::string_view path);

} // namespace teasel
