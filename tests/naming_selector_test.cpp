#include "naming/label_index.h"
#include "naming/selector.h"

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

namespace teasel {

namespace {

    constexpr SchemeId ours = 1;
    constexpr SchemeId theirs = 2;

    schema::FleetConfig twoSchemes()
    {
        schema::FleetConfig config;
        auto& first = *config.add_schemes();
        first.set_id(ours);
        first.set_name("ours");
        auto& second = *config.add_schemes();
        second.set_id(theirs);
        second.set_name("theirs");
        return config;
    }

    InstanceLabels instance(const std::string& scheme, const std::string& name,
        const std::vector<std::pair<std::string, std::string>>& labels)
    {
        InstanceLabels out { scheme, name, "r1", "north", {} };
        for (const auto& [key, value] : labels) {
            schema::Label label;
            label.set_key(key);
            label.set_value(value);
            out.labels.push_back(label);
        }
        return out;
    }

    std::string errorOf(std::string_view text, NameTable& names)
    {
        const auto outcome = valueOrError([&] { return compileSelector(text, names); });
        const auto* error = std::get_if<Error>(&outcome);
        return error ? error->message : "";
    }

    std::set<uint32_t> matching(const LabelIndex& index, NameTable& names, std::string_view text)
    {
        const auto outcome = valueOrError([&] { return compileSelector(text, names); });
        REQUIRE(outcome.index() == 0);
        const auto found = index.matching(std::get<0>(outcome));
        std::set<uint32_t> out(found.begin(), found.end());
        for (const auto ordinal : index.all())
            CHECK(index.matches(std::get<0>(outcome), ordinal) == out.contains(ordinal));
        return out;
    }

    template <class T> T mustHave(Result<T> result)
    {
        REQUIRE(result);
        return std::move(result.value());
    }

} // namespace

TEST_CASE("selectors allow the instances that their terms describe")
{
    NameTable names;
    names.configure(twoSchemes());
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
    CHECK(index.blockingTerm(mustHave(compileSelector("exists zone and colour = red", names))) == "colour = red");
    CHECK(index.blockingTerm(mustHave(compileSelector("gpu = yes and zone = b", names))) == "");
}

TEST_CASE("a malformed selector is refused with the position and what was expected")
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
    for (const auto& [text, message] : rows)
        CHECK(errorOf(text, names) == message);
}

} // namespace teasel
