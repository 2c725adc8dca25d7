// The operators' command line tool.
#pragma once

#include "main/teasel_http.h"

#include <ostream>
#include <string>
#include <vector>

namespace teasel {

// Runs one command and returns the exit code: 0 accepted, 2 pending, 3 refused, 4 no server answered, 64 wrong usage;
// of `config check`: 0 nothing found, 1 findings, 2 unusable input.
// `arguments` does not include the program's name.
int runTool(std::vector<std::string> arguments, ApiTransport&, std::ostream& out, std::ostream& err);

} // namespace teasel
