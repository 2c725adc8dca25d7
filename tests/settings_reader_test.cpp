#include "placement.pb.h"
#include "settings/entry_settings.h"
#include "settings/job_settings.h"
#include "settings/state_settings.h"

#include <doctest/doctest.h>
#include <google/protobuf/util/message_differencer.h>

#include <string>
#include <vector>

namespace teasel {

namespace {

    const std::string fleet = "entries:\n"
                              "  - {id: e1, data_centre: north, peer_address: 127.1.0.1:7000}\n"
                              "  - {id: e2, data_centre: south, peer_address: 127.2.0.1:7000}\n"
                              "states:\n"
                              "  - {id: s1, data_centre: north, peer_address: 127.1.0.9:7000}\n";
    const std::string entry = "instance: {id: e1, data_centre: north, peer_address: 127.1.0.1:7000}\n"
                              "http_address: 127.1.0.1:8080\n"
        + fleet;
    const std::string state = "instance: {id: s1, data_centre: north, peer_address: 127.1.0.9:7000}\n"
                              "http_address: 127.1.0.9:8080\n"
                              "data_folder: /var/lib/teasel\n"
        + fleet;

    std::string replaced(std::string text, std::string_view from, std::string_view to)
    {
        const auto at = text.find(from);
        REQUIRE(at != std::string::npos);
        return text.replace(at, from.size(), to);
    }

    template <class Operation> std::string messageOf(Operation&& operation)
    {
        const auto outcome = valueOrError(operation);
        if (const auto* error = std::get_if<Error>(&outcome))
            return error->message;
        return "";
    }

    std::string entryError(const std::string& text)
    {
        return messageOf([&] { return parseEntrySettings(text, "e.yaml"); });
    }

    std::string stateError(const std::string& text)
    {
        return messageOf([&] { return parseStateSettings(text, "s.yaml"); });
    }

} // namespace

TEST_CASE("missing settings get defaults, and given settings are kept")
{
    const auto read = valueOrError([] { return parseEntrySettings(entry + "http_threads: 7\n", "e.yaml"); });
    REQUIRE(read.index() == 0);
    const auto& settings = std::get<0>(read);
    CHECK(settings.max_body_bytes() == 1'048'576);
    CHECK(settings.max_held_requests() == 10'000);
    CHECK(settings.stop_grace_ms() == 30'000);
    CHECK(settings.http_threads() == 7);
    CHECK(settings.max_connections() == 4'096);
    CHECK(settings.log().level() == "info");
    const auto other
        = valueOrError([] { return parseStateSettings(state + "cut_off: {serve_for_ms: 5000}\n", "s.yaml"); });
    REQUIRE(other.index() == 0);
    CHECK(std::get<0>(other).cut_off().serve_for_ms() == 5'000);
    CHECK(std::get<0>(other).snapshot_every_records() == 100'000);
}

TEST_CASE("reading printed settings returns the same settings")
{
    const auto first = valueOrError([] { return parseStateSettings(state, "s.yaml"); });
    REQUIRE(first.index() == 0);
    const auto text = printSettings(std::get<0>(first));
    const auto second = valueOrError([&] { return parseStateSettings(text, "printed"); });
    REQUIRE(second.index() == 0);
    CHECK(google::protobuf::util::MessageDifferencer::Equals(std::get<0>(first), std::get<0>(second)));
    CHECK(text.find("serve_for_ms: 3600000") != std::string::npos);
}

TEST_CASE("a wrong setting is rejected with file, line, key and what was expected")
{
    struct Row {
        std::string text;
        std::string message;
    };
    const std::vector<Row> rows {
        { entry + "http_thread: 2\n", "e.yaml:8: http_thread: expected one of instance, http_address," },
        { entry + "http_threads: four\n",
            "e.yaml:8: http_threads: expected a whole number from 0 to 4294967295, found \"four\"" },
        { entry + "http_threads: \"4\"\n", "e.yaml:8: http_threads: expected a whole number" },
        { entry + "http_threads: -1\n", "e.yaml:8: http_threads: expected a whole number" },
        { entry + "http_threads: 4294967296\n", "e.yaml:8: http_threads: expected a whole number" },
        { entry + "http_threads: 0\n", "e.yaml:8: http_threads: expected a whole number from 1 to 256, found 0" },
        { entry + "log: loud\n", "e.yaml:8: log: expected a map of keys, found \"loud\"" },
        { entry + "log:\n", "e.yaml:8: log: expected a map of keys, found nothing" },
        { entry + "log: {level: loud}\n", "e.yaml:8: log.level: expected debug, info, warning or error" },
        { entry + "http_address: 127.1.0.1:8081\n", "e.yaml:8: http_address: expected each key once" },
        { entry + "log: [\n", "e.yaml:9: expected YAML" },
        { replaced(entry, "id: e2", "id: e1"), "e.yaml:5: entries[1].id: expected an id of its own" },
        { replaced(entry, "id: e2", "id: s1"), "e.yaml:7: states[0].id: expected an id of its own" },
        { replaced(entry, "127.2.0.1:7000", "127.1.0.1:7000"),
            "e.yaml:5: entries[1].peer_address: expected an address" },
        { replaced(entry, "127.2.0.1:7000", "south:7000"), "e.yaml:5: entries[1].peer_address: expected an IP number" },
        { replaced(entry, "127.2.0.1:7000", "127.2.0.1:0"),
            "e.yaml:5: entries[1].peer_address: expected an IP number" },
        { replaced(entry, "data_centre: south, ", ""), "e.yaml:5: entries[1].data_centre: expected 1 to 64 letters" },
        { replaced(entry, "id: e1", "id: e3"), "e.yaml:1: instance.id: expected an id listed under entries" },
        { replaced(entry, "north", "west"), "e.yaml:1: instance.data_centre: expected \"north\" as listed" },
        { replaced(entry, "127.1.0.1:8080", "127.1.0.1:7000"), "e.yaml:2: http_address: expected another address" },
        { replaced(entry, "  - {id: s1, data_centre: north, peer_address: 127.1.0.9:7000}\n", "  []\n"),
            "e.yaml:6: states: expected at least one state replica" },
        { entry + "  - {id: s2, data_centre: north, peer_address: 127.1.0.8:7000}\n",
            "e.yaml:6: states: expected an odd number of state replicas, found 2" },
    };
    for (const auto& it : rows) {
        CAPTURE(it.text);
        CHECK(entryError(it.text).substr(0, it.message.size()) == it.message);
    }
}

TEST_CASE("the settings specific to state replicas are checked")
{
    const std::string hash(64, 'a');
    const std::string good
        = "bootstrap: {operator_key_id: k1, operator_key_salt: 00112233445566778899aabbccddeeff, operator_key_hash: "
        + hash + ", schemes: [ours, theirs]}\n";
    CHECK(stateError(state + good) == "");
    CHECK(stateError(state + replaced(good, "[ours, theirs]", "[ours, ours]"))
        == "s.yaml:9: bootstrap.schemes[1]: expected each scheme once, found ours");
    CHECK(stateError(state + replaced(good, hash, "abc"))
              .starts_with("s.yaml:9: bootstrap.operator_key_hash: expected 64"));
    CHECK(stateError(replaced(state, "data_folder: /var/lib/teasel\n", ""))
              .starts_with("s.yaml:1: data_folder: expected"));
    CHECK(
        stateError(state + "replacement: true\n").starts_with("s.yaml:9: replacement: expected other state replicas"));
    CHECK(stateError(state + "cut_off: {serve_for_ms: 0}\n")
        == "s.yaml:9: cut_off.serve_for_ms: expected a whole number from 2000 to 31536000000, found 0");
    CHECK(stateError(state + "replacement: yes\n").starts_with("s.yaml:9: replacement: expected true or false"));
}

// Guards against a deploy template whose table of data centres is not read, or is read without its regions.
TEST_CASE("data centres and the evacuation time of a core instance are read and checked")
{
    const std::string core = "instance: {id: c1, data_centre: north, peer_address: 127.1.0.1:7000}\n"
                             "control_address: 127.1.0.1:8080\n"
                             "metrics_address: 127.1.0.1:8081\n"
                             "data_folder: /var/lib/teasel\n"
                             "seeds: [127.1.0.1:7000]\n";
    const auto error
        = [](const std::string& text) { return messageOf([&] { return parseCoreSettings(text, "c.yaml"); }); };
    const auto read = valueOrError([&] {
        return parseCoreSettings(core
                + "jobs:\n  restore_ms: 300\n  evacuation_ms: 4000\n  cap_overshoot: 0.1\n"
                  "data_centres: [{ name: \"a\", region: \"r\" },{ name: \"b\", region: \"s\" }]\n",
            "c.yaml");
    });
    REQUIRE(read.index() == 0);
    const auto& settings = std::get<0>(read);
    REQUIRE(settings.data_centres_size() == 2);
    CHECK(settings.data_centres(0).name() == "a");
    CHECK(settings.data_centres(1).region() == "s");
    CHECK(settings.jobs().evacuation_ms() == 4'000);
    CHECK(settings.jobs().cap_overshoot() == 0.1);
    CHECK(error(core + "data_centres: []\n") == "");
    CHECK(error(core + "data_centres: [{ region: r }]\n")
        == "c.yaml:6: data_centres[0].name: expected the name of a data centre, found nothing");
    CHECK(error(core + "jobs: {evacuation_ms: 0}\n").starts_with("c.yaml:6: jobs.evacuation_ms: expected"));
    CHECK(error(core + "jobs: {cap_overshoot: -0.1}\n")
        == "c.yaml:6: jobs.cap_overshoot: expected a share from 0 to 1, found -0.1");
}

TEST_CASE("enum values are read and printed as lower-case names")
{
    schema::JobSpec spec;
    const auto read
        = [&](std::string_view text) { return messageOf([&] { return readSettingsText(text, "j", spec); }); };
    CHECK(read("kind: gang\nresources: {milli_cpus: 500}\n") == "");
    CHECK(spec.kind() == schema::JOB_KIND_GANG);
    CHECK(spec.resources().milli_cpus() == 500);
    CHECK(printSettings(spec).find("kind: gang\n") != std::string::npos);
    CHECK(read("kind: bulk\n") == "j:1: kind: expected one of service, batch, gang, found \"bulk\"");
}

TEST_CASE("a missing file is rejected with its name")
{
    CHECK(
        messageOf([] { return loadEntrySettings("/nonexistent/e.yaml"); }).starts_with("/nonexistent/e.yaml: cannot"));
}

} // namespace teasel
