#include "settings/entry_settings.h"

#include "settings/settings_checks.h"

#include <limits>

namespace teasel {

namespace {

    constexpr uint64_t defaultMaxBodyBytes = 1'048'576;
    constexpr uint64_t maxBodyBytesLimit = 1'073'741'824;
    constexpr uint32_t defaultMaxHeldRequests = 10'000;
    constexpr uint64_t defaultStopGraceMs = 30'000;
    constexpr uint64_t maxStopGraceMs = 86'400'000;
    constexpr uint32_t defaultHttpThreads = 4;
    constexpr uint32_t maxHttpThreads = 256;
    constexpr uint32_t defaultMaxConnections = 4'096;
    constexpr uint64_t defaultMaxBufferedBytes = 32 << 20;
    constexpr uint64_t maxBufferedBytesLimit = 17'179'869'184;
    constexpr uint32_t maxCount = std::numeric_limits<uint32_t>::max();

    Result<schema::EntrySettings> completeAndCheck(schema::EntrySettings settings, const SettingsLocations& locations)
    {
        fillDefaults(settings);
        BOOST_LEAF_CHECK(checkSettings(settings, locations));
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
    if (!settings.has_max_buffered_bytes())
        settings.set_max_buffered_bytes(defaultMaxBufferedBytes);
}

Result<void> checkSettings(const schema::EntrySettings& settings, const SettingsLocations& locations)
{
    const SettingsChecks checks(locations);
    BOOST_LEAF_CHECK(checks.address("http_address", settings.http_address()));
    BOOST_LEAF_CHECK(checks.fleet(settings.entries(), settings.states()));
    BOOST_LEAF_CHECK(checks.listed(settings.instance(), "entries", settings.entries()));
    BOOST_LEAF_CHECK(checks.logLevel(settings.log()));
    BOOST_LEAF_CHECK(checks.range("max_body_bytes", settings.max_body_bytes(), 1, maxBodyBytesLimit));
    BOOST_LEAF_CHECK(checks.range("max_held_requests", settings.max_held_requests(), 1, maxCount));
    BOOST_LEAF_CHECK(checks.range("stop_grace_ms", settings.stop_grace_ms(), 1, maxStopGraceMs));
    BOOST_LEAF_CHECK(checks.range("http_threads", settings.http_threads(), 1, maxHttpThreads));
    BOOST_LEAF_CHECK(checks.range("max_connections", settings.max_connections(), 1, maxCount));
    BOOST_LEAF_CHECK(checks.range("max_buffered_bytes", settings.max_buffered_bytes(), 1, maxBufferedBytesLimit));
    if (settings.http_address() == settings.instance().peer_address())
        return checks.invalidValue(
            "http_address", "another address than instance.peer_address", settings.http_address());
    return {};
}

Result<schema::EntrySettings> loadEntrySettings(std::string_view path)
{
    schema::EntrySettings settings;
    BOOST_LEAF_AUTO(locations, readSettings(path, settings));
    return completeAndCheck(std::move(settings), locations);
}

Result<schema::EntrySettings> parseEntrySettings(std::string_view text, std::string_view source)
{
    schema::EntrySettings settings;
    BOOST_LEAF_AUTO(locations, readSettingsText(text, source, settings));
    return completeAndCheck(std::move(settings), locations);
}

} // namespace teasel
