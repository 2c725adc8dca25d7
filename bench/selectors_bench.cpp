// Benchmark of selectors over fleets of three sizes. Prints one line for each metric,
// `selectors METRIC VALUE UNIT BOUND held|short`, and exits with status 1 if any value is above its bound (`short`).
#include "core/random.h"
#include "naming/label_index.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

namespace teasel {

namespace {

    using Nanoseconds = std::chrono::nanoseconds;

    constexpr uint64_t seed = 20261204;
    constexpr std::array<uint32_t, 3> workerCounts { 50, 680, 8'800 };
    constexpr size_t iterations = 2'000;
    constexpr double matchBoundUs = 50;
    constexpr double compileBoundUs = 50;
    constexpr double matchesOneBoundUs = 2;
    constexpr double announceBoundUs = 20;
    constexpr std::string_view fiveTerms = "zone in (zone1, zone2, zone3) and theirs:disco = ssd and gpu != v100 and "
                                           "rack not in (r1, r7, r13) and exists kernel";

    bool allWithinBounds = true;

    void printMetric(std::string_view metric, double value, std::string_view unit, double bound)
    {
        const bool withinBound = value <= bound;
        allWithinBounds = allWithinBounds && withinBound;
        fmt::print("selectors {} {:.2f} {} {} {}\n", metric, value, unit, bound, withinBound ? "held" : "short");
    }

    // Median duration of one call of `operation`, in microseconds.
    template <class Operation> double medianUs(Operation&& operation)
    {
        std::vector<Nanoseconds> times;
        for (size_t n = 0; n < iterations; ++n) {
            const auto begin = std::chrono::steady_clock::now();
            operation(n);
            times.push_back(std::chrono::steady_clock::now() - begin);
        }
        std::nth_element(times.begin(), times.begin() + iterations / 2, times.end());
        return static_cast<double>(times[iterations / 2].count()) / 1'000;
    }

    schema::FleetConfig twoSchemes()
    {
        schema::FleetConfig config;
        for (const auto* name : { "ours", "theirs" }) {
            auto& scheme = *config.add_schemes();
            scheme.set_id(static_cast<uint32_t>(config.schemes_size() - 1));
            scheme.set_name(name);
        }
        NameTable names;
        auto& alias = *config.add_aliases();
        alias.set_scheme_id(1);
        alias.set_kind(schema::SUBJECT_KIND_LABEL_KEY);
        alias.set_subject_id(names.derivedSubject(schema::SUBJECT_KIND_LABEL_KEY, 0, "disk"));
        alias.set_name("disco");
        return config;
    }

    InstanceLabels worker(uint32_t ordinal, Random& random)
    {
        InstanceLabels out { "ours", fmt::format("worker{}", ordinal), fmt::format("r{}", ordinal / 6), "north", {} };
        const auto add = [&](const char* key, std::string value) {
            schema::Label label;
            label.set_key(key);
            label.set_value(std::move(value));
            out.labels.push_back(std::move(label));
        };
        add("zone", fmt::format("zone{}", random.below(8)));
        add("disk", random.chance(0.7) ? "ssd" : "hdd");
        add("gpu", random.chance(0.2) ? "v100" : "none");
        add("kernel", fmt::format("6.{}", random.below(12)));
        add("owner", fmt::format("team{}", random.below(40)));
        return out;
    }

    void measure(uint32_t workers)
    {
        Random random(seed);
        NameTable names;
        names.configure(twoSchemes());
        LabelIndex index(names);
        std::vector<InstanceLabels> announced;
        for (uint32_t n = 0; n < workers; ++n) {
            announced.push_back(worker(n, random));
            (void)index.put(n, announced.back());
        }
        const auto outcome = valueOrError([&] { return compileSelector(fiveTerms, names); });
        if (outcome.index() != 0) {
            fmt::print("selectors does_not_compile 1 selector 0 short\n");
            allWithinBounds = false;
            return;
        }
        const auto& selector = std::get<0>(outcome);
        uint64_t found = 0;
        printMetric(fmt::format("match_five_terms_{}", workers),
            medianUs([&](size_t) { found += index.matching(selector).cardinality(); }), "us", matchBoundUs);
        printMetric(fmt::format("match_one_instance_{}", workers),
            medianUs([&](size_t n) { found += index.matches(selector, n % workers) ? 1 : 0; }), "us",
            matchesOneBoundUs);
        printMetric(fmt::format("compile_five_terms_{}", workers),
            medianUs([&](size_t) { found += valueOrError([&] { return compileSelector(fiveTerms, names); }).index(); }),
            "us", compileBoundUs);
        printMetric(fmt::format("announce_unchanged_{}", workers),
            medianUs([&](size_t n) { (void)index.put(n % workers, announced[n % workers]); }), "us", announceBoundUs);
        auto changed = announced;
        for (auto& it : changed)
            it.labels[0].set_value("zone9");
        size_t round = 0;
        printMetric(fmt::format("announce_changed_{}", workers), medianUs([&](size_t n) {
            const auto ordinal = n % workers;
            round += ordinal == 0 ? 1 : 0;
            (void)index.put(ordinal, round % 2 ? changed[ordinal] : announced[ordinal]);
        }),
            "us", announceBoundUs);
        if (found == 0)
            fmt::print("selectors nothing_matched_{} 1 selector 0 short\n", workers);
    }

} // namespace

} // namespace teasel

int main()
{
    for (const auto workers : teasel::workerCounts)
        teasel::measure(workers);
    return teasel::allWithinBounds ? 0 : 1;
}
