// Reads settings files: YAML into the messages of the schema, by reflection.
//
// Each field of a message is a key of the same name. Whatever the schema does
// not know, and whatever has the wrong type, is refused with its place.
#pragma once

#include "core/result.h"

#include <absl/container/flat_hash_map.h>
#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace teasel {

// Where the keys of a settings file stand, for messages about them.
class SettingsPlaces {
public:
    explicit SettingsPlaces(std::string source = "settings")
        : m_source(std::move(source))
    {
    }

    void add(std::string key, int line) { m_lines.insert_or_assign(std::move(key), line); }
    bool has(std::string_view key) const { return m_lines.contains(std::string(key)); }

    // `file:line: key: expected ..., found ...`, with the line of the nearest
    // enclosing key that the file holds. Keys look like `entries[2].peer_address`.
    std::string describe(std::string_view key, std::string_view expected, std::string_view found) const;

private:
    int lineOf(std::string_view key) const;

    std::string m_source;
    absl::flat_hash_map<std::string, int> m_lines;
};

// Reads the file at `path` into `into`. Fails with NotFound when it cannot be
// read, and with BadRequest, the file, line, key and what was expected for an
// unknown or repeated key or a value of the wrong type.
Result<SettingsPlaces> readSettings(std::string_view path, google::protobuf::Message& into);

// The same from text; `source` stands for the file in messages.
Result<SettingsPlaces> readSettingsText(
    std::string_view text, std::string_view source, google::protobuf::Message& into);

// A message as YAML that readSettings takes. Scalar fields are printed with
// their values even where these are defaults; messages that are not set are left out.
std::string printSettings(const google::protobuf::Message&);

} // namespace teasel
