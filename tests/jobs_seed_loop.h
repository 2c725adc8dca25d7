// The loop over seeds that the seeded tests of the job plane share. TEASEL_SEEDS and TEASEL_FIRST_SEED select the
// number of seeds and the first one; TEASEL_JOINT_LOSSES adds that many joint losses a minute; TEASEL_TRACE prints the
// leader's log.
#pragma once

#include "jobs_world.h"

#include <doctest/doctest.h>
#include <fmt/ranges.h>

#include <cstdlib>
#include <map>
#include <set>
#include <string>

namespace teasel {

inline uint64_t fromEnvironment(const char* name, uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// The rule that a violation names: "seed 7: LIMIT: ...".
inline std::string ruleOf(const std::string& violation)
{
    const auto from = violation.find(": ") + 2;
    return violation.substr(from, violation.find(':', from) - from);
}

struct SeedLoopResult {
    uint64_t seeds = 0;
    size_t completed = 0; // jobs that ended
    HazardCounts hazards;
    CrashCounts crashes;
    size_t acknowledgedEvacuations = 0;
    uint64_t evacuatedRuns = 0;
    size_t failedSeeds = 0;

    // Fewer seeds are a replay, in which not every hazard occurs.
    bool hasEnoughForEachHazard() const { return seeds >= 30; }
};

// Plays the options that `optionsOf` returns for each seed; reports the violations and the seeds by rule and variant.
template <typename OptionsOf, typename VariantOf>
SeedLoopResult runSeeds(const char* test, uint64_t defaultSeeds, const OptionsOf& optionsOf, const VariantOf& variantOf)
{
    constexpr double secondsPerMinute = 60;
    const uint64_t first = fromEnvironment("TEASEL_FIRST_SEED", 1);
    SeedLoopResult out;
    out.seeds = fromEnvironment("TEASEL_SEEDS", defaultSeeds);
    std::map<std::string, std::set<uint64_t>> seedsByRule;
    for (uint64_t seed = first; seed < first + out.seeds; ++seed) {
        JobsWorldOptions options = optionsOf(seed);
        options.seed = seed;
        options.jointLossesPerSecond
            += static_cast<double>(fromEnvironment("TEASEL_JOINT_LOSSES", 0)) / secondsPerMinute;
        options.trace = std::getenv("TEASEL_TRACE") != nullptr;
        JobsWorld world(options);
        const auto violations = world.run();
        for (const auto& it : violations) {
            FAIL_CHECK(fmt::format("TEASEL_FIRST_SEED={} TEASEL_SEEDS=1 build/{}\n{}", seed, test, it));
            seedsByRule[ruleOf(it) + variantOf(seed)].insert(seed);
        }
        out.failedSeeds += violations.empty() ? 0 : 1;
        out.completed += world.completed();
        out.hazards += world.hazardCounts();
        out.crashes += world.checks().crashCounts();
        out.acknowledgedEvacuations += world.acknowledgedEvacuations();
        out.evacuatedRuns += world.evacuatedRuns();
    }
    for (const auto& [rule, failed] : seedsByRule)
        fmt::print("{}: {} seeds: {}\n", rule, failed.size(), fmt::join(failed, " "));
    return out;
}

template <typename OptionsOf>
SeedLoopResult runSeeds(const char* test, uint64_t defaultSeeds, const OptionsOf& optionsOf)
{
    return runSeeds(test, defaultSeeds, optionsOf, [](uint64_t) { return ""; });
}

} // namespace teasel
