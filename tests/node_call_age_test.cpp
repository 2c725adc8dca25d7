// How old a call may be that was delayed on its way: before a front read it, or between a front and the leader.
#include "node/order_age.h"
#include "node/stall_detector.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

constexpr Instant begin { std::chrono::seconds(100) };

} // namespace

// Guards against a frozen front that counts the time limit of a call from when it reads it (UNASKED).
TEST_CASE("what is read right after a stall may have waited since it began")
{
    StallDetector stalls(Milliseconds(200));
    stalls.onActivity(begin);
    stalls.onActivity(begin + Milliseconds(150));
    CHECK(stalls.possibleAge(begin + Milliseconds(150)) == Duration(0));
    stalls.onActivity(begin + Milliseconds(3'650));
    CHECK(stalls.possibleAge(begin + Milliseconds(3'650)) == Milliseconds(3'500));
    stalls.onActivity(begin + Milliseconds(3'700));
    CHECK(stalls.possibleAge(begin + Milliseconds(3'700)) == Milliseconds(3'550));
    stalls.onActivity(begin + Milliseconds(3'850));
    stalls.onActivity(begin + Milliseconds(4'000));
    stalls.onActivity(begin + Milliseconds(4'160));
    CHECK(stalls.possibleAge(begin + Milliseconds(4'160)) == Duration(0));
}

// Guards against a forwarded call that the leader receives after its time limit, from a queue or a slow link.
TEST_CASE("a forwarded call may be expired once its time limit has passed since the view that it names")
{
    schema::RoutedCall call;
    call.set_time_left_ms(2'000);
    call.set_view_sent_at_ms(100'000);
    CHECK(!mayBeExpired(call, begin + Milliseconds(300)));
    CHECK(!mayBeExpired(call, begin + Milliseconds(2'000)));
    CHECK(mayBeExpired(call, begin + Milliseconds(2'001)));
    CHECK(mayBeExpired(call, begin - Milliseconds(1))); // the leader's machine started again meanwhile
    call.set_view_sent_at_ms(0); // of an earlier version
    CHECK(!mayBeExpired(call, begin + Milliseconds(2'001)));
}
