// The rejections that a leader repeats to copies of a call.
#include "node/rejected_calls.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

schema::CallOrigin call(uint64_t number)
{
    schema::CallOrigin out;
    out.set_instance("front-1");
    out.set_incarnation(1);
    out.set_number(number);
    return out;
}

schema::RoutedAnswer answer(uint32_t status)
{
    schema::RoutedAnswer out;
    out.set_status(status);
    return out;
}

} // namespace

TEST_CASE("a copy of a rejected call gets the first answer")
{
    RejectedCalls it(10);
    it.add(call(1), answer(401));
    it.add(call(1), answer(429));
    REQUIRE(it.find(call(1)) != nullptr);
    CHECK(it.find(call(1))->status() == 401);
    CHECK(it.find(call(2)) == nullptr);
    auto restarted = call(1);
    restarted.set_incarnation(2);
    CHECK(it.find(restarted) == nullptr);
}

// Guards against a leader that repeats its rejection after another one, which led in between, has accepted the call.
TEST_CASE("rejections hold for one term")
{
    RejectedCalls it(10);
    it.add(call(1), answer(429));
    it.onBecameLeader();
    CHECK(it.find(call(1)) == nullptr);
}

TEST_CASE("the oldest rejections are forgotten first")
{
    RejectedCalls it(2);
    for (uint64_t n = 1; n <= 3; ++n)
        it.add(call(n), answer(429));
    CHECK(it.find(call(1)) == nullptr);
    CHECK(it.find(call(2)) != nullptr);
    CHECK(it.find(call(3)) != nullptr);
}
