#include "platform/call_codec.h"
#include "platform/configuration_check.h"
#include "platform/configuration_differences.h"

#include <doctest/doctest.h>

namespace teasel::platform {

namespace {

    const std::string valid = R"({
  "version": 7,
  "routes": [
    {"name": "r", "host": "a.example", "pathPrefix": "/p/", "kind": "x", "timeoutMs": 3000, "targetLatencyMs": 250,
     "priority": 0, "service": "s", "maxAttempts": 3, "slackFactor": 1.5, "allowedRegions": ["e"],
     "recommendation": {"decideMs": 9.3, "intervalMs": 0.13, "validityMs": 2500}}
  ],
  "services": [{"name": "s", "healthPath": "/h", "standby": false}],
  "limits": {"maxBodyBytes": 100},
  "tenants": [{"name": "t", "apiKeys": ["k1-secret-one", "k2-secret-two"], "weight": 33, "cap": {"cpu": 870867}}]
})";

    std::string replaced(std::string text, std::string_view old, std::string_view by)
    {
        const auto at = text.find(old);
        REQUIRE_MESSAGE(at != std::string::npos, old);
        return text.replace(at, old.size(), by);
    }

    std::string textOf(const std::vector<Finding>& findings)
    {
        std::string out;
        for (const auto& it : findings)
            out += std::to_string(it.place.line) + ":" + std::to_string(it.place.column) + " "
                + std::string(severityName(it.severity)) + " " + it.path + ": " + it.message + "\n";
        return out;
    }

    bool isAccepted(const std::string& text)
    {
        return valueOrError([&] { return decodeConfiguration(text); }).index() == 0;
    }

    std::vector<Finding> changes(const std::string& inForce, const std::string& next)
    {
        const auto before = teasel::platform::checkConfigurationText(inForce);
        const auto after = teasel::platform::checkConfigurationText(next);
        REQUIRE(before.configuration);
        REQUIRE(after.configuration);
        return differences(*before.configuration, *after.configuration);
    }

    struct Change {
        std::string_view old;
        std::string_view by;
        std::string_view expected; // part of the report
    };

    const std::vector<Change> refusedChanges {
        { R"("timeoutMs": 3000, )", "", "4:5 error routes[0].timeoutMs: missing" },
        { "3000", "0", "4:74 error routes[0].timeoutMs: route r: timeoutMs is 0" },
        { "3000", "\"x\"", "4:74 error routes[0].timeoutMs: expected a number from 0 up" },
        { "33", "0", "error tenants[0].weight: tenant t: the weight is 0" },
        { R"("weight": 33, )", "", "error tenants[0].weight: missing" },
        { R"("k2-secret-two")", "7", "error tenants[0].apiKeys[1]: expected text" },
        { "870867", "-1", "error tenants[0].cap.cpu: expected a number" },
        { "\"version\": 7", "\"version\": 0", "2:3 error version: version: expected a number above 0" },
        { R"("service": "s")", R"("service": "other")",
            "error routes[0].service: route r: service other has no entry" },
        { "2500", "true", "error routes[0].recommendation.validityMs: expected a number" },
        { R"(["e"])", "[null]", "error routes[0].allowedRegions[0]: expected text" },
        { R"("standby": false)", R"("standby": 0)", "error services[0].standby: expected true or false" },
        { R"([{"name": "s")", R"([7, {"name": "s")", "8:16 error services[0]: expected an object" },
        { R"("routes": [)",
            R"("routes": [{"name":"q","host":"a.example","pathPrefix":"/p/","timeoutMs":1,"service":"s"},)",
            "error routes[1]: route r never matches: route q (routes[0]) has the same host and prefix" },
        { R"("tenants": [)", R"("tenants": [{"name":"u","apiKeys":["k1-secret-one"],"weight":1},)",
            R"(error tenants[1].apiKeys[0]: team t shares key "k1..." with team u (tenants[0]))" },
        { R"("limits": {)", R"("limits": [], "x": {)", "error limits: expected an object" },
    };

    const std::vector<Change> questionableChanges {
        { R"("timeoutMs")", R"("timeoutms": 1, "timeoutMs")", "reads only \"timeoutMs\"" },
        { R"("version": 7,)", "\"version\": 7,\n\"version\": 7,", "3:1 warning version: the field occurs again" },
        { R"("maxAttempts": 3)", R"("maxAttempts": 0)", "5:37 warning routes[0].maxAttempts" },
        { R"("slackFactor": 1.5)", R"("slackFactor": 0.5)", "run longer than 500 ms" },
        { R"("targetLatencyMs": 250,)", R"("targetLatencyMs": 5000,)", "" }, // above timeoutMs: fine
        { "2500", "0", "tickets expire at once" },
        { "2500", "9", "shorter than decideMs 9.3" },
        { R"("priority": 0, )", "", "information routes[0].priority" },
        { R"("standby": false)", R"("standby": true)", "only a standby pool" },
        { R"([{"name": "s")", R"([{"name": "z"}, {"name": "s")", "warning services[0]: service z: no route names it" },
        { R"([{"name": "s")", R"([{"name": "z", "standby": true}, {"name": "s")", "" },
        { R"([{"name": "s")", R"([{"name": "s"}, {"name": "s")", "warning services[1].name" },
        { R"("apiKeys": ["k1-secret-one", "k2-secret-two"], )", "", "route r refuses all calls" },
        { R"("apiKeys": ["k1-secret-one", "k2-secret-two"], )", "", "team t has no keys" },
        { "\"k2-secret-two\"", "\"\"", "an empty key never matches" },
        { "\"k2-secret-two\"", "\"k1-secret-one\"", "listed twice" },
        { R"("cpu": 870867)", R"("cpu": 870867, "gpu": 0)", "information tenants[0].cap.gpu" },
        { R"("cpu": 870867)", R"("cpu": 0)", "information tenants[0].cap: team t: all amounts" },
        { "\"/p/\"", "\"p/\"", "paths begin with" },
        { "\"a.example\"", "\"a.example:80\"", "without their port" },
        { R"("maxBodyBytes": 100)", R"("maxBodyBytes": "x")", "warning limits.maxBodyBytes: expected a number" },
    };

} // namespace

TEST_CASE("a valid configuration has no findings, also with the fields of the platform that the server ignores")
{
    const auto check = teasel::platform::checkConfigurationText(valid);
    CHECK_MESSAGE(check.findings.empty(), textOf(check.findings));
    REQUIRE(check.configuration);
    CHECK(check.configuration->document() == valid);
}

// Guards against a check that passes what the server refuses, and against an error on what it accepts.
TEST_CASE("there is an error at its place if and only if the server refuses the configuration")
{
    for (const auto& it : refusedChanges) {
        const auto text = replaced(valid, it.old, it.by);
        const auto check = teasel::platform::checkConfigurationText(text);
        CHECK_MESSAGE(textOf(check.findings).find(it.expected) != std::string::npos, textOf(check.findings));
        CHECK_FALSE(isAccepted(text));
        CHECK_FALSE(check.configuration);
        CHECK(check.has(Severity::Error));
        CHECK(check.findings[0].severity == teasel::platform::Severity::Error);
    }
    for (const auto& it : questionableChanges) {
        const auto text = replaced(valid, it.old, it.by);
        const auto check = teasel::platform::checkConfigurationText(text);
        CHECK_MESSAGE(isAccepted(text), text);
        CHECK_FALSE_MESSAGE(check.has(Severity::Error), textOf(check.findings));
        CHECK_MESSAGE(check.findings.empty() == it.expected.empty(), textOf(check.findings));
        CHECK_MESSAGE(textOf(check.findings).find(it.expected) != std::string::npos, textOf(check.findings));
    }
}

// Guards against a crash on a value of an unexpected type, and against errors that differ from the server's.
TEST_CASE("any value in any place gives an error if and only if the server refuses it")
{
    const auto document = Json::parse(valid);
    size_t refusals = 0;
    const auto flat = document.flatten();
    for (const auto& leaf : flat.items()) {
        for (Json::json_pointer at(leaf.key()); !at.empty(); at = at.parent_pointer()) {
            for (const auto* value :
                { "null", "7", "-1", "0.5", "1e300", "\"\"", "\"x\"", "[]", "[[]]", "{}", "true" }) {
                auto changed = document;
                changed[at] = Json::parse(value);
                const auto text = changed.dump();
                const auto check = teasel::platform::checkConfigurationText(text);
                CHECK_MESSAGE(check.has(Severity::Error) == !isAccepted(text), text << "\n" << textOf(check.findings));
                // Errors that the server doesn't share become warnings: only limits may have such.
                for (const auto& it : check.configuration ? check.findings : std::vector<Finding>())
                    CHECK_MESSAGE((!it.message.starts_with("expected") || it.path.starts_with("limits")), it.path);
                refusals += check.has(Severity::Error) ? 1 : 0;
            }
        }
    }
    CHECK(refusals > 100);
}

// Guards against a check that stops at the first problem, as the server does.
TEST_CASE("one invalid entry does not hide another")
{
    auto text = replaced(valid, "3000", "0");
    text = replaced(text, "33", "0");
    text = replaced(text, "\"maxAttempts\": 3", "\"maxAttempts\": []");
    const auto found = textOf(checkConfigurationText(text).findings);
    CHECK_MESSAGE(found.find("tenants[0].weight") != std::string::npos, found);
    const auto withoutTeam = textOf(checkConfigurationText(replaced(valid, "33", "0")).findings);
    CHECK_MESSAGE(withoutTeam.find("refuses all calls") == std::string::npos, withoutTeam);
    CHECK_MESSAGE(found.find("routes[0].maxAttempts") != std::string::npos, found);
}

TEST_CASE("text that is no JSON object is unusable, with the place of the error")
{
    const std::vector<std::pair<std::string, std::string>> rows { { "{\n \"a\": 1,\n}", "3:1 " }, { "", "1:1 " },
        { "{\n\"a\": [1, 2", "2:11 " }, { "{} x", "1:4 " }, { "[]", "1:1 " }, { "{\"a\":\n 1e999}", "2:" },
        { "{\"\xff\": 1}", "1:3 " } };
    for (const auto& [text, place] : rows) {
        const auto check = teasel::platform::checkConfigurationText(text);
        CHECK_FALSE(check.isJsonObject);
        REQUIRE(check.findings.size() == 1);
        CHECK_MESSAGE(textOf(check.findings).starts_with(place), textOf(check.findings));
    }
}

// Guards against places that are off after escapes, numbers and nested lists.
TEST_CASE("places are those of the field names and the list entries")
{
    const JsonPlaces places("{\"a\\\"\\\\\": [10,\n  -2.5, true, \"x\\\\\", null, {\"b\" : {}}]}");
    const auto at = [&](std::string_view path) {
        const auto it = places.find(path);
        return std::to_string(it.line) + ":" + std::to_string(it.column);
    };
    CHECK(at("a\"\\") == "1:2");
    CHECK(at("a\"\\[0]") == "1:12");
    CHECK(at("a\"\\[1]") == "2:3");
    CHECK(at("a\"\\[2]") == "2:9");
    CHECK(at("a\"\\[3]") == "2:15");
    CHECK(at("a\"\\[4]") == "2:22");
    CHECK(at("a\"\\[5].b") == "2:29");
    CHECK(at("a\"\\[5].b.missing[3]") == "2:29");
    CHECK(at("missing") == "1:1");
}

TEST_CASE("differences are ordered by risk and contain no key")
{
    auto next = replaced(valid, "\"version\": 7", "\"version\": 8");
    next = replaced(next, R"("services": [)", R"("services": [{"name": "other"}, )");
    next = replaced(next, R"("service": "s")", R"("service": "other")");
    next = replaced(next, "\"k1-secret-one\"", "\"k3-secret-new\"");
    next = replaced(next, "870867", "100");
    next = replaced(next, "33", "20");
    next = replaced(next, R"(["e"])", R"(["e", "f"])");
    const auto found = textOf(changes(valid, next));
    size_t position = 0;
    for (const auto* part : { R"(warning : team t: key "k1..." is removed)", "warning : team t: cap.cpu 870867 -> 100",
             "warning : team t: weight 33 -> 20", "warning : route r (a.example/p/): service s -> other",
             "information : route r (a.example/p/): allowedRegions e -> e, f", "information : service other is added",
             R"(information : team t: key "k3..." is added)" }) {
        const auto at = found.find(part, position);
        CHECK_MESSAGE(at != std::string::npos, part << " in\n" << found);
        position = at == std::string::npos ? position : at;
    }
    CHECK(found.find("secret") == std::string::npos);
    CHECK(textOf(changes(valid, replaced(next, "\"/p/\"", "\"/q/\"")))
              .starts_with("0:0 warning : route r (a.example/p/) is removed"));
    CHECK(textOf(changes(valid, replaced(next, "\"t\"", "\"u\"")))
              .starts_with("0:0 warning : team t is removed with its 2 keys"));
}

TEST_CASE("a cap that appears is lowered, one that disappears is not")
{
    const auto next = replaced(valid, "\"version\": 7", "\"version\": 8");
    const auto unlimited = replaced(next, R"("cpu": 870867)", R"("memMb": 5)");
    const auto found = textOf(changes(valid, unlimited));
    CHECK_MESSAGE(found.starts_with("0:0 warning : team t: cap.memMb no limit -> 5\n"), found);
    CHECK_MESSAGE(found.find("information : team t: cap.cpu 870867 -> no limit") != std::string::npos, found);
}

// Guards against a report that only looks at the routes themselves: the longest prefix decides where calls go.
TEST_CASE("routes with a common prefix take over each other's calls")
{
    const auto next = replaced(valid, "\"version\": 7", "\"version\": 8");
    const auto more = replaced(next, R"("routes": [)",
        R"("routes": [{"name":"q","host":"a.example","pathPrefix":"/p/q/","timeoutMs":1,"service":"s"},)");
    const auto added = textOf(changes(valid, more));
    CHECK_MESSAGE(
        added == "0:0 warning : route q (a.example/p/q/) is added; it takes over calls of route r (a.example/p/)\n",
        added);
    const auto removed = textOf(changes(more, replaced(next, "\"version\": 8", "\"version\": 9")));
    CHECK_MESSAGE(
        removed == "0:0 warning : route q (a.example/p/q/) is removed; its calls go to route r (a.example/p/)\n",
        removed);
}

TEST_CASE("a version that would not come into force is an error, a repetition is not")
{
    const auto older = replaced(valid, "\"version\": 7", "\"version\": 6");
    CHECK(textOf(changes(valid, older)).find("error : version 6 is below 7") != std::string::npos);
    CHECK(textOf(changes(valid, valid + "\n")).find("the server answers 409") != std::string::npos);
    CHECK(textOf(changes(valid, valid)) == "0:0 information : version 7 with this content is already in force\n");
    CHECK(changes(older, valid).empty());
}

} // namespace teasel::platform

TEST_CASE("a configuration that is nested too deeply is one error, with its place")
{
    std::string objects;
    for (int n = 0; n < 2'000; ++n)
        objects += "{\"a\":";
    const auto lists = std::string(2'000, '[');
    for (const auto& deep : { objects + "1" + std::string(2'000, '}'), lists + std::string(2'000, ']') }) {
        const auto check = teasel::platform::checkConfigurationText("{\"version\":1,\n\"routes\":" + deep + "}");
        REQUIRE(check.findings.size() == 1);
        CHECK(check.findings[0].severity == teasel::platform::Severity::Error);
        CHECK(check.findings[0].place.line == 2);
        CHECK(check.findings[0].message.find("nested too deeply") != std::string::npos);
    }
}
