#include "settings/job_settings.h"

#include "settings/settings_checks.h"

#include <fmt/format.h>

namespace teasel {

namespace {

    constexpr uint64_t defaultMaxLeaseMs = 6'000;
    constexpr uint64_t defaultStopMs = 200;
    constexpr uint64_t defaultGangWaitMs = 3'000;
    constexpr double defaultRemoteFactor = 1.5;
    constexpr uint64_t defaultRestoreMs = 100;
    constexpr uint64_t defaultKeepEndedMs = 150'000;
    constexpr uint64_t defaultSnapshotEveryRecords = 3'000;
    constexpr uint64_t defaultSnapshotEveryBytes = 16 << 20;
    constexpr uint64_t defaultStopGraceMs = 5'000;
    constexpr uint64_t defaultMaxBodyBytes = 256 << 10;
    constexpr uint32_t defaultMaxConnections = 2'048;
    constexpr uint64_t defaultMaxBufferedBytes = 16 << 20;
    constexpr uint64_t minLeaseMs = 500; // covers several round trips and one lease renewal
    constexpr uint64_t maxLeaseMs = 600'000;
    constexpr uint64_t maxValue = 86'400'000; // one day for durations; also the limit of record counts and body sizes
    constexpr uint32_t maxToleratedLosses = 4;

    template <class Settings> void fillCommonDefaults(Settings& it)
    {
        fillLogDefaults(*it.mutable_log());
        if (it.has_stop_grace_s() && it.stop_grace_s() > 0 && it.stop_grace_s() * 1'000 <= maxValue)
            it.set_stop_grace_ms(static_cast<uint64_t>(it.stop_grace_s() * 1'000));
        if (!it.has_stop_grace_ms())
            it.set_stop_grace_ms(defaultStopGraceMs);
    }

    Result<void> checkSeeds(const SettingsChecks& checks, const google::protobuf::RepeatedPtrField<std::string>& seeds)
    {
        if (seeds.empty())
            return checks.invalidValue("seeds", "at least one address", "none");
        for (int n = 0; n < seeds.size(); ++n)
            BOOST_LEAF_CHECK(checks.address(fmt::format("seeds[{}]", n), seeds[n]));
        return {};
    }

    template <class Settings> Result<void> checkCommon(const Settings& it, const SettingsChecks& checks)
    {
        BOOST_LEAF_CHECK(checks.identifier("instance.id", it.instance().id()));
        BOOST_LEAF_CHECK(checks.address("instance.peer_address", it.instance().peer_address()));
        BOOST_LEAF_CHECK(checks.address("metrics_address", it.metrics_address()));
        BOOST_LEAF_CHECK(checkSeeds(checks, it.seeds()));
        BOOST_LEAF_CHECK(checks.range("stop_grace_ms", it.stop_grace_ms(), 1, maxValue));
        if (it.has_stop_grace_s() && !(it.stop_grace_s() >= 0.001 && it.stop_grace_s() * 1'000 <= maxValue))
            return checks.invalidValue(
                "stop_grace_s", "a time of 0.001 to 86400 seconds", fmt::format("{}", it.stop_grace_s()));
        return checks.logLevel(it.log());
    }

    template <class Settings> Result<Settings> completeAndCheck(Settings settings, const SettingsLocations& locations)
    {
        fillDefaults(settings);
        BOOST_LEAF_CHECK(checkSettings(settings, locations));
        return settings;
    }

} // namespace

void fillDefaults(schema::CoreSettings& settings)
{
    fillCommonDefaults(settings);
    if (!settings.has_tolerated_losses())
        settings.set_tolerated_losses(1);
    if (!settings.has_snapshot_every_records())
        settings.set_snapshot_every_records(defaultSnapshotEveryRecords);
    if (!settings.has_snapshot_every_bytes())
        settings.set_snapshot_every_bytes(defaultSnapshotEveryBytes);
    auto& jobs = *settings.mutable_jobs();
    if (!jobs.has_max_lease_ms())
        jobs.set_max_lease_ms(defaultMaxLeaseMs);
    if (!jobs.has_stop_ms())
        jobs.set_stop_ms(defaultStopMs);
    if (!jobs.has_gang_wait_ms())
        jobs.set_gang_wait_ms(defaultGangWaitMs);
    if (!jobs.has_remote_factor())
        jobs.set_remote_factor(defaultRemoteFactor);
    if (!jobs.has_keep_ended_ms())
        jobs.set_keep_ended_ms(defaultKeepEndedMs);
    if (!jobs.has_restore_ms())
        jobs.set_restore_ms(defaultRestoreMs);
}

void fillDefaults(schema::FrontSettings& settings)
{
    fillCommonDefaults(settings);
    if (!settings.has_max_body_bytes())
        settings.set_max_body_bytes(defaultMaxBodyBytes);
    if (!settings.has_max_connections())
        settings.set_max_connections(defaultMaxConnections);
    if (!settings.has_max_buffered_bytes())
        settings.set_max_buffered_bytes(defaultMaxBufferedBytes);
}

Result<void> checkSettings(const schema::CoreSettings& settings, const SettingsLocations& locations)
{
    const SettingsChecks checks(locations);
    BOOST_LEAF_CHECK(checkCommon(settings, checks));
    BOOST_LEAF_CHECK(checks.address("control_address", settings.control_address()));
    if (settings.data_folder().empty())
        return checks.invalidValue("data_folder", "the path of a folder", "nothing");
    BOOST_LEAF_CHECK(checks.range("tolerated_losses", settings.tolerated_losses(), 0, maxToleratedLosses));
    BOOST_LEAF_CHECK(checks.range("snapshot_every_records", settings.snapshot_every_records(), 100, maxValue));
    BOOST_LEAF_CHECK(checks.range(
        "snapshot_every_bytes", settings.snapshot_every_bytes(), minSnapshotEveryBytes, maxSnapshotEveryBytes));
    for (int n = 0; n < settings.data_centres_size(); ++n) {
        if (settings.data_centres(n).name().empty())
            return checks.invalidValue(fmt::format("data_centres[{}].name", n), "the name of a data centre", "nothing");
    }
    const auto& jobs = settings.jobs();
    if (jobs.has_evacuation_ms())
        BOOST_LEAF_CHECK(checks.range("jobs.evacuation_ms", jobs.evacuation_ms(), 1, maxValue));
    if (!jobs.advice_address().empty())
        BOOST_LEAF_CHECK(checks.address("jobs.advice_address", jobs.advice_address()));
    BOOST_LEAF_CHECK(checks.range("jobs.max_lease_ms", jobs.max_lease_ms(), minLeaseMs, maxLeaseMs));
    BOOST_LEAF_CHECK(checks.range("jobs.stop_ms", jobs.stop_ms(), 1, maxValue));
    BOOST_LEAF_CHECK(checks.range("jobs.gang_wait_ms", jobs.gang_wait_ms(), 1, maxValue));
    if (jobs.remote_factor() < 1)
        return checks.invalidValue(
            "jobs.remote_factor", "a factor of at least 1", fmt::format("{}", jobs.remote_factor()));
    if (!(jobs.cap_overshoot() >= 0 && jobs.cap_overshoot() <= 1))
        return checks.invalidValue(
            "jobs.cap_overshoot", "a share from 0 to 1", fmt::format("{}", jobs.cap_overshoot()));
    return checks.range("jobs.keep_ended_ms", jobs.keep_ended_ms(), 1'000, maxValue);
}

Result<void> checkSettings(const schema::FrontSettings& settings, const SettingsLocations& locations)
{
    const SettingsChecks checks(locations);
    BOOST_LEAF_CHECK(checkCommon(settings, checks));
    BOOST_LEAF_CHECK(checks.address("callers_address", settings.callers_address()));
    BOOST_LEAF_CHECK(checks.address("ready_address", settings.ready_address()));
    BOOST_LEAF_CHECK(checks.range("max_body_bytes", settings.max_body_bytes(), 1, maxValue));
    BOOST_LEAF_CHECK(checks.range("max_buffered_bytes", settings.max_buffered_bytes(), 1, maxValue));
    return checks.range("max_connections", settings.max_connections(), 1, 1'000'000);
}

Result<schema::CoreSettings> loadCoreSettings(const std::string& path)
{
    schema::CoreSettings settings;
    BOOST_LEAF_AUTO(locations, readSettings(path, settings));
    return completeAndCheck(std::move(settings), locations);
}

Result<schema::FrontSettings> loadFrontSettings(const std::string& path)
{
    schema::FrontSettings settings;
    BOOST_LEAF_AUTO(locations, readSettings(path, settings));
    return completeAndCheck(std::move(settings), locations);
}

Result<schema::CoreSettings> parseCoreSettings(std::string_view text, std::string_view source)
{
    schema::CoreSettings settings;
    BOOST_LEAF_AUTO(locations, readSettingsText(text, source, settings));
    return completeAndCheck(std::move(settings), locations);
}

Result<schema::FrontSettings> parseFrontSettings(std::string_view text, std::string_view source)
{
    schema::FrontSettings settings;
    BOOST_LEAF_AUTO(locations, readSettingsText(text, source, settings));
    return completeAndCheck(std::move(settings), locations);
}

} // namespace teasel
