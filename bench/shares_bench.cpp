// Measures how far each team's slot usage in a fully loaded fleet deviates from its fair portion.
#include "bench/request_fleet.h"

#include <algorithm>
#include <cmath>

namespace teasel::bench {

namespace {

    constexpr size_t backlog = 60; // requests that an active team keeps waiting in each data centre where it submits
    constexpr Milliseconds settlingPeriod { 2'000 };
    constexpr Milliseconds measurementPeriod { 30'000 };
    constexpr double maxDeviationPercent = 5.0;

    // The data centres in which each team submits requests during a phase.
    struct Phase {
        std::string name;
        std::vector<std::vector<size_t>> dataCentresOfTeam;
    };

    struct Scenario {
        std::string name;
        std::vector<DataCentreSize> sizes;
        std::vector<TeamPolicy> teams;
        std::vector<Phase> phases;
    };

    // Returns each team's max-min fair number of slots, by progressive filling: all
    // portions grow in proportion to the shares, until the data centres that a team
    // can use are full.
    std::vector<double> fairPortions(const Scenario& scenario, const Phase& phase)
    {
        const size_t n = scenario.teams.size();
        std::vector<double> portion(n, 0.0);
        std::vector<bool> saturated(n, false);
        for (size_t team = 0; team < n; ++team)
            saturated[team] = phase.dataCentresOfTeam[team].empty();
        // The portions of a set of teams cannot exceed the slots of the data centres that these teams can use.
        while (std::find(saturated.begin(), saturated.end(), false) != saturated.end()) {
            double level = 1e18;
            uint32_t bottleneckSet = 0;
            for (uint32_t set = 1; set < (1U << n); ++set) {
                double fixed = 0;
                double shares = 0;
                std::vector<bool> reachable(scenario.sizes.size(), false);
                for (size_t team = 0; team < n; ++team) {
                    if ((set >> team & 1) == 0)
                        continue;
                    fixed += saturated[team] ? portion[team] : 0;
                    shares += saturated[team] ? 0 : scenario.teams[team].share;
                    for (const auto dataCentre : phase.dataCentresOfTeam[team])
                        reachable[dataCentre] = true;
                }
                double slots = 0;
                for (size_t dataCentre = 0; dataCentre < reachable.size(); ++dataCentre)
                    slots += reachable[dataCentre]
                        ? scenario.sizes[dataCentre].executors * scenario.sizes[dataCentre].slots
                        : 0;
                if (shares > 0 && (slots - fixed) / shares < level - 1e-9) {
                    level = (slots - fixed) / shares;
                    bottleneckSet = set;
                }
            }
            for (size_t team = 0; team < n; ++team) {
                if ((bottleneckSet >> team & 1) != 0 && !saturated[team]) {
                    portion[team] = level * scenario.teams[team].share;
                    saturated[team] = true;
                }
            }
        }
        return portion;
    }

    Duration serviceOf(Random& random, size_t team)
    {
        const double mean = team % 3 == 0 ? 20'000 : team % 3 == 1 ? 80'000 : 250'000;
        return Duration(static_cast<int64_t>(mean * (0.5 + random.unit())));
    }

    template <class Queue> double worstDeviation(const Scenario& scenario, bool print)
    {
        Random random(1);
        std::vector<ClassPolicy> classes { { "label-run", 1, 100'000 } };
        Fleet<Queue> fleet(scenario.sizes, scenario.teams, classes);
        double worst = 0;
        for (const auto& phase : scenario.phases) {
            const auto startedAt = fleet.now();
            std::vector<double> used(scenario.teams.size(), 0.0);
            const auto fair = fairPortions(scenario, phase);
            size_t steps = 0;
            while (fleet.now() < startedAt + settlingPeriod + measurementPeriod) {
                for (size_t team = 0; team < scenario.teams.size(); ++team) {
                    for (const auto dataCentre : phase.dataCentresOfTeam[team]) {
                        while (fleet.waiting(dataCentre, scenario.teams[team].id) < backlog)
                            fleet.submit(dataCentre, scenario.teams[team].id, "label-run", serviceOf(random, team),
                                Milliseconds(600'000));
                    }
                }
                fleet.step([](const Job&) {}, [](const Job&) {});
                if (fleet.now() < startedAt + settlingPeriod)
                    continue;
                ++steps;
                for (size_t team = 0; team < used.size(); ++team)
                    used[team] += fleet.running(scenario.teams[team].id);
            }
            double worstInPhase = 0;
            for (size_t team = 0; team < used.size(); ++team) {
                if (fair[team] > 0)
                    worstInPhase = std::max(
                        worstInPhase, std::abs(used[team] / static_cast<double>(steps) / fair[team] - 1.0) * 100.0);
                if (print && fair[team] > 0)
                    fmt::print(stderr, "  {} {} team {}: {:.2f} of {:.2f} slots\n", scenario.name, phase.name, team + 1,
                        used[team] / static_cast<double>(steps), fair[team]);
            }
            worst = std::max(worst, worstInPhase);
        }
        return worst;
    }

    std::vector<DataCentreSize> fourDataCentres()
    {
        return { { "a", 13, 8 }, { "b", 13, 8 }, { "c", 12, 8 }, { "d", 12, 8 } };
    }

    Scenario sixTeamsScenario()
    {
        Scenario it { "six_teams", fourDataCentres(), {}, {} };
        const double shares[] = { 5, 3, 3, 2, 1, 1 };
        for (TeamId id = 1; id <= 6; ++id)
            it.teams.push_back({ id, shares[id - 1], 1'000 });
        const std::vector<size_t> all { 0, 1, 2, 3 };
        it.phases = {
            { "all", { all, all, all, all, all, all } },
            { "one_away", { {}, all, all, all, all, all } },
            { "one_back", { all, all, all, all, all, all } },
            { "home_only", { { 0 }, all, { 1 }, all, { 2, 3 }, all } },
            { "two_teams", { { 0, 1 }, {}, {}, {}, {}, all } },
        };
        return it;
    }

    // Returns the worst deviation with more teams than slots in one data centre. All teams are active, so the fair
    // portions are proportional to the shares.
    double manyTeamsDeviation()
    {
        std::vector<DataCentreSize> sizes { { "a", 13, 8 } };
        std::vector<TeamPolicy> teams;
        double shares = 0;
        for (TeamId id = 1; id <= 140; ++id) {
            teams.push_back({ id, 1.0 + id % 3, 1'000 });
            shares += teams.back().share;
        }
        Random random(2);
        Fleet<LeaderQueue> fleet(sizes, teams, { { "label-run", 1, 100'000 } });
        std::vector<double> used(teams.size(), 0.0);
        size_t steps = 0;
        const auto startedAt = fleet.now();
        while (fleet.now() < startedAt + settlingPeriod + measurementPeriod) {
            for (const auto& it : teams) {
                while (fleet.waiting(0, it.id) < 5)
                    fleet.submit(0, it.id, "label-run", serviceOf(random, it.id), Milliseconds(600'000));
            }
            fleet.step([](const Job&) {}, [](const Job&) {});
            if (fleet.now() < startedAt + settlingPeriod)
                continue;
            ++steps;
            for (size_t team = 0; team < teams.size(); ++team)
                used[team] += fleet.running(teams[team].id);
        }
        double worst = 0;
        for (size_t team = 0; team < teams.size(); ++team)
            worst = std::max(worst,
                std::abs(used[team] / static_cast<double>(steps) / (104.0 * teams[team].share / shares) - 1.0) * 100.0);
        return worst;
    }

} // namespace

} // namespace teasel::bench

int main(int argc, char**)
{
    using namespace teasel::bench;
    const bool verbose = argc > 1;
    bool passed = true;
    passed &= report("shares", "six_teams_worst_deviation", worstDeviation<LeaderQueue>(sixTeamsScenario(), verbose),
        "percent", maxDeviationPercent, true);
    reportBaseline(
        "shares", "six_teams_worst_deviation_fifo", worstDeviation<FifoQueue>(sixTeamsScenario(), false), "percent");
    passed &= report("shares", "140_teams_worst_deviation", manyTeamsDeviation(), "percent", maxDeviationPercent, true);
    return passed ? 0 : 1;
}
