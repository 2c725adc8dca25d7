// Settings of a state replica: defaults and checks.
#pragma once

#include "core/result.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <string_view>

namespace teasel {

// Sets every field that is not given to its default.
void fillDefaults(schema::StateSettings&);

// Fails with BadRequest and a message about the first value that is missing, out of range or in conflict with another.
Result<void> checkSettings(const schema::StateSettings&, const SettingsLocations&);

// Reads a file, fills in defaults and checks the result.
Result<schema::StateSettings> loadStateSettings(std::string_view path);

// The same from text. `source` takes the place of the file name in messages.
Result<schema::StateSettings> parseStateSettings(std::string_view text, std::string_view source);

} // namespace teasel
