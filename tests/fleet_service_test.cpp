#include "fleet/fleet_service.h"

#include <doctest/doctest.h>

namespace teasel {

namespace {

    using namespace std::chrono_literals;

    // The state's leader with the data centres `x` and `y`. commit() commits the commands in the log.
    struct Fixture {
        Fixture() { startLeader(); }

        void startLeader()
        {
            log.clear();
            FleetServiceOptions options;
            options.dataCentres = { "x", "y" };
            options.authority = 10s;
            service = std::make_unique<FleetService>(std::move(options), state);
            service->onLeadership(true, clock.now());
        }

        void renew(const std::string& dataCentre, Epoch epoch, Revision applied, uint64_t memberLeaseMs = 0)
        {
            service->onRenew(dataCentre + "0", renewal(dataCentre, epoch, applied, memberLeaseMs), clock.now());
            collect();
        }

        schema::SessionRenew renewal(
            const std::string& dataCentre, Epoch epoch, Revision applied, uint64_t memberLeaseMs = 0)
        {
            schema::SessionRenew renew;
            renew.set_data_centre(dataCentre);
            renew.set_epoch(epoch);
            renew.set_sequence(++sequence);
            renew.set_applied_revision(applied);
            auto& member = *renew.add_members();
            member.set_instance(dataCentre + "1");
            member.set_lease_left_ms(memberLeaseMs);
            return renew;
        }

        void propose(schema::Command command)
        {
            schema::Propose propose;
            propose.set_ticket(++ticket);
            *propose.mutable_command() = std::move(command);
            propose.set_wait_in_force(true);
            propose.set_wait_ms(3'000);
            service->onPropose("x0", propose, clock.now());
            collect();
        }

        void change(const std::string& id)
        {
            schema::Command command;
            command.mutable_config_change()->set_change_id(id);
            command.mutable_config_change()->set_made_by("root");
            auto& team = *command.mutable_config_change()->add_edits()->mutable_put_team();
            team.set_name(id);
            team.set_share(1);
            propose(std::move(command));
        }

        void collect()
        {
            for (auto& it : service->takeActions()) {
                if (auto* grant = std::get_if<SendGrant>(&it))
                    grants.push_back(grant->grant);
                else if (auto* answer = std::get_if<SendAnswer>(&it))
                    answers.push_back(answer->answer);
                else if (auto* proposal = std::get_if<ProposeCommand>(&it))
                    log.push_back(*proposal);
            }
        }

        void commit()
        {
            while (!log.empty()) {
                for (const auto& it : std::exchange(log, {}))
                    service->onApplied(it.ticket, it.command, state.apply(it.command), clock.now());
                collect();
            }
        }

        void wait(Duration time)
        {
            clock.advance(time);
            service->onTick(clock.now());
            collect();
        }

        schema::ChangeState lastState() const
        {
            return answers.empty() ? schema::CHANGE_STATE_UNSPECIFIED : answers.back().result().change().state();
        }

        static schema::BootstrapSettings settings()
        {
            schema::BootstrapSettings settings;
            settings.set_operator_key_id("root");
            return settings;
        }

        ManualClock clock;
        FleetState state { settings(), {} };
        std::unique_ptr<FleetService> service;
        std::vector<schema::SessionGrant> grants;
        std::vector<schema::ProposeAnswer> answers;
        std::vector<ProposeCommand> log;
        uint64_t sequence = 0;
        uint64_t ticket = 0;
    };

} // namespace

TEST_CASE("a session is recorded before its first grant and replaced by a later leader's session")
{
    Fixture it;
    it.renew("x", 2, 1);
    CHECK(it.grants.empty());
    it.commit();
    REQUIRE(it.grants.size() == 1);
    CHECK(it.grants[0].delta().has_whole());
    it.renew("x", 3, 1);
    it.renew("x", 2, 1);
    CHECK(it.grants.size() == 1);
    it.commit();
    CHECK(it.grants.back().epoch() == 3);
    it.renew("x", 2, 1);
    it.renew("unknown", 9, 1);
    CHECK(it.grants.size() == 2);
    CHECK(it.log.empty());
}

TEST_CASE("a change is accepted once every instance with a lease has it; until then the answer names the missing data "
          "centres")
{
    Fixture it;
    it.renew("x", 1, 1);
    it.renew("y", 1, 1);
    it.commit();
    it.change("a");
    it.commit();
    CHECK(it.grants.back().delta().to_revision() == 2); // pushed at once
    it.renew("x", 1, 2, 500);
    it.renew("x", 1, 2);
    it.renew("y", 1, 2, 500);
    it.commit();
    CHECK(it.answers.empty());
    it.wait(3s);
    REQUIRE(it.lastState() == schema::CHANGE_STATE_PENDING);
    CHECK(it.answers.back().result().change().data_centres_not_reached_size() == 1);
    CHECK(it.answers.back().result().change().data_centres_not_reached(0) == "y");
    it.renew("y", 1, 2);
    it.commit();
    it.change("a");
    it.commit();
    CHECK(it.lastState() == schema::CHANGE_STATE_ACCEPTED);
    it.startLeader();
    it.change("a");
    it.commit();
    CHECK(it.lastState() == schema::CHANGE_STATE_ACCEPTED);
}

TEST_CASE("a new leader of the state waits for leases granted by the previous one, but not for closed sessions")
{
    Fixture it;
    it.renew("x", 1, 1);
    it.renew("y", 1, 1);
    it.commit();
    it.startLeader();
    it.change("a");
    it.commit();
    it.renew("x", 1, 2);
    it.wait(10s);
    CHECK(it.lastState() == schema::CHANGE_STATE_PENDING);
    it.wait(20ms);
    it.commit(); // commits the closing of the session of `y`
    it.renew("x", 1, 2);
    it.commit();
    it.startLeader();
    it.change("b");
    it.commit();
    it.renew("x", 1, 3);
    it.commit();
    CHECK(it.lastState() == schema::CHANGE_STATE_ACCEPTED);
}

TEST_CASE("a renewal that arrives while its session is being closed is answered once the session is open again")
{
    Fixture it;
    it.renew("x", 1, 1);
    it.commit();
    it.wait(11s);
    REQUIRE(it.log.size() == 1);
    it.grants.clear();
    it.renew("x", 1, 1);
    CHECK(it.grants.empty());
    it.commit();
    CHECK(it.grants.size() == 1);
    CHECK(it.state.sessions().at("x").open());
}

TEST_CASE("a session record that was dropped from the log is proposed again at the next renewal")
{
    Fixture it;
    it.renew("x", 1, 1);
    const uint64_t dropped = it.log.back().ticket;
    it.log.clear();
    it.service->onOutcomeUnknown(dropped, it.clock.now());
    it.collect();
    CHECK(it.log.empty());
    it.renew("x", 1, 1);
    it.commit();
    CHECK(it.grants.size() == 1);
}

TEST_CASE("changes do not wait for a data centre that leaves once its members hold no lease")
{
    Fixture it;
    it.renew("x", 1, 1);
    it.commit();
    auto leaving = it.renewal("x", 1, 1, 700);
    leaving.set_leaving(true);
    it.service->onRenew("x0", leaving, it.clock.now());
    it.commit();
    CHECK(it.service->dataCentresNotReached(2, it.clock.now()).size() == 1);
    leaving = it.renewal("x", 1, 1);
    leaving.set_leaving(true);
    it.service->onRenew("x0", leaving, it.clock.now());
    it.collect();
    it.commit();
    CHECK(it.service->dataCentresNotReached(2, it.clock.now()).empty());
    CHECK_FALSE(it.state.sessions().at("x").open());
}

// Guards against a change that is proposed again and again because the log takes no record of its size.
TEST_CASE("a change that no record can hold is refused at once")
{
    Fixture it;
    it.change(std::string(FleetServiceOptions().maxCommandBytes, 'x'));
    REQUIRE(!it.answers.empty());
    CHECK(it.answers.back().result().failure().kind() == static_cast<uint32_t>(ErrorKind::TooLarge));
    CHECK(it.log.empty());
}

TEST_CASE("proposals are answered only by the leader and only for commands of entry instances")
{
    Fixture it;
    schema::Command inForce;
    inForce.mutable_in_force()->set_revision(9);
    it.propose(inForce);
    CHECK(it.answers.back().result().failure().kind() == static_cast<uint32_t>(ErrorKind::Forbidden));
    it.change("a");
    it.service->onOutcomeUnknown(it.log.back().ticket, it.clock.now());
    it.collect();
    CHECK(it.answers.back().not_leader());
    it.service->onLeadership(false, it.clock.now());
    it.change("b");
    CHECK(it.answers.back().not_leader());
    CHECK(it.answers.size() == 3);
}

} // namespace teasel
