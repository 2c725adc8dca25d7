#include "settings/state_settings.h"

#include "settings/settings_checks.h"

#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <limits>
#include <string>

namespace teasel {

namespace {

    constexpr uint64_t defaultServeForMs = 3'600'000;
    constexpr uint64_t minServeForMs = 2'000; // covers several renewals of the lease on the configuration
    constexpr uint64_t maxServeForMs = 31'536'000'000; // one year
    constexpr uint64_t defaultSnapshotEveryRecords = 100'000;
    constexpr uint64_t maxSnapshotEveryRecords = 1'000'000'000;
    constexpr uint64_t defaultSnapshotEveryBytes = 16 << 20;
    constexpr size_t minSaltBytes = 8;
    constexpr size_t hashBytes = 32;

    Result<void> checkBootstrap(const schema::BootstrapSettings& bootstrap, const SettingsChecks& checks)
    {
        BOOST_LEAF_CHECK(checks.identifier("bootstrap.operator_key_id", bootstrap.operator_key_id()));
        BOOST_LEAF_CHECK(
            checks.hexadecimal("bootstrap.operator_key_salt", bootstrap.operator_key_salt(), minSaltBytes));
        BOOST_LEAF_CHECK(checks.hexadecimal("bootstrap.operator_key_hash", bootstrap.operator_key_hash(), hashBytes));
        if (bootstrap.operator_key_hash().size() != 2 * hashBytes)
            return checks.invalidValue("bootstrap.operator_key_hash",
                fmt::format("{} hexadecimal digits", 2 * hashBytes),
                fmt::format("{}", bootstrap.operator_key_hash().size()));
        if (bootstrap.schemes().empty())
            return checks.invalidValue("bootstrap.schemes", "at least one naming scheme", "none");
        absl::flat_hash_set<std::string> names;
        for (int n = 0; n < bootstrap.schemes_size(); ++n) {
            const auto key = fmt::format("bootstrap.schemes[{}]", n);
            BOOST_LEAF_CHECK(checks.identifier(key, bootstrap.schemes(n)));
            if (!names.insert(bootstrap.schemes(n)).second)
                return checks.invalidValue(key, "each scheme once", bootstrap.schemes(n));
        }
        return {};
    }

    Result<schema::StateSettings> completeAndCheck(schema::StateSettings settings, const SettingsLocations& locations)
    {
        fillDefaults(settings);
        BOOST_LEAF_CHECK(checkSettings(settings, locations));
        return settings;
    }

} // namespace

void fillDefaults(schema::StateSettings& settings)
{
    fillLogDefaults(*settings.mutable_log());
    if (!settings.cut_off().has_serve_for_ms())
        settings.mutable_cut_off()->set_serve_for_ms(defaultServeForMs);
    if (!settings.has_snapshot_every_records())
        settings.set_snapshot_every_records(defaultSnapshotEveryRecords);
    if (!settings.has_snapshot_every_bytes())
        settings.set_snapshot_every_bytes(defaultSnapshotEveryBytes);
}

Result<void> checkSettings(const schema::StateSettings& settings, const SettingsLocations& locations)
{
    const SettingsChecks checks(locations);
    BOOST_LEAF_CHECK(checks.address("http_address", settings.http_address()));
    BOOST_LEAF_CHECK(checks.fleet(settings.entries(), settings.states()));
    BOOST_LEAF_CHECK(checks.listed(settings.instance(), "states", settings.states()));
    BOOST_LEAF_CHECK(checks.logLevel(settings.log()));
    if (settings.data_folder().empty())
        return checks.invalidValue("data_folder", "the path of a folder", "nothing");
    BOOST_LEAF_CHECK(
        checks.range("cut_off.serve_for_ms", settings.cut_off().serve_for_ms(), minServeForMs, maxServeForMs));
    BOOST_LEAF_CHECK(
        checks.range("snapshot_every_records", settings.snapshot_every_records(), 1, maxSnapshotEveryRecords));
    BOOST_LEAF_CHECK(checks.range(
        "snapshot_every_bytes", settings.snapshot_every_bytes(), minSnapshotEveryBytes, maxSnapshotEveryBytes));
    if (settings.http_address() == settings.instance().peer_address())
        return checks.invalidValue(
            "http_address", "another address than instance.peer_address", settings.http_address());
    if (settings.replacement() && settings.states_size() == 1)
        return checks.invalidValue("replacement", "other state replicas to catch up from", "a fleet of one");
    if (settings.has_bootstrap())
        BOOST_LEAF_CHECK(checkBootstrap(settings.bootstrap(), checks));
    return {};
}

Result<schema::StateSettings> loadStateSettings(std::string_view path)
{
    schema::StateSettings settings;
    BOOST_LEAF_AUTO(locations, readSettings(path, settings));
    return completeAndCheck(std::move(settings), locations);
}

Result<schema::StateSettings> parseStateSettings(std::string_view text, std::string_view source)
{
    schema::StateSettings settings;
    BOOST_LEAF_AUTO(locations, readSettingsText(text, source, settings));
    return completeAndCheck(std::move(settings), locations);
}

} // namespace teasel
