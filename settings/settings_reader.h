// Reads settings files: fills messages of the schema from YAML by reflection.
//
// Each field of a message is read from the key of the same name. Unknown keys and values of the wrong type are rejected
// with their location.
#pragma once

#include "core/result.h"

#include <absl/container/flat_hash_map.h>
#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace teasel {

// The lines of the keys in a settings file, for error messages.
class SettingsLocations {
public:
    explicit SettingsLocations(std::string source = "settings")
        : m_source(std::move(source))
    {
    }

    void add(std::string key, int line) { m_lines.insert_or_assign(std::move(key), line); }
    bool has(std::string_view key) const { return m_lines.contains(std::string(key)); }

    // Returns `file:line: key: expected ..., found ...`. If the file does not contain the key, the line is that of the
    // nearest enclosing key. Keys have the form `entries[2].peer_address`.
    std::string describe(std::string_view key, std::string_view expected, std::string_view found) const;

private:
    int lineOf(std::string_view key) const;

    std::string m_source;
    absl::flat_hash_map<std::string, int> m_lines;
};

// Reads the file at `path` into `into`. Fails with NotFound if the file can't be read or is empty. Fails with
// BadRequest and a message as from SettingsLocations::describe() for an unknown or repeated key or a value of the wrong
// type.
Result<SettingsLocations> readSettings(std::string_view path, google::protobuf::Message& into);

// The same from text. `source` takes the place of the file name in messages.
Result<SettingsLocations> readSettingsText(
    std::string_view text, std::string_view source, google::protobuf::Message& into);

// Converts a message to YAML that readSettings() accepts. Scalar fields are always printed, even with default values;
// nested messages that are not set are omitted.
std::string printSettings(const google::protobuf::Message&);

} // namespace teasel
