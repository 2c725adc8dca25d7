// Tests which connections of callers are closed when they use too much.
#include "net/caller_load.h"

#include <doctest/doctest.h>

#include <vector>

using namespace teasel;
using Phase = CallerLoad::Phase;

TEST_CASE("a further connection closes the one that has been in its phase for the longest time")
{
    CallerLoad load(3, 100);
    const auto idle = load.open(10);
    const auto receiving = load.open(11);
    const auto waiting = load.open(12);
    load.setPhase(waiting, Phase::Receiving);
    load.setPhase(waiting, Phase::Waiting);
    load.setPhase(receiving, Phase::Receiving);
    CHECK(load.takeClosing().empty());
    load.open(13);
    CHECK(load.takeClosing() == std::vector { 10 });
    load.open(14); // the one before it counts as closed
    CHECK(load.takeClosing() == std::vector { 11 });
    load.close(idle);
    load.close(receiving);
    CHECK(load.connections() == 3);
}

TEST_CASE("a connection whose request waits for its answer is never closed")
{
    CallerLoad load(2, 100);
    for (const auto fd : { 10, 11 })
        load.setPhase(load.open(fd), Phase::Waiting);
    load.open(12);
    CHECK(load.takeClosing() == std::vector { 12 });
}

TEST_CASE("a request that needs room closes older requests that do not end, and not one that has begun later")
{
    CallerLoad load(10, 100);
    const auto stalled = load.open(10);
    const auto other = load.open(11);
    const auto ordinary = load.open(12);
    load.setPhase(stalled, Phase::Receiving);
    load.setPhase(other, Phase::Receiving);
    CHECK(load.reserve(other, 40));
    CHECK(load.reserve(stalled, 60));
    load.setPhase(ordinary, Phase::Receiving);
    CHECK(load.reserve(ordinary, 30));
    CHECK(load.takeClosing() == std::vector { 10 });
    CHECK(load.bytes() == 70);
    CHECK_FALSE(load.reserve(stalled, 1)); // it is being closed
    CHECK_FALSE(load.reserve(other, 31)); // it is the oldest
    CHECK(load.takeClosing().empty());
    CHECK(load.bytes() == 70);
}

TEST_CASE("a request gets no room while all others wait for their answers")
{
    CallerLoad load(10, 100);
    const auto waiting = load.open(10);
    const auto next = load.open(11);
    CHECK(load.reserve(waiting, 90));
    load.setPhase(waiting, Phase::Waiting);
    load.setPhase(next, Phase::Receiving);
    CHECK_FALSE(load.reserve(next, 20));
    CHECK(load.takeClosing().empty());
    CHECK(load.reserve(next, 10));
    load.release(waiting);
    CHECK(load.reserve(next, 90));
    CHECK(load.bytes() == 100);
}

TEST_CASE("an answer that is not read makes room for requests that came later")
{
    CallerLoad load(10, 100);
    const auto reader = load.open(10);
    const auto next = load.open(11);
    load.setPhase(reader, Phase::Sending);
    CHECK(load.reserve(reader, 100));
    load.setPhase(next, Phase::Receiving);
    CHECK(load.reserve(next, 50));
    CHECK(load.takeClosing() == std::vector { 10 });
    load.close(reader);
    load.close(next);
    CHECK(load.bytes() == 0);
    CHECK(load.connections() == 0);
}
