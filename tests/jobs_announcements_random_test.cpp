// Seeded runs of the job plane with announcements and departures that the executors did not send, clocks that step
// back, executors that leave, and lists of runs without a start time. One seed in three plays false messages alone, one
// those together with executors that leave and with clock steps, one all of these together with the hazards of
// jobs_rebirth_random_test.
#include "jobs_seed_loop.h"

#include <array>

using namespace teasel;

namespace {

JobsWorldOptions announcements(uint64_t seed)
{
    JobsWorldOptions options;
    options.holdMax = Milliseconds(6'000);
    options.maxStopTime = Milliseconds(195); // the contract's 200 ms, less the emulator's step
    options.ticketCheck = TicketCheck::Incarnation;
    options.ticketValidity = Milliseconds(6'000);
    options.answersWithoutBorn = 1;
    options.falseAnnouncementsPerSecond = 1;
    options.falseDeparturesPerSecond = 0.2;
    options.listsWithoutBorn = 0.05;
    if (seed % 3 == 1)
        return options;
    options.departuresPerSecond = 0.2;
    options.clockSteps = 0.5;
    if (seed % 3 == 2)
        return options;
    options.rebirthsPerSecond = 0.2;
    options.ticketCheck = TicketCheck::Id;
    options.lateOrders = 0.05;
    options.lateOrdersPassCuts = true;
    options.lateAnnouncements = 0.1;
    options.lostAnnouncements = 0.1;
    options.slowMessages = 0.3;
    options.maxGangEndDelay = Milliseconds(100);
    options.unhealthyPerSecond = 0.3;
    return options;
}

std::string variantOf(uint64_t seed)
{
    static const std::array<const char*, 3> names { ", all hazards", ", false messages",
        ", false messages, departures and clock steps" };
    return names[seed % names.size()];
}

} // namespace

TEST_CASE("no task runs twice after announcements and departures that its executor did not send")
{
    const auto result = runSeeds("jobs_announcements_random_test", 50, announcements, variantOf);
    const auto& counts = result.hazards;
    fmt::print("jobs ended: {}; executors restarted while cut off: {}\n", result.completed, counts.rebirths);
    fmt::print("false announcements of other ids: {}, of earlier, later and far start times: {}, {}, {}, of other "
               "addresses: {}, with sequence numbers far ahead: {}\n",
        counts.falseIds, counts.earlierStartTimes, counts.laterStartTimes, counts.farStartTimes, counts.falseAddresses,
        counts.farSequences);
    fmt::print("false departures: {}, {} of them with a start time; executors that left: {}, {} of them untold; orders "
               "refused for their id: {}\n",
        counts.falseDepartures, counts.falseDeparturesWithBorn, counts.departures, counts.lostDepartures,
        counts.ordersForOtherIds);
    fmt::print("lives with an earlier start time than the one before: {}; lists of runs without a start time: {}\n",
        counts.clockSteps, counts.listsWithoutBorn);
    if (!result.hasEnoughForEachHazard())
        return;
    const auto seeds = result.seeds;
    CHECK(counts.rebirths > seeds);
    CHECK(counts.falseIds > seeds);
    CHECK(counts.earlierStartTimes > seeds);
    CHECK(counts.laterStartTimes > seeds);
    CHECK(counts.farStartTimes > seeds);
    CHECK(counts.falseAddresses > seeds);
    CHECK(counts.farSequences > seeds);
    CHECK(counts.falseDepartures > counts.falseDeparturesWithBorn);
    CHECK(counts.falseDeparturesWithBorn > seeds);
    CHECK(counts.departures > counts.lostDepartures);
    CHECK(counts.lostDepartures > 0);
    CHECK(counts.ordersForOtherIds > seeds);
    CHECK(counts.clockSteps > seeds);
    CHECK(counts.listsWithoutBorn > seeds);
    CHECK(result.completed > seeds * 50);
}
