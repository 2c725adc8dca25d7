// Leases of executors that have answered a start, without a start time, and not listed its run yet.
#include "jobs_fixture.h"

using namespace teasel;

namespace {

constexpr Milliseconds step { 20 };

} // namespace

// Guards against TWICE: a later incarnation answers a start, and a renewal that it carries out late extends its lease
// beyond the expiry that the leader knows.
TEST_CASE("no renewal extends the lease between a start that a later life answered and the listing of its run")
{
    JobsFixture it;
    it.announce("x1");
    it.passWithRenewals(Milliseconds(500));
    it.submit(JobsFixture::request(7, 1));
    it.pass(step);
    it.restart("x1");
    it.answer(*it.takeOrder<StartRun>(), { OrderOutcome::Done });
    it.answerRenewals({}); // requested before the start
    size_t renewals = 0;
    std::optional<SendOrder> listing;
    for (int n = 0; n < 50; ++n) {
        it.pass(step);
        while (const auto renewal = it.takeOrder<RenewLease>()) {
            ++renewals;
            CHECK(std::get<RenewLease>(renewal->order).leaseUntilMs == 0);
            listing = renewal;
        }
    }
    REQUIRE(renewals > 0);
    it.answer(*listing, { OrderOutcome::Done, 0, 0, { { { { 7, 0, 0 }, 0 }, 1, {}, 50, -1 } }, {}, true });
    it.pass(Milliseconds(100));
    const auto renewal = it.takeOrder<RenewLease>();
    REQUIRE(renewal);
    CHECK(std::get<RenewLease>(renewal->order).leaseUntilMs > 0);
}
