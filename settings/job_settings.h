// Settings of the job plane's daemons: defaults and checks.
#pragma once

#include "core/result.h"
#include "settings.pb.h"
#include "settings/settings_reader.h"

#include <string>
#include <string_view>

namespace teasel {

void fillDefaults(schema::CoreSettings&);
void fillDefaults(schema::FrontSettings&);

// Fails with BadRequest at the first value that is missing or contradicts another.
Result<void> checkSettings(const schema::CoreSettings&, const SettingsPlaces&);
Result<void> checkSettings(const schema::FrontSettings&, const SettingsPlaces&);

// Reads, fills in and checks a file.
Result<schema::CoreSettings> loadCoreSettings(const std::string& path);
Result<schema::FrontSettings> loadFrontSettings(const std::string& path);

// The same from text; `source` stands for the file in messages.
Result<schema::CoreSettings> parseCoreSettings(std::string_view text, std::string_view source);
Result<schema::FrontSettings> parseFrontSettings(std::string_view text, std::string_view source);

} // namespace teasel
