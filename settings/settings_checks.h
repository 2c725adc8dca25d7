// Checks that the settings of both daemons share.
#pragma once

#include "core/result.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <google/protobuf/repeated_ptr_field.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace teasel {

using InstanceList = google::protobuf::RepeatedPtrField<schema::InstanceSettings>;

// Checks the values of one settings message and fails with BadRequest at the
// first that does not hold, naming file, line, key and what was expected.
class SettingsChecks {
public:
    explicit SettingsChecks(const SettingsPlaces& places)
        : m_places(places)
    {
    }

    // An identifier: 1 to 64 letters, digits, `.`, `_` or `-`.
    Result<void> identifier(std::string_view key, std::string_view value) const;

    // `a.b.c.d:port` or `[v6]:port`, with an IP number and a port from 1 to 65535.
    Result<void> address(std::string_view key, std::string_view value) const;

    Result<void> range(std::string_view key, uint64_t value, uint64_t least, uint64_t most) const;

    // An even number of hexadecimal digits, for at least `bytes` bytes.
    Result<void> hexadecimal(std::string_view key, std::string_view value, size_t bytes) const;

    Result<void> logLevel(const schema::LogSettings&) const;

    // Ids and addresses of `entries` and `states` are well-formed and unique, and the states an odd number.
    Result<void> fleet(const InstanceList& entries, const InstanceList& states) const;

    // `instance` is one of `list`, with the same data centre and address.
    Result<void> listed(const schema::InstanceSettings& instance, std::string_view listKey, const InstanceList&) const;

    Result<void> refuse(std::string_view key, std::string_view expected, std::string_view found) const;

private:
    Result<void> instance(std::string_view key, const schema::InstanceSettings&) const;

    const SettingsPlaces& m_places;
};

// Sets the level of the log to its default where it is not given.
void fillLogDefaults(schema::LogSettings&);

} // namespace teasel
