// Checks that are common to the settings of all daemons.
#pragma once

#include "core/result.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <google/protobuf/repeated_ptr_field.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

// Limits of snapshot_every_bytes: small snapshots would cost more than the log itself, and a large log more memory and
// disk than an instance of the system has.
constexpr uint64_t minSnapshotEveryBytes = 1 << 20;
constexpr uint64_t maxSnapshotEveryBytes = uint64_t(1) << 30;

using InstanceList = google::protobuf::RepeatedPtrField<schema::InstanceSettings>;

// Checks the values of one settings message. Each check fails with BadRequest and a message that gives the file, the
// line, the key and what was expected.
class SettingsChecks {
public:
    explicit SettingsChecks(const SettingsLocations& locations)
        : m_locations(locations)
    {
    }

    // `value` is an identifier: 1 to 64 letters, digits, `.`, `_` or `-`.
    Result<void> identifier(std::string_view key, std::string_view value) const;

    // `value` is `a.b.c.d:port` or `[v6]:port`, with a numeric IP address and a port from 1 to 65535.
    Result<void> address(std::string_view key, std::string_view value) const;

    Result<void> range(std::string_view key, uint64_t value, uint64_t min, uint64_t max) const;

    // `value` is an even number of hexadecimal digits that encode at least `bytes` bytes.
    Result<void> hexadecimal(std::string_view key, std::string_view value, size_t bytes) const;

    Result<void> logLevel(const schema::LogSettings&) const;

    // The instances of `entries` and `states` are well-formed, their ids and addresses are unique, and the number of
    // `states` is odd.
    Result<void> fleet(const InstanceList& entries, const InstanceList& states) const;

    // `instance` is listed under `listKey`, with the same data centre and address.
    Result<void> listed(const schema::InstanceSettings& instance, std::string_view listKey, const InstanceList&) const;

    // Fails with a message about the value of `key`.
    Result<void> invalidValue(std::string_view key, std::string_view expected, std::string_view found) const;

private:
    Result<void> instance(std::string_view key, const schema::InstanceSettings&) const;

    const SettingsLocations& m_locations;
};

// Sets the log level to its default if it is not given.
void fillLogDefaults(schema::LogSettings&);

} // namespace teasel
