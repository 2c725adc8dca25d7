#include "naming_fuzz.h"

#include "core/random.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <vector>

namespace teasel {

namespace {

    const std::vector<std::string> fragments { "zone", " = ", " != ", " in (", " not in (", ", ", ")", "exists ",
        "not ", " and ", "\"", "\\", "\"a b\"", "a", "ours:", "instance", "\x01", "\xc3\xb1", "" };

    std::string randomText(Random& random)
    {
        std::string text;
        for (auto n = random.below(14); n > 0; --n)
            text += fragments[random.below(fragments.size())];
        for (auto n = random.below(3); n > 0 && !text.empty(); --n)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        return text;
    }

    uint64_t seed()
    {
        const char* given = std::getenv("TEASEL_SEED");
        return given ? std::strtoull(given, nullptr, 10) : 20261204;
    }

} // namespace

TEST_CASE("any text is either rejected as a selector with BadRequest or survives printing and parsing")
{
    constexpr size_t iterations = 200'000;
    constexpr size_t minAccepted = 1'000;
    Random random(seed());
    size_t accepted = 0;
    for (size_t n = 0; n < iterations; ++n)
        accepted += test::fuzzSelector(randomText(random)) ? 1 : 0;
    INFO("TEASEL_SEED=" << seed() << " naming_fuzz_test: " << accepted << " accepted");
    CHECK(accepted >= minAccepted);
}

} // namespace teasel
