#include "core/clock.h"
#include "core/error_kind.h"
#include "core/invariant.h"
#include "core/result.h"

#include <doctest/doctest.h>

#include <set>
#include <string>

namespace teasel {

TEST_CASE("every error kind has a unique name, an HTTP status and advice")
{
    std::set<std::string_view> names;
    for (const auto& it : allErrorInfos()) {
        CHECK(names.insert(it.name).second);
        if (it.kind == ErrorKind::None)
            continue;
        CHECK(it.httpStatus >= 400);
        CHECK_FALSE(it.advice.empty());
    }
    CHECK(errorKindFromNumber(10'000) == ErrorKind::Internal);
}

TEST_CASE("valueOrError returns the error of a failed result and the value of a successful one")
{
    const auto bad = valueOrError([]() -> Result<int> { return fail(ErrorKind::NotFound, "no such team"); });
    REQUIRE(std::holds_alternative<Error>(bad));
    CHECK(std::get<Error>(bad).kind == ErrorKind::NotFound);
    const auto good = valueOrError([]() -> Result<int> { return 7; });
    CHECK(std::get<0>(good) == 7);
}

TEST_CASE("an invariant violation calls the handler with the name of the invariant")
{
    std::string seen;
    auto previous = setInvariantHandler([&](std::string_view name, std::string_view) { seen = name; });
    checkInvariant(false, "capacity", [] { return std::string("1 of 0"); });
    setInvariantHandler(std::move(previous));
    CHECK(seen == "capacity");
}

TEST_CASE("millisecondsLeft is never negative")
{
    ManualClock clock;
    const auto start = clock.now();
    clock.advance(Milliseconds(5));
    CHECK(millisecondsLeft(start, clock.now()) == 0);
    CHECK(millisecondsLeft(clock.now() + Milliseconds(7), clock.now()) == 7);
}

} // namespace teasel
