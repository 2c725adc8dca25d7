// Faults of the emulator's executors: some are cut off at once, crash behind the cut and start again under their ids,
// also together with a loss of the leader; some are unhealthy for a while.
#pragma once

#include "jobs_world_fleet.h"
#include "jobs_world_hazards.h"

#include <algorithm>
#include <vector>

namespace teasel {

class JobsWorldFaults {
public:
    JobsWorldFaults(
        const JobsWorldOptions& options, const ManualClock& clock, JobsWorldHazards& hazards, JobsWorldFleet& fleet)
        : m_options(options)
        , m_clock(clock)
        , m_hazards(hazards)
        , m_fleet(fleet)
    {
    }

    // Returns whether the leader is lost.
    bool step(bool isEnding)
    {
        constexpr double stepsPerSecond = 200;
        if (m_options.unhealthyPerSecond > 0 && !isEnding
            && m_hazards.random().chance(m_options.unhealthyPerSecond / stepsPerSecond))
            makeUnhealthy();
        if (m_options.rebirthsPerSecond == 0 && m_options.jointLossesPerSecond == 0)
            return false;
        if (isEnding) {
            m_planned.clear();
            m_leaderLosses.clear();
        } else {
            if (m_options.rebirthsPerSecond > 0
                && m_hazards.random().chance(m_options.rebirthsPerSecond / stepsPerSecond))
                cutOff();
            if (m_options.jointLossesPerSecond > 0
                && m_hazards.random().chance(m_options.jointLossesPerSecond / stepsPerSecond))
                loseTogether();
        }
        std::erase_if(m_planned, [&](const auto& it) {
            if (it.at > m_clock.now())
                return false;
            auto& executor = m_fleet.executors()[it.slot];
            m_fleet.crash(executor, std::nullopt, true);
            executor.silentUntil = it.until;
            ++m_hazards.counts().rebirths;
            return true;
        });
        return std::erase_if(m_leaderLosses, [&](const auto& it) { return it <= m_clock.now(); }) > 0;
    }

private:
    static constexpr double shareCutOff = 0.35;
    static constexpr uint64_t crashWindowMs = 450; // within which the executors of one cut crash

    struct Rebirth {
        size_t slot = 0;
        Instant at {};
        Instant until {}; // end of the cut
    };

    void makeUnhealthy()
    {
        auto& executors = m_fleet.executors();
        executors[m_hazards.random().below(executors.size())].unhealthyUntil
            = m_clock.now() + Milliseconds(200 + m_hazards.random().below(2'800));
    }

    void cutOff()
    {
        auto& random = m_hazards.random();
        const auto crash = m_clock.now() + Milliseconds(200 + random.below(2'500));
        const auto until = crash + Milliseconds(crashWindowMs + 500 + random.below(4'000));
        for (auto& it : m_fleet.executors()) {
            if (!random.chance(shareCutOff))
                continue;
            it.silentUntil = std::max(it.silentUntil, until);
            m_planned.push_back({ it.slot, crash + Milliseconds(random.below(crashWindowMs)), until });
        }
    }

    // The executors of a data centre are cut off, most of them crash, and the leader is lost; all in any order. In one
    // case of three the next leader is lost, too.
    void loseTogether()
    {
        constexpr uint64_t windowMs = 1'500;
        auto& random = m_hazards.random();
        const auto within = [&random](uint64_t ms) { return Milliseconds(random.below(ms)); };
        ++m_hazards.counts().jointLosses;
        const auto zone = worldZone(random.below(worldZones));
        for (auto& it : m_fleet.executors()) {
            if (it.zone() != zone)
                continue;
            const auto until = m_clock.now() + Milliseconds(windowMs + 200) + within(12'000);
            it.silentUntil = std::max(it.silentUntil, until);
            if (random.chance(0.8))
                m_planned.push_back({ it.slot, m_clock.now() + within(windowMs), until });
        }
        m_leaderLosses.push_back(m_clock.now() + within(windowMs));
        if (random.chance(0.33))
            m_leaderLosses.push_back(m_clock.now() + Milliseconds(windowMs) + within(5'000));
    }

    const JobsWorldOptions& m_options;
    const ManualClock& m_clock;
    JobsWorldHazards& m_hazards;
    JobsWorldFleet& m_fleet;
    std::vector<Rebirth> m_planned;
    std::vector<Instant> m_leaderLosses;
};

} // namespace teasel
