// The command `teasel config check`.
#pragma once

#include "main/teasel_commands.h"

namespace teasel {

// Adds the command to the group `config`.
void addConfigCheckCommand(CLI::App& config, Command& selected);

} // namespace teasel
