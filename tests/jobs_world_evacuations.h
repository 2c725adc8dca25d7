// Operators of the emulator that order evacuations and withdraw them, and the rules for acknowledged orders.
#pragma once

#include "core/random.h"
#include "jobs_world_checks.h"
#include "jobs_world_types.h"

#include <array>
#include <functional>
#include <optional>

namespace teasel {

class JobsWorldEvacuations {
public:
    using Call = std::function<uint64_t(OrderEvacuation)>; // passes the order to the leader; returns the handle

    // Draws from a generator of its own, so that a seed without evacuations plays as before.
    JobsWorldEvacuations(const JobsWorldOptions& options, const ManualClock& clock, JobsWorldChecks& checks)
        : m_options(options)
        , m_clock(clock)
        , m_checks(checks)
        , m_random(options.seed + seedOffset)
    {
    }

    bool isEnabled() const { return m_options.evacuationsPerSecond > 0; }

    // Gives new orders at random, and those without an answer again. With `isEnding`, withdraws all evacuations.
    void step(const Call& call, bool isEnding)
    {
        if (!isEnabled())
            return;
        constexpr double stepsPerSecond = 200;
        for (size_t n = 0; n < worldZones; ++n) {
            auto& it = m_zones[n];
            if (isEnding && it.wanted != false)
                begin(n, false);
            else if (!isEnding && m_random.chance(m_options.evacuationsPerSecond / stepsPerSecond))
                begin(n, m_random.chance(0.5));
            if (!it.handles.empty() || it.isOpen)
                sendAgain(n, call);
        }
    }

    void onAnswer(uint64_t handle, CallStatus status)
    {
        for (size_t n = 0; n < worldZones; ++n) {
            auto& it = m_zones[n];
            if (it.handles.erase(handle) == 0)
                continue;
            if (status != CallStatus::Ok)
                m_checks.report(fmt::format("EVACUATION: an order for {} was refused", worldZone(n)));
            if (!it.isOpen || m_random.chance(m_options.lostAnswers))
                return;
            it.isOpen = false;
            it.acknowledged = it.wanted;
            ++m_acknowledged;
            if (*it.wanted)
                m_checks.onEvacuationAcknowledged(worldZone(n));
            return;
        }
    }

    // Whether the state holds each order that was acknowledged and not followed by another one.
    void checkState(const JobState& state)
    {
        for (size_t n = 0; n < worldZones; ++n) {
            const auto& it = m_zones[n];
            if (it.acknowledged && state.isEvacuated(worldZone(n)) != *it.acknowledged)
                m_checks.report(fmt::format("EVACUATION: the acknowledged order for {} is lost", worldZone(n)));
        }
    }

    size_t acknowledged() const { return m_acknowledged; }
    Random& random() { return m_random; }

private:
    static constexpr uint64_t seedOffset = 1'000'003;
    static constexpr Milliseconds resendInterval { 1'000 };

    struct Zone {
        std::optional<bool> wanted {}; // the last order
        bool isOpen = false; // its answer has not come
        std::optional<bool> acknowledged {}; // unset from a new order until its answer
        Instant nextTry {};
        std::set<uint64_t> handles {}; // of the attempts of the last order
    };

    void begin(size_t n, bool isActive)
    {
        auto& it = m_zones[n];
        it.wanted = isActive;
        it.isOpen = true;
        it.acknowledged.reset();
        it.nextTry = m_clock.now();
        it.handles.clear();
        if (!isActive)
            m_checks.onEvacuationWithdrawn(worldZone(n));
    }

    void sendAgain(size_t n, const Call& call)
    {
        auto& it = m_zones[n];
        if (!it.isOpen || m_clock.now() < it.nextTry)
            return;
        it.nextTry = m_clock.now() + resendInterval;
        it.handles.insert(call({ worldZone(n), *it.wanted }));
    }

    const JobsWorldOptions& m_options;
    const ManualClock& m_clock;
    JobsWorldChecks& m_checks;
    Random m_random;
    std::array<Zone, worldZones> m_zones;
    size_t m_acknowledged = 0;
};

} // namespace teasel
