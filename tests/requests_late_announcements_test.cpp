// Tests announcements that are late, or that only claim a restart.
#include "dispatch_fixture.h"

#include <doctest/doctest.h>

namespace teasel {

TEST_CASE("an announcement from before an attempt's grant does not end the attempt when it arrives late")
{
    DispatchFixture it;
    it.announce(1, 0);
    const auto delayed = DispatchFixture::announcement(1, 0);
    it.submit(1);
    REQUIRE(it.inFlight() == 1);
    it.dispatch.onHolderLost("h", it.now);
    it.run(Milliseconds(1'500));
    it.announce(1, 1);
    REQUIRE(it.inFlight() == 1);
    it.dispatch.onAnnounce(delayed, it.now);
    CHECK(it.inFlight() == 1);
}

TEST_CASE("an announcement that reaches a new leader after its sender left makes the sender no executor")
{
    DispatchFixture it;
    it.announce(1, 0);
    const auto delayed = DispatchFixture::announcement(1, 0);
    auto leaving = delayed;
    leaving.set_leaving(true);
    it.dispatch.onAnnounce(leaving, it.now);
    it.run(Milliseconds(100));
    it.becomeLeader();
    it.dispatch.onAnnounce(delayed, it.now);
    it.submit(1);
    CHECK(it.inFlight() == 0);
}

TEST_CASE("an announcement with a higher incarnation alone does not end the attempts of the earlier one")
{
    DispatchFixture it;
    it.announce(1, 0);
    it.submit(1);
    REQUIRE(it.inFlight() == 1);
    it.dispatch.onHolderLost("h", it.now);
    it.run(Milliseconds(1'500));
    it.announce(UINT64_MAX, 1);
    CHECK(it.inFlight() == 1);
}

TEST_CASE("one announcement with the highest incarnation does not keep the executor out for good")
{
    DispatchFixture it;
    it.announce(1, 0);
    it.announce(UINT64_MAX, 0);
    for (int i = 0; i < 20; ++i) {
        it.run(Milliseconds(500));
        it.announce(1, 0);
    }
    it.submit(1);
    CHECK(it.inFlight() == 1);
}

} // namespace teasel
