#include "node/http_responses.h"

#include <doctest/doctest.h>

using namespace teasel;

TEST_CASE("an operator's waiting time is between none and a minute")
{
    const auto waitFor = [](const char* header) {
        HttpRequest request;
        request.headers.emplace_back("teasel-wait-ms", header);
        return parseWait(request);
    };
    CHECK(parseWait({}) == Milliseconds(3'000));
    CHECK(waitFor("250") == Milliseconds(250));
    CHECK(waitFor("0") == Milliseconds(0));
    for (const char* header : { "60001", "9223372036854775807", "99999999999999999999" })
        CHECK_MESSAGE(waitFor(header) == Milliseconds(60'000), header);
    for (const char* header : { "-1", "-9223372036854775808", "-99999999999999999999" })
        CHECK_MESSAGE(waitFor(header) == Milliseconds(0), header);
}
