// Hazards of the emulator that are drawn from a generator of their own, tickets, and counts of what occurred.
#pragma once

#include "core/random.h"
#include "jobs_world_types.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace teasel {

// How often the hazards occurred.
struct HazardCounts {
    size_t rebirths = 0; // of executors that were cut off
    size_t startsByLaterLife = 0; // carried out; sent to an earlier life of the executor
    size_t startsWhileCut = 0; // of these, on an executor that was cut off
    size_t forgottenEnds = 0; // done, and dropped for an acknowledgement that was sent to an earlier life
    size_t invalidTickets = 0;
    size_t lostAnnouncements = 0;
    size_t lateAnnouncements = 0;
    size_t announcementsAfterNextLife = 0; // late, after the registration of the sender's next life
    size_t answersWithoutBorn = 0;
    size_t slowMessages = 0;
    size_t refusedStarts = 0; // by executors that were unhealthy
    size_t refusedStops = 0;
    size_t refusedRenewals = 0;
    size_t delayedGangEnds = 0; // of single members
    size_t clockSteps = 0; // lives with an earlier start time than the one before
    size_t listsWithoutBorn = 0;
    size_t ordersForOtherIds = 0; // refused by the executor at the address
    // Announcements of other writers: of another id at a live executor's address, of a live executor's id with another
    // start time or address, and with a sequence number far ahead.
    size_t falseIds = 0;
    size_t earlierStartTimes = 0;
    size_t laterStartTimes = 0;
    size_t farStartTimes = 0;
    size_t falseAddresses = 0;
    size_t farSequences = 0;
    size_t falseDepartures = 0;
    size_t falseDeparturesWithBorn = 0; // of these
    size_t jointLosses = 0; // of the leader and a data centre
    size_t departures = 0;
    size_t lostDepartures = 0; // of these; the leader was not told

    HazardCounts& operator+=(const HazardCounts& other)
    {
        rebirths += other.rebirths;
        startsByLaterLife += other.startsByLaterLife;
        startsWhileCut += other.startsWhileCut;
        forgottenEnds += other.forgottenEnds;
        invalidTickets += other.invalidTickets;
        lostAnnouncements += other.lostAnnouncements;
        lateAnnouncements += other.lateAnnouncements;
        announcementsAfterNextLife += other.announcementsAfterNextLife;
        answersWithoutBorn += other.answersWithoutBorn;
        slowMessages += other.slowMessages;
        refusedStarts += other.refusedStarts;
        refusedStops += other.refusedStops;
        refusedRenewals += other.refusedRenewals;
        delayedGangEnds += other.delayedGangEnds;
        clockSteps += other.clockSteps;
        listsWithoutBorn += other.listsWithoutBorn;
        ordersForOtherIds += other.ordersForOtherIds;
        falseIds += other.falseIds;
        earlierStartTimes += other.earlierStartTimes;
        laterStartTimes += other.laterStartTimes;
        farStartTimes += other.farStartTimes;
        falseAddresses += other.falseAddresses;
        farSequences += other.farSequences;
        falseDepartures += other.falseDepartures;
        falseDeparturesWithBorn += other.falseDeparturesWithBorn;
        jointLosses += other.jointLosses;
        departures += other.departures;
        lostDepartures += other.lostDepartures;
        return *this;
    }
};

class JobsWorldHazards {
public:
    // Draws from a generator of its own, so that a seed without these hazards plays as before.
    JobsWorldHazards(const JobsWorldOptions& options, const ManualClock& clock)
        : m_options(options)
        , m_clock(clock)
        , m_random(options.seed + seedOffset)
    {
    }

    Random& random() { return m_random; }
    HazardCounts& counts() { return m_counts; }
    const HazardCounts& counts() const { return m_counts; }

    // ---- Tickets ---------------------------------------------------------------

    std::string issueTicket(const StepKey& step, const std::string& executor, uint64_t bornMs)
    {
        auto text = fmt::format("ticket {}", m_tickets.size());
        m_tickets.emplace(text, Ticket { step, executor, bornMs, m_clock.now() });
        return text;
    }

    bool acceptsTicket(const StartRun& start, const WorldExecutor& executor)
    {
        if (m_options.ticketCheck == TicketCheck::None || !m_options.needsTickets)
            return true;
        const auto it = m_tickets.find(start.ticket);
        const bool isValid = it != m_tickets.end() && it->second.step == start.task.step
            && it->second.executor == executor.id
            && (m_options.ticketCheck == TicketCheck::Id || it->second.bornMs == executor.bornMs)
            && m_clock.now() - it->second.issuedAt <= m_options.ticketValidity;
        m_counts.invalidTickets += isValid ? 0 : 1;
        return isValid;
    }

    // ---- Announcements ---------------------------------------------------------

    // 0: it arrives at once; nothing: it is lost.
    std::optional<Milliseconds> announcementDelay()
    {
        if (m_options.lostAnnouncements > 0 && m_random.chance(m_options.lostAnnouncements)) {
            ++m_counts.lostAnnouncements;
            return std::nullopt;
        }
        if (m_options.lateAnnouncements == 0 || !m_random.chance(m_options.lateAnnouncements))
            return Milliseconds(0);
        return Milliseconds(1'000 + m_random.below(7'000));
    }

    void recordLateAnnouncement(const schema::ExecutorRecord& record, const JobState& state)
    {
        ++m_counts.lateAnnouncements;
        const auto isNewer = [&](const auto& it) {
            return it.second.record.id() == record.id() && it.second.record.born_ms() > record.born_ms();
        };
        m_counts.announcementsAfterNextLife
            += std::any_of(state.executors().begin(), state.executors().end(), isNewer) ? 1 : 0;
    }

    // ---- Orders and answers ---------------------------------------------------------------

    // The contract has the start time of an incarnation only in announcements and in lists of runs.
    void editAnswer(const SendOrder& order, OrderResult& result)
    {
        const bool isList = std::holds_alternative<RenewLease>(order.order);
        const auto share = isList ? m_options.listsWithoutBorn : m_options.answersWithoutBorn;
        if (share == 0 || !m_random.chance(share))
            return;
        result.bornMs = 0;
        ++(isList ? m_counts.listsWithoutBorn : m_counts.answersWithoutBorn);
    }

    bool refuses(const WorldExecutor& executor, const SendOrder& order)
    {
        constexpr double share = 0.7;
        if (executor.unhealthyUntil <= m_clock.now() || !m_random.chance(share))
            return false;
        m_counts.refusedStarts += std::holds_alternative<StartRun>(order.order) ? 1 : 0;
        m_counts.refusedStops += std::holds_alternative<StopRun>(order.order) ? 1 : 0;
        m_counts.refusedRenewals += std::holds_alternative<RenewLease>(order.order) ? 1 : 0;
        return true;
    }

    double gangEndDelayMs()
    {
        ++m_counts.delayedGangEnds;
        return static_cast<double>(m_random.below(static_cast<uint64_t>(m_options.maxGangEndDelay.count())));
    }

    Milliseconds extraLatency()
    {
        if (m_options.slowMessages == 0 || !m_random.chance(m_options.slowMessages))
            return Milliseconds(0);
        ++m_counts.slowMessages;
        return Milliseconds(m_random.below(60));
    }

    // ---- Rebirths --------------------------------------------------------------

    bool stepsClock()
    {
        if (m_options.clockSteps == 0 || !m_random.chance(m_options.clockSteps))
            return false;
        ++m_counts.clockSteps;
        return true;
    }

    uint64_t clockStepMs() { return 1 + m_random.below(10'000); }

    void recordStartByLaterLife(const WorldExecutor& executor)
    {
        ++m_counts.startsByLaterLife;
        m_counts.startsWhileCut += executor.silentUntil > m_clock.now() ? 1 : 0;
    }

private:
    static constexpr uint64_t seedOffset = 2'000'003;

    struct Ticket {
        StepKey step;
        std::string executor;
        uint64_t bornMs = 0;
        Instant issuedAt {};
    };

    const JobsWorldOptions& m_options;
    const ManualClock& m_clock;
    Random m_random;
    std::map<std::string, Ticket> m_tickets;
    HazardCounts m_counts;
};

} // namespace teasel
