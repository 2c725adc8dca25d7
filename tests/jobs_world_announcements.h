// Announcements and departures of the emulator's executors that other writers send, and executors that drain, leave and
// end.
#pragma once

#include "jobs_world_fleet.h"
#include "jobs_world_hazards.h"

#include <algorithm>
#include <vector>

namespace teasel {

class JobsWorldAnnouncements {
public:
    JobsWorldAnnouncements(
        const JobsWorldOptions& options, const ManualClock& clock, JobsWorldHazards& hazards, JobsWorldFleet& fleet)
        : m_options(options)
        , m_clock(clock)
        , m_hazards(hazards)
        , m_fleet(fleet)
        , m_random(options.seed + seedOffset)
    {
    }

    // `call` gives a message to the leader.
    template <typename Call> void step(const Call& call, bool isEnding)
    {
        if (!isEnding) {
            if (isDue(m_options.falseAnnouncementsPerSecond))
                call(falseAnnouncement());
            if (isDue(m_options.falseDeparturesPerSecond))
                call(falseDeparture());
            if (isDue(m_options.departuresPerSecond))
                drain();
        }
        std::erase_if(m_leaving, [&](auto& it) { return advance(it, call); });
    }

private:
    static constexpr uint64_t seedOffset = 3'000'017;
    static constexpr uint64_t farAheadMs = 1ULL << 40U;

    struct Leaving {
        size_t slot = 0;
        uint64_t bornMs = 0;
        Instant endsAt {}; // some time after it has left
        bool hasLeft = false;
    };

    bool isDue(double perSecond)
    {
        constexpr double stepsPerSecond = 200;
        return perSecond > 0 && m_random.chance(perSecond / stepsPerSecond);
    }

    WorldExecutor& anyExecutor() { return m_fleet.executors()[m_random.below(m_fleet.executors().size())]; }

    // ---- Other writers -----------------------------------------------------------

    ExecutorAnnouncement falseAnnouncement()
    {
        auto& executor = anyExecutor();
        auto out = executor.announcementMessage();
        out.sequence = executor.sequence + 1;
        switch (m_random.below(4)) {
        case 0:
            out.record.set_id(fmt::format("y{}", m_random.below(100)));
            if (m_random.chance(0.5))
                changeStartTime(out.record);
            ++m_hazards.counts().falseIds;
            break;
        case 1:
            changeStartTime(out.record);
            break;
        case 2:
            changeAddress(out.record, executor);
            if (m_random.chance(0.5))
                changeStartTime(out.record);
            break;
        default:
            moveSequenceAhead(out);
            return out;
        }
        if (m_random.chance(0.3))
            moveSequenceAhead(out);
        return out;
    }

    void changeStartTime(schema::ExecutorRecord& record)
    {
        const auto born = record.born_ms();
        const auto difference = 1 + m_random.below(10'000);
        switch (m_random.below(3)) {
        case 0:
            record.set_born_ms(born - difference);
            ++m_hazards.counts().earlierStartTimes;
            break;
        case 1:
            record.set_born_ms(born + difference);
            ++m_hazards.counts().laterStartTimes;
            break;
        default:
            record.set_born_ms(born + farAheadMs);
            ++m_hazards.counts().farStartTimes;
        }
    }

    // To that of another executor, or to one where nobody answers.
    void changeAddress(schema::ExecutorRecord& record, const WorldExecutor& executor)
    {
        const auto& other = anyExecutor();
        record.set_address(other.slot == executor.slot ? "nowhere" : other.address);
        ++m_hazards.counts().falseAddresses;
    }

    void moveSequenceAhead(ExecutorAnnouncement& announcement)
    {
        announcement.sequence += m_random.chance(0.5) ? 1'000 + m_random.below(20'000) : farAheadMs;
        ++m_hazards.counts().farSequences;
    }

    ExecutorDeparture falseDeparture()
    {
        const auto& executor = anyExecutor();
        ++m_hazards.counts().falseDepartures;
        if (m_random.chance(0.3))
            return { executor.id, 0 };
        ++m_hazards.counts().falseDeparturesWithBorn;
        if (m_random.chance(0.5))
            return { executor.id, executor.bornMs };
        auto record = executor.announcementMessage().record;
        changeStartTime(record);
        return { executor.id, record.born_ms() };
    }

    // ---- Executors that leave ------------------------------------------------------

    void drain()
    {
        auto& executor = anyExecutor();
        if (executor.leavesAt || executor.silentUntil > m_clock.now())
            return;
        executor.leavesAt = m_clock.now() + Milliseconds(1'000 + m_random.below(4'000));
        executor.nextAnnouncement = m_clock.now();
        m_leaving.push_back({ executor.slot, executor.bornMs, *executor.leavesAt + Milliseconds(m_random.below(800)) });
    }

    // Returns whether it has ended.
    template <typename Call> bool advance(Leaving& leaving, const Call& call)
    {
        auto& executor = m_fleet.executors()[leaving.slot];
        if (executor.bornMs != leaving.bornMs) // it crashed
            return true;
        const auto now = m_clock.now();
        if (now >= *executor.leavesAt && !leaving.hasLeft) {
            leaving.hasLeft = true;
            ++m_hazards.counts().departures;
            if (executor.silentUntil > now || m_random.chance(0.2))
                ++m_hazards.counts().lostDepartures;
            else
                call(ExecutorDeparture { executor.id, m_random.chance(0.5) ? executor.bornMs : 0 });
        }
        if (now < leaving.endsAt)
            return false;
        m_fleet.end(executor);
        executor.silentUntil = now + Milliseconds(500 + m_random.below(3'000));
        return true;
    }

    const JobsWorldOptions& m_options;
    const ManualClock& m_clock;
    JobsWorldHazards& m_hazards;
    JobsWorldFleet& m_fleet;
    Random m_random;
    std::vector<Leaving> m_leaving;
};

} // namespace teasel
