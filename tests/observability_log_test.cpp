#include "observability/log.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace teasel {

TEST_CASE("a line contains level, event, time and fields, quoted where needed")
{
    ManualClock clock;
    std::string out;
    const Log log(LogLevel::Info, clock, [&](std::string_view line) { out += line; });
    log.info(
        "leader_elected", { { "epoch", 4 }, { "instance", "e1" }, { "reason", "lease \"a\" ended\n" }, { "to", "" } });
    CHECK(out
        == "level=info event=leader_elected time=1970-01-01T00:16:40.000Z epoch=4 instance=e1 "
           "reason=\"lease \\\"a\\\" ended\\n\" to=\"\"\n");
}

TEST_CASE("lines below the minimum level are omitted")
{
    ManualClock clock;
    size_t lines = 0;
    Log log(LogLevel::Warning, clock, [&](std::string_view) { ++lines; });
    log.debug("a");
    log.info("b");
    log.warning("c");
    log.error("d");
    CHECK(lines == 2);
    log.setLevel(LogLevel::Debug);
    log.debug("e");
    CHECK(lines == 3);
}

TEST_CASE("levels are parsed from their names")
{
    for (const auto level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
        const auto read = valueOrError([&] { return logLevelFromName(nameOf(level)); });
        REQUIRE(read.index() == 0);
        CHECK(std::get<0>(read) == level);
    }
    CHECK(valueOrError([] { return logLevelFromName("loud"); }).index() == 1);
}

} // namespace teasel
