#include "naming_fixture.h"

#include "naming/builtin_keys.h"

namespace teasel {

using namespace test;

namespace {

    constexpr auto labelKey = schema::SUBJECT_KIND_LABEL_KEY;
    constexpr auto instanceKind = schema::SUBJECT_KIND_INSTANCE;
    constexpr auto teamKind = schema::SUBJECT_KIND_TEAM;

} // namespace

TEST_CASE("an ambiguous name is rejected with its candidates, and each qualified candidate is accepted")
{
    NameTable names;
    names.configure(threeSchemes());
    const auto first = names.intern(labelKey, ours, "zone");
    const auto second = names.intern(labelKey, theirs, "zone");
    CHECK(first != second);
    const auto error = errorOf([&] { return names.resolve(labelKey, "zone"); });
    CHECK(error.kind == ErrorKind::AmbiguousName);
    CHECK(error.message == "\"zone\" means different things; write one of: ours:zone, theirs:zone");
    CHECK(valueOf([&] { return names.resolve(labelKey, "ours:zone"); }) == first);
    CHECK(valueOf([&] { return names.resolve(labelKey, "theirs:zone"); }) == second);
    CHECK(errorOf([&] { return compileSelector("zone = a", names); }).kind == ErrorKind::AmbiguousName);
}

TEST_CASE("an alias makes names in two schemes refer to one subject")
{
    NameTable names;
    auto config = threeSchemes();
    names.configure(config);
    const auto zone = names.intern(labelKey, ours, "zone");
    names.intern(labelKey, theirs, "zone");
    putAlias(config, theirs, labelKey, zone, "zone");
    putAlias(config, older, labelKey, rackKey, "shelf");
    names.configure(config);
    CHECK(valueOf([&] { return names.resolve(labelKey, "zone"); }) == zone);
    CHECK(names.nameIn(theirs, labelKey, zone) == "zone");
    CHECK(names.nameIn(ours, labelKey, zone) == "zone");
    CHECK(names.nameIn(older, labelKey, zone) == "");
    CHECK(valueOf([&] { return names.resolve(labelKey, "shelf"); }) == rackKey);
    CHECK(valueOf([&] { return names.resolve(labelKey, "older:rack"); }) == rackKey);
    CHECK(names.nameIn(older, labelKey, rackKey) == "shelf");
    CHECK(names.nameIn(ours, labelKey, rackKey) == "rack");
}

TEST_CASE("unknown names are rejected, and unknown schemes with a list of the existing ones")
{
    NameTable names;
    CHECK(valueOf([&] { return names.scheme(""); }) == 0);
    auto config = threeSchemes();
    auto& team = *config.add_teams();
    team.set_id(7);
    team.set_name("red");
    putAlias(config, theirs, teamKind, 7, "rojo");
    names.configure(config);
    CHECK(valueOf([&] { return names.resolve(teamKind, "red"); }) == 7);
    CHECK(valueOf([&] { return names.resolve(teamKind, "theirs:rojo"); }) == 7);
    CHECK(errorOf([&] { return names.resolve(teamKind, "blue"); }).message == "no team \"blue\" in any naming scheme");
    CHECK(errorOf([&] { return names.scheme("yours"); }).message
        == "no naming scheme \"yours\"; there are: ours, theirs, older");
    CHECK(errorOf([&] { return compileSelector("yours:zone = a", names); }).kind == ErrorKind::NotFound);
}

TEST_CASE("the version increases only with changes that may alter the subject of a name")
{
    NameTable names;
    auto config = threeSchemes();
    names.configure(config);
    auto version = names.version();
    config.set_revision(9);
    names.configure(config);
    names.intern(instanceKind, ours, "w1");
    compiled("zone = a", names);
    CHECK(names.version() == version);
    names.intern(labelKey, theirs, "zone");
    CHECK(names.version() > version);
    CHECK(compiled("zone = a", names).terms[0].key == names.subjectIn(labelKey, theirs, "zone"));
    version = names.version();
    putAlias(config, ours, instanceKind, names.subjectIn(instanceKind, ours, "w1"), "worker1");
    names.configure(config);
    CHECK(names.version() > version);
}

TEST_CASE("a renamed subject keeps its id under both names until another subject gets the old name")
{
    NameTable names;
    auto config = threeSchemes();
    putAlias(config, ours, instanceKind, 40, "w1");
    names.configure(config);
    putAlias(config, ours, instanceKind, 40, "w9");
    names.configure(config);
    CHECK(names.intern(instanceKind, ours, "w9") == 40);
    CHECK(names.intern(instanceKind, ours, "w1") == 40);
    CHECK(names.nameIn(ours, instanceKind, 40) == "w9");
    putAlias(config, ours, instanceKind, 41, "w1");
    names.configure(config);
    CHECK(names.intern(instanceKind, ours, "w1") == 41);
    CHECK(names.intern(instanceKind, ours, "w9") == 40);
}

TEST_CASE("ids derived from names are the same in every process")
{
    NameTable names;
    NameTable others;
    others.configure(threeSchemes());
    others.intern(labelKey, ours, "other");
    CHECK(names.intern(labelKey, ours, "zone") == others.intern(labelKey, ours, "zone"));
    CHECK(names.derivedSubject(labelKey, ours, "zone") == 0x86914710ab821003U);
}

TEST_CASE("new aliases reach the index of existing instances, and compiled selectors still match")
{
    NameTable names;
    auto config = threeSchemes();
    names.configure(config);
    LabelIndex index(names);
    REQUIRE(index.put(1, instance("ours", "w1", { { "zone", "a" } })));
    REQUIRE(index.put(2, instance("theirs", "t2", { { "zona", "a" } })));
    const auto before = compiled("theirs:zona = a", names);
    const auto byName = compiled("theirs:instance = t2", names);
    CHECK(index.matching(before) == roaring::Roaring::bitmapOf(1, 2));
    putAlias(config, theirs, labelKey, names.subjectIn(labelKey, ours, "zone"), "zona");
    putAlias(config, older, instanceKind, names.subjectIn(instanceKind, theirs, "t2"), "n-2");
    names.configure(config);
    const auto version = index.version();
    index.refresh();
    CHECK(index.version() > version);
    CHECK(index.matching(before) == roaring::Roaring::bitmapOf(1, 2));
    CHECK(index.matching(compiled("zona = a", names)) == roaring::Roaring::bitmapOf(2, 1, 2));
    CHECK(index.matching(compiled("older:instance = n-2", names)) == roaring::Roaring::bitmapOf(1, 2));
    putAlias(config, theirs, instanceKind, 40, "t2");
    names.configure(config);
    index.refresh();
    CHECK(index.matching(byName) == roaring::Roaring::bitmapOf(1, 2));
    CHECK(index.matching(compiled("theirs:instance = t2", names)) == roaring::Roaring::bitmapOf(1, 2));
}

TEST_CASE("a selector compiled before any announcement matches instances announced later in any scheme")
{
    NameTable names;
    names.configure(threeSchemes());
    LabelIndex index(names);
    const auto byLabel = compiled("zona = a", names);
    const auto byName = compiled("instance in (t2, t3)", names);
    const auto without = compiled("zona != a", names);
    REQUIRE(index.put(1, instance("ours", "w1")));
    REQUIRE(index.put(2, instance("theirs", "t2", { { "zona", "a" } })));
    CHECK(index.matching(byLabel) == roaring::Roaring::bitmapOf(1, 2));
    CHECK(index.matching(byName) == roaring::Roaring::bitmapOf(1, 2));
    CHECK(index.matching(without) == roaring::Roaring::bitmapOf(1, 1));
    CHECK(index.matches(byLabel, 2));
    REQUIRE(index.put(3, instance("older", "o3", { { "zona", "a" } })));
    CHECK(index.matching(byLabel).isEmpty());
    CHECK_FALSE(index.matches(without, 1));
    CHECK(index.blockingTerm(byLabel) == "zona = a");
    CHECK(index.matching(compiled("theirs:zona = a", names)) == roaring::Roaring::bitmapOf(1, 2));
}

TEST_CASE("labels named like a built-in key do not override the instance's own fields")
{
    NameTable names;
    LabelIndex index(names);
    REQUIRE(index.put(1, instance("", "w1", { { "instance", "w2" }, { "rack", "r7" }, { "data_centre", "south" } })));
    auto rackless = instance("", "w2", { { "rack", "r7" } });
    rackless.rack.clear();
    REQUIRE(index.put(2, rackless));
    CHECK(index.matching(compiled("rack = r7", names)) == roaring::Roaring::bitmapOf(1, 2));
    CHECK(index.matching(compiled("instance = w2", names)) == roaring::Roaring::bitmapOf(1, 2));
    CHECK(index.matching(compiled("data_centre = south", names)).isEmpty());
}

TEST_CASE("unchanged labels change nothing, and a removed instance leaves no postings")
{
    NameTable names;
    LabelIndex index(names);
    REQUIRE(index.put(1, instance("", "w1", { { "zone", "a" } })));
    const auto version = index.version();
    REQUIRE(index.put(1, instance("", "w1", { { "zone", "a" } })));
    CHECK(index.version() == version);
    REQUIRE(index.put(1, instance("", "w1", { { "zone", "a" }, { "zone", "b" } })));
    REQUIRE(index.put(1, instance("", "w1", { { "zone", "b" } })));
    CHECK(index.version() > version);
    CHECK(index.matching(compiled("zone = a", names)).isEmpty());
    CHECK(index.matching(compiled("exists zone", names)).cardinality() == 1);
    REQUIRE(index.put(1, instance("", "w1")));
    CHECK(index.matching(compiled("exists zone", names)).isEmpty());
    index.remove(1);
    CHECK(index.all().isEmpty());
    CHECK(index.matching(compiled("exists zone", names)).isEmpty());
    CHECK(errorOf([&] { return index.put(1, instance("nowhere", "w1")); }).kind == ErrorKind::NotFound);
}

} // namespace teasel
