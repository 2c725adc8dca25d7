// Seeded runs of the job plane in which the leader is lost together with the executors of a data centre, some of which
// restart under their ids behind the cut and carry out late what was sent to their earlier lives.
#include "jobs_seed_loop.h"

using namespace teasel;

namespace {

JobsWorldOptions jointLosses(uint64_t seed)
{
    JobsWorldOptions options;
    options.jointLossesPerSecond = 0.15;
    options.holdMax = options.maxLease = Milliseconds(seed % 4 < 2 ? 6'000 : 10'000); // the leader asks for at most 8 s
    options.maxStopTime = Milliseconds(195); // the contract's 200 ms, less the emulator's step
    options.lateOrders = 0.05;
    options.lateOrdersPassCuts = true;
    options.answersWithoutBorn = 1;
    options.needsTickets = seed % 2 == 0;
    options.ticketCheck = TicketCheck::Id;
    options.ticketValidity = Milliseconds(6'000);
    options.drainDuration = Milliseconds(180'000); // a late start without a ticket holds its task up for 20 s
    return options;
}

std::string variantOf(uint64_t seed) { return seed % 2 == 0 ? ", tickets bound to the id" : ", no tickets"; }

} // namespace

// Guards against TWICE: a new leader takes a run for begun that a later life of its executor still begins.
TEST_CASE("no task runs twice when the leader is lost together with executors")
{
    const auto result = runSeeds("jobs_joint_losses_random_test", 50, jointLosses, variantOf);
    const auto& counts = result.hazards;
    fmt::print("jobs ended: {}; losses of the leader and a data centre: {}; starts carried out by a later life: {}\n",
        result.completed, counts.jointLosses, counts.startsByLaterLife);
    if (!result.hasEnoughForEachHazard())
        return;
    CHECK(counts.jointLosses > result.seeds);
    CHECK(counts.startsByLaterLife > 0);
}
