// Tests what an executor's announcement proves to the leader.
#include "dispatch_fixture.h"

#include <doctest/doctest.h>

namespace teasel {

TEST_CASE("an announcement of an executor's earlier incarnation ends no attempt of the present one")
{
    DispatchFixture it;
    it.announce(1, 0);
    it.run(Milliseconds(100));
    const auto delayed = DispatchFixture::announcement(1, 0);
    it.announce(2, 0);
    it.submit(1);
    REQUIRE(it.inFlight() == 1);
    it.dispatch.onHolderLost("h", it.now);
    it.run(Milliseconds(1'500));
    it.announce(2, 1);
    REQUIRE(it.inFlight() == 1);
    it.dispatch.onAnnounce(delayed, it.now);
    CHECK(it.inFlight() == 1);
    it.announce(2, 0);
    CHECK(it.inFlight() == 0);
}

} // namespace teasel
