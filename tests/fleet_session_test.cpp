#include "fleet/fleet_state.h"
#include "fleet/member_session.h"
#include "fleet/portion_planner.h"
#include "fleet/session.h"

#include <doctest/doctest.h>

namespace teasel {

namespace {

    using namespace std::chrono_literals;

    template <class T> std::vector<T> actionsOf(std::vector<SessionAction> actions)
    {
        std::vector<T> chosen;
        for (auto& it : actions)
            if (auto* action = std::get_if<T>(&it))
                chosen.push_back(std::move(*action));
        return chosen;
    }

    // The leader `l` of a data centre at epoch 3, with one member `m`.
    struct Fixture {
        Fixture()
        {
            session.onBecameLeader(3, {}, clock.now());
            latestRenewal();
        }

        schema::SessionRenew latestRenewal()
        {
            auto renews = actionsOf<SendSessionRenew>(session.takeActions());
            if (!renews.empty())
                last = std::move(renews.back().renew);
            return last;
        }

        schema::SessionGrant grant(uint64_t authorityMs = 10'000)
        {
            schema::SessionGrant grant;
            grant.set_data_centre("x");
            grant.set_epoch(3);
            grant.set_sequence(last.sequence());
            grant.set_authority_ms(authorityMs);
            *grant.mutable_delta() = state.deltaFor(last.applied_revision(), last.config_digest());
            return grant;
        }

        schema::MemberUpdate renewMember()
        {
            for (auto& it : actionsOf<SendMemberRenew>(member.takeActions()))
                session.onMemberRenew("m", it.renew, clock.now());
            auto updates = actionsOf<SendMemberUpdate>(session.takeActions());
            return updates.empty() ? schema::MemberUpdate() : updates.back().update;
        }

        ManualClock clock;
        FleetState state { schema::BootstrapSettings(), {} };
        ConfigView leaderView;
        ConfigView memberView;
        FleetSession session { { "x", { "m" } }, leaderView };
        MemberSession member { { "x" }, memberView };
        schema::SessionRenew last;
    };

    DataCentrePortion dataCentre(bool live, uint64_t portion, uint64_t need)
    {
        DataCentrePortion it;
        it.live = live;
        it.portion[0] = portion;
        it.held[0] = portion;
        it.wanted[0] = need;
        return it;
    }

    std::string firstOf(const std::vector<Amounts>& amounts)
    {
        std::string values;
        for (const auto& it : amounts)
            values += std::to_string(it[0]) + " ";
        return values;
    }

} // namespace

TEST_CASE("a leader accepts an authority lease only with the configuration that was sent with it")
{
    Fixture it;
    schema::SessionGrant gap = it.grant();
    gap.mutable_delta()->clear_whole();
    gap.mutable_delta()->set_from_revision(1);
    gap.mutable_delta()->set_to_revision(2);
    it.session.onGrant(gap, it.clock.now());
    CHECK_FALSE(it.session.mayServe(it.clock.now()));
    it.session.onGrant(it.grant(), it.clock.now());
    CHECK(it.session.mayServe(it.clock.now()));
}

TEST_CASE("an authority lease counts from the sending of its renewal and is valid for one epoch only")
{
    Fixture it;
    auto otherEpoch = it.grant();
    otherEpoch.set_epoch(2);
    it.session.onGrant(otherEpoch, it.clock.now());
    CHECK_FALSE(it.session.mayServe(it.clock.now()));
    it.clock.advance(4s);
    it.session.onGrant(it.grant(), it.clock.now());
    CHECK(it.session.cutOff(it.clock.now()));
    it.clock.advance(5'999ms);
    CHECK(it.session.mayServe(it.clock.now()));
    it.clock.advance(1ms);
    CHECK_FALSE(it.session.mayServe(it.clock.now()));
}

TEST_CASE("a member serves only on its own lease, and only a member with a lease inherits the authority")
{
    Fixture it;
    it.member.onLeaderChanged(it.clock.now());
    const auto without = it.renewMember();
    CHECK(without.lease_ms() == 0);
    it.session.onGrant(it.grant(), it.clock.now());
    it.session.takeActions();
    it.clock.advance(250ms);
    it.member.onTick(it.clock.now());
    auto update = it.renewMember();
    CHECK(update.lease_ms() == 2'000);
    auto broken = update;
    broken.mutable_delta()->clear_whole();
    broken.mutable_delta()->set_from_revision(7);
    broken.mutable_delta()->set_to_revision(8);
    it.member.onUpdate(broken, it.clock.now());
    CHECK_FALSE(it.member.mayServe(it.clock.now()));
    it.clock.advance(500ms);
    it.member.onUpdate(update, it.clock.now());
    CHECK(it.member.mayServe(it.clock.now()));
    CHECK(it.member.inheritableAuthority(it.clock.now()).has_value());
    it.clock.advance(1'500ms);
    CHECK_FALSE(it.member.mayServe(it.clock.now()));
    CHECK_FALSE(it.member.inheritableAuthority(it.clock.now()).has_value());
}

TEST_CASE("a member without contact counts until any lease from the previous leader has expired")
{
    Fixture it;
    it.session.onGrant(it.grant(), it.clock.now());
    CHECK(it.session.inForceRevision(it.clock.now()) == 0);
    it.clock.advance(2'003ms); // the member's clock may be slower
    CHECK(it.session.inForceRevision(it.clock.now()) == 0);
    it.clock.advance(1ms);
    CHECK(it.session.inForceRevision(it.clock.now()) == 1);
    it.session.onTick(it.clock.now());
    CHECK(it.latestRenewal().members(0).lease_left_ms() == 0);
}

TEST_CASE("portions shrink with the use down to a target and never grow on one version")
{
    Fixture it;
    auto grant = it.grant();
    grant.set_portions_version(5);
    *grant.add_portions() = toPortion("x", 1, { { 10, 0, 0, 0 } });
    it.session.onGrant(grant, it.clock.now());
    CHECK(it.session.cap(1)[0] == 10);
    it.clock.advance(2s); // leases from a previous leader have expired: no member can inherit from it
    const auto use = [&](uint64_t n) {
        const TeamNeed need { 1, { { n, 0, 0, 0 } }, { { n, 0, 0, 0 } } };
        it.clock.advance(250ms);
        it.session.setNeeds({ &need, 1 }, it.clock.now());
        return it.latestRenewal().needs(0).requests_held();
    };
    CHECK(use(8) == 10);
    auto reduction = it.grant();
    reduction.set_portions_version(5);
    *reduction.add_targets() = toPortion("x", 1, { { 4, 0, 0, 0 } });
    it.session.onGrant(reduction, it.clock.now());
    CHECK(it.session.cap(1)[0] == 4);
    CHECK(use(7) == 7);
    CHECK(use(2) == 4);
    it.session.onGrant(grant, it.clock.now());
    CHECK(use(9) == 4);
    CHECK(it.session.cap(1)[0] == 4);
    it.session.onBecameLeader(4, {}, it.clock.now());
    CHECK(it.session.cap(1)[0] == 0);
}

TEST_CASE("a member inherits portions, and a reduction is reported only once the member has it")
{
    Fixture it;
    auto grant = it.grant();
    grant.set_portions_version(5);
    *grant.add_portions() = toPortion("x", 1, { { 10, 0, 0, 0 } });
    it.session.onGrant(grant, it.clock.now());
    it.member.onLeaderChanged(it.clock.now());
    const auto exchange = [&] { it.member.onUpdate(it.renewMember(), it.clock.now()); };
    exchange();
    exchange();
    auto reduction = it.grant();
    reduction.set_portions_version(5);
    *reduction.add_targets() = toPortion("x", 1, { { 4, 0, 0, 0 } });
    it.session.onGrant(reduction, it.clock.now());
    const auto held = [&] {
        it.clock.advance(250ms);
        it.session.setNeeds({}, it.clock.now());
        return it.latestRenewal().needs(0).requests_held();
    };
    CHECK(held() == 10);
    CHECK(it.session.cap(1)[0] == 4);
    CHECK(it.member.inheritableAuthority(it.clock.now())->portions[0].requests() == 10);
    it.member.onTick(it.clock.now());
    exchange();
    exchange();
    const auto inherited = it.member.inheritableAuthority(it.clock.now());
    CHECK(inherited->portions[0].requests() == 4);
    CHECK(held() == 4);

    FleetSession next { { "x", { "l" } }, it.memberView };
    next.onBecameLeader(4, inherited, it.clock.now());
    CHECK(next.mayServe(it.clock.now()));
    CHECK(next.cap(1)[0] == 4);
}

TEST_CASE("a member that missed the configuration does not accept a pushed lease")
{
    Fixture it;
    it.session.onGrant(it.grant(), it.clock.now());
    it.member.onLeaderChanged(it.clock.now());
    auto update = it.renewMember();
    update.clear_delta();
    it.member.onUpdate(update, it.clock.now());
    CHECK(update.lease_ms() > 0);
    CHECK_FALSE(it.member.mayServe(it.clock.now()));
}

TEST_CASE("a limit is divided by need, with a floor, and never exceeded")
{
    struct Row {
        std::string what;
        uint64_t limit;
        std::vector<DataCentrePortion> dataCentres;
        std::string portions;
        std::string targets;
    };
    const std::vector<Row> rows {
        { "idle data centres share evenly", 16, { dataCentre(true, 0, 0), dataCentre(true, 0, 0) }, "8 8 ", "8 8 " },
        { "need goes first", 100, { dataCentre(true, 0, 80), dataCentre(true, 0, 0) }, "88 12 ", "88 12 " },
        { "idle data centres return portions in steps", 100, { dataCentre(true, 50, 80), dataCentre(true, 50, 0) },
            "50 50 ", "50 31 " },
        { "portions stay while the needs are met", 100, { dataCentre(true, 50, 40), dataCentre(true, 50, 0) }, "50 50 ",
            "50 50 " },
        { "a data centre without contact keeps its portion", 100,
            { dataCentre(true, 50, 90), dataCentre(false, 50, 0) }, "50 50 ", "50 50 " },
        { "a lowered limit sets targets at once", 10, { dataCentre(true, 50, 50), dataCentre(true, 50, 50) }, "50 50 ",
            "5 5 " },
        { "a small limit goes to the data centre in need", 2, { dataCentre(true, 0, 0), dataCentre(true, 0, 2) },
            "0 2 ", "0 2 " },
    };
    for (const auto& it : rows) {
        CAPTURE(it.what);
        const PortionPlan plan = planPortions({ { it.limit, 0, 0, 0 } }, it.dataCentres);
        CHECK(firstOf(plan.portions) == it.portions);
        CHECK(firstOf(plan.targets) == it.targets);
    }
}

TEST_CASE("a late leave of a member's earlier incarnation does not end the lease of the present one")
{
    Fixture it;
    it.session.onGrant(it.grant(), it.clock.now());
    schema::MemberRenew renew;
    renew.set_data_centre("x");
    renew.set_sequence(2'000);
    it.session.onMemberRenew("m", renew, it.clock.now());
    renew.set_sequence(1'000);
    renew.set_leaving(true);
    it.session.onMemberRenew("m", renew, it.clock.now());
    it.clock.advance(Milliseconds(1'000));
    it.session.onTick(it.clock.now());
    REQUIRE(it.latestRenewal().members_size() == 1);
    CHECK(it.last.members(0).lease_left_ms() > 0);
}

} // namespace teasel
