// Bounds of what a grant carries: the peer network drops larger messages, and the grant is repeated without end.
#include "fleet/fleet_service.h"
#include "net/peer_session.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace teasel;

namespace {

constexpr size_t mib = 1 << 20;

struct Fixture {
    Fixture()
    {
        FleetServiceOptions options;
        options.dataCentres = { "x" };
        options.authority = std::chrono::seconds(10);
        service = std::make_unique<FleetService>(std::move(options), state);
        service->onLeadership(true, clock.now());
    }

    schema::ChangeAnswer change(const std::string& id, const std::function<void(schema::ConfigChange&)>& fill)
    {
        schema::Command command;
        command.mutable_config_change()->set_change_id(id);
        command.mutable_config_change()->set_made_by("root");
        fill(*command.mutable_config_change());
        return state.apply(command).change();
    }

    // Adds or replaces drains of 1 KiB.
    schema::ChangeAnswer putDrains(const std::string& id, const std::string& prefix, size_t count)
    {
        return change(id, [&](auto& it) {
            for (size_t n = 0; n < count; ++n) {
                auto& drain = *it.add_edits()->mutable_put_drain();
                drain.set_id(fmt::format("{}{}", prefix, n));
                drain.set_selector(std::string(1'024, 'z'));
            }
        });
    }

    void submitJobs(size_t count, size_t bytes)
    {
        for (size_t n = 0; n < count; ++n) {
            schema::Command command;
            auto& job = *command.mutable_submit_job();
            job.set_id(fmt::format("job{}", n));
            job.set_data_centre("x");
            job.set_reason(std::string(bytes, 'z'));
            state.apply(command);
        }
    }

    // Renews the session until nothing is left to send, and returns the size of the largest grant. 0: no end.
    size_t largestGrant(Revision applied)
    {
        size_t largest = 0;
        uint64_t digest = 0;
        uint64_t jobsVersion = 0;
        for (uint64_t sequence = 1; sequence < 100; ++sequence) {
            schema::SessionRenew renew;
            renew.set_data_centre("x");
            renew.set_epoch(1);
            renew.set_sequence(sequence);
            renew.set_applied_revision(applied);
            renew.set_config_digest(digest);
            renew.set_jobs_version(jobsVersion);
            service->onRenew("x0", renew, clock.now());
            bool isComplete = false;
            for (auto& it : service->takeActions()) {
                if (const auto* proposal = std::get_if<ProposeCommand>(&it)) {
                    service->onApplied(
                        proposal->ticket, proposal->command, state.apply(proposal->command), clock.now());
                    for (auto& granted : service->takeActions())
                        isComplete = receive(granted, largest, applied, digest, jobsVersion);
                } else {
                    isComplete = receive(it, largest, applied, digest, jobsVersion);
                }
            }
            if (isComplete)
                return largest;
        }
        return 0;
    }

    bool receive(const FleetAction& action, size_t& largest, Revision& applied, uint64_t& digest, uint64_t& jobsVersion)
    {
        const auto* sent = std::get_if<SendGrant>(&action);
        if (sent == nullptr)
            return false;
        const auto& grant = sent->grant;
        largest = std::max(largest, grant.ByteSizeLong());
        if (grant.has_delta()) {
            applied = grant.delta().to_revision();
            digest = grant.delta().digest();
        }
        jobsVersion = std::max<uint64_t>(jobsVersion, grant.jobs_version());
        jobsReceived += static_cast<size_t>(grant.jobs_size());
        return !grant.jobs_more();
    }

    static schema::BootstrapSettings settings()
    {
        schema::BootstrapSettings out;
        out.set_operator_key_id("root");
        return out;
    }

    ManualClock clock;
    FleetState state { settings(), {} };
    std::unique_ptr<FleetService> service;
    size_t jobsReceived = 0;
};

} // namespace

// Guards against a configuration that is accepted and reaches no data centre.
TEST_CASE("a configuration that no grant can carry is refused, and can still shrink")
{
    Fixture it;
    size_t accepted = 0;
    schema::ChangeAnswer answer;
    for (; accepted < 12; ++accepted) {
        answer = it.putDrains(fmt::format("c{}", accepted), fmt::format("d{}-", accepted), 1'000);
        if (answer.state() == schema::CHANGE_STATE_REFUSED)
            break;
    }
    CHECK(accepted < 12);
    CHECK(it.state.config().ByteSizeLong() <= 6 * mib);
    CHECK(answer.failure().kind() == static_cast<uint32_t>(ErrorKind::TooLarge));
    CHECK(static_cast<size_t>(it.state.config().drains_size()) == accepted * 1'000); // the refused change had no effect
    CHECK(it.change("remove", [](auto& change) { change.add_edits()->set_remove_drain("d0-0"); }).state()
        == schema::CHANGE_STATE_PENDING);
    const auto largest = it.largestGrant(1);
    CHECK(largest > 4 * mib);
    CHECK(largest + 64 * 1'024 < maxEnvelopeBytes);
}

// Guards against a data centre that no grant reaches since the changes that it missed are larger than a message.
TEST_CASE("missed changes that are larger than the configuration are replaced by it")
{
    Fixture it;
    REQUIRE(it.putDrains("first", "d", 100).state() == schema::CHANGE_STATE_PENDING);
    const auto from = it.state.revision();
    const auto digest = it.state.digest();
    for (int n = 0; n < 15; ++n)
        REQUIRE(it.putDrains(fmt::format("again{}", n), "d", 100).state() == schema::CHANGE_STATE_PENDING);
    const auto delta = it.state.deltaFor(from, digest);
    CHECK(delta.ByteSizeLong() < mib / 4);
    CHECK(delta.has_whole());
}

// Guards against jobs that reach no data centre: 256 of them, the most in a grant, are larger than a message.
TEST_CASE("jobs are spread over as many grants as their size needs")
{
    Fixture it;
    it.submitJobs(100, 200'000);
    REQUIRE(it.putDrains("c", "d", 4'000).state() == schema::CHANGE_STATE_PENDING);
    const auto largest = it.largestGrant(1);
    CHECK(largest > 0);
    CHECK(largest + 64 * 1'024 < maxEnvelopeBytes);
    CHECK(it.jobsReceived == 100);
}
