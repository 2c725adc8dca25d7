#include "settings/entry_settings.h"

#include "settings/settings_checks.h"

#include <limits>

namespace teasel {

namespace {

    constexpr uint64_t defaultMaxBodyBytes = 1'048'576;
    constexpr uint64_t mostMaxBodyBytes = 1'073'741'824;
    constexpr uint32_t defaultMaxHeldRequests = 10'000;
    constexpr uint64_t defaultStopGraceMs = 30'000;
    constexpr uint64_t mostStopGraceMs = 86'400'000;
    constexpr uint32_t defaultHttpThreads = 4;
    constexpr uint32_t mostHttpThreads = 256;
    constexpr uint32_t defaultMaxConnections = 4'096;
    constexpr uint32_t mostCount = std::numeric_limits<uint32_t>::max();

    Result<schema::EntrySettings> finish(schema::EntrySettings settings, const SettingsPlaces& places)
    {
        fillDefaults(settings);
        BOOST_LEAF_CHECK(checkSettings(settings, places));
        return settings;
    }

} // namespace

void fillDefaults(schema::EntrySettings& settings)
{
    fillLogDefaults(*settings.mutable_log());
    if (!settings.has_max_body_bytes())
        settings.set_max_body_bytes(defaultMaxBodyBytes);
    if (!settings.has_max_held_requests())
        settings.set_max_held_requests(defaultMaxHeldRequests);
    if (!settings.has_stop_grace_ms())
        settings.set_stop_grace_ms(defaultStopGraceMs);
    if (!settings.has_http_threads())
        settings.set_http_threads(defaultHttpThreads);
    if (!settings.has_max_connections())
        settings.set_max_connections(defaultMaxConnections);
}

Result<void> checkSettings(const schema::EntrySettings& settings, const SettingsPlaces& places)
{
    const SettingsChecks checks(places);
    BOOST_LEAF_CHECK(checks.address("http_address", settings.http_address()));
    BOOST_LEAF_CHECK(checks.fleet(settings.entries(), settings.states()));
    BOOST_LEAF_CHECK(checks.listed(settings.instance(), "entries", settings.entries()));
    BOOST_LEAF_CHECK(checks.logLevel(settings.log()));
    BOOST_LEAF_CHECK(checks.range("max_body_bytes", settings.max_body_bytes(), 1, mostMaxBodyBytes));
    BOOST_LEAF_CHECK(checks.range("max_held_requests", settings.max_held_requests(), 1, mostCount));
    BOOST_LEAF_CHECK(checks.range("stop_grace_ms", settings.stop_grace_ms(), 1, mostStopGraceMs));
    BOOST_LEAF_CHECK(checks.range("http_threads", settings.http_threads(), 1, mostHttpThreads));
    BOOST_LEAF_CHECK(checks.range("max_connections", settings.max_connections(), 1, mostCount));
    if (settings.http_address() == settings.instance().peer_address())
        return checks.refuse("http_address", "another address than instance.peer_address", settings.http_address());
    return {};
}

Result<schema::EntrySettings> loadEntrySettings(std::string_view path)
{
    schema::EntrySettings settings;
    BOOST_LEAF_AUTO(places, readSettings(path, settings));
    return finish(std::move(settings), places);
}

Result<schema::EntrySettings> parseEntrySettings(std::string_view text, std::string_view source)
{
    schema::EntrySettings settings;
    BOOST_LEAF_AUTO(places, readSettingsText(text, source, settings));
    return finish(std::move(settings), places);
}

} // namespace teasel
