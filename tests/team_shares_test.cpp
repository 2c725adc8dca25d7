#include "shares/team_shares.h"

#include <doctest/doctest.h>

using namespace teasel;

namespace {

constexpr Instant start { std::chrono::seconds(100) };

} // namespace

// Guards against a team that sends many times its rate and is owed all of it.
TEST_CASE("a team is owed its weight in jobs a second, and what it did not use for a moment")
{
    TeamShares shares;
    shares.setWeights({ { "large", 10.0 }, { "small", 1.0 } });
    size_t owed = 0;
    for (int n = 0; n < 1'000; ++n) {
        const auto now = start + Milliseconds(n * 10);
        const bool isOwed = shares.isOwed("large", now);
        owed += isOwed ? 1 : 0;
        shares.recordAccepted("large", !isOwed, now);
    }
    CHECK(owed >= 100); // 10 s of its weight
    CHECK(owed <= 120); // and the burst
    CHECK(shares.borrowed("large", start + std::chrono::seconds(10)) > 100);
    CHECK(shares.borrowed("large", start + std::chrono::seconds(60)) < 2);
    CHECK(shares.isOwed("small", start + std::chrono::seconds(10)));
    CHECK(shares.isOwed("unknown", start));
}

// Guards against callers that all come back at the same moment.
TEST_CASE("callers of a team beyond its weight are told different times to return")
{
    TeamShares shares;
    shares.setWeights({ { "large", 10.0 } });
    CHECK(shares.reserveReturn("large", start) == Milliseconds(100));
    CHECK(shares.reserveReturn("large", start) == Milliseconds(200));
    CHECK(shares.reserveReturn("large", start + Milliseconds(150)) == Milliseconds(150));
    CHECK(shares.reserveReturn("unknown", start) == Duration(0));
}

// Guards against a change of the configuration that grants every team a fresh burst.
TEST_CASE("a change of weights keeps what the teams have used")
{
    TeamShares shares;
    shares.setWeights({ { "large", 2.0 } });
    for (int n = 0; n < 4; ++n)
        shares.recordAccepted("large", false, start);
    CHECK(!shares.isOwed("large", start));
    shares.setWeights({ { "large", 3.0 }, { "new", 1.0 } });
    CHECK(!shares.isOwed("large", start));
    CHECK(shares.isOwed("large", start + Milliseconds(400)));
    CHECK(shares.isOwed("new", start));
}
