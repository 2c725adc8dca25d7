#include "fleet/config_view.h"
#include "fleet/fleet_state.h"
#include "fleet/key_material.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace teasel {

namespace {

    schema::BootstrapSettings bootstrap()
    {
        schema::BootstrapSettings settings;
        settings.set_operator_key_id("root");
        settings.add_schemes("first");
        settings.add_schemes("second");
        return settings;
    }

    schema::ConfigEdit putTeam(const std::string& name, uint32_t limit, TeamId id = 0)
    {
        schema::ConfigEdit edit;
        edit.mutable_put_team()->set_id(id);
        edit.mutable_put_team()->set_name(name);
        edit.mutable_put_team()->set_share(1);
        edit.mutable_put_team()->set_request_limit(limit);
        return edit;
    }

    schema::ConfigEdit revoke(const std::string& id)
    {
        schema::ConfigEdit edit;
        edit.set_withdraw_key(id);
        return edit;
    }

    schema::ConfigEdit grant(const schema::Key& stored, TeamId team)
    {
        schema::ConfigEdit edit;
        *edit.mutable_grant_key() = stored;
        edit.mutable_grant_key()->set_team_id(team);
        edit.mutable_grant_key()->set_role(schema::ROLE_SUBMITTER);
        return edit;
    }

    schema::Command change(
        const std::string& id, Revision base, std::initializer_list<schema::ConfigEdit> edits, std::string by = "root")
    {
        schema::Command command;
        command.mutable_config_change()->set_change_id(id);
        command.mutable_config_change()->set_base_revision(base);
        command.mutable_config_change()->set_made_by(std::move(by));
        for (const auto& it : edits)
            *command.mutable_config_change()->add_edits() = it;
        return command;
    }

    schema::Command begin(const std::string& attempt, uint64_t wallMs, const std::string& id = "r")
    {
        schema::Command command;
        command.set_wall_ms(wallMs);
        command.mutable_begin()->set_request_id(id);
        command.mutable_begin()->set_attempt(attempt);
        return command;
    }

    schema::Command finish(const std::string& attempt, bool didNotRun, const std::string& body = "")
    {
        schema::Command command;
        command.mutable_finish()->set_request_id("r");
        command.mutable_finish()->set_attempt(attempt);
        command.mutable_finish()->set_did_not_run(didNotRun);
        command.mutable_finish()->set_body(body);
        return command;
    }

    schema::Command portions(uint64_t version, std::initializer_list<std::pair<const char*, uint64_t>> amounts)
    {
        schema::Command command;
        command.mutable_portions()->set_version(version);
        for (const auto& [dataCentre, n] : amounts)
            *command.mutable_portions()->add_portions() = toPortion(dataCentre, 1, { { n, 0, 0, 0 } });
        return command;
    }

    bool isRefused(const schema::CommandResult& result)
    {
        return result.change().state() == schema::CHANGE_STATE_REFUSED;
    }

} // namespace

TEST_CASE("of two changes based on one revision one wins, the other learns which, and resends get the first answers")
{
    FleetState state(bootstrap(), {});
    const Revision base = state.revision();
    const auto won = state.apply(change("a", base, { putTeam("red", 4) }));
    const auto lost = state.apply(change("b", base, { putTeam("blue", 4) }));
    CHECK(won.change().revision() == base + 1);
    CHECK(won.change().team_ids_size() == 1);
    CHECK(isRefused(lost));
    CHECK(lost.change().winning_change_id() == "a");
    CHECK(lost.change().winning_made_by() == "root");
    state.apply(change("c", 0, { putTeam("green", 4) }));
    const auto againWon = state.apply(change("a", base, { putTeam("red", 4) }));
    const auto againLost = state.apply(change("b", base, { putTeam("blue", 4) }));
    CHECK(againWon.SerializeAsString() == won.SerializeAsString());
    CHECK(againLost.SerializeAsString() == lost.SerializeAsString());
    CHECK(isRefused(state.apply(change("a", base, { putTeam("other", 4) }))));
    CHECK(state.config().teams_size() == 2);
}

TEST_CASE("a change that fails part-way is rolled back completely")
{
    FleetState state(bootstrap(), {});
    const auto before = state.config().SerializeAsString();
    schema::ConfigEdit scheme;
    scheme.mutable_put_scheme()->set_id(2);
    scheme.mutable_put_scheme()->set_name("third");
    const auto result = state.apply(change("a", 0, { putTeam("red", 4), scheme, revoke("nobody") }));
    CHECK(result.change().failure().kind() == static_cast<uint32_t>(ErrorKind::NotFound));
    CHECK(state.config().SerializeAsString() == before);
}

TEST_CASE("keys are granted once, revoked permanently and belong to a team")
{
    FleetState state(bootstrap(), {});
    const auto created = valueOrError([] { return makeKey("k1"); });
    const KeyMaterial& key = std::get<0>(created);
    state.apply(change("a", 0, { putTeam("red", 4), grant(key.stored, 1) }));
    ConfigView view;
    CHECK(view.apply(state.deltaSince(0)));
    const auto owner = valueOrError([&] { return view.identify(key.token); });
    REQUIRE(owner.index() == 0);
    CHECK(std::get<0>(owner).team == 1);
    for (const std::string& bad : { key.token + "x", std::string("k2.secret"), std::string("k1"), std::string(".") })
        CHECK(valueOrError([&] { return view.identify(bad); }).index() == 1);

    state.apply(change("b", 0, { revoke("k1") }));
    CHECK(view.apply(state.deltaSince(view.revision())));
    CHECK(valueOrError([&] { return view.identify(key.token); }).index() == 1);
    CHECK(isRefused(state.apply(change("c", 0, { grant(key.stored, 1) }))));
    CHECK(isRefused(state.apply(change("d", 0, { revoke("root") }))));
    CHECK(isRefused(state.apply(change("e", 0, { putTeam("blue", 1) }, "k1"))));
    CHECK(view.digest() == state.digest());
}

TEST_CASE("a revoked key id is never granted again, not even when many were used")
{
    FleetLimits limits;
    limits.maxUsedKeyIds = 4;
    FleetState state(bootstrap(), limits);
    const auto keyOf = [](const char* id) {
        const auto created = valueOrError([&] { return makeKey(id); });
        return std::get<0>(created).stored;
    };
    state.apply(change("a", 0, { putTeam("red", 4) }));
    CHECK(isRefused(state.apply(change("b", 0, { grant(keyOf("k0"), 1), revoke("k0"), grant(keyOf("k0"), 1) }))));
    for (const char* id : { "k1", "k2", "k3", "k4", "k5", "k6" }) {
        state.apply(change(fmt::format("grant {}", id), 0, { grant(keyOf(id), 1) }));
        state.apply(change(fmt::format("revoke {}", id), 0, { revoke(id) }));
    }
    FleetState restored(bootstrap(), limits);
    REQUIRE(valueOrError([&] { return restored.restore(state.snapshot()); }).index() == 0);
    for (const char* id : { "k1", "k2", "k3" }) {
        CHECK(isRefused(state.apply(change(fmt::format("again {}", id), 0, { grant(keyOf(id), 1) }))));
        CHECK(isRefused(restored.apply(change(fmt::format("again {}", id), 0, { grant(keyOf(id), 1) }))));
    }
    const auto result = state.apply(change("more", 0, { grant(keyOf("k7"), 1) }));
    CHECK(result.change().failure().kind() == static_cast<uint32_t>(ErrorKind::LimitReached));
}

TEST_CASE("an operator's key of the bootstrap settings can't be granted again after it was revoked")
{
    FleetState state(bootstrap(), {});
    const auto created = valueOrError([] { return makeKey("root2"); });
    auto second = grant(std::get<0>(created).stored, 0);
    second.mutable_grant_key()->set_role(schema::ROLE_OPERATOR);
    CHECK_FALSE(isRefused(state.apply(change("a", 0, { second }))));
    CHECK_FALSE(isRefused(state.apply(change("b", 0, { revoke("root") }, "root2"))));
    auto again = second;
    again.mutable_grant_key()->set_id("root");
    CHECK(isRefused(state.apply(change("c", 0, { again }, "root2"))));
}

TEST_CASE("a view detects gaps and digest mismatches, and a full configuration repairs both")
{
    FleetState state(bootstrap(), {});
    ConfigView view;
    CHECK(view.apply(state.deltaSince(0)));
    state.apply(change("a", 0, { putTeam("red", 4) }));
    const auto first = state.deltaSince(1);
    state.apply(change("b", 0, { putTeam("blue", 4) }));
    CHECK_FALSE(view.apply(state.deltaSince(2)));
    CHECK(view.revision() == 1);
    auto wrong = state.deltaSince(1);
    wrong.mutable_edits(0)->mutable_put_team()->set_request_limit(5);
    CHECK_FALSE(view.apply(wrong));
    CHECK(view.isInconsistent());
    CHECK_FALSE(view.apply(state.deltaSince(1)));
    const auto repair = state.deltaFor(view.revision(), view.digest());
    CHECK(repair.has_whole());
    CHECK(view.apply(repair));
    CHECK_FALSE(view.isInconsistent());
    CHECK(view.apply(first)); // late delta that is already applied
    CHECK(view.digest() == state.digest());
}

TEST_CASE("portions never exceed a limit, and a lowered limit is accepted once the portions are within it")
{
    FleetState state(bootstrap(), {});
    state.apply(change("a", 0, { putTeam("red", 10) }));
    CHECK_FALSE(state.apply(portions(1, { { "x", 6 }, { "y", 4 } })).has_failure());
    CHECK(state.apply(portions(2, { { "x", 7 } })).failure().kind() == static_cast<uint32_t>(ErrorKind::LimitReached));
    CHECK(state.apply(portions(1, { { "x", 1 } })).has_failure());
    state.apply(change("b", 0, { putTeam("red", 5, 1) }));
    schema::Command inForce;
    inForce.mutable_in_force()->set_revision(state.revision());
    state.apply(inForce);
    const auto accepted = [&] { return state.isAccepted(*state.changes().find("root", "b")); };
    CHECK_FALSE(accepted());
    CHECK(state.apply(portions(2, { { "x", 6 }, { "y", 5 } })).has_failure());
    CHECK_FALSE(state.apply(portions(2, { { "x", 3 } })).has_failure());
    CHECK_FALSE(accepted());
    CHECK_FALSE(state.apply(portions(3, { { "y", 2 } })).has_failure());
    CHECK(accepted());
}

TEST_CASE("a portion update from before a new leader's session is refused")
{
    FleetState state(bootstrap(), {});
    state.apply(change("a", 0, { putTeam("red", 10) }));
    schema::Command session;
    session.mutable_session()->set_data_centre("x");
    session.mutable_session()->set_epoch(2);
    session.mutable_session()->set_open(true);
    state.apply(session);
    CHECK(state.apply(portions(1, { { "x", 6 } })).has_failure());
    CHECK_FALSE(state.apply(portions(2, { { "x", 6 } })).has_failure());
    session.mutable_session()->set_epoch(1);
    CHECK(state.apply(session).has_failure());
}

TEST_CASE("a request begins for one attempt at a time and its outcome is stored")
{
    FleetState state(bootstrap(), {});
    const auto verdict = [&](const std::string& attempt) { return state.apply(begin(attempt, 1)).begin().verdict(); };
    CHECK(verdict("a") == schema::BEGIN_VERDICT_BEGUN);
    CHECK(verdict("a") == schema::BEGIN_VERDICT_BEGUN);
    CHECK(verdict("b") == schema::BEGIN_VERDICT_RUNNING);
    state.apply(finish("b", true));
    CHECK(verdict("b") == schema::BEGIN_VERDICT_RUNNING);
    state.apply(finish("a", true));
    CHECK(verdict("a") == schema::BEGIN_VERDICT_REFUSED);
    CHECK(verdict("c") == schema::BEGIN_VERDICT_BEGUN);
    state.apply(finish("c", false, "done"));
    state.apply(finish("c", true));
    const auto answer = state.apply(begin("d", 1)).begin();
    CHECK(answer.verdict() == schema::BEGIN_VERDICT_FINISHED);
    CHECK(answer.outcome().body() == "done");
}

TEST_CASE("records of started requests are bounded in age, number and bytes")
{
    FleetLimits limits;
    limits.startedRequests = { 1'000, 2, 4, 6, 8 };
    FleetState state(bootstrap(), limits);
    state.apply(begin("a", 1));
    state.apply(finish("a", false, "12345"));
    CHECK(state.apply(begin("b", 1)).begin().outcome().body_left_out());
    CHECK(state.apply(begin("a", 500, "s")).begin().verdict() == schema::BEGIN_VERDICT_BEGUN);
    CHECK(state.apply(begin("a", 900, "t")).begin().verdict() == schema::BEGIN_VERDICT_REFUSED);
    CHECK(state.apply(begin("a", 1'200, "t")).begin().verdict() == schema::BEGIN_VERDICT_BEGUN);
    CHECK(state.startedRequests().size() == 2);
}

TEST_CASE("a data centre's leader receives the jobs that changed, including those that moved away")
{
    FleetState state(bootstrap(), {});
    const auto submit = [&](const std::string& id, const std::string& dataCentre) {
        schema::Command command;
        command.mutable_submit_job()->set_id(id);
        command.mutable_submit_job()->set_data_centre(dataCentre);
        return state.apply(command);
    };
    CHECK(submit("j1", "x").job().phase() == schema::JOB_PHASE_PENDING);
    submit("j2", "x");
    CHECK(submit("j1", "y").job().data_centre() == "x");
    const auto all = state.jobs().changedSince("x", 0, 10);
    CHECK(all.replacesAll);
    CHECK(all.jobs.size() == 2);
    CHECK(state.jobs().changedSince("x", 0, 1).more);
    schema::Command move;
    move.mutable_job_progress()->set_id("j1");
    move.mutable_job_progress()->set_move_to_data_centre("y");
    state.apply(move);
    const auto previousOwner = state.jobs().changedSince("x", all.version, 10);
    CHECK_FALSE(previousOwner.replacesAll);
    REQUIRE(previousOwner.jobs.size() == 1);
    CHECK(previousOwner.jobs[0].data_centre() == "y");
    CHECK(state.jobs().changedSince("y", 0, 10).jobs.size() == 1);
    move.mutable_job_progress()->set_from_data_centre("x");
    CHECK(state.apply(move).failure().kind() == static_cast<uint32_t>(ErrorKind::Forbidden));
}

TEST_CASE("a state restored from a snapshot behaves like the original")
{
    FleetLimits limits;
    limits.maxDeltaEdits = 3;
    FleetState state(bootstrap(), limits);
    for (int i = 0; i < 20; ++i)
        state.apply(change(fmt::format("c{}", i), 0, { putTeam(fmt::format("team{}", i), 10) }));
    state.apply(portions(1, { { "x", 6 }, { "y", 4 } }));
    state.apply(begin("a", 5));
    state.apply(finish("a", true));
    FleetState other(bootstrap(), limits);
    REQUIRE(other.restore(state.snapshot()));
    CHECK_FALSE(other.restore("no snapshot"));
    CHECK(other.snapshot() == state.snapshot());
    for (const auto& command : { change("c19", 0, { putTeam("team19", 10) }), change("d", 0, { putTeam("d", 1) }),
             change("e", 0, { putTeam("team0", 1, 1) }), begin("a", 6), portions(2, { { "x", 1 } }) })
        CHECK(other.apply(command).SerializeAsString() == state.apply(command).SerializeAsString());
    CHECK(other.snapshot() == state.snapshot());
    CHECK(state.deltaSince(1).has_whole());
    CHECK_FALSE(state.deltaSince(state.revision() - 1).has_whole());
}

} // namespace teasel
