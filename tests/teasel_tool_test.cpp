#include "fleet/key_material.h"
#include "main/teasel_json.h"
#include "main/teasel_tool.h"

#include "fleet.pb.h"
#include "naming/name_table.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <sstream>

namespace teasel {

namespace {

    // Returns scripted results and records the requests.
    class ScriptedTransport final : public ApiTransport {
    public:
        ApiResult send(const std::string& server, const ApiRequest& call) override
        {
            servers.push_back(server);
            calls.push_back(call);
            if (outcomes.empty())
                return ApiFailure { false, "no result scripted" };
            auto next = std::move(outcomes.front());
            outcomes.pop_front();
            return next;
        }

        schema::ConfigChange change(size_t n) const
        {
            schema::ConfigChange out;
            REQUIRE(fromJson(calls.at(n).body, out));
            return out;
        }

        std::deque<ApiResult> outcomes;
        std::vector<std::string> servers;
        std::vector<ApiRequest> calls;
    };

    struct ToolResult {
        int code = 0;
        std::string out;
        std::string err;
    };

    ToolResult run(ScriptedTransport& transport, std::vector<std::string> arguments)
    {
        std::vector<std::string> all { "--server", "http://a", "--server", "http://b", "--key", "op.secret" };
        all.insert(all.end(), arguments.begin(), arguments.end());
        std::ostringstream out;
        std::ostringstream err;
        const auto code = runTool(all, transport, out, err);
        return { code, out.str(), err.str() };
    }

    schema::FleetConfig fleetConfig()
    {
        schema::FleetConfig config;
        config.set_revision(7);
        auto& team = *config.add_teams();
        team.set_id(3);
        team.set_name("red");
        team.set_share(2);
        team.set_request_limit(40);
        for (const auto* name : { "ours", "theirs" }) {
            auto& scheme = *config.add_schemes();
            scheme.set_id(static_cast<uint32_t>(config.schemes_size() - 1));
            scheme.set_name(name);
        }
        auto& alias = *config.add_aliases();
        alias.set_scheme_id(1);
        alias.set_kind(schema::SUBJECT_KIND_TEAM);
        alias.set_subject_id(3);
        alias.set_name("rojo");
        return config;
    }

    ApiResult answer(int status, const google::protobuf::Message& body)
    {
        return ApiResponse { status, toJson(body), {} };
    }

    schema::ChangeAnswer changeAnswer(schema::ChangeState state)
    {
        schema::ChangeAnswer out;
        out.set_change_id("c1");
        out.set_state(state);
        out.set_revision(8);
        return out;
    }

    bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

} // namespace

TEST_CASE("each outcome of a change has its exit code and advice on what to do next")
{
    auto pending = changeAnswer(schema::CHANGE_STATE_PENDING);
    pending.add_data_centres_not_reached("south");
    auto reportRefusal = changeAnswer(schema::CHANGE_STATE_REFUSED);
    reportRefusal.mutable_failure()->set_kind(static_cast<uint32_t>(ErrorKind::RevisionConflict));
    reportRefusal.mutable_failure()->set_message("based on revision 7");
    reportRefusal.set_winning_change_id("c0");
    reportRefusal.set_winning_made_by("op2");
    const ApiResponse forbidden { 403,
        R"({"kind":"forbidden","run":"did_not_run","message":"not yours","advice":"use another key","retry_after_ms":0})",
        {} };
    auto reusedId = reportRefusal;
    reusedId.set_winning_change_id("c1");
    struct Row {
        ApiResult response;
        int code;
        std::vector<std::string> parts;
    };
    const std::vector<Row> rows {
        { answer(200, changeAnswer(schema::CHANGE_STATE_ACCEPTED)), 0, { "accepted", "revision 8" } },
        { answer(202, pending), 2, { "pending", "south", "teasel config change-status c1" } },
        { answer(409, reportRefusal), 3, { "refused", "based on revision 7", "change c0 of key op2", "next: " } },
        { answer(409, reusedId), 3, { "give its original --base-revision" } },
        { ApiResponse { 503, R"({"kind":"state_unavailable","message":"no quorum"})", {} }, 4,
            { "no quorum", "may have been applied", "--base-revision 7" } },
        { forbidden, 3, { "refused (forbidden): not yours", "next: use another key" } },
        { ApiFailure { true, "cut" }, 4, { "may have been applied", "--change-id ", "--base-revision 7" } },
    };
    for (const auto& it : rows) {
        ScriptedTransport transport;
        transport.outcomes = { answer(200, fleetConfig()), it.response };
        const auto result = run(transport, { "share", "set", "red", "4" });
        CHECK(result.code == it.code);
        for (const auto& part : it.parts)
            CHECK_MESSAGE(contains(result.out + result.err, part), result.out << result.err);
    }
}

TEST_CASE(
    "a change is based on the current revision, keeps the other fields of the team and is resent with the same id")
{
    ScriptedTransport transport;
    transport.outcomes = { answer(200, fleetConfig()), ApiFailure { true, "the answer was lost" },
        answer(200, changeAnswer(schema::CHANGE_STATE_ACCEPTED)) };
    CHECK(run(transport, { "limit", "set", "theirs:rojo", "--requests", "50" }).code == 0);
    REQUIRE(transport.calls.size() == 3);
    CHECK(transport.servers == std::vector<std::string> { "http://a", "http://a", "http://b" });
    CHECK(transport.calls[1].body == transport.calls[2].body);
    const auto change = transport.change(1);
    CHECK(change.base_revision() == 7);
    CHECK(change.change_id().size() == 32);
    REQUIRE(change.edits_size() == 1);
    CHECK(change.edits(0).put_team().id() == 3);
    CHECK(change.edits(0).put_team().share() == 2);
    CHECK(change.edits(0).put_team().request_limit() == 50);
    ScriptedTransport secondTransport;
    secondTransport.outcomes = { answer(200, fleetConfig()), answer(200, changeAnswer(schema::CHANGE_STATE_ACCEPTED)) };
    CHECK(run(secondTransport, { "team", "remove", "red", "--change-id", "x", "--base-revision", "5" }).code == 0);
    CHECK(secondTransport.change(1).change_id() == "x");
    CHECK(secondTransport.change(1).base_revision() == 5);
}

TEST_CASE("granting a key sends the salted hash but not the secret")
{
    ScriptedTransport transport;
    transport.outcomes = { answer(200, fleetConfig()), answer(200, changeAnswer(schema::CHANGE_STATE_ACCEPTED)) };
    const auto result = run(transport, { "key", "grant", "--team", "rojo", "--id", "k1" });
    CHECK(result.code == 0);
    const auto at = result.out.find("k1.");
    REQUIRE(at != std::string::npos);
    const auto token = result.out.substr(at, result.out.find('\n', at) - at);
    const auto parts = splitToken(token);
    REQUIRE(parts);
    CHECK_FALSE(contains(transport.calls[1].body, parts.value().secret));
    const auto key = transport.change(1).edits(0).grant_key();
    CHECK(key.team_id() == 3);
    CHECK(secretMatches(key, parts.value().secret));
    ScriptedTransport lostTransport;
    lostTransport.outcomes = { answer(200, fleetConfig()), ApiFailure { true, "cut" }, ApiFailure { false, "cut" } };
    const auto unknownOutcome = run(lostTransport, { "key", "grant", "--team", "red", "--id", "k1" });
    CHECK(unknownOutcome.code == 4);
    CHECK(contains(unknownOutcome.err, "--salt " + toHex(lostTransport.change(1).edits(0).grant_key().salt())));
    ScriptedTransport withoutTeam;
    withoutTeam.outcomes = { answer(200, fleetConfig()) };
    CHECK(run(withoutTeam, { "key", "grant" }).code == 3);
    CHECK(withoutTeam.calls.size() == 1);
}

TEST_CASE("the bootstrap settings can be parsed and match the printed key")
{
    ScriptedTransport transport;
    const auto result = run(transport, { "key", "bootstrap", "--scheme", "ours", "theirs" });
    CHECK(result.code == 0);
    schema::StateSettings settings;
    REQUIRE(readSettingsText(result.out, "printed", settings));
    CHECK(settings.bootstrap().schemes_size() == 2);
    const auto secret = result.err.substr(result.err.find("operator.") + 9, 48);
    schema::Key key;
    key.set_salt(fromHex(settings.bootstrap().operator_key_salt()).value());
    key.set_hash(fromHex(settings.bootstrap().operator_key_hash()).value());
    CHECK(secretMatches(key, secret));
    CHECK(transport.calls.empty());
}

TEST_CASE("an alias refers to the subject of the given name, whether or not the subject has been announced")
{
    ScriptedTransport transport;
    transport.outcomes = { answer(200, fleetConfig()), answer(200, changeAnswer(schema::CHANGE_STATE_ACCEPTED)) };
    CHECK(run(transport,
              { "alias", "add", "--kind", "instance", "--scheme", "theirs", "--name", "B-17", "--of", "ours:w1" })
              .code
        == 0);
    NameTable names;
    names.configure(fleetConfig());
    const auto alias = transport.change(1).edits(0).put_alias();
    CHECK(alias.subject_id() == names.derivedSubject(schema::SUBJECT_KIND_INSTANCE, 0, "w1"));
    CHECK(alias.scheme_id() == 1);
    ScriptedTransport invalidTransport;
    CHECK(run(invalidTransport, { "alias", "add", "--kind", "team", "--name", "x" }).code == 64);
    invalidTransport.outcomes = { answer(200, fleetConfig()) };
    CHECK(run(invalidTransport, { "drain", "add", "d1", "zone = " }).code == 3);
    CHECK(invalidTransport.calls.size() == 1);
}

TEST_CASE("a request whose response was lost is not sent to another server")
{
    ScriptedTransport transport;
    transport.outcomes = { ApiFailure { true, "cut" }, ApiResponse { 200, "done", {} } };
    const auto result = run(transport, { "request", "send", "check", "--body", "x", "--request-id", "r1" });
    CHECK(result.code == 4);
    CHECK(transport.calls.size() == 1);
    CHECK(contains(result.err, "it may have run"));
    ScriptedTransport unconnected;
    unconnected.outcomes = { ApiFailure { false, "no connection" }, ApiResponse { 200, "done", {} } };
    const auto sent = run(unconnected, { "request", "send", "check", "--body", "x", "--selector", "zone = a" });
    CHECK(sent.code == 0);
    CHECK(sent.out == "done");
    CHECK(unconnected.servers.back() == "http://b");
}

TEST_CASE("a server that is shutting down is skipped")
{
    ScriptedTransport transport;
    transport.outcomes = { ApiResponse { 503, R"({"kind":"shutting_down","run":"did_not_run"})", {} },
        ApiResponse { 200, R"({"instance":"e2","queue":{"waiting":4},"teams":[{"team":"red","running":1.5}]})", {} } };
    const auto result = run(transport, { "status" });
    CHECK(result.code == 0);
    CHECK(contains(result.out, "queue.waiting  4"));
    CHECK(contains(result.out, "1.5      red"));
    CHECK(transport.calls[0].headers.back().value == "Bearer op.secret");
}

// Guards against an order that is given up although another instance can take it, or that is resent after a refusal.
TEST_CASE("an evacuation is ordered at the next server after an answer without a decision")
{
    ScriptedTransport transport;
    transport.outcomes = { ApiResponse { 503, R"({"error":"no leader"})", {} }, ApiResponse { 200, "", {} } };
    CHECK(run(transport, { "data-centre", "evacuate", "north-1" }).code == 0);
    REQUIRE(transport.calls.size() == 2);
    CHECK(transport.servers == std::vector<std::string> { "http://a", "http://b" });
    CHECK(transport.calls[1].method == "POST");
    CHECK(transport.calls[1].path == "/evacuation/north-1/start");
    CHECK(transport.calls[1].body.empty());
    ScriptedTransport cut;
    cut.outcomes = { ApiFailure { true, "cut" }, ApiResponse { 429, "", {} }, ApiResponse { 200, "", {} } };
    CHECK(run(cut, { "data-centre", "restore", "north-1" }).code == 0);
    CHECK(cut.calls.back().path == "/evacuation/north-1/finish");
    ScriptedTransport unknown;
    unknown.outcomes = { ApiResponse { 422, R"({"error":"no such data centre"})", {} } };
    const auto refused = run(unknown, { "data-centre", "evacuate", "nowhere" });
    CHECK(refused.code == 3);
    CHECK(contains(refused.err, "refused (HTTP 422): no such data centre"));
    CHECK(unknown.calls.size() == 1);
    ScriptedTransport silent;
    const auto unreachable = run(silent, { "data-centre", "evacuate", "north-1" });
    CHECK(unreachable.code == 4);
    CHECK(contains(unreachable.err, "repeating it is safe"));
    CHECK(silent.calls.size() == 6);
    CHECK(run(silent, { "data-centre", "evacuate", "a/b" }).code == 64);
}

TEST_CASE("evacuations are listed, and --wait repeats the list until no run is left")
{
    const ApiResponse busy { 200,
        R"({"evacuations":[{"dataCentre":"n","active":true,"orderedAtMs":1,"runs":3,"oldestRunMs":6500,"expectedEndMs":900},{"dataCentre":"s","active":false,"orderedAtMs":1,"runs":2,"oldestRunMs":0,"expectedEndMs":0}]})",
        {} };
    const ApiResponse empty { 200,
        R"({"evacuations":[{"dataCentre":"n","active":true,"orderedAtMs":1,"runs":0,"oldestRunMs":0,"expectedEndMs":0}]})",
        {} };
    ScriptedTransport transport;
    transport.outcomes = { busy };
    const auto once = run(transport, { "data-centre", "list" });
    CHECK(once.code == 0);
    CHECK(contains(once.out, "n            evacuated  3     6.5       0.9"));
    CHECK(contains(once.out, "s            in use     2"));
    transport.outcomes = { busy, empty };
    CHECK(run(transport, { "data-centre", "list", "--wait", "--interval-ms", "1" }).code == 0);
    CHECK(transport.calls.size() == 3);
    transport.outcomes = { busy };
    CHECK(contains(run(transport, { "--json", "data-centre", "list" }).out, "oldestRunMs"));
}

TEST_CASE("wrong usage exits with 64 and sends nothing")
{
    ScriptedTransport transport;
    const std::vector<std::vector<std::string>> rows { {}, { "team" }, { "team", "create" }, { "paint" },
        { "share", "set", "red", "much" }, { "job", "submit" },
        { "class", "put", "x", "--closed", "--open-team", "red" } };
    for (const auto& it : rows)
        CHECK(run(transport, it).code == 64);
    CHECK(transport.calls.empty());
}

} // namespace teasel
