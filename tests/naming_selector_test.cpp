#include "naming_fixture.h"

#include <set>
#include <string>
#include <vector>

namespace teasel {

using namespace test;

namespace {

    std::set<uint32_t> matching(const LabelIndex& index, NameTable& names, std::string_view text)
    {
        const auto selector = compiled(text, names);
        const auto found = index.matching(selector);
        std::set<uint32_t> out(found.begin(), found.end());
        for (const auto ordinal : index.all())
            CHECK(index.matches(selector, ordinal) == out.contains(ordinal));
        return out;
    }

} // namespace

TEST_CASE("selectors allow exactly the instances that their terms describe")
{
    NameTable names;
    names.configure(threeSchemes());
    LabelIndex index(names);
    REQUIRE(index.put(1, instance("", "w1", { { "zone", "a" }, { "gpu", "yes" } })));
    REQUIRE(index.put(2, instance("", "w2", { { "zone", "b" } })));
    REQUIRE(index.put(3, instance("", "w3", {})));
    using Set = std::set<uint32_t>;
    const std::vector<std::pair<std::string, Set>> rows {
        { "", { 1, 2, 3 } },
        { "zone = a", { 1 } },
        { "zone != a", { 2, 3 } },
        { "zone in (a, \"b\")", { 1, 2 } },
        { "zone not in (a, b)", { 3 } },
        { "exists gpu", { 1 } },
        { "not exists gpu and exists zone", { 2 } },
        { "instance in (w1, ours:w3)", { 1, 3 } },
        { "ours:instance != w1 and rack = r1 and data_centre = north", { 2, 3 } },
        { "rack = r2", {} },
        { "colour = red", {} },
    };
    for (const auto& it : rows) {
        CAPTURE(it.first);
        CHECK(matching(index, names, it.first) == it.second);
    }
    CHECK(index.blockingTerm(compiled("exists zone and colour = red", names)) == "colour = red");
    CHECK(index.blockingTerm(compiled("gpu = yes and zone = b", names)) == "");
}

TEST_CASE("a malformed selector is rejected with the position and what was expected")
{
    const std::vector<std::pair<std::string, std::string>> rows {
        { "zone", "selector, position 5: expected \"=\", \"!=\", \"in\" or \"not in\", found the end" },
        { "zone = ", "selector, position 8: expected a value, found the end" },
        { "zone ! a", "selector, position 6: expected \"=\", \"!=\", \"in\" or \"not in\", found \"!\"" },
        { "zone = a or zone = b", "selector, position 10: expected \"and\" or the end, found \"or\"" },
        { "zone in a", "selector, position 9: expected \"(\", found \"a\"" },
        { "zone in (a b)", "selector, position 12: expected \",\" or \")\", found \"b\"" },
        { "zone in ()", "selector, position 10: expected a value, found \")\"" },
        { "zone not a", "selector, position 10: expected \"in\", found \"a\"" },
        { "not zone = a", "selector, position 5: expected \"exists\", found \"zone\"" },
        { "zone = \"a", "selector, position 10: expected a closing quote, found the end" },
        { "and = a", "selector, position 1: expected a key, found \"and\"" },
        { "\"\" = a", "selector, position 1: expected a key, found \"\"" },
        { "zone = a and", "selector, position 13: expected a key, found the end" },
        { std::string(maxSelectorBytes + 1, 'a'), "selector: expected at most 16384 bytes, found 16385" },
    };
    NameTable names;
    for (const auto& it : rows) {
        const auto error = errorOf([&] { return compileSelector(it.first, names); });
        CHECK(error.kind == ErrorKind::BadRequest);
        CHECK(error.message == it.second);
    }
}

} // namespace teasel
