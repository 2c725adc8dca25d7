// Settings of a state replica: defaults and checks.
#pragma once

#include "core/result.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <string_view>

namespace teasel {

// Sets what is not given to its default.
void fillDefaults(schema::StateSettings&);

// Fails with BadRequest at the first value that is missing or contradicts another.
Result<void> checkSettings(const schema::StateSettings&, const SettingsPlaces&);

// Reads, fills in and checks a file.
Result<schema::StateSettings> loadStateSettings(std::string_view path);

// The same from text; `source` stands for the file in messages.
Result<schema::StateSettings> parseStateSettings(std::string_view text, std::string_view source);

} // namespace teasel
