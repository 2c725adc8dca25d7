// Settings of the daemons of the job plane (core and front): defaults and checks.
#pragma once

#include "core/result.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <string>
#include <string_view>

namespace teasel {

// Sets every field that is not given to its default.
void fillDefaults(schema::CoreSettings&);
void fillDefaults(schema::FrontSettings&);

// Fails with BadRequest and a message about the first value that is missing, out of range or in conflict with another.
Result<void> checkSettings(const schema::CoreSettings&, const SettingsLocations&);
Result<void> checkSettings(const schema::FrontSettings&, const SettingsLocations&);

// Reads a file, fills in defaults and checks the result.
Result<schema::CoreSettings> loadCoreSettings(const std::string& path);
Result<schema::FrontSettings> loadFrontSettings(const std::string& path);

// The same from text. `source` takes the place of the file name in messages.
Result<schema::CoreSettings> parseCoreSettings(std::string_view text, std::string_view source);
Result<schema::FrontSettings> parseFrontSettings(std::string_view text, std::string_view source);

} // namespace teasel
