#include "settings/settings_checks.h"

#include <absl/container/flat_hash_map.h>
#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace teasel {

namespace {

    constexpr std::string_view defaultLogLevel = "info";
    constexpr std::array<std::string_view, 4> logLevels { "debug", "info", "warning", "error" };
    constexpr size_t maxIdentifierBytes = 64;

    std::string quotedOrNothing(std::string_view value)
    {
        return value.empty() ? "nothing" : fmt::format("\"{}\"", value);
    }

    bool isIdentifierByte(char c)
    {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-';
    }

    bool isPort(std::string_view text)
    {
        uint16_t port = 0;
        const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
        return ec == std::errc() && stop == text.data() + text.size() && port > 0;
    }

    bool isIpAddress(std::string_view text)
    {
        std::array<unsigned char, sizeof(in6_addr)> buf {};
        const bool bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
        if (bracketed)
            return inet_pton(AF_INET6, std::string(text.substr(1, text.size() - 2)).c_str(), buf.data()) == 1;
        return inet_pton(AF_INET, std::string(text).c_str(), buf.data()) == 1;
    }

    // Records which key used each value first, to detect duplicates.
    class UniqueValues {
    public:
        // Returns the key that already has `value`, or an empty string if `key` is the first.
        std::string add(const std::string& key, const std::string& value)
        {
            const auto [it, added] = m_keys.emplace(value, key);
            return added ? std::string() : it->second;
        }

    private:
        absl::flat_hash_map<std::string, std::string> m_keys;
    };

} // namespace

Result<void> SettingsChecks::invalidValue(std::string_view key, std::string_view expected, std::string_view found) const
{
    return fail(ErrorKind::BadRequest, m_locations.describe(key, expected, found));
}

Result<void> SettingsChecks::identifier(std::string_view key, std::string_view value) const
{
    if (value.empty() || value.size() > maxIdentifierBytes
        || !std::all_of(value.begin(), value.end(), isIdentifierByte))
        return invalidValue(key, "1 to 64 letters, digits, '.', '_' or '-'", quotedOrNothing(value));
    return {};
}

Result<void> SettingsChecks::address(std::string_view key, std::string_view value) const
{
    const auto colon = value.rfind(':');
    if (colon == std::string_view::npos || !isIpAddress(value.substr(0, colon)) || !isPort(value.substr(colon + 1)))
        return invalidValue(key, "an IP number and a port, as 127.0.0.1:7000 or [::1]:7000", quotedOrNothing(value));
    return {};
}

Result<void> SettingsChecks::range(std::string_view key, uint64_t value, uint64_t min, uint64_t max) const
{
    if (value < min || value > max)
        return invalidValue(key, fmt::format("a whole number from {} to {}", min, max), fmt::format("{}", value));
    return {};
}

Result<void> SettingsChecks::hexadecimal(std::string_view key, std::string_view value, size_t bytes) const
{
    const bool digits = std::all_of(value.begin(), value.end(), [](unsigned char c) { return std::isxdigit(c); });
    if (!digits || value.size() % 2 || value.size() < 2 * bytes)
        return invalidValue(
            key, fmt::format("{} or more hexadecimal digits, an even number", 2 * bytes), quotedOrNothing(value));
    return {};
}

Result<void> SettingsChecks::logLevel(const schema::LogSettings& log) const
{
    if (std::find(logLevels.begin(), logLevels.end(), log.level()) == logLevels.end())
        return invalidValue("log.level", "debug, info, warning or error", quotedOrNothing(log.level()));
    return {};
}

Result<void> SettingsChecks::instance(std::string_view key, const schema::InstanceSettings& value) const
{
    BOOST_LEAF_CHECK(identifier(fmt::format("{}.id", key), value.id()));
    BOOST_LEAF_CHECK(identifier(fmt::format("{}.data_centre", key), value.data_centre()));
    return address(fmt::format("{}.peer_address", key), value.peer_address());
}

Result<void> SettingsChecks::fleet(const InstanceList& entries, const InstanceList& states) const
{
    if (states.empty())
        return invalidValue("states", "at least one state replica", "none");
    if (states.size() % 2 == 0)
        return invalidValue("states", "an odd number of state replicas", fmt::format("{}", states.size()));
    UniqueValues ids;
    UniqueValues addresses;
    const auto add = [&](std::string_view list, const InstanceList& instances) -> Result<void> {
        for (int n = 0; n < instances.size(); ++n) {
            const auto key = fmt::format("{}[{}]", list, n);
            BOOST_LEAF_CHECK(instance(key, instances[n]));
            if (const auto first = ids.add(key, instances[n].id()); !first.empty())
                return invalidValue(
                    key + ".id", "an id of its own", fmt::format("{} as at {}", instances[n].id(), first));
            const auto& at = instances[n].peer_address();
            if (const auto first = addresses.add(key, at); !first.empty())
                return invalidValue(
                    key + ".peer_address", "an address of its own", fmt::format("{} as at {}", at, first));
        }
        return {};
    };
    BOOST_LEAF_CHECK(add("entries", entries));
    return add("states", states);
}

Result<void> SettingsChecks::listed(
    const schema::InstanceSettings& wanted, std::string_view listKey, const InstanceList& list) const
{
    BOOST_LEAF_CHECK(instance("instance", wanted));
    const auto it = std::find_if(list.begin(), list.end(), [&](const auto& each) { return each.id() == wanted.id(); });
    if (it == list.end())
        return invalidValue("instance.id", fmt::format("an id listed under {}", listKey), quotedOrNothing(wanted.id()));
    if (it->data_centre() != wanted.data_centre())
        return invalidValue("instance.data_centre",
            fmt::format("{} as listed under {}", quotedOrNothing(it->data_centre()), listKey),
            quotedOrNothing(wanted.data_centre()));
    if (it->peer_address() != wanted.peer_address())
        return invalidValue("instance.peer_address",
            fmt::format("{} as listed under {}", quotedOrNothing(it->peer_address()), listKey),
            quotedOrNothing(wanted.peer_address()));
    return {};
}

void fillLogDefaults(schema::LogSettings& log)
{
    if (!log.has_level())
        log.set_level(std::string(defaultLogLevel));
}

} // namespace teasel
