#include "fleet/fleet_state.h"

#include <doctest/doctest.h>

namespace teasel {

namespace {

    schema::Command teamChange(const std::string& id)
    {
        schema::Command command;
        auto& change = *command.mutable_config_change();
        change.set_change_id(id);
        change.set_made_by("operator");
        auto& team = *change.add_edits()->mutable_put_team();
        team.set_name("red");
        team.set_share(1);
        return command;
    }

    schema::Command query(const std::string& id)
    {
        schema::Command command;
        command.mutable_config_change()->set_change_id(id);
        command.mutable_config_change()->set_made_by("operator");
        return command;
    }

} // namespace

TEST_CASE("querying a change returns its answer, and querying an unknown change does not consume its id")
{
    schema::BootstrapSettings bootstrap;
    bootstrap.set_operator_key_id("operator");
    bootstrap.set_operator_key_salt(std::string(32, 'a'));
    bootstrap.set_operator_key_hash(std::string(64, 'b'));
    bootstrap.add_schemes("ours");
    FleetState state(bootstrap, FleetLimits {});
    const auto unknown = state.apply(query("c1")).change();
    CHECK(unknown.state() == schema::CHANGE_STATE_REFUSED);
    CHECK(errorKindFromNumber(unknown.failure().kind()) == ErrorKind::NotFound);
    const auto created = state.apply(teamChange("c1")).change();
    CHECK(created.state() == schema::CHANGE_STATE_PENDING);
    const auto known = state.apply(query("c1")).change();
    CHECK(known.SerializeAsString() == created.SerializeAsString());
    CHECK(state.revision() == created.revision());
}

} // namespace teasel
