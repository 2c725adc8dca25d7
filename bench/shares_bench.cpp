// How near each team comes to its fair portion of a full fleet, over all data centres.
#include "bench/request_fleet.h"

#include <algorithm>
#include <cmath>

namespace teasel::bench {

namespace {

    constexpr size_t backlog = 60; // kept waiting by a demanding team in each data centre where it submits
    constexpr Milliseconds takeBack { 2'000 };
    constexpr Milliseconds window { 30'000 };
    constexpr double bound = 5.0; // percent

    // Who demands, and where, until the next change.
    struct Phase {
        std::string name;
        std::vector<std::vector<size_t>> centresOfTeam;
    };

    struct Setting {
        std::string name;
        std::vector<CentreSize> sizes;
        std::vector<TeamPolicy> teams;
        std::vector<Phase> phases;
    };

    // The largest slot time that each team can have where it submits, by
    // progressive filling: all rise together by their shares, and stop where
    // the data centres that they can use are full.
    std::vector<double> fairPortions(const Setting& setting, const Phase& phase)
    {
        const size_t n = setting.teams.size();
        std::vector<double> portion(n, 0.0);
        std::vector<bool> stopped(n, false);
        for (size_t team = 0; team < n; ++team)
            stopped[team] = phase.centresOfTeam[team].empty();
        // For a set of teams T, their sum cannot exceed the slots of the centres that T can use.
        while (std::find(stopped.begin(), stopped.end(), false) != stopped.end()) {
            double level = 1e18;
            uint32_t tight = 0;
            for (uint32_t set = 1; set < (1U << n); ++set) {
                double fixed = 0;
                double shares = 0;
                std::vector<bool> used(setting.sizes.size(), false);
                for (size_t team = 0; team < n; ++team) {
                    if ((set >> team & 1) == 0)
                        continue;
                    fixed += stopped[team] ? portion[team] : 0;
                    shares += stopped[team] ? 0 : setting.teams[team].share;
                    for (const auto centre : phase.centresOfTeam[team])
                        used[centre] = true;
                }
                double slots = 0;
                for (size_t centre = 0; centre < used.size(); ++centre)
                    slots += used[centre] ? setting.sizes[centre].executors * setting.sizes[centre].slots : 0;
                if (shares > 0 && (slots - fixed) / shares < level - 1e-9) {
                    level = (slots - fixed) / shares;
                    tight = set;
                }
            }
            for (size_t team = 0; team < n; ++team) {
                if ((tight >> team & 1) != 0 && !stopped[team]) {
                    portion[team] = level * setting.teams[team].share;
                    stopped[team] = true;
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

    template <class Queue> double worstDeviation(const Setting& setting, bool print)
    {
        Random random(1);
        std::vector<ClassPolicy> classes { { "label-run", 1, 100'000 } };
        Fleet<Queue> fleet(setting.sizes, setting.teams, classes);
        double worst = 0;
        for (const auto& phase : setting.phases) {
            const auto began = fleet.now();
            std::vector<double> used(setting.teams.size(), 0.0);
            const auto fair = fairPortions(setting, phase);
            size_t steps = 0;
            while (fleet.now() < began + takeBack + window) {
                for (size_t team = 0; team < setting.teams.size(); ++team) {
                    for (const auto centre : phase.centresOfTeam[team]) {
                        while (fleet.waiting(centre, setting.teams[team].id) < backlog)
                            fleet.submit(centre, setting.teams[team].id, "label-run", serviceOf(random, team),
                                Milliseconds(600'000));
                    }
                }
                fleet.step([](const Job&) {}, [](const Job&) {});
                if (fleet.now() < began + takeBack)
                    continue;
                ++steps;
                for (size_t team = 0; team < used.size(); ++team)
                    used[team] += fleet.running(setting.teams[team].id);
            }
            double phaseWorst = 0;
            for (size_t team = 0; team < used.size(); ++team) {
                if (fair[team] > 0)
                    phaseWorst = std::max(
                        phaseWorst, std::abs(used[team] / static_cast<double>(steps) / fair[team] - 1.0) * 100.0);
                if (print && fair[team] > 0)
                    fmt::print(stderr, "  {} {} team {}: {:.2f} of {:.2f} slots\n", setting.name, phase.name, team + 1,
                        used[team] / static_cast<double>(steps), fair[team]);
            }
            worst = std::max(worst, phaseWorst);
        }
        return worst;
    }

    std::vector<CentreSize> fourCentres() { return { { "a", 13, 8 }, { "b", 13, 8 }, { "c", 12, 8 }, { "d", 12, 8 } }; }

    Setting cooperative()
    {
        Setting it { "six_teams", fourCentres(), {}, {} };
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

    // More teams than slots in a data centre. Portions follow the shares alone, as all submit everywhere.
    double manyTeams()
    {
        std::vector<CentreSize> sizes { { "a", 13, 8 } };
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
        const auto began = fleet.now();
        while (fleet.now() < began + takeBack + window) {
            for (const auto& it : teams) {
                while (fleet.waiting(0, it.id) < 5)
                    fleet.submit(0, it.id, "label-run", serviceOf(random, it.id), Milliseconds(600'000));
            }
            fleet.step([](const Job&) {}, [](const Job&) {});
            if (fleet.now() < began + takeBack)
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
    bool held = true;
    held &= report("shares", "six_teams_worst_deviation", worstDeviation<LeaderQueue>(cooperative(), verbose),
        "percent", bound, true);
    reportBaseline(
        "shares", "six_teams_worst_deviation_fifo", worstDeviation<FifoQueue>(cooperative(), false), "percent");
    held &= report("shares", "140_teams_worst_deviation", manyTeams(), "percent", bound, true);
    return held ? 0 : 1;
}
